//! Servers that name a limit: what entries tell each other of them, and when they take
//! a request.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

use super::{
    limit::{LimitWord, ServerLimit},
    told_limit::{Sharing, Told, ToldLimit, ToldLimitWord},
    Fleet, Server, ServerKey,
};
use crate::{shares::tag_of, RateLimit, ServerWord};

/// How long a service counts as asked for after a request for it.
const DEMAND_LASTS: Duration = Duration::from_secs(1);
/// How often it is told of one server that its limit is used up.
const TOLD_USED_UP_EVERY: Duration = Duration::from_secs(5);
/// Limits kept of servers whose records are gone: they lapse while the store is away.
const KEPT: usize = 64;

/// When a service takes another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// At once.
    Now,
    /// When the limits of its servers allow one.
    WithinLimits(Duration),
    /// When the first of its servers takes requests again.
    Later(Duration),
    /// Not as far as is known: all servers leave, or there is none.
    Never,
}

/// What the fleet keeps of servers that name limits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    sharing: Option<Sharing>,
    /// Servers with a limit, or whose limit ended lately.
    servers: Vec<ServerKey>,
    /// Those of which peers are to be told at once.
    news: Vec<ServerKey>,
    /// Limits of servers whose records are gone, by their lives. The newest last.
    kept: VecDeque<(u32, ServerLimit)>,
    /// When each service was asked for last.
    asked_for: HashMap<String, Instant>,
    /// Messages to servers with limits so far.
    sent: u64,
}

impl Limits {
    pub fn keep(&mut self, server: &Server) {
        if server.limit().is_none() {
            return;
        }
        self.kept.push_back((server.tag, server.limit.clone()));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    fn take_kept(&mut self, life: u32) -> Option<ServerLimit> {
        let index = self.kept.iter().position(|(tag, _)| *tag == life)?;
        self.kept.remove(index).map(|(_, limit)| limit)
    }
}

impl Fleet {
    /// Gives a server that is on record again the limit that it had: a record lapses
    /// while the store is away.
    pub(super) fn restore_limit(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        if let Some(kept) = self.limits.take_kept(server.tag) {
            server.limit = kept;
            self.watch_limit(key, now);
        }
    }

    /// Sets who shares what servers allow.
    pub fn set_sharing(&mut self, sharing: Sharing, now: Instant) {
        if self.limits.sharing == Some(sharing) {
            return;
        }
        self.limits.sharing = Some(sharing);
        self.set_parts(now);
    }

    pub(super) fn set_parts(&mut self, now: Instant) {
        for key in self.limits.servers.clone() {
            self.set_part(key, now);
        }
    }

    /// Sets the part of its limit by which a server's bucket fills.
    fn set_part(&mut self, key: ServerKey, now: Instant) {
        let (own, part) = self.limits.sharing.map_or((0, 0.0), |sharing| {
            (sharing.own, self.part_of_limit(key, sharing))
        });
        let server = self.servers.get_mut(key);
        if let Some(limited) = server.and_then(|server| server.limit.in_force_mut()) {
            limited.set_part(own, part, now);
        }
    }

    /// Returns the part of a server's limit that the entries have which this one hears.
    /// Those of other groups that use the server too are not heard in time.
    fn part_of_limit(&self, key: ServerKey, sharing: Sharing) -> f64 {
        let Some(server) = self.servers.get(key) else {
            return 0.0;
        };
        let servers = self.of_service(&server.record.service).len();
        let groups = self.group.sharing(servers);
        f64::from(sharing.heard) / f64::from(sharing.on_record.max(1)) / groups as f64
    }

    /// Keeps the limit of a server up to date and tells peers of it.
    fn watch_limit(&mut self, key: ServerKey, now: Instant) {
        if !self.limits.servers.contains(&key) {
            self.limits.servers.push(key);
        }
        self.set_part(key, now);
    }

    fn mark_limit(&mut self, key: ServerKey) {
        if !self.limits.news.contains(&key) {
            self.limits.news.push(key);
        }
    }

