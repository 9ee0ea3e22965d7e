//! The backend servers: which exist, which may be given new work, and how they
//! have answered.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use notchwalk_core::Instant;
use slotmap::{new_key_type, SlotMap};

use crate::{shares::tag_of, Group, ServerWord};

new_key_type! {
    /// A server's place in the fleet.
    pub struct ServerKey;
}

/// Failures in a row after which a server gets no work for a while.
const FAILURES_TO_OPEN: u32 = 2;
/// The shortest time without work after failures. A crashed server is back
/// after three to four seconds on the deployments known.
const SHORTEST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time without work after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// A server that answered within this time is alive: an engine that has work
/// passes events on several times a second.
const HEARD_LATELY: Duration = Duration::from_millis(1_200);
/// Weight of a new observation in the failure rate.
const FAILURE_WEIGHT: f64 = 0.12;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStage {
    /// It takes requests.
    Ready,
    /// It leaves and takes no new requests.
    Leaving,
}

/// A server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its id, which it may keep when it starts again.
    pub instance: String,
    /// When this life of it began, in milliseconds since 1970, if it says so: all
    /// that is believed of a server belongs to one life.
    pub born: Option<u64>,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub stage: ServerStage,
}

/// A change of the register of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server registered or changed its record.
    Present(ServerRecord),
    /// The server with this instance id is gone.
    Gone(String),
    /// The whole register; servers that are not in it are gone.
    Whole(Vec<ServerRecord>),
}

/// A server and what is known of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its record.
    pub record: ServerRecord,
    /// A short id that all entries derive alike.
    pub tag: u32,
    /// Requests in a row that failed.
    failures: u32,
    /// Running mean of failures, 0 to 1.
    pub failure_rate: f64,
    /// No work before this time.
    pub closed_until: Instant,
    /// When it last answered a request as it should.
    heard_at: Instant,
    /// Whether it said in an answer that it leaves.
    pub said_leaving: bool,
    /// Until when it wants no requests of this entry, as it said in an answer.
    pub wants_nothing_until: Instant,
}

impl Server {
    fn new(record: ServerRecord) -> Self {
        Self {
            tag: life_tag(&record),
            record,
            failures: 0,
            failure_rate: 0.0,
            closed_until: Instant::ZERO,
            heard_at: Instant::ZERO,
            said_leaving: false,
            wants_nothing_until: Instant::ZERO,
        }
    }

    /// Tells whether the server may be given new work.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.is_ready() && now >= self.closed_until
    }

    /// Tells whether the server has not said that it leaves.
    pub fn is_ready(&self) -> bool {
        self.record.stage == ServerStage::Ready
    }
}

/// Derives the short id of a life of a server.
fn life_tag(record: &ServerRecord) -> u32 {
    match record.born {
        Some(born) => tag_of(&format!("{}/{born}", record.instance)),
        None => tag_of(&record.instance),
    }
}

/// A life of a server that started again since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedLife {
    pub key: ServerKey,
    /// Its short id.
    pub tag: u32,
    /// Where it listened.
    pub addr: SocketAddr,
}

/// All servers.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: SlotMap<ServerKey, Server>,
    by_instance: HashMap<String, ServerKey>,
    by_tag: HashMap<u32, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    /// The group of this entry, which has a part of the servers to itself.
    group: Group,
    /// Lives that ended as the server started again: a request may still be on
    /// one. The newest last.
    ended_lives: VecDeque<EndedLife>,
}

impl Fleet {
    /// Applies a change; returns the servers that are gone, with their short ids.
    pub fn apply(&mut self, change: ServerChange) -> Vec<(ServerKey, u32)> {
        match change {
            ServerChange::Present(record) => self.upsert(record).into_iter().collect(),
            ServerChange::Gone(instance) => self.remove(&instance).into_iter().collect(),
            ServerChange::Whole(records) => {
                let mut gone = Vec::new();
                let known: Vec<String> = self.by_instance.keys().cloned().collect();
                for instance in known {
                    if records.iter().any(|record| record.instance == instance) {
                        continue;
                    }
                    gone.extend(self.remove(&instance));
                }
                for record in records {
                    gone.extend(self.upsert(record));
                }
                gone
            }
        }
    }

    /// Returns the life of the server that this record ends.
    fn upsert(&mut self, record: ServerRecord) -> Option<(ServerKey, u32)> {
        let ended = self.end_other_life(&record);
        if let Some(&key) = self.by_instance.get(&record.instance) {
            let server = &mut self.servers[key];
            // A server that said it leaves does not come back in this life.
            if server.record.stage == ServerStage::Leaving {
                return None;
            }
            server.record = record;
            return None;
        }
        let (instance, service) = (record.instance.clone(), record.service.clone());
        let server = Server::new(record);
        let tag = server.tag;
        let key = self.servers.insert(server);
        self.by_instance.insert(instance, key);
        self.by_tag.insert(tag, key);
        let keys = self.by_service.entry(service).or_default();
        keys.push(key);
        let servers = &self.servers;
        keys.sort_by_key(|&key| servers[key].tag);
        ended
    }

