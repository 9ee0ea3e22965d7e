//! The other entries as this one knows them: who lives, who takes requests, what they
//! know, and which of them share a part of the servers with it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use notchwalk_core::Instant;
use notchwalk_platform::StoreVersion;
use notchwalk_route::{entry_order, Group, Sharing};

use crate::presence_record::PresenceRecord;

/// How often an entry says that it lives, among up to [`FEW_ENTRIES`].
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Entries of a group up to which heartbeats come at that pace; among more of them
/// they come more slowly, so that an entry hears about as many a second.
const FEW_ENTRIES: usize = 12;
/// The slowest pace, as a multiple of [`HEARTBEAT`].
const SLOWEST_PACE: f64 = 4.0;
/// Heartbeats that a peer misses before it gets no callers.
const MISSED_FOR_SILENCE: u32 = 4;
/// Heartbeats that a peer misses before it no longer counts for shares and its
/// work is forgotten, and the least time for that: a process that was killed is
/// back within it.
const MISSED_FOR_GONE: u32 = 6;
const LEAST_FOR_GONE: Duration = Duration::from_secs(3);
/// How long a silent entry counts among those that share what is allowed to all:
/// longer than cuts and restarts last, and short enough that records of VMs that
/// are gone for good don't add up.
const SHARES_FOR: Duration = Duration::from_secs(600);
/// Entries of a group that follow the store's changes for it, at least; the rest
/// read when one of them knows of something newer. So many that a failure of some
/// VMs leaves others of them in touch.
const FEWEST_FOLLOWERS: usize = 6;
/// The same as a part of the group: one in so many.
const FOLLOWERS_ONE_IN: usize = 6;
/// Entries of other groups that each heartbeat goes to, in turn: what is new spreads
/// over all groups within seconds, for a bounded number of datagrams.
const OTHERS_A_BEAT: usize = 8;

/// How often an entry that was heard for the first time is greeted after the first time,
/// once a heartbeat.
const GREETED_AGAIN: u32 = 2;

/// What a message says of its sender's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether the store answers it.
    pub store_up: bool,
    /// The version of its configuration.
    pub config_version: u64,
    /// The newest change of the register of servers that it saw.
    pub servers_changed: StoreVersion,
}

/// What hearing a peer came to.
pub(crate) struct Heard {
    /// The peer's number on this entry.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// Whether it had not been heard, or started anew.
    pub is_new: bool,
    /// Whether it is of this entry's group.
    pub is_near: bool,
    /// Its name, if it had not been heard and shares servers with this entry.
    pub appeared: Option<String>,
    /// Whether it started anew, so that what it told before is void.
    pub started_anew: bool,
}

/// A peer that fell silent.
pub(crate) struct Silent {
    /// The peer's number on this entry.
    pub number: u32,
    /// Its name, if it shares servers with this entry: others are heard now and then.
    pub near: Option<String>,
}

#[derive(Debug)]
struct Peer {
    number: u32,
    record: PresenceRecord,
    heard: Option<Instant>,
    /// When it was last heard, or else put on record here.
    known: Instant,
    state: PeerState,
}

/// The other entries, by the address that peers reach them at.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own: String,
    by_addr: HashMap<SocketAddr, Peer>,
    next_number: u32,
    /// Whether the records of all entries were read.
    records_read: bool,
    /// Servers of the largest service.
    servers: usize,
    group: Group,
    /// The other entries of this one's group.
    near: HashSet<SocketAddr>,
    /// All others, and whose turn it is.
    far: Vec<SocketAddr>,
    next_far: usize,
    /// Entries to be told at once what is known here.
    to_greet: Vec<SocketAddr>,
    /// Entries that were heard for the first time lately, and how often they are still
    /// to be greeted.
    newcomers: Vec<(SocketAddr, u32)>,
}

