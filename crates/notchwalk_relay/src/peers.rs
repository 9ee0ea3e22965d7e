//! The peers of this node: which are reachable, which accept requests, what they have
//! seen of the store, and which share a group of servers with this node.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use notchwalk_core::Instant;
use notchwalk_platform::StoreVersion;
use notchwalk_route::{node_order, Group, LimitSharing};

use crate::presence_record::PresenceRecord;

/// Heartbeat interval in groups of up to [`BASE_INTERVAL_GROUP_SIZE`] nodes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Largest group with the base heartbeat interval; in larger ones the interval grows
/// with the size, so that the received message rate stays about constant.
const BASE_INTERVAL_GROUP_SIZE: usize = 12;
/// The largest heartbeat interval, as a multiple of [`HEARTBEAT_INTERVAL`].
const MAX_INTERVAL_FACTOR: f64 = 4.0;
/// Missed heartbeats after which a peer counts as unreachable and is omitted from the
/// directory.
const MISSED_HEARTBEATS_UNTIL_UNREACHABLE: u32 = 4;
/// Missed heartbeats after which a peer expires: its work is discarded and it no longer
/// counts as alive.
const MISSED_HEARTBEATS_UNTIL_EXPIRY: u32 = 6;
/// Minimum time until a peer expires; exceeds that of a process restart.
const MIN_TIME_TO_EXPIRY: Duration = Duration::from_secs(3);
/// How long an unreachable node still counts towards shared limits. Exceeds the length of
/// network partitions and restarts. Short enough that records of VMs that are gone for good
/// do not add up.
const SHARE_RETENTION: Duration = Duration::from_secs(600);
/// Minimum number of nodes per group that follow the store's changes; the others query the
/// store when one of these has seen a newer version, or when none of them hears from it. With
/// so many, a failure of some VMs leaves others in contact with the store.
const MIN_FOLLOWERS: usize = 6;
/// Nodes of a group per follower.
const NODES_PER_FOLLOWER: usize = 6;
/// Age of the store's newest response in the group after which all its nodes query the store:
/// the followers may be those that the store does not respond to. With the time of a query,
/// below the shortest time within which a change must be in force.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_300);
/// Number of peers of other groups that receive each heartbeat, in rotation. News spreads
/// over all groups within seconds, at a bounded number of datagrams.
const OTHER_PEERS_PER_HEARTBEAT: usize = 8;

/// Silence after which a lower boot number is that of a newer process, not of a late message.
/// Boot numbers are times of day, which may be set back, and a presence record may be of
/// another writer.
const FORMER_BOOT_SILENCE: Duration = Duration::from_secs(1);
/// Number of heartbeats with which the state sync of a new peer is repeated.
const SYNC_REPEATS: u32 = 2;

/// The sender's state in a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether the store responds to it.
    pub store_up: bool,
    /// When the store last responded to it; `None` if it never did.
    pub store_responded_at: Option<Instant>,
    pub config_version: u64,
    /// The newest change of the server table that it saw.
    pub newest_server_change: StoreVersion,
}

/// The effect of a received message on the peer table.
pub(crate) struct PeerUpdate {
    /// The peer's number on this node.
    pub number: u32,
    pub name: String,
    /// Whether the peer is new or restarted.
    pub is_new: bool,
    /// Whether it is in this node's group.
    pub in_same_group: bool,
    /// The peer's name, if it is new or restarted and in this node's group.
    pub new_in_group: Option<String>,
    /// Whether it restarted, which invalidates its earlier updates.
    pub restarted: bool,
}

/// A peer that expired.
pub(crate) struct ExpiredPeer {
    /// The peer's number on this node.
    pub number: u32,
    /// Its name, if it is in this node's group; peers of other groups send heartbeats
    /// too rarely to be logged.
    pub name: Option<String>,
}

