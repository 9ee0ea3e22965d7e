//! Credits: the share of each server that this node may use without
//! coordination.
//!
//! Each server has a home among the live nodes, chosen by rendezvous hashing.
//! The home grants each node a share by reported demand, which is sent with its
//! heartbeats and expires by itself. Without a grant a node falls back to an
//! equal share.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::{Instant, ServerId, VmId};
use notchwalk_wire::ServerShare;

use crate::{
    catalog::{GroupKey, WorkspaceSlot},
    long_home,
    node::{Cx, Node},
    server::ServerKey,
};

/// Interval between grants.
const GRANT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a granted share is valid.
const SHARE_TTL: Duration = Duration::from_secs(3);
/// All of a server's time or memory, in thousandths.
const WHOLE_PER_MILLE: u64 = 1_000;
/// Sum of the minimum shares of all nodes, in thousandths of a server.
const TOTAL_FLOOR_PER_MILLE: u64 = 120;

/// Shares, and the demand they are computed from.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    /// Open requests by workspace and group.
    open_requests: HashMap<(WorkspaceSlot, GroupKey), u32>,
    /// The summed weight of the workspaces with open requests, by group.
    weight: Vec<f64>,
    /// The same in thousandths, with a slow decay; this is the reported demand.
    smoothed_weight: Vec<u64>,
    next_grant: Instant,
    homes: HashMap<ServerId, VmId>,
    homes_epoch: (u64, u64),
    /// Since when this node is the home of a server.
    home_since: HashMap<ServerId, Instant>,
    /// The shares to send to each peer.
    grants: HashMap<VmId, Vec<ServerShare>>,
}

/// Counts a new request of a workspace in a group.
pub(crate) fn add_request(node: &mut Node, slot: WorkspaceSlot, group: GroupKey) {
    let count = node.credits.open_requests.entry((slot, group)).or_default();
    *count += 1;
    if *count == 1 {
        let weight = node.catalog.workspace(slot).weight;
        add_weight(node, group, weight);
    }
}

