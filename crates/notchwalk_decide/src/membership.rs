//! Membership without consensus. The VM list, which may be late, names the
//! nodes that may exist; heartbeats, which may be late, lost or reordered, show
//! which are alive. A silent peer is first suspected, and declared dead only
//! when no other node received its heartbeats either. All of this is soft state: a
//! wrong view costs latency, not correctness.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use notchwalk_core::{BootNumber, Instant, LogEventKind, ServerId, VmId};
use notchwalk_wire::{Heartbeat, PeerContact, PeerMessage, ServedCost};

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

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a peer is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Silence towards all nodes after which a peer is declared dead.
const DEAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum number of workspaces whose served cost is in a heartbeat.
const MAX_SERVED_WORKSPACES: usize = 32;
/// Maximum number of peers that get heartbeats from one node.
const MAX_HEARTBEAT_PEERS: usize = 8;
/// Interval between scans for silent peers.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// The liveness state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// Listed, but no heartbeat arrived yet.
    Unheard,
    /// Heartbeats arrive.
    Alive,
    /// Silent towards this node.
    Suspect,
    /// Silent towards all nodes.
    Dead,
}

/// The state of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The record in the VM list; `None` if the peer is not listed.
    pub record: Option<PeerRecord>,
    /// The latest boot seen.
    pub boot: Option<BootNumber>,
    seq: u64,
    /// When this node last got a heartbeat from it.
    pub last_seen: Option<Instant>,
    /// When any node last got a heartbeat from it.
    pub last_seen_by_any: Option<Instant>,
    pub state: PeerState,
    pub draining: bool,
    /// The version of its active bundle.
    pub bundle_version: u64,
    /// Demand by hash of the group's name.
    demand: HashMap<u64, u64>,
    /// Cost served, in microseconds, by hash of the workspace's name.
    served: HashMap<u64, u64>,
}

impl Peer {
    fn new(record: Option<PeerRecord>) -> Self {
        Self {
            record,
            boot: None,
            seq: 0,
            last_seen: None,
            last_seen_by_any: None,
            state: PeerState::Unheard,
            draining: false,
            bundle_version: 0,
            demand: HashMap::new(),
            served: HashMap::new(),
        }
    }

    fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect) && !self.draining
    }
}

/// A node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveNode {
    /// Where callers connect.
    pub caller_address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// A node's view of its peers.
#[derive(Debug)]
pub(crate) struct Membership {
    own: VmId,
    own_draining: bool,
    own_record: Option<PeerRecord>,
    peers: BTreeMap<VmId, Peer>,
    seq: u64,
    next_heartbeat: Instant,
    next_scan: Instant,
    rotation: usize,
    /// Workspaces whose served cost changed since the last heartbeat.
    pub served_since_heartbeat: BTreeSet<WorkspaceSlot>,
    /// Counts changes of the set of live nodes.
    pub epoch: u64,
}

impl Membership {
    /// Builds a view without peers.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            own: cfg.vm,
            own_draining: false,
            own_record: None,
            peers: BTreeMap::new(),
            seq: 0,
            next_heartbeat: Instant::ZERO,
            next_scan: Instant::ZERO,
            served_since_heartbeat: BTreeSet::new(),
            rotation: cfg.seed as usize % 997,
            epoch: 1,
        }
    }

    /// Returns all live nodes, including this one.
    pub fn live_vms(&self) -> Vec<VmId> {
        let peers = self.peers.iter().filter(|(_, p)| p.is_live());
        let mut live: Vec<_> = peers.map(|(vm, _)| *vm).collect();
        live.push(self.own);
        live.sort_unstable();
        live
    }

    /// Returns the number of live nodes, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.peers.values().filter(|p| p.is_live()).count()
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

    /// Returns whether any peer is live.
    pub fn has_peers(&self) -> bool {
        self.peers.values().any(Peer::is_live)
    }

    /// Returns a peer's reported demand for a group.
    pub fn demand(&self, vm: VmId, group_hash: u64) -> u64 {
        let peer = self.peers.get(&vm);
        peer.and_then(|p| p.demand.get(&group_hash))
            .copied()
            .unwrap_or(0)
    }

    /// Returns whether a boot of a VM may still be alive. Only a later boot, or
    /// a VM that is neither listed nor sends heartbeats, rules this out.
    pub fn may_be_alive(&self, vm: VmId, boot: BootNumber) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        if peer.boot.is_some_and(|known| known > boot) {
            return false;
        }
        peer.record.is_some() || peer.state != PeerState::Dead
    }

    /// Returns whether a VM has been silent towards all nodes for more than
    /// `max_owner_silence`.
    pub fn is_silent_longer_than(
        &self,
        now: Instant,
        vm: VmId,
        max_owner_silence: Duration,
    ) -> bool {
        let last_seen = self.peers.get(&vm).and_then(|p| p.last_seen_by_any);
        last_seen.is_some_and(|at| now.since(at) > max_owner_silence)
    }

    /// Returns the peers, for dumps.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.peers.iter()
    }

    /// Marks this node as draining.
    pub fn start_draining(&mut self) {
        self.own_draining = true;
        self.next_heartbeat = Instant::ZERO;
    }

    /// Returns the peers that get heartbeats: all, or in a large fleet the next
    /// ones on a ring of ids, so that each node gets the same number.
    pub(crate) fn heartbeat_targets(&self) -> Vec<VmId> {
        let listed = |p: &Peer| p.record.is_some() || p.is_live();
        let all = self
            .peers
            .iter()
            .filter(|(_, p)| listed(p))
            .map(|(vm, _)| *vm);
        let all: Vec<_> = all.collect();
        if all.len() <= MAX_HEARTBEAT_PEERS {
            return all;
        }
        let start = all.partition_point(|vm| *vm < self.own);
        let ring = (0..all.len()).map(|i| all[(start + i) % all.len()]);
        ring.take(MAX_HEARTBEAT_PEERS).collect()
    }
}

