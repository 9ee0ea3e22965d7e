//! Credits: how much of each engine this entry may use without asking.
//!
//! Each server has a home among the live entries, by rendezvous hash. The home
//! weighs the entries' reported demand and grants each a share, which rides on
//! its heartbeats and lapses by itself. Without a word from the home an entry
//! falls back to its equal share.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::{Instant, ServerId, VmId};
use notchwalk_wire::ServerShare;

use crate::{
    catalog::{GroupKey, WorkspaceSlot},
    long_home,
    node::{Cx, Node},
    server::ServerKey,
};

/// How often a home weighs the demand anew.
const GRANT_EVERY: Duration = Duration::from_millis(500);
/// How long a granted share holds.
const SHARE_LIFE: Duration = Duration::from_secs(3);
/// A whole server, in thousandths.
const WHOLE: u64 = 1_000;
/// All entries' floors together, in thousandths of a server.
const FLOORS: u64 = 120;

/// Shares and the demand they follow from.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    /// Requests of a workspace in a group.
    counts: HashMap<(WorkspaceSlot, GroupKey), u32>,
    /// The summed weight of the workspaces with work in a group.
    weight: Vec<f64>,
    /// The same in thousandths, falling slowly.
    smooth: Vec<u64>,
    next_grant: Instant,
    homes: HashMap<ServerId, VmId>,
    homes_epoch: (u64, u64),
    /// Since when this node is home of a server.
    home_since: HashMap<ServerId, Instant>,
    /// The shares that are due to each peer.
    grants: HashMap<VmId, Vec<ServerShare>>,
}

/// Notes that a workspace has one more request in a group.
pub(crate) fn work_came(node: &mut Node, slot: WorkspaceSlot, group: GroupKey) {
    let count = node.credits.counts.entry((slot, group)).or_default();
    *count += 1;
    if *count == 1 {
        let weight = node.catalog.workspace(slot).weight;
        add_weight(node, group, weight);
    }
}

/// Notes that a workspace has one request less in a group.
pub(crate) fn work_went(node: &mut Node, slot: WorkspaceSlot, group: GroupKey) {
    let Some(count) = node.credits.counts.get_mut(&(slot, group)) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        node.credits.counts.remove(&(slot, group));
        let weight = node.catalog.workspace(slot).weight;
        add_weight(node, group, -weight);
    }
}

fn add_weight(node: &mut Node, group: GroupKey, weight: f64) {
    let weights = &mut node.credits.weight;
    if weights.len() <= group.index() {
        weights.resize(group.index() + 1, 0.0);
    }
    let sum = &mut weights[group.index()];
    *sum = (*sum + weight).max(0.0);
}

/// Sums the demand anew after weights may have changed.
pub(crate) fn recount_demand(node: &mut Node) {
    node.credits.weight.clear();
    let keys: Vec<_> = node.credits.counts.keys().copied().collect();
    for (slot, group) in keys {
        let weight = node.catalog.workspace(slot).weight;
        add_weight(node, group, weight);
    }
}

/// Returns a demand that falls slowly, so that an entry whose next request is
/// only a moment away keeps its share.
pub(crate) fn smoothed(before: u64, now: u64) -> u64 {
    const KEPT_PERCENT: u64 = 70;
    now.max(before * KEPT_PERCENT / 100)
}

/// Returns this node's demand, as heartbeats carry it.
pub(crate) fn own_demand(node: &Node) -> Vec<(u64, u64)> {
    let weights = node.credits.smooth.iter().enumerate();
    let busy = weights.filter(|(_, weight)| **weight > 0);
    let hashed = busy.map(|(i, weight)| {
        let hash = node.catalog.group_hash(GroupKey(i as u32));
        (hash, *weight)
    });
    hashed.collect()
}

/// Returns the home of a server.
pub(crate) fn home_of(node: &mut Node, now: Instant, server: ServerId) -> VmId {
    refresh_homes(node, now);
    node.credits
        .homes
        .get(&server)
        .copied()
        .unwrap_or(node.cfg.vm)
}

/// Returns since when this node is home of a server, if it is.
pub(crate) fn home_since(node: &mut Node, now: Instant, server: ServerId) -> Option<Instant> {
    refresh_homes(node, now);
    node.credits.home_since.get(&server).copied()
}

fn refresh_homes(node: &mut Node, now: Instant) {
    let epoch = (node.servers.epoch, node.membership.epoch);
    if node.credits.homes_epoch == epoch && !node.credits.homes.is_empty() {
        return;
    }
    node.credits.homes_epoch = epoch;
    let live = node.membership.live_vms();
    let servers = node.servers.arena.values().map(|s| s.id);
    node.credits.homes = servers.map(|id| (id, rendezvous(id, &live))).collect();
    let own = node.cfg.vm;
    let homes = &node.credits.homes;
    node.credits
        .home_since
        .retain(|id, _| homes.get(id) == Some(&own));
    let homed = homes.iter().filter(|(_, vm)| **vm == own);
    for (id, _) in homed {
        node.credits.home_since.entry(*id).or_insert(now);
    }
}

