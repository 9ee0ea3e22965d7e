//! Membership without consensus: the VM list (late) says who may exist,
//! heartbeats (late, lost, crossing) say who answers. A silent peer is first
//! suspected, and counts as dead only when the others have not heard it
//! either. All of this is soft state: a wrong view costs speed, never a
//! promise.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use notchwalk_core::{BootNumber, Instant, LogEventKind, ServerId, VmId};
use notchwalk_wire::{Heard, Heartbeat, PeerMessage, ServedCost};

use crate::{
    catalog::WorkspaceSlot,
    config::NodeConfig,
    credit,
    effect::Effect,
    event::PeerRecord,
    long_home, long_work,
    node::{Cx, Node},
    schedule, suspects,
};

/// How often each peer is sent a heartbeat.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
/// Silence after which a peer is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_600);
/// Silence towards all after which a peer counts as dead.
const DEAD_AFTER: Duration = Duration::from_millis(3_000);
/// Workspaces whose served cost is told to peers.
const MAX_SERVED: usize = 32;
/// Peers that are sent heartbeats; with more entries, a bounded choice.
const MAX_PEERS: usize = 8;
/// How often the scan for silent peers runs.
const SCAN_EVERY: Duration = Duration::from_millis(100);

/// How a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// Listed, but never heard.
    Unheard,
    /// Heard lately.
    Alive,
    /// Silent towards this node.
    Suspect,
    /// Silent towards all.
    Dead,
}

/// A peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// What the VM list says; `None` if it doesn't name the peer (yet).
    pub record: Option<PeerRecord>,
    /// The latest boot heard of.
    pub boot: Option<BootNumber>,
    seq: u64,
    /// When this node last heard it.
    pub heard: Option<Instant>,
    /// When anybody last heard it.
    pub heard_by_any: Option<Instant>,
    /// How it stands.
    pub state: PeerState,
    /// It drains.
    pub leaving: bool,
    /// The bundle in force there.
    pub bundle_version: u64,
    demand: HashMap<u64, u64>,
    served: HashMap<u64, u64>,
}

impl Peer {
    fn new(record: Option<PeerRecord>) -> Self {
        Self {
            record,
            boot: None,
            seq: 0,
            heard: None,
            heard_by_any: None,
            state: PeerState::Unheard,
            leaving: false,
            bundle_version: 0,
            demand: HashMap::new(),
            served: HashMap::new(),
        }
    }

    fn counts_as_live(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect) && !self.leaving
    }
}

/// An entry callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEntry {
    /// Where callers connect.
    pub caller_address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// What a node knows of the other entries.
#[derive(Debug)]
pub(crate) struct Membership {
    own: VmId,
    own_leaving: bool,
    own_record: Option<PeerRecord>,
    peers: BTreeMap<VmId, Peer>,
    seq: u64,
    next_heartbeat: Instant,
    next_scan: Instant,
    rotation: usize,
    /// Workspaces whose served cost changed since the last heartbeat.
    pub served_since: BTreeSet<WorkspaceSlot>,
    /// Counts changes of the set of live entries.
    pub epoch: u64,
}