    /// Notes what an answer to this entry said of a server's limit; returns whether that
    /// is new here.
    pub(super) fn note_limit(
        &mut self,
        key: ServerKey,
        limit: Option<RateLimit>,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let said = LimitWord {
            limit,
            asked,
            first_hand: true,
        };
        let is_new = self.hear_limit(key, said, now);
        if is_new {
            self.mark_limit(key);
        }
        is_new
    }

    fn hear_limit(&mut self, key: ServerKey, said: LimitWord, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let tag = server.tag;
        let is_new = server.limit.hear(said, tag, now);
        if is_new {
            self.watch_limit(key, now);
        }
        is_new
    }

    /// Hears what a peer tells of servers that name limits; returns what is new here.
    /// `near` is the number and the name of a peer of this entry's group: what others send
    /// is their groups' part, by which the bucket does not fill.
    pub fn hear_limits(
        &mut self,
        near: Option<(u32, &str)>,
        told: &[ToldLimit],
        now: Instant,
    ) -> Vec<(ServerKey, ServerWord)> {
        let mut news = Vec::new();
        for told in told {
            let Some(key) = self.by_tag(told.server) else {
                continue;
            };
            if let Some(said) = told.said {
                let limit = said.limit;
                let asked = now.before(Duration::from_millis(said.age_ms.into()));
                let said = LimitWord {
                    limit,
                    asked,
                    first_hand: false,
                };
                if self.hear_limit(key, said, now) {
                    news.push((key, ServerWord::Limit { limit, asked }));
                }
            }
            let Some((peer, name)) = near else { continue };
            if let Some(limited) = self.servers[key].limit.in_force_mut() {
                let bucket = &mut limited.bucket;
                bucket.hear(peer, tag_of(name), told.sent, told.wants, now);
            }
        }
        news
    }

    /// Forgets what a peer told of its sends.
    pub fn forget_sends_of(&mut self, peer: u32) {
        for &key in &self.limits.servers {
            let server = self.servers.get_mut(key);
            if let Some(limited) = server.and_then(|server| server.limit.in_force_mut()) {
                limited.bucket.forget(peer);
            }
        }
    }

    /// Tells whether peers are to be told at once of servers that name limits.
    pub fn has_limit_news(&self) -> bool {
        !self.limits.news.is_empty()
    }

    /// Takes what peers are to be told at once.
    pub fn take_limit_news(&mut self, now: Instant) -> Vec<ToldLimit> {
        let news = std::mem::take(&mut self.limits.news);
        let told = news.iter();
        let told = told.filter_map(|&key| self.limit_to_tell(key, Told::FirstHand, now));
        told.collect()
    }

    /// Returns what peers are told of servers that name limits, `most` of them at most.
    pub fn limits_to_tell(&self, told: Told, most: usize, now: Instant) -> Vec<ToldLimit> {
        let servers = self.limits.servers.iter();
        let told = servers.filter_map(|&key| self.limit_to_tell(key, told, now));
        told.take(most).collect()
    }

    fn limit_to_tell(&self, key: ServerKey, told: Told, now: Instant) -> Option<ToldLimit> {
        let server = self.servers.get(key)?;
        let said = server.limit.known(now);
        let said = said.filter(|said| said.first_hand || told == Told::All);
        let said = said.map(|said| ToldLimitWord {
            limit: said.limit,
            age_ms: now.since(said.asked).as_millis() as u32,
        });
        let asked_for = self.limits.asked_for.get(&server.record.service);
        Some(ToldLimit {
            server: server.tag,
            said,
            sent: server.sent,
            wants: asked_for.is_some_and(|&at| now.since(at) < DEMAND_LASTS),
        })
    }