/// Applies the VM list's nodes.
pub(crate) fn on_vm_list(node: &mut Node, _cx: &mut Cx<'_>, nodes: Vec<PeerRecord>) {
    let own = node.cfg.vm;
    for peer in node.membership.peers.values_mut() {
        peer.record = None;
    }
    for record in nodes {
        if record.vm == own {
            node.membership.own_record = Some(record);
            continue;
        }
        let draining = record.draining;
        let peer = node.membership.peers.entry(record.vm);
        let peer = peer.or_insert_with(|| Peer::new(None));
        peer.record = Some(record);
        if draining && !peer.draining {
            peer.draining = true;
            node.membership.epoch += 1;
        }
    }
    let is_obsolete = |p: &Peer| p.record.is_none() && !p.is_live();
    let before = node.membership.peers.len();
    node.membership.peers.retain(|_, p| !is_obsolete(p));
    if node.membership.peers.len() != before {
        node.membership.epoch += 1;
    }
}

/// Handles a peer's message.
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
        PeerMessage::Suspects(updates) => node.quarantine.apply_updates(from.0, &updates, cx.now),
        // The driver exchanges bundles and forwards only valid ones.
        PeerMessage::BundleRequest(_) | PeerMessage::BundleResponse(_) => {}
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
    let was_live = peer.is_live();
    let became_alive = peer.state != PeerState::Alive;
    peer.boot = Some(heartbeat.boot);
    peer.seq = heartbeat.seq;
    peer.last_seen = Some(cx.now);
    peer.last_seen_by_any = Some(cx.now);
    peer.state = PeerState::Alive;
    peer.draining = heartbeat.draining;
    peer.bundle_version = heartbeat.bundle_version;
    apply_demand(peer, &heartbeat.demand);
    if peer.is_live() != was_live {
        node.membership.epoch += 1;
    }
    if became_alive {
        let facts = format!("vm={} boot={}", from.0, heartbeat.boot.0);
        cx.log(LogEventKind::PeerReachable, facts);
    }
    apply_peer_contacts(node, cx.now, from, &heartbeat.peer_contacts);
    apply_served(node, from, &heartbeat.served);
    credit::on_shares(node, cx.now, from, &heartbeat.shares);
    long_home::on_peer_reservations(node, cx.now, &heartbeat.long_reservations);
    for server in &heartbeat.draining_servers {
        if let Some(key) = node.servers.key_of(*server) {
            schedule::mark_draining(node, cx, key);
        }
    }
}

fn apply_demand(peer: &mut Peer, demand: &[(u64, u64)]) {
    let before = std::mem::take(&mut peer.demand);
    peer.demand = demand.iter().copied().collect();
    for (group, old) in before {
        let decayed = credit::decay_demand(old, 0);
        if decayed == 0 {
            continue;
        }
        let now = peer.demand.entry(group).or_default();
        *now = (*now).max(decayed);
    }
}

/// Records when another node last received heartbeats from its peers.
fn apply_peer_contacts(node: &mut Node, now: Instant, from: VmId, peer_contacts: &[PeerContact]) {
    for report in peer_contacts {
        if report.vm == from {
            continue;
        }
        let Some(peer) = node.membership.peers.get_mut(&report.vm) else {
            continue;
        };
        if peer.boot > Some(report.boot) {
            continue;
        }
        let at = now.before(Duration::from_millis(report.age_ms));
        peer.last_seen_by_any = peer.last_seen_by_any.max(Some(at));
    }
}