impl Membership {
    /// Builds the view of a node that knows no peers.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            own: cfg.vm,
            own_leaving: false,
            own_record: None,
            peers: BTreeMap::new(),
            seq: 0,
            next_heartbeat: Instant::ZERO,
            next_scan: Instant::ZERO,
            served_since: BTreeSet::new(),
            rotation: cfg.seed as usize % 997,
            epoch: 1,
        }
    }

    /// Returns all entries that count as live, this node among them.
    pub fn live_vms(&self) -> Vec<VmId> {
        let peers = self.peers.iter().filter(|(_, p)| p.counts_as_live());
        let mut live: Vec<_> = peers.map(|(vm, _)| *vm).collect();
        live.push(self.own);
        live.sort_unstable();
        live
    }

    /// Returns how many entries count as live.
    pub fn live_count(&self) -> usize {
        1 + self.peers.values().filter(|p| p.counts_as_live()).count()
    }

    /// Returns the live peer with the newest bundle.
    pub fn newest_bundle(&self) -> Option<(VmId, u64)> {
        let live = self
            .peers
            .iter()
            .filter(|(_, p)| p.state == PeerState::Alive);
        let newest = live.max_by_key(|(_, p)| p.bundle_version);
        newest.map(|(vm, p)| (*vm, p.bundle_version))
    }

    /// Tells whether any peer is known.
    pub fn has_peers(&self) -> bool {
        self.peers.values().any(Peer::counts_as_live)
    }

    /// Returns a peer's reported demand for a group.
    pub fn demand(&self, vm: VmId, group_hash: u64) -> u64 {
        let peer = self.peers.get(&vm);
        peer.and_then(|p| p.demand.get(&group_hash))
            .copied()
            .unwrap_or(0)
    }

    /// Tells whether a boot of a VM may still be alive: only a later boot, or
    /// the VM's absence from both list and heartbeats, proves the contrary.
    pub fn may_live(&self, vm: VmId, boot: BootNumber) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        if peer.boot.is_some_and(|known| known > boot) {
            return false;
        }
        peer.record.is_some() || peer.state != PeerState::Dead
    }

    /// Tells whether a boot of a VM has been silent towards all since before
    /// `longest_pause` ago.
    pub fn silent_for(&self, now: Instant, vm: VmId, longest_pause: Duration) -> bool {
        let heard = self.peers.get(&vm).and_then(|p| p.heard_by_any);
        heard.is_some_and(|at| now.since(at) > longest_pause)
    }

    /// Returns the peers, for dumps.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.peers.iter()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        self.own_leaving = true;
        self.next_heartbeat = Instant::ZERO;
    }

    /// Chooses the peers that get heartbeats: all, or with many entries the
    /// next ones on a ring of ids, which gives each the same number.
    pub(crate) fn receivers(&self) -> Vec<VmId> {
        let listed = |p: &Peer| p.record.is_some() || p.counts_as_live();
        let all = self
            .peers
            .iter()
            .filter(|(_, p)| listed(p))
            .map(|(vm, _)| *vm);
        let all: Vec<_> = all.collect();
        if all.len() <= MAX_PEERS {
            return all;
        }
        let start = all.partition_point(|vm| *vm < self.own);
        let ring = (0..all.len()).map(|i| all[(start + i) % all.len()]);
        ring.take(MAX_PEERS).collect()
    }
}

/// Takes in the VM list's entries.
pub(crate) fn on_vm_list(node: &mut Node, _cx: &mut Cx<'_>, entries: Vec<PeerRecord>) {
    let own = node.cfg.vm;
    for peer in node.membership.peers.values_mut() {
        peer.record = None;
    }
    for record in entries {
        if record.vm == own {
            node.membership.own_record = Some(record);
            continue;
        }
        let leaving = record.leaving;
        let peer = node.membership.peers.entry(record.vm);
        let peer = peer.or_insert_with(|| Peer::new(None));
        peer.record = Some(record);
        if leaving && !peer.leaving {
            peer.leaving = true;
            node.membership.epoch += 1;
        }
    }
    let forgotten = |p: &Peer| p.record.is_none() && !p.counts_as_live();
    let before = node.membership.peers.len();
    node.membership.peers.retain(|_, p| !forgotten(p));
    if node.membership.peers.len() != before {
        node.membership.epoch += 1;
    }
}

/// Takes in a peer's message.
pub(crate) fn on_message(node: &mut Node, cx: &mut Cx<'_>, from: VmId, message: PeerMessage) {
    if from == node.cfg.vm {
        return;
    }
    match message {
        PeerMessage::Heartbeat(heartbeat) if heartbeat.vm == from => {
            on_heartbeat(node, cx, heartbeat);
        }
        PeerMessage::Heartbeat(_) => {}
        PeerMessage::LongRequest(request) => long_home::on_request(node, cx, from, request),
        PeerMessage::LongReply(reply) => long_work::on_reply(node, cx, reply),
        PeerMessage::Suspects(news) => node.quarantine.apply_updates(from.0, &news, cx.now),
        // The driver moves bundles; the reducer only ever sees a checked one.
        PeerMessage::BundleAsk(_) | PeerMessage::BundleOffer(_) => {}
    }
}