#[derive(Debug)]
struct Peer {
    number: u32,
    record: PresenceRecord,
    last_seen: Option<Instant>,
    /// When the last message arrived, or else when the presence record was found.
    last_known: Instant,
    state: PeerState,
}

/// The peer table, keyed by peer address.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own_name: String,
    by_addr: HashMap<SocketAddr, Peer>,
    next_number: u32,
    /// Whether the presence records of all nodes were read.
    records_read: bool,
    /// Size of the largest service, in servers.
    largest_service_size: usize,
    group: Group,
    /// The peers in this node's group.
    group_peers: HashSet<SocketAddr>,
    /// The peers in other groups, and the position in their rotation.
    other_peers: Vec<SocketAddr>,
    next_other: usize,
    /// Peers to send a state sync to.
    pending_sync: Vec<SocketAddr>,
    /// New peers, and how often their state sync is still to be repeated.
    new_peers: Vec<(SocketAddr, u32)>,
}

impl Peers {
    /// Builds the peer table of the node with this name.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a peer found by its presence record.
    pub fn add(&mut self, record: &PresenceRecord, now: Instant) {
        if self.by_addr.contains_key(&record.peer) {
            return;
        }
        self.next_number += 1;
        let peer = Peer {
            number: self.next_number,
            record: record.clone(),
            last_seen: None,
            last_known: now,
            state: PeerState {
                ready: false,
                store_up: false,
                store_responded_at: None,
                config_version: 0,
                newest_server_change: StoreVersion::default(),
            },
        };
        self.by_addr.insert(record.peer, peer);
        self.update_group(now);
    }

    /// Sets the size of the largest service, in servers.
    pub fn set_largest_service(&mut self, largest_service_size: usize) {
        self.largest_service_size = largest_service_size;
    }

    /// Recomputes the group of this node and its members from the peers seen or
    /// registered recently.
    pub fn update_group(&mut self, now: Instant) -> Group {
        let retained_since = now.before(SHARE_RETENTION);
        let recent = self
            .by_addr
            .iter()
            .filter(|(_, peer)| peer.last_known >= retained_since);
        let mut order: Vec<((u32, &str), Option<SocketAddr>)> = recent
            .map(|(&addr, peer)| (node_order(&peer.record.name), Some(addr)))
            .collect();
        order.push((node_order(&self.own_name), None));
        order.sort();
        let nodes = order.len();
        let own_position = order.iter().position(|(_, addr)| addr.is_none());
        let group = Group::for_node(own_position.unwrap_or(0), nodes, self.largest_service_size);
        let (mut group_peers, mut other_peers) = (HashSet::new(), Vec::new());
        for (position, (_, addr)) in order.into_iter().enumerate() {
            match addr {
                Some(addr)
                    if Group::for_node(position, nodes, self.largest_service_size) == group =>
                {
                    group_peers.insert(addr);
                }
                Some(addr) => other_peers.push(addr),
                None => {}
            }
        }
        (self.group_peers, self.other_peers, self.group) = (group_peers, other_peers, group);
        group
    }

    /// Returns the size of this node's group, including itself.
    fn group_size(&self) -> usize {
        self.group_peers.len() + 1
    }

    /// Returns this node's heartbeat interval.
    pub fn heartbeat_interval(&self) -> Duration {
        let factor = (self.group_size() as f64 / BASE_INTERVAL_GROUP_SIZE as f64)
            .clamp(1.0, MAX_INTERVAL_FACTOR);
        HEARTBEAT_INTERVAL.mul_f64(factor)
    }

    /// Returns the time without messages after which a peer counts as unreachable.
    pub fn time_to_unreachable(&self) -> Duration {
        self.heartbeat_interval() * MISSED_HEARTBEATS_UNTIL_UNREACHABLE
    }

    /// Returns the time without messages after which a peer expires.
    pub fn time_to_expiry(&self) -> Duration {
        (self.heartbeat_interval() * MISSED_HEARTBEATS_UNTIL_EXPIRY).max(MIN_TIME_TO_EXPIRY)
    }