/// Picks the entry with the highest hash of entry and server.
fn rendezvous(server: ServerId, live: &[VmId]) -> VmId {
    let score = |vm: &VmId| {
        let mixed = (u64::from(vm.0) << 32) | u64::from(server.0);
        mix(mixed)
    };
    let best = live.iter().max_by_key(|vm| score(vm));
    *best.expect("a node counts itself as live")
}

/// Scrambles 64 bits (the finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighs demand anew when it is time.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.credits.next_grant {
        return;
    }
    node.credits.next_grant = cx.now.after(GRANT_EVERY);
    smooth_own(&mut node.credits);
    refresh_homes(node, cx.now);
    grant_shares(node, cx.now);
}

fn smooth_own(credits: &mut Credits) {
    credits.smooth.resize(credits.weight.len(), 0);
    for (smooth, weight) in credits.smooth.iter_mut().zip(&credits.weight) {
        *smooth = smoothed(*smooth, (weight * WHOLE as f64) as u64);
    }
}

fn grant_shares(node: &mut Node, now: Instant) {
    let own = node.cfg.vm;
    let live = node.membership.live_vms();
    let keys: Vec<ServerKey> = node.servers.arena.keys().collect();
    node.credits.grants.clear();
    for key in keys {
        let server = node.servers.arena[key].id;
        if node.credits.homes.get(&server) != Some(&own) {
            continue;
        }
        let pool = long_home::short_pool_per_mille(node, now, key);
        let demand: Vec<u64> = live.iter().map(|vm| demand_of(node, *vm, key)).collect();
        for (vm, share) in live.iter().zip(shares(&demand)) {
            let share = ServerShare {
                server,
                per_mille: share as u16,
                pool_per_mille: pool as u16,
            };
            if *vm == own {
                let until = now.after(SHARE_LIFE);
                node.servers.arena[key].grant = Some((share, until));
                continue;
            }
            node.credits.grants.entry(*vm).or_default().push(share);
        }
    }
    node.schedule.capacity_changed();
}

/// Returns an entry's demand for a server: that for all it serves.
fn demand_of(node: &Node, vm: VmId, key: ServerKey) -> u64 {
    let groups = node.servers.arena[key].loaded.iter().map(|l| l.group);
    if vm == node.cfg.vm {
        let weight = |g: GroupKey| node.credits.smooth.get(g.index()).copied();
        return groups.filter_map(weight).sum();
    }
    let hashes = groups.map(|g| node.catalog.group_hash(g));
    hashes.map(|hash| node.membership.demand(vm, hash)).sum()
}

/// Splits a server by demand, in thousandths. Each entry has a small floor, so
/// that its next request need not wait for a grant.
fn shares(demand: &[u64]) -> Vec<u64> {
    let n = demand.len() as u64;
    let total: u64 = demand.iter().sum();
    if total == 0 {
        return vec![WHOLE / n; demand.len()];
    }
    let floor = FLOORS / n;
    let rest = WHOLE - floor * n;
    demand.iter().map(|d| floor + rest * d / total).collect()
}

/// Takes the shares due to a peer.
pub(crate) fn take_grants(node: &mut Node, vm: VmId) -> Vec<ServerShare> {
    node.credits.grants.get(&vm).cloned().unwrap_or_default()
}

/// Takes in shares that a home granted.
pub(crate) fn on_shares(node: &mut Node, now: Instant, from: VmId, shares: &[ServerShare]) {
    refresh_homes(node, now);
    for share in shares {
        if node.credits.homes.get(&share.server) != Some(&from) {
            continue;
        }
        let share = ServerShare {
            per_mille: share.per_mille.min(WHOLE as u16),
            pool_per_mille: share.pool_per_mille.min(WHOLE as u16),
            ..*share
        };
        if let Some(server) = node.servers.by_id(share.server) {
            server.grant = Some((share, now.after(SHARE_LIFE)));
        }
    }
    node.schedule.capacity_changed();
}

/// Returns this node's share of a server's time, in thousandths.
pub(crate) fn share_of(node: &Node, now: Instant, key: ServerKey) -> u64 {
    match granted(node, now, key) {
        Some(share) => u64::from(share.per_mille),
        None => WHOLE / node.membership.live_count() as u64,
    }
}

/// Returns this node's share of a server's memory, in thousandths.
pub(crate) fn memory_share_of(node: &Node, now: Instant, key: ServerKey) -> u64 {
    let pool = granted(node, now, key).map_or(WHOLE, |share| u64::from(share.pool_per_mille));
    share_of(node, now, key) * pool / WHOLE
}

fn granted(node: &Node, now: Instant, key: ServerKey) -> Option<ServerShare> {
    let (share, until) = node.servers.arena[key].grant?;
    (now < until).then_some(share)
}

/// Returns this node's shares of a group's open servers, summed: 1.0 is a
/// whole server.
pub(crate) fn shares_of_group(node: &mut Node, now: Instant, group: GroupKey) -> f64 {
    let keys = node.servers.of_group(group).to_vec();
    let mut sum = 0;
    for key in keys {
        if node.servers.arena[key].is_open(now) {
            sum += share_of(node, now, key);
        }
    }
    sum as f64 / WHOLE as f64
}