    /// Ends the life of a server that starts again under its id: work, distrust and
    /// connections of before are not those of the new one.
    fn end_other_life(&mut self, record: &ServerRecord) -> Option<(ServerKey, u32)> {
        /// As many as can crash within the time that requests stay on them.
        const KEPT: usize = 64;
        let &key = self.by_instance.get(&record.instance)?;
        let known = self.servers.get(key)?;
        if known.record.born == record.born {
            return None;
        }
        let (tag, addr) = (known.tag, known.record.addr);
        self.ended_lives.push_back(EndedLife { key, tag, addr });
        if self.ended_lives.len() > KEPT {
            self.ended_lives.pop_front();
        }
        self.remove(&record.instance)
    }

    /// Returns a life that ended as its server started again.
    pub(crate) fn ended_life(&self, key: ServerKey) -> Option<&EndedLife> {
        self.ended_lives.iter().find(|life| life.key == key)
    }

    fn remove(&mut self, instance: &str) -> Option<(ServerKey, u32)> {
        let key = self.by_instance.remove(instance)?;
        let server = self.servers.remove(key)?;
        self.by_tag.remove(&server.tag);
        if let Some(keys) = self.by_service.get_mut(&server.record.service) {
            keys.retain(|&other| other != key);
        }
        Some((key, server.tag))
    }

    /// Returns a server that still exists.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the servers of a service, in an order that all entries share.
    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers of the largest service.
    pub fn largest_service(&self) -> usize {
        self.by_service.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Sets the group of this entry.
    pub fn set_group(&mut self, group: Group) {
        self.group = group;
    }

    /// Returns the servers of a service that this entry uses: those of its group, or
    /// all of them while none of its own takes work.
    pub fn in_use(&self, service: &str, now: Instant) -> &[ServerKey] {
        let all = self.of_service(service);
        let own = self.group.part(all);
        let takes_work = |key: &ServerKey| self.servers[*key].takes_work(now);
        match own.iter().any(takes_work) {
            true => own,
            false => all,
        }
    }

    /// Returns the server with this short id.
    pub fn by_tag(&self, tag: u32) -> Option<ServerKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the server at this address.
    pub fn by_addr(&self, addr: SocketAddr) -> Option<ServerKey> {
        let mut servers = self.servers.iter();
        let found = servers.find(|(_, server)| server.record.addr == addr);
        found.map(|(key, _)| key)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Tells whether a server answered as it should since `since`.
    pub fn was_heard_since(&self, key: ServerKey, since: Instant) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.heard_at > since)
    }

    /// Returns the server with this id.
    pub fn by_instance(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Notes what a server said of itself; returns whether that is new here.
    pub fn note_word(&mut self, key: ServerKey, word: ServerWord, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        match word {
            ServerWord::Leaving => !std::mem::replace(&mut server.said_leaving, true),
            ServerWord::WantsNothing(time) => {
                let until = now.after(time);
                let is_new = until > server.wants_nothing_until;
                server.wants_nothing_until = server.wants_nothing_until.max(until);
                is_new
            }
        }
    }

    /// Notes that a server answered as it should.
    pub fn note_success(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.heard_at = now;
        server.failures = 0;
        server.failure_rate -= FAILURE_WEIGHT * server.failure_rate;
    }

    /// Notes that a server said nothing to a request for too long. One that
    /// answers others meanwhile is busy and has not failed; closing it would
    /// send its work to the rest, which are as busy.
    pub fn note_silence(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        let server = self.servers.get(key)?;
        if now.since(server.heard_at) < HEARD_LATELY {
            return None;
        }
        self.note_failure(key, now)
    }

    /// Notes that a server failed; returns how long it gets no work, if it was
    /// just closed.
    pub fn note_failure(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        let server = self.servers.get_mut(key)?;
        server.failures += 1;
        server.failure_rate += FAILURE_WEIGHT * (1.0 - server.failure_rate);
        if server.failures < FAILURES_TO_OPEN || now < server.closed_until {
            return None;
        }
        let doublings = (server.failures - FAILURES_TO_OPEN).min(3);
        let pause = (SHORTEST_PAUSE * 2u32.pow(doublings)).min(LONGEST_PAUSE);
        server.closed_until = now.after(pause);
        Some(pause)
    }

    /// Notes that nothing reaches a server: it is closed at once.
    pub fn note_unreachable(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.failures = server.failures.max(FAILURES_TO_OPEN);
        self.note_failure(key, now);
    }
}
