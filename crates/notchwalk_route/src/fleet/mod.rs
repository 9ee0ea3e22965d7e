//! The backend servers: which exist, which may be given new work, and how they
//! have answered.

mod leaving_lives;
mod limit;
mod server;
mod shared_bucket;
mod sharing;
mod told_limit;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use notchwalk_core::Instant;
use slotmap::{new_key_type, SlotMap};

use crate::{Group, ServerWord};
use leaving_lives::LeavingLives;
pub use server::{Server, ServerRecord, ServerStage};
pub use sharing::Availability;
use sharing::Limits;
pub use told_limit::{Sharing, Told, ToldLimit, ToldLimitWord};

new_key_type! {
    /// A server's place in the fleet.
    pub struct ServerKey;
}

/// A change of the register of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server registered or changed its record.
    Present(ServerRecord),
    /// A record of an older copy of the register: it may be of a life that ended.
    Copied(ServerRecord),
    /// The server with this instance id is gone.
    Gone(String),
    /// The whole register; servers that are not in it are gone.
    Whole(Vec<ServerRecord>),
}

/// A life of a server that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// Its place in the fleet, which is nobody's now.
    pub key: ServerKey,
    /// Its short id.
    pub tag: u32,
    /// Whether it was known to leave: then it was not lost.
    pub left: bool,
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
    leaving: LeavingLives,
    /// Servers that said in answers that they leave, to be told to peers at once.
    leaving_news: Vec<u32>,
    limits: Limits,
}

impl Fleet {
    /// Applies a change; returns the lives of servers that are over.
    pub fn apply(&mut self, change: ServerChange, now: Instant) -> Vec<Gone> {
        match change {
            ServerChange::Present(record) => {
                if record.born.is_none() {
                    // Once its record was gone, it is another life.
                    self.leaving.forget_ended(record.life_tag());
                }
                self.upsert(record, now).into_iter().collect()
            }
            ServerChange::Copied(record) => self.upsert(record, now).into_iter().collect(),
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
                    gone.extend(self.upsert(record, now));
                }
                gone
            }
        }
    }

    /// Returns the life of the server that this record ends.
    fn upsert(&mut self, record: ServerRecord, now: Instant) -> Option<Gone> {
        let ended = self.end_other_life(&record);
        if let Some(&key) = self.by_instance.get(&record.instance) {
            self.servers[key].update(record);
            return None;
        }
        let (instance, service) = (record.instance.clone(), record.service.clone());
        let mut server = Server::new(record);
        let tag = server.tag;
        if self.leaving.contains(tag) {
            server.note_told_leaving();
        }
        let key = self.servers.insert(server);
        self.by_instance.insert(instance, key);
        self.by_tag.insert(tag, key);
        let keys = self.by_service.entry(service).or_default();
        keys.push(key);
        let servers = &self.servers;
        keys.sort_by_key(|&key| servers[key].tag);
        self.restore_limit(key, now);
        ended
    }

    /// Ends the life of a server that starts again under its id: work, distrust and
    /// connections of before are not those of the new one.
    fn end_other_life(&mut self, record: &ServerRecord) -> Option<Gone> {
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

    fn remove(&mut self, instance: &str) -> Option<Gone> {
        let key = self.by_instance.remove(instance)?;
        let server = self.servers.remove(key)?;
        self.by_tag.remove(&server.tag);
        if server.leaves() {
            self.leaving.add_ended(server.tag);
        }
        self.limits.keep(&server);
        if let Some(keys) = self.by_service.get_mut(&server.record.service) {
            keys.retain(|&other| other != key);
        }
        Some(Gone {
            key,
            tag: server.tag,
            left: server.leaves(),
        })
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
    pub fn set_group(&mut self, group: Group, now: Instant) {
        if self.group != group {
            self.group = group;
            self.set_parts(now);
        }
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

    /// Returns the server with this id.
    pub fn by_instance(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns another server than `key` at this address.
    pub fn other_at(&self, addr: SocketAddr, key: Option<ServerKey>) -> Option<ServerKey> {
        let mut servers = self.servers.iter();
        let is_other = |(other, server): &(ServerKey, &Server)| {
            server.record.addr == addr && Some(*other) != key
        };
        servers.find(is_other).map(|(other, _)| other)
    }

    /// Notes what a server said of itself; returns whether that is new here.
    pub fn note_word(&mut self, key: ServerKey, word: ServerWord, now: Instant) -> bool {
        if let ServerWord::Limit { limit, asked } = word {
            return self.note_limit(key, limit, asked, now);
        }
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let is_new = server.note_word(word, now);
        if is_new && word == ServerWord::Leaving {
            self.leaving_news.push(server.tag);
        }
        is_new
    }

    /// Notes that a peer told that a life of a server leaves; returns the server if
    /// that is new here.
    pub fn note_told_leaving(&mut self, tag: u32) -> Option<ServerKey> {
        let Some(&key) = self.by_tag.get(&tag) else {
            self.leaving.add_told(tag);
            return None;
        };
        self.servers[key].note_told_leaving().then_some(key)
    }

    /// Tells whether peers are to be told at once that servers leave.
    pub fn has_leaving_news(&self) -> bool {
        !self.leaving_news.is_empty()
    }

    /// Takes the servers that peers are to be told of at once.
    pub fn take_leaving_news(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.leaving_news)
    }

    /// Returns servers that said to this entry that they leave, `most` of them at
    /// most. What peers told is not told on: it would outlive the server's life.
    pub fn leaving_to_tell(&self, most: usize) -> Vec<u32> {
        let servers = self.servers.values();
        let leaving = servers.filter(|server| server.said_that_it_leaves());
        leaving.map(|server| server.tag).take(most).collect()
    }

    /// Tells whether a server answered as it should since `since`.
    pub fn was_heard_since(&self, key: ServerKey, since: Instant) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.was_heard_since(since))
    }

    /// Notes that a request is sent to a server.
    pub fn note_sent(&mut self, key: ServerKey, now: Instant) {
        self.note_message(key, now);
        if let Some(server) = self.servers.get_mut(key) {
            server.note_sent(now);
        }
    }

    /// Notes that a server answered as it should.
    pub fn note_success(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_success(now);
        }
    }

    /// Notes that a server said nothing to a request for too long. One that
    /// answers others meanwhile is busy and has not failed; closing it would
    /// send its work to the rest, which are as busy.
    pub fn note_silence(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        self.servers.get_mut(key)?.note_silence(now)
    }

    /// Notes that a server failed; returns how long it gets no work, if it was
    /// just closed.
    pub fn note_failure(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        self.servers.get_mut(key)?.note_failure(now)
    }

    /// Notes that nothing reaches a server: it is closed at once.
    pub fn note_unreachable(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_unreachable(now);
        }
    }
}