    fn seen_since(&self, since: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.by_addr.values();
        peers.filter(move |peer| peer.last_seen.is_some_and(|last_seen| last_seen >= since))
    }

    /// Returns the peers with recent messages.
    fn reachable(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.seen_since(now.before(self.time_to_unreachable()))
    }

    /// Returns the caller addresses of reachable peers that accept requests.
    pub fn ready_addrs(&self, now: Instant) -> Vec<SocketAddr> {
        let ready = self.reachable(now).filter(|peer| peer.state.ready);
        ready.map(|peer| peer.record.caller).collect()
    }

    /// Returns the number of peers that have not expired.
    pub fn alive_count(&self, now: Instant) -> u32 {
        self.seen_since(now.before(self.time_to_expiry())).count() as u32
    }

    /// Returns the number of nodes that share limits, including this one; `None` before
    /// the presence records were read. Unreachable nodes count until the retention
    /// period ends: after a start or a partition they may still send.
    pub fn sharing_nodes(&self, now: Instant) -> Option<u32> {
        let retained_since = now.before(SHARE_RETENTION);
        let peers = self.by_addr.values();
        let sharing = peers.filter(|peer| peer.last_known >= retained_since);
        self.records_read.then(|| sharing.count() as u32 + 1)
    }

    /// Marks the presence records as read; returns whether this is the first time.
    pub fn mark_records_read(&mut self) -> bool {
        !std::mem::replace(&mut self.records_read, true)
    }

    /// Returns the newest configuration version of any peer.
    pub fn newest_config(&self) -> u64 {
        let peers = self.by_addr.values();
        let versions = peers.map(|peer| peer.state.config_version);
        versions.max().unwrap_or(0)
    }

    /// Returns the newest change of the server table that any peer saw.
    pub fn newest_server_change(&self) -> StoreVersion {
        let peers = self.by_addr.values();
        let versions = peers.map(|peer| peer.state.newest_server_change);
        versions.max().unwrap_or_default()
    }

    /// Returns whether this node should follow the store's changes itself: it does so if
    /// it is among the first of its group to which the store responds, in an order that spreads
    /// the followers over all failure domains.
    pub fn is_follower(&self, now: Instant) -> bool {
        let own_order = node_order(&self.own_name);
        let in_group = |peer: &&Peer| self.group_peers.contains(&peer.record.peer);
        let before = self
            .reachable(now)
            .filter(in_group)
            .filter(|peer| peer.state.store_up && node_order(&peer.record.name) < own_order);
        before.count() < self.follower_count()
    }

    /// Returns the number of nodes of this group that follow the store's changes.
    fn follower_count(&self) -> usize {
        MIN_FOLLOWERS.max(self.group_size() / NODES_PER_FOLLOWER)
    }

    /// Returns whether some nodes of this group learn of changes from its followers.
    pub fn relies_on_followers(&self) -> bool {
        self.group_size() > self.follower_count()
    }

    /// Returns whether no node of this group has had a response of the store recently, which
    /// leaves changes unnoticed. `own_response_at` is when this node last had one.
    pub fn is_store_silent(&self, own_response_at: Option<Instant>, now: Instant) -> bool {
        let group_peers = self.group_peers.iter();
        let group_peers = group_peers.filter_map(|addr| self.by_addr.get(addr));
        let of_peers = group_peers.filter_map(|peer| peer.state.store_responded_at);
        let newest = of_peers.chain(own_response_at).max();
        newest.is_none_or(|at| now.since(at) > MAX_STORE_SILENCE)
    }

    /// Returns the number of reachable peers whose names sort before this node's.
    pub fn rank(&self, now: Instant) -> u32 {
        let own_name = self.own_name.as_str();
        let before = self.reachable(now);
        let before = before.filter(|peer| peer.record.name.as_str() < own_name);
        before.count() as u32
    }