/// Charges each reported workspace, in this node's queue, with the change of the cost that the
/// peer `from` served for it since the peer's previous report of that workspace. The first
/// report of a workspace by a boot of the peer is only recorded, not charged.
fn apply_served(node: &mut Node, from: VmId, served: &[ServedCost]) {
    for cost in served {
        let Some(slot) = node.catalog.workspace_by_hash(cost.workspace) else {
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

/// Sends heartbeats and scans for silent peers when due.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now >= node.membership.next_scan {
        node.membership.next_scan = cx.now.after(SCAN_INTERVAL);
        update_peer_states(node, cx);
    }
    if cx.now >= node.membership.next_heartbeat {
        node.membership.next_heartbeat = cx.now.after(HEARTBEAT_INTERVAL);
        send_heartbeats(node, cx);
        suspects::on_heartbeat(node, cx);
    }
}

fn update_peer_states(node: &mut Node, cx: &mut Cx<'_>) {
    let now = cx.now;
    let mut changed = false;
    for (vm, peer) in &mut node.membership.peers {
        let silence = peer.last_seen.map_or(Duration::MAX, |at| now.since(at));
        let silence_from_all = peer
            .last_seen_by_any
            .map_or(Duration::MAX, |at| now.since(at));
        let state = match peer.state {
            PeerState::Unheard => continue,
            PeerState::Dead => continue,
            _ if silence < SUSPECT_TIMEOUT => PeerState::Alive,
            _ if silence_from_all < DEAD_TIMEOUT => PeerState::Suspect,
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
    let peer_contacts = peer_contacts(node, cx.now);
    let served = top_served(node);
    let demand = credit::own_demand(node);
    let long_reservations = long_work::own_reservations(node);
    let draining_servers = draining_servers(node);
    for vm in node.membership.heartbeat_targets() {
        let heartbeat = Heartbeat {
            vm: node.cfg.vm,
            boot: node.cfg.boot,
            seq: node.membership.seq,
            draining: node.membership.own_draining,
            bundle_version: node.bundle_version(),
            peer_contacts: peer_contacts.clone(),
            demand: demand.clone(),
            shares: credit::grants_for(node, vm),
            served: served.clone(),
            draining_servers: draining_servers.clone(),
            long_reservations: long_reservations.clone(),
        };
        let message = Box::new(PeerMessage::Heartbeat(heartbeat));
        cx.emit(Effect::Peer { to: vm, message });
    }
}

fn peer_contacts(node: &Node, now: Instant) -> Vec<PeerContact> {
    let mut list = Vec::new();
    for (vm, peer) in &node.membership.peers {
        let (Some(boot), Some(at)) = (peer.boot, peer.last_seen) else {
            continue;
        };
        let age_ms = now.since(at).as_millis() as u64;
        if age_ms > DEAD_TIMEOUT.as_millis() as u64 || list.len() >= MAX_HEARTBEAT_PEERS {
            continue;
        }
        list.push(PeerContact {
            vm: *vm,
            boot,
            age_ms,
        });
    }
    list
}

/// Returns the workspaces with the highest cost among those served since the
/// last heartbeat.
fn top_served(node: &mut Node) -> Vec<ServedCost> {
    let served = std::mem::take(&mut node.membership.served_since_heartbeat);
    let state = |slot: &WorkspaceSlot| &node.catalog.workspaces[slot.index()];
    let mut slots: Vec<_> = served.into_iter().collect();
    if slots.len() > MAX_SERVED_WORKSPACES {
        slots.select_nth_unstable_by_key(MAX_SERVED_WORKSPACES, |s| Reverse(state(s).served_us));
        slots.truncate(MAX_SERVED_WORKSPACES);
    }
    let costs = slots.iter().map(|slot| ServedCost {
        workspace: crate::catalog::name_hash(&state(slot).name),
        cost_us: state(slot).served_us,
    });
    costs.collect()
}

fn draining_servers(node: &Node) -> Vec<ServerId> {
    let servers = node.servers.arena.values();
    servers
        .filter(|s| s.draining && !s.removed)
        .map(|s| s.id)
        .collect()
}

/// Returns the nodes callers should use: those of this failure domain first.
/// Both groups rotate with each call, so that load spreads.
pub(crate) fn live_nodes(node: &mut Node) -> Vec<LiveNode> {
    let view = &mut node.membership;
    view.rotation = view.rotation.wrapping_add(1);
    let usable = |p: &&Peer| p.state == PeerState::Alive && !p.draining;
    let peers = view
        .peers
        .values()
        .filter(usable)
        .filter_map(|p| p.record.as_ref());
    let own = view.own_record.as_ref().filter(|_| !view.own_draining);
    let all: Vec<&PeerRecord> = own.into_iter().chain(peers).collect();
    let is_local = |r: &&&PeerRecord| r.failure_domain == node.cfg.failure_domain;
    let mut local: Vec<_> = all.iter().filter(is_local).copied().collect();
    let mut remote: Vec<_> = all.iter().filter(|r| !is_local(r)).copied().collect();
    for nodes in [&mut local, &mut remote] {
        if !nodes.is_empty() {
            let offset = view.rotation % nodes.len();
            nodes.rotate_left(offset);
        }
    }
    let ordered = local.into_iter().chain(remote);
    let nodes = ordered.map(|record| LiveNode {
        caller_address: record.caller_address.clone(),
        failure_domain: record.failure_domain.clone(),
    });
    nodes.collect()
}