fn on_heartbeat(node: &mut Node, cx: &mut Cx<'_>, heartbeat: Heartbeat) {
    let from = heartbeat.vm;
    let peer = node
        .membership
        .peers
        .entry(from)
        .or_insert_with(|| Peer::new(None));
    let newest = (peer.boot, peer.seq);
    if (Some(heartbeat.boot), heartbeat.seq) <= newest {
        return;
    }
    if peer.boot != Some(heartbeat.boot) {
        peer.served.clear();
    }
    let was_live = peer.counts_as_live();
    let revived = peer.state != PeerState::Alive;
    peer.boot = Some(heartbeat.boot);
    peer.seq = heartbeat.seq;
    peer.heard = Some(cx.now);
    peer.heard_by_any = Some(cx.now);
    peer.state = PeerState::Alive;
    peer.leaving = heartbeat.leaving;
    peer.bundle_version = heartbeat.bundle_version;
    take_in_demand(peer, &heartbeat.demand);
    if peer.counts_as_live() != was_live {
        node.membership.epoch += 1;
    }
    if revived {
        let facts = format!("vm={} boot={}", from.0, heartbeat.boot.0);
        cx.log(LogEventKind::PeerAlive, facts);
    }
    take_in_heard(node, cx.now, from, &heartbeat.heard);
    take_in_served(node, from, &heartbeat.served);
    credit::on_shares(node, cx.now, from, &heartbeat.shares);
    long_home::on_peer_holds(node, cx.now, &heartbeat.long_holds);
    for server in &heartbeat.leaving_servers {
        if let Some(key) = node.servers.key(*server) {
            schedule::mark_leaving(node, cx, key);
        }
    }
}

fn take_in_demand(peer: &mut Peer, demand: &[(u64, u64)]) {
    let before = std::mem::take(&mut peer.demand);
    peer.demand = demand.iter().copied().collect();
    for (group, old) in before {
        let kept = credit::smoothed(old, 0);
        if kept == 0 {
            continue;
        }
        let now = peer.demand.entry(group).or_default();
        *now = (*now).max(kept);
    }
}

/// Learns when others last heard their peers.
fn take_in_heard(node: &mut Node, now: Instant, from: VmId, heard: &[Heard]) {
    for told in heard {
        if told.vm == from {
            continue;
        }
        let Some(peer) = node.membership.peers.get_mut(&told.vm) else {
            continue;
        };
        if peer.boot > Some(told.boot) {
            continue;
        }
        let at = now.before(Duration::from_millis(told.age_ms));
        peer.heard_by_any = peer.heard_by_any.max(Some(at));
    }
}

/// Counts what peers served for workspaces into their virtual time here.
fn take_in_served(node: &mut Node, from: VmId, served: &[ServedCost]) {
    for cost in served {
        let Some(slot) = node.catalog.workspace_hashed(cost.workspace) else {
            continue;
        };
        let Some(peer) = node.membership.peers.get_mut(&from) else {
            return;
        };
        let before = peer.served.insert(cost.workspace, cost.cost_us);
        let Some(before) = before else { continue };
        let change = cost.cost_us as i64 - before as i64;
        let weight = node.catalog.workspace(slot).weight;
        node.queue.charge(slot, change, weight);
    }
}

/// Sends heartbeats and looks for silent peers when it is time.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now >= node.membership.next_scan {
        node.membership.next_scan = cx.now.after(SCAN_EVERY);
        scan(node, cx);
    }
    if cx.now >= node.membership.next_heartbeat {
        node.membership.next_heartbeat = cx.now.after(HEARTBEAT_EVERY);
        send_heartbeats(node, cx);
        suspects::on_heartbeat(node, cx);
    }
}

fn scan(node: &mut Node, cx: &mut Cx<'_>) {
    let now = cx.now;
    let mut changed = false;
    for (vm, peer) in &mut node.membership.peers {
        let silence = peer.heard.map_or(Duration::MAX, |at| now.since(at));
        let silence_to_all = peer.heard_by_any.map_or(Duration::MAX, |at| now.since(at));
        let state = match peer.state {
            PeerState::Unheard => continue,
            PeerState::Dead => continue,
            _ if silence < SUSPECT_AFTER => PeerState::Alive,
            _ if silence_to_all < DEAD_AFTER => PeerState::Suspect,
            _ => PeerState::Dead,
        };
        if state == peer.state {
            continue;
        }
        peer.state = state;
        let facts = format!("vm={}", vm.0);
        match state {
            PeerState::Suspect => cx.log(LogEventKind::PeerSuspect, facts),
            PeerState::Dead => {
                peer.demand.clear();
                changed = true;
                cx.log(LogEventKind::PeerDead, facts);
            }
            _ => {}
        }
    }
    if changed {
        node.membership.epoch += 1;
    }
}