impl Peers {
    /// Builds the peers of the entry with this name.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            ..Self::default()
        }
    }

    /// Adds an entry that is on record.
    pub fn add(&mut self, record: &PresenceRecord, now: Instant) {
        if self.by_addr.contains_key(&record.peer) {
            return;
        }
        self.next_number += 1;
        let peer = Peer {
            number: self.next_number,
            record: record.clone(),
            heard: None,
            known: now,
            state: PeerState {
                ready: false,
                store_up: false,
                config_version: 0,
                servers_changed: StoreVersion::default(),
            },
        };
        self.by_addr.insert(record.peer, peer);
        self.regroup(now);
    }

    /// Sets how many servers the largest service has.
    pub fn set_servers(&mut self, servers: usize) {
        self.servers = servers;
    }

    /// Finds the group of this entry and who else is in it, from the entries that are
    /// on record and were heard or found lately.
    pub fn regroup(&mut self, now: Instant) -> Group {
        let since = now.before(SHARES_FOR);
        let lately = self.by_addr.iter().filter(|(_, peer)| peer.known >= since);
        let mut order: Vec<((u32, &str), Option<SocketAddr>)> = lately
            .map(|(&addr, peer)| (entry_order(&peer.record.name), Some(addr)))
            .collect();
        order.push((entry_order(&self.own), None));
        order.sort();
        let entries = order.len();
        let place = order.iter().position(|(_, addr)| addr.is_none());
        let group = Group::of_place(place.unwrap_or(0), entries, self.servers);
        let (mut near, mut far) = (HashSet::new(), Vec::new());
        for (place, (_, addr)) in order.into_iter().enumerate() {
            match addr {
                Some(addr) if Group::of_place(place, entries, self.servers) == group => {
                    near.insert(addr);
                }
                Some(addr) => far.push(addr),
                None => {}
            }
        }
        (self.near, self.far, self.group) = (near, far, group);
        group
    }

    /// Returns the entries of this one's group, it included.
    fn group_size(&self) -> usize {
        self.near.len() + 1
    }

    /// Returns how often this entry says that it lives.
    pub fn heartbeat(&self) -> Duration {
        let pace = (self.group_size() as f64 / FEW_ENTRIES as f64).clamp(1.0, SLOWEST_PACE);
        HEARTBEAT.mul_f64(pace)
    }

    /// Returns how long a peer may be silent until it counts as gone.
    pub fn time_to_gone(&self) -> Duration {
        (self.heartbeat() * MISSED_FOR_GONE).max(LEAST_FOR_GONE)
    }

    fn heard_since(&self, since: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.by_addr.values();
        peers.filter(move |peer| peer.heard.is_some_and(|heard| heard >= since))
    }

    /// Returns the peers that were heard lately.
    fn lively(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.heard_since(now.before(self.heartbeat() * MISSED_FOR_SILENCE))
    }

    /// Returns the addresses for callers of the peers that take requests.
    pub fn ready(&self, now: Instant) -> Vec<SocketAddr> {
        let ready = self.lively(now).filter(|peer| peer.state.ready);
        ready.map(|peer| peer.record.caller).collect()
    }

    /// Returns how many peers live, as far as this entry hears them.
    pub fn alive(&self, now: Instant) -> u32 {
        self.heard_since(now.before(self.time_to_gone())).count() as u32
    }

    /// Returns how many entries share what is allowed to all, this one included;
    /// `None` before the records of entries were read. Those that are on record
    /// count until they were silent for long: one that isn't heard, after a start
    /// or a cut, may repeat sends all the same.
    pub fn sharing(&self, now: Instant) -> Option<u32> {
        let since = now.before(SHARES_FOR);
        let peers = self.by_addr.values();
        let sharing = peers.filter(|peer| peer.known >= since);
        self.records_read.then(|| sharing.count() as u32 + 1)
    }

    /// Notes that the records of all entries were read; returns whether that is new.
    pub fn note_records_read(&mut self) -> bool {
        !std::mem::replace(&mut self.records_read, true)
    }

    /// Returns the newest configuration that a peer has.
    pub fn newest_config(&self) -> u64 {
        let peers = self.by_addr.values();
        let versions = peers.map(|peer| peer.state.config_version);
        versions.max().unwrap_or(0)
    }

    /// Returns the newest change of the register of servers that a peer saw.
    pub fn newest_change_of_servers(&self) -> StoreVersion {
        let peers = self.by_addr.values();
        let versions = peers.map(|peer| peer.state.servers_changed);
        versions.max().unwrap_or_default()
    }

    /// Tells whether this entry should follow the store's changes itself: it is one
    /// of the first of its group by name among those that the store answers.
    pub fn is_follower(&self, now: Instant) -> bool {
        let own = self.own.as_str();
        let near = |peer: &&Peer| self.near.contains(&peer.record.peer);
        let before = self.lively(now).filter(near);
        let before = before.filter(|peer| peer.state.store_up && peer.record.name.as_str() < own);
        before.count() < FEWEST_FOLLOWERS.max(self.group_size() / FOLLOWERS_ONE_IN)
    }

    /// Returns how many entries live whose names come before this one's.
    pub fn rank(&self, now: Instant) -> u32 {
        let own = self.own.as_str();
        let before = self.lively(now);
        let before = before.filter(|peer| peer.record.name.as_str() < own);
        before.count() as u32
    }

    /// Returns the entries of this one's group.
    pub fn near(&self) -> Vec<SocketAddr> {
        self.near.iter().copied().collect()
    }

    /// Returns all other entries.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.by_addr.keys().copied().collect()
    }

    /// Returns whom the next heartbeat goes to: the group, and some of the others.
    pub fn next_heartbeat_to(&mut self) -> Vec<SocketAddr> {
        let mut to = self.near();
        for _ in 0..OTHERS_A_BEAT.min(self.far.len()) {
            self.next_far = (self.next_far + 1) % self.far.len();
            to.push(self.far[self.next_far]);
        }
        to
    }

    /// Notes a message. `None` says that it is of a life that ended, or that its sender
    /// is not known yet: its next heartbeat says who it is.
    pub fn hear(
        &mut self,
        from: SocketAddr,
        boot: u64,
        record: Option<PresenceRecord>,
        state: PeerState,
        now: Instant,
    ) -> Option<Heard> {
        if let Some(record) = &record {
            self.add(record, now);
        }
        let peer = self.by_addr.get_mut(&from)?;
        if boot < peer.record.boot {
            return None;
        }
        let started_anew = boot > peer.record.boot;
        let appeared = peer.heard.is_none() || started_anew;
        peer.record.boot = boot;
        if let Some(record) = record {
            peer.record = record;
        }
        peer.heard = Some(now);
        peer.known = now;
        peer.state = state;
        let is_near = self.near.contains(&from);
        Some(Heard {
            number: peer.number,
            name: peer.record.name.clone(),
            is_new: appeared,
            is_near,
            appeared: (appeared && is_near).then(|| peer.record.name.clone()),
            started_anew,
        })
    }

    /// Notes an entry that was heard for the first time.
    pub fn add_newcomer(&mut self, addr: SocketAddr) {
        self.to_greet.push(addr);
        self.newcomers.push((addr, GREETED_AGAIN));
    }

    /// Has entries that were heard for the first time lately greeted once more: a
    /// datagram may have been lost.
    pub fn greet_again(&mut self) {
        self.to_greet
            .extend(self.newcomers.iter().map(|(addr, _)| *addr));
        self.newcomers.retain_mut(|(_, left)| {
            *left -= 1;
            *left > 0
        });
    }

    /// Has the entries of this one's group told that it is here.
    pub fn greet_near(&mut self) {
        self.to_greet.extend(&self.near);
    }

    /// Takes the entries that are to be told at once what is known here.
    pub fn take_to_greet(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.to_greet)
    }

    /// Returns who shares what servers allow: the entries of this one's group that are
    /// on record, and those of them that are heard. One that is not heard may send all
    /// the same.
    pub fn sharing_servers(&self, now: Instant) -> Sharing {
        let near = |peer: &&Peer| self.near.contains(&peer.record.peer);
        let heard = self.lively(now).filter(near).count() as u32 + 1;
        Sharing::new(&self.own, self.group_size() as u32, heard)
    }

    /// Takes the peers that fell silent since the last call.
    pub fn take_silent(&mut self, now: Instant) -> Vec<Silent> {
        let since = now.before(self.time_to_gone());
        let mut silent = Vec::new();
        for (addr, peer) in &mut self.by_addr {
            if peer.heard.is_none_or(|heard| heard >= since) {
                continue;
            }
            peer.heard = None;
            peer.state.ready = false;
            let near = self.near.contains(addr);
            silent.push(Silent {
                number: peer.number,
                near: near.then(|| peer.record.name.clone()),
            });
        }
        silent
    }
}