    /// Notes a request for a service: peers leave some of what limited servers allow to
    /// an entry with demand.
    pub fn note_asked_for(&mut self, service: &str, now: Instant) {
        if self.limits.servers.is_empty() {
            return;
        }
        match self.limits.asked_for.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.limits.asked_for.insert(service.to_owned(), now);
            }
        }
    }

    /// Forgets limits that ended and that peers were told of.
    pub fn forget_ended_limits(&mut self, now: Instant) {
        let servers = &self.servers;
        self.limits.servers.retain(|&key| {
            let server = servers.get(key);
            server.is_some_and(|server| server.limit().is_some() || server.limit.tells_end(now))
        });
        if self.limits.servers.is_empty() {
            self.limits.asked_for.clear();
        }
    }

    /// Notes that a request, a part of one or an order goes to a server.
    pub fn note_message(&mut self, key: ServerKey, now: Instant) {
        self.count_sent(key, 1, now);
    }

    /// Notes that a message to a server was not sent after all.
    pub fn note_unsent(&mut self, key: ServerKey, now: Instant) {
        self.count_sent(key, -1, now);
    }

    fn count_sent(&mut self, key: ServerKey, messages: i32, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.count_sent(messages, now) {
            self.limits.sent = self.limits.sent.saturating_add_signed(messages.into());
            self.mark_limit(key);
        }
    }

    /// Returns the servers that name limits.
    pub fn limited(&self) -> impl Iterator<Item = (&Server, RateLimit)> {
        let servers = self.limits.servers.iter();
        let servers = servers.filter_map(|&key| self.servers.get(key));
        servers.filter_map(|server| Some((server, server.limit()?)))
    }

    /// Returns how many messages this entry has sent to servers with limits.
    pub fn sent_within_limits(&self) -> u64 {
        self.limits.sent
    }

    /// Returns servers whose limits leave requests for their services to others, each at
    /// most once in a while.
    pub(crate) fn used_up_limits(&mut self, now: Instant) -> Vec<ServerKey> {
        let mut used_up = Vec::new();
        for &key in &self.limits.servers {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let asked_for = self.limits.asked_for.get(&server.record.service);
            let is_asked_for = asked_for.is_some_and(|&at| now.since(at) < DEMAND_LASTS);
            let is_allowed = server.allowed_in(now) == Some(Duration::ZERO);
            if is_allowed || !is_asked_for || now < server.tells_used_up_from {
                continue;
            }
            server.tells_used_up_from = now.after(TOLD_USED_UP_EVERY);
            used_up.push(key);
        }
        used_up
    }

    /// Returns when the servers of a service take another request, but for those that
    /// `tried` names.
    pub fn availability(&self, service: &str, tried: &[ServerKey], now: Instant) -> Availability {
        let servers = self.of_service(service).iter();
        let servers = servers.filter(|key| !tried.contains(key));
        let (mut limited, mut later) = (None, None);
        for &key in servers {
            let server = &self.servers[key];
            let Some(open_in) = server.open_in(now) else {
                continue;
            };
            if !open_in.is_zero() {
                later = soonest(later, open_in);
                continue;
            }
            match server.allowed_in(now) {
                Some(Duration::ZERO) => return Availability::Now,
                Some(allowed_in) => limited = soonest(limited, allowed_in),
                None => {}
            }
        }
        match (limited, later) {
            (Some(time), _) => Availability::WithinLimits(time),
            (None, Some(time)) => Availability::Later(time),
            (None, None) => Availability::Never,
        }
    }

    /// Returns the requests a second that the limited servers of a service leave to this
    /// entry.
    pub fn allowed_rate(&self, service: &str, now: Instant) -> f64 {
        let servers = self.of_service(service).iter();
        let servers = servers.map(|&key| &self.servers[key]);
        let open = servers.filter(|server| server.open_in(now) == Some(Duration::ZERO));
        let limits = open.filter_map(|server| server.limit.in_force());
        limits.map(|limited| limited.bucket.own_rate(now)).sum()
    }
}

fn soonest(known: Option<Duration>, time: Duration) -> Option<Duration> {
    Some(known.map_or(time, |known| known.min(time)))
}