fn send_heartbeats(node: &mut Node, cx: &mut Cx<'_>) {
    node.membership.seq += 1;
    let heard = heard_list(node, cx.now);
    let served = heaviest(node);
    let demand = credit::own_demand(node);
    let long_holds = long_work::own_holds(node);
    let leaving_servers = leaving_servers(node);
    for vm in node.membership.receivers() {
        let heartbeat = Heartbeat {
            vm: node.cfg.vm,
            boot: node.cfg.boot,
            seq: node.membership.seq,
            leaving: node.membership.own_leaving,
            bundle_version: node.bundle_version(),
            heard: heard.clone(),
            demand: demand.clone(),
            shares: credit::take_grants(node, vm),
            served: served.clone(),
            leaving_servers: leaving_servers.clone(),
            long_holds: long_holds.clone(),
        };
        let message = Box::new(PeerMessage::Heartbeat(heartbeat));
        cx.emit(Effect::Peer { to: vm, message });
    }
}

fn heard_list(node: &Node, now: Instant) -> Vec<Heard> {
    let mut list = Vec::new();
    for (vm, peer) in &node.membership.peers {
        let (Some(boot), Some(at)) = (peer.boot, peer.heard) else {
            continue;
        };
        let age_ms = now.since(at).as_millis() as u64;
        if age_ms > DEAD_AFTER.as_millis() as u64 || list.len() >= MAX_PEERS {
            continue;
        }
        list.push(Heard {
            vm: *vm,
            boot,
            age_ms,
        });
    }
    list
}

/// Of the workspaces served since the last heartbeat, those with the most
/// cost; a bounded list, and no scan of all workspaces.
fn heaviest(node: &mut Node) -> Vec<ServedCost> {
    let told = std::mem::take(&mut node.membership.served_since);
    let state = |slot: &WorkspaceSlot| &node.catalog.workspaces[slot.index()];
    let mut heaviest: Vec<_> = told.into_iter().collect();
    if heaviest.len() > MAX_SERVED {
        heaviest.select_nth_unstable_by_key(MAX_SERVED, |s| Reverse(state(s).served_us));
        heaviest.truncate(MAX_SERVED);
    }
    let costs = heaviest.iter().map(|slot| ServedCost {
        workspace: crate::catalog::name_hash(&state(slot).name),
        cost_us: state(slot).served_us,
    });
    costs.collect()
}

fn leaving_servers(node: &Node) -> Vec<ServerId> {
    let servers = node.servers.arena.values();
    servers
        .filter(|s| s.leaving && !s.gone)
        .map(|s| s.id)
        .collect()
}

/// Returns the entries callers should use: those of this failure domain
/// first, each part turned on with every answer, so that load spreads.
pub(crate) fn live_entries(node: &mut Node) -> Vec<LiveEntry> {
    let view = &mut node.membership;
    view.rotation = view.rotation.wrapping_add(1);
    let usable = |p: &&Peer| p.state == PeerState::Alive && !p.leaving;
    let peers = view
        .peers
        .values()
        .filter(usable)
        .filter_map(|p| p.record.as_ref());
    let own = view.own_record.as_ref().filter(|_| !view.own_leaving);
    let all: Vec<&PeerRecord> = own.into_iter().chain(peers).collect();
    let near = |r: &&&PeerRecord| r.failure_domain == node.cfg.failure_domain;
    let mut first: Vec<_> = all.iter().filter(near).copied().collect();
    let mut rest: Vec<_> = all.iter().filter(|r| !near(r)).copied().collect();
    for part in [&mut first, &mut rest] {
        if !part.is_empty() {
            let turn = view.rotation % part.len();
            part.rotate_left(turn);
        }
    }
    let ordered = first.into_iter().chain(rest);
    let entries = ordered.map(|record| LiveEntry {
        caller_address: record.caller_address.clone(),
        failure_domain: record.failure_domain.clone(),
    });
    entries.collect()
}