/// Removes a request of a workspace in a group from the count.
pub(crate) fn remove_request(node: &mut Node, slot: WorkspaceSlot, group: GroupKey) {
    let Some(count) = node.credits.open_requests.get_mut(&(slot, group)) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        node.credits.open_requests.remove(&(slot, group));
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

/// Recomputes the demand after weights may have changed.
pub(crate) fn recount_demand(node: &mut Node) {
    node.credits.weight.clear();
    let keys: Vec<_> = node.credits.open_requests.keys().copied().collect();
    for (slot, group) in keys {
        let weight = node.catalog.workspace(slot).weight;
        add_weight(node, group, weight);
    }
}

/// Returns the demand with a slow decay, so that a node that is idle for a
/// moment retains its share.
pub(crate) fn decay_demand(before: u64, now: u64) -> u64 {
    const RETAINED_PERCENT: u64 = 70;
    now.max(before * RETAINED_PERCENT / 100)
}

/// Returns this node's demand by hash of the group's name, for heartbeats.
pub(crate) fn own_demand(node: &Node) -> Vec<(u64, u64)> {
    let weights = node.credits.smoothed_weight.iter().enumerate();
    let nonzero = weights.filter(|(_, weight)| **weight > 0);
    let hashed = nonzero.map(|(i, weight)| {
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

/// Returns since when this node is the home of a server, if it is.
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
    let own_servers = homes.iter().filter(|(_, vm)| **vm == own);
    for (id, _) in own_servers {
        node.credits.home_since.entry(*id).or_insert(now);
    }
}

/// Returns the node with the highest hash of node and server.
fn rendezvous(server: ServerId, live: &[VmId]) -> VmId {
    let score = |vm: &VmId| {
        let input = (u64::from(vm.0) << 32) | u64::from(server.0);
        splitmix64_finalize(input)
    };
    let best = live.iter().max_by_key(|vm| score(vm));
    *best.expect("the live nodes include this one")
}

/// The finalizer of SplitMix64.
fn splitmix64_finalize(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Recomputes demand and grants when due.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.credits.next_grant {
        return;
    }
    node.credits.next_grant = cx.now.after(GRANT_INTERVAL);
    update_smoothed_weight(&mut node.credits);
    refresh_homes(node, cx.now);
    grant_shares(node, cx.now);
}

fn update_smoothed_weight(credits: &mut Credits) {
    credits.smoothed_weight.resize(credits.weight.len(), 0);
    for (smoothed_weight, weight) in credits.smoothed_weight.iter_mut().zip(&credits.weight) {
        *smoothed_weight = decay_demand(*smoothed_weight, (weight * WHOLE_PER_MILLE as f64) as u64);
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
                let until = now.after(SHARE_TTL);
                node.servers.arena[key].grant = Some((share, until));
                continue;
            }
            node.credits.grants.entry(*vm).or_default().push(share);
        }
    }
    node.schedule.capacity_changed();
}

/// Returns a node's demand for all groups that a server serves.
fn demand_of(node: &Node, vm: VmId, key: ServerKey) -> u64 {
    let groups = node.servers.arena[key].loaded.iter().map(|l| l.group);
    if vm == node.cfg.vm {
        let weight = |g: GroupKey| node.credits.smoothed_weight.get(g.index()).copied();
        return groups.filter_map(weight).sum();
    }
    let hashes = groups.map(|g| node.catalog.group_hash(g));
    hashes.map(|hash| node.membership.demand(vm, hash)).sum()
}

/// Splits a server by demand, in thousandths. Each node has a minimum share, so
/// that its next request need not wait for a grant.
fn shares(demand: &[u64]) -> Vec<u64> {
    let n = demand.len() as u64;
    let total: u64 = demand.iter().sum();
    if total == 0 {
        return vec![WHOLE_PER_MILLE / n; demand.len()];
    }
    let floor = TOTAL_FLOOR_PER_MILLE / n;
    let remaining = WHOLE_PER_MILLE - floor * n;
    demand
        .iter()
        .map(|d| floor + remaining * d / total)
        .collect()
}

/// Returns the shares to send to a peer.
pub(crate) fn grants_for(node: &mut Node, vm: VmId) -> Vec<ServerShare> {
    node.credits.grants.get(&vm).cloned().unwrap_or_default()
}

/// Applies the shares that a home granted.
pub(crate) fn on_shares(node: &mut Node, now: Instant, from: VmId, shares: &[ServerShare]) {
    refresh_homes(node, now);
    for share in shares {
        if node.credits.homes.get(&share.server) != Some(&from) {
            continue;
        }
        let share = ServerShare {
            per_mille: share.per_mille.min(WHOLE_PER_MILLE as u16),
            pool_per_mille: share.pool_per_mille.min(WHOLE_PER_MILLE as u16),
            ..*share
        };
        if let Some(server) = node.servers.by_id(share.server) {
            server.grant = Some((share, now.after(SHARE_TTL)));
        }
    }
    node.schedule.capacity_changed();
}

/// Returns this node's share of a server's time, in thousandths.
pub(crate) fn share_of(node: &Node, now: Instant, key: ServerKey) -> u64 {
    match current_grant(node, now, key) {
        Some(share) => u64::from(share.per_mille),
        None => WHOLE_PER_MILLE / node.membership.live_count() as u64,
    }
}

/// Returns this node's share of a server's memory, in thousandths.
pub(crate) fn memory_share_of(node: &Node, now: Instant, key: ServerKey) -> u64 {
    let pool = current_grant(node, now, key)
        .map_or(WHOLE_PER_MILLE, |share| u64::from(share.pool_per_mille));
    share_of(node, now, key) * pool / WHOLE_PER_MILLE
}

fn current_grant(node: &Node, now: Instant, key: ServerKey) -> Option<ServerShare> {
    let (share, until) = node.servers.arena[key].grant?;
    (now < until).then_some(share)
}

/// Returns the sum of this node's shares of a group's available servers; 1.0 is
/// one whole server.
pub(crate) fn shares_of_group(node: &mut Node, now: Instant, group: GroupKey) -> f64 {
    let keys = node.servers.of_group(group).to_vec();
    let mut sum = 0;
    for key in keys {
        if node.servers.arena[key].accepts_work(now) {
            sum += share_of(node, now, key);
        }
    }
    sum as f64 / WHOLE_PER_MILLE as f64
}