    /// Returns the addresses of the peers in this node's group.
    pub fn group_peers(&self) -> Vec<SocketAddr> {
        self.group_peers.iter().copied().collect()
    }

    /// Returns the addresses of all peers.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.by_addr.keys().copied().collect()
    }

    /// Returns the targets of the next heartbeat: the group, and some of the other
    /// peers.
    pub fn next_heartbeat_targets(&mut self) -> Vec<SocketAddr> {
        let mut targets = self.group_peers();
        for _ in 0..OTHER_PEERS_PER_HEARTBEAT.min(self.other_peers.len()) {
            self.next_other = (self.next_other + 1) % self.other_peers.len();
            targets.push(self.other_peers[self.next_other]);
        }
        targets
    }

    /// Applies a message to the peer table. Returns `None` for late messages of a former
    /// boot, and for those of unknown senders without a presence record.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        boot: u64,
        record: Option<PresenceRecord>,
        state: PeerState,
        now: Instant,
    ) -> Option<PeerUpdate> {
        if let Some(record) = &record {
            self.add(record, now);
        }
        let peer = self.by_addr.get_mut(&from)?;
        let is_current = |at: Instant| now.since(at) < FORMER_BOOT_SILENCE;
        if boot < peer.record.boot && peer.last_seen.is_some_and(is_current) {
            return None;
        }
        let restarted = boot != peer.record.boot;
        let is_new = peer.last_seen.is_none() || restarted;
        peer.record.boot = boot;
        if let Some(record) = record {
            peer.record = record;
        }
        peer.last_seen = Some(now);
        peer.last_known = now;
        peer.state = state;
        let in_same_group = self.group_peers.contains(&from);
        Some(PeerUpdate {
            number: peer.number,
            name: peer.record.name.clone(),
            is_new,
            in_same_group,
            new_in_group: (is_new && in_same_group).then(|| peer.record.name.clone()),
            restarted,
        })
    }

    /// Schedules the state sync of a new peer.
    pub fn schedule_sync(&mut self, addr: SocketAddr) {
        self.pending_sync.push(addr);
        self.new_peers.push((addr, SYNC_REPEATS));
    }

    /// Schedules the repeated state sync of new peers, since datagrams may be lost.
    pub fn schedule_repeated_sync(&mut self) {
        self.pending_sync
            .extend(self.new_peers.iter().map(|(addr, _)| *addr));
        self.new_peers.retain_mut(|(_, left)| {
            *left -= 1;
            *left > 0
        });
    }

    /// Schedules a state sync of all peers in this node's group.
    pub fn schedule_group_sync(&mut self) {
        self.pending_sync.extend(&self.group_peers);
    }

    /// Removes and returns the peers to send a state sync to.
    pub fn take_pending_sync(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.pending_sync)
    }

    /// Returns how the rate limits of servers are shared: among the registered nodes of
    /// this group, with the number of reachable ones. Unreachable ones may still send.
    pub fn limit_sharing(&self, now: Instant) -> LimitSharing {
        let in_group = |peer: &&Peer| self.group_peers.contains(&peer.record.peer);
        let reachable = self.reachable(now).filter(in_group).count() as u32 + 1;
        LimitSharing::new(&self.own_name, self.group_size() as u32, reachable)
    }

    /// Returns the peers that expired since the last call.
    pub fn take_expired(&mut self, now: Instant) -> Vec<ExpiredPeer> {
        let since = now.before(self.time_to_expiry());
        let mut expired = Vec::new();
        for (addr, peer) in &mut self.by_addr {
            if peer.last_seen.is_none_or(|last_seen| last_seen >= since) {
                continue;
            }
            peer.last_seen = None;
            peer.state.ready = false;
            let in_group = self.group_peers.contains(addr);
            expired.push(ExpiredPeer {
                number: peer.number,
                name: in_group.then(|| peer.record.name.clone()),
            });
        }
        expired
    }
}
