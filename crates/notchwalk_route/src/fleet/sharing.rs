//! Servers that announce a rate limit: updates that nodes exchange about them, and the time
//! until they accept a request.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;

use super::{
    limit::LimitObservation,
    limit_update::{LimitScope, LimitSharing, LimitUpdate, ObservedLimit},
    Fleet, Server, ServerKey,
};
use crate::{shares::short_id_of, RateLimit, ServerNotice};

/// How long after a request for a service this node counts as having demand for it.
const SERVICE_DEMAND_TTL: Duration = Duration::from_secs(1);
/// Minimum interval between two reports that a server's limit is exhausted.
const EXHAUSTED_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// When a service accepts another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Immediately.
    Now,
    /// After this time, when the limits of its servers allow one.
    WithinLimits(Duration),
    /// After this time, when the first of its servers becomes available.
    Later(Duration),
    /// At no known time: all servers are draining, or there are no servers.
    Never,
}

/// State of the servers that announce limits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    sharing: Option<LimitSharing>,
    /// Servers with a limit, or whose limit ended recently.
    servers: Vec<ServerKey>,
    /// Servers with an update that is to be published without delay.
    pending: Vec<ServerKey>,
    /// Time of the last request for each service.
    last_demand: HashMap<String, Instant>,
    /// Number of messages sent to limited servers.
    sent: u64,
}

impl Fleet {
    /// Tracks the limit of a server that has registered again, if it has one.
    pub(super) fn track_restored_limit(&mut self, key: ServerKey, now: Instant) {
        let server = self.servers.get(key);
        if server.is_some_and(|server| server.limit().is_some()) {
            self.track_limit(key, now);
        }
    }

    /// Sets which nodes share the limits of servers.
    pub fn set_sharing(&mut self, sharing: LimitSharing, now: Instant) {
        if self.limits.sharing == Some(sharing) {
            return;
        }
        self.limits.sharing = Some(sharing);
        self.update_shares(now);
    }

    pub(super) fn update_shares(&mut self, now: Instant) {
        for key in self.limits.servers.clone() {
            self.update_share(key, now);
        }
    }

    /// Updates the share of a server's limit at which its bucket fills.
    fn update_share(&mut self, key: ServerKey, now: Instant) {
        let (own_id, share) = self.limits.sharing.map_or((0, 0.0), |sharing| {
            (sharing.own_id, self.limit_share(key, sharing))
        });
        let server = self.servers.get_mut(key);
        if let Some(limited) = server.and_then(|server| server.limit.active_mut()) {
            limited.set_share(own_id, share, now);
        }
    }

    /// Returns the share of a server's limit that the reachable nodes of this group may use.
    /// Each other group that uses the server has its own share, as updates from other groups
    /// arrive too late.
    fn limit_share(&self, key: ServerKey, sharing: LimitSharing) -> f64 {
        let Some(server) = self.servers.get(key) else {
            return 0.0;
        };
        let servers = self.of_service(&server.record().service).len();
        let groups = self.group.groups_sharing(servers);
        f64::from(sharing.reachable) / f64::from(sharing.registered.max(1)) / groups as f64
    }

    /// Adds a server to the servers with limits and sets its share.
    fn track_limit(&mut self, key: ServerKey, now: Instant) {
        if !self.limits.servers.contains(&key) {
            self.limits.servers.push(key);
        }
        self.update_share(key, now);
    }

    fn queue_limit_update(&mut self, key: ServerKey) {
        if !self.limits.pending.contains(&key) {
            self.limits.pending.push(key);
        }
    }

    /// Applies the limit that a response to this node announced; returns whether it changed
    /// the server's limit.
    pub(super) fn record_limit(
        &mut self,
        key: ServerKey,
        limit: Option<RateLimit>,
        requested_at: Instant,
        now: Instant,
    ) -> bool {
        let observed = LimitObservation {
            limit,
            requested_at,
            is_direct: true,
        };
        let is_new = self.apply_limit(key, observed, now);
        if is_new {
            self.queue_limit_update(key);
        }
        is_new
    }

    fn apply_limit(&mut self, key: ServerKey, observed: LimitObservation, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let short_id = server.short_id;
        let is_new = server.limit.apply(observed, short_id, now);
        if is_new {
            self.track_limit(key, now);
        }
        is_new
    }

    /// Applies a peer's updates on limited servers; returns the limits that changed.
    /// `from` is the number and the name of the peer, if it is in this node's group. Sends of
    /// other peers count against their own groups' shares.
    pub fn apply_limit_updates(
        &mut self,
        from: Option<(u32, &str)>,
        updates: &[LimitUpdate],
        now: Instant,
    ) -> Vec<(ServerKey, ServerNotice)> {
        let mut changed = Vec::new();
        for update in updates {
            let Some(key) = self.by_short_id(update.server) else {
                continue;
            };
            if let Some(observed) = update.observed {
                let limit = observed.limit;
                let requested_at = now.before(Duration::from_millis(observed.age_ms.into()));
                let observed = LimitObservation {
                    limit,
                    requested_at,
                    is_direct: false,
                };
                if self.apply_limit(key, observed, now) {
                    changed.push((
                        key,
                        ServerNotice::Limit {
                            limit,
                            requested_at,
                        },
                    ));
                }
            }
            let Some((peer, name)) = from else { continue };
            let server = self.servers.get_mut(key);
            if let Some(limited) = server.and_then(|server| server.limit.active_mut()) {
                let bucket = &mut limited.bucket;
                bucket.apply_peer(peer, short_id_of(name), update.sent, update.has_demand, now);
            }
        }
        changed
    }

    /// Discards the send counters of a peer.
    pub fn remove_peer_sends(&mut self, peer: u32) {
        for &key in &self.limits.servers {
            let server = self.servers.get_mut(key);
            if let Some(limited) = server.and_then(|server| server.limit.active_mut()) {
                limited.bucket.remove_peer(peer);
            }
        }
    }

    /// Returns whether updates on limited servers are to be published without delay.
    pub fn has_limit_updates(&self) -> bool {
        !self.limits.pending.is_empty()
    }

    /// Takes the updates on limited servers that are to be published without delay.
    pub fn take_limit_updates(&mut self, now: Instant) -> Vec<LimitUpdate> {
        let pending = std::mem::take(&mut self.limits.pending);
        let updates = pending.iter();
        let updates = updates.filter_map(|&key| self.limit_update(key, LimitScope::Direct, now));
        updates.collect()
    }

    /// Returns at most `max` updates on limited servers for publishing.
    pub fn limit_updates(&self, scope: LimitScope, max: usize, now: Instant) -> Vec<LimitUpdate> {
        let servers = self.limits.servers.iter();
        let updates = servers.filter_map(|&key| self.limit_update(key, scope, now));
        updates.take(max).collect()
    }

    fn limit_update(&self, key: ServerKey, scope: LimitScope, now: Instant) -> Option<LimitUpdate> {
        let server = self.servers.get(key)?;
        let latest = server.limit.latest(now);
        let latest = latest.filter(|latest| latest.is_direct || scope == LimitScope::All);
        let observed = latest.map(|latest| ObservedLimit {
            limit: latest.limit,
            age_ms: now.since(latest.requested_at).as_millis() as u32,
        });
        let last_demand = self.limits.last_demand.get(&server.record().service);
        Some(LimitUpdate {
            server: server.short_id,
            observed,
            sent: server.sent,
            has_demand: last_demand.is_some_and(|&at| now.since(at) < SERVICE_DEMAND_TTL),
        })
    }

    /// Records a request for a service. A node with recent requests has demand and gets a
    /// share of the limits of the service's servers.
    pub fn record_demand(&mut self, service: &str, now: Instant) {
        if self.limits.servers.is_empty() {
            return;
        }
        match self.limits.last_demand.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.limits.last_demand.insert(service.to_owned(), now);
            }
        }
    }

    /// Removes servers whose limits have ended and whose end has been published.
    pub fn remove_ended_limits(&mut self, now: Instant) {
        let servers = &self.servers;
        self.limits.servers.retain(|&key| {
            let server = servers.get(key);
            server.is_some_and(|server| server.limit().is_some() || server.limit.publishes_end(now))
        });
        if self.limits.servers.is_empty() {
            self.limits.last_demand.clear();
        }
    }

    /// Counts a message to a server: a request, a prompt segment or a reservation order.
    pub fn count_message(&mut self, key: ServerKey, now: Instant) {
        self.count_sent(key, 1, now);
    }

    /// Rolls back the count of a message that was not sent.
    pub fn roll_back_message(&mut self, key: ServerKey, now: Instant) {
        self.count_sent(key, -1, now);
    }

    fn count_sent(&mut self, key: ServerKey, messages: i32, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.count_sent(messages, now) {
            self.limits.sent = self.limits.sent.saturating_add_signed(messages.into());
            self.queue_limit_update(key);
        }
    }

    /// Returns the servers with a limit.
    pub fn limited_servers(&self) -> impl Iterator<Item = (&Server, RateLimit)> {
        let servers = self.limits.servers.iter();
        let servers = servers.filter_map(|&key| self.servers.get(key));
        servers.filter_map(|server| Some((server, server.limit()?)))
    }

    /// Returns how many messages this node has sent to limited servers.
    pub fn messages_sent_to_limited(&self) -> u64 {
        self.limits.sent
    }

    /// Returns servers whose services are in demand but whose limits allow no request now.
    /// Each is returned at most once per [`EXHAUSTED_REPORT_INTERVAL`].
    pub(crate) fn exhausted_limits(&mut self, now: Instant) -> Vec<ServerKey> {
        let mut exhausted = Vec::new();
        for &key in &self.limits.servers {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let last_demand = self.limits.last_demand.get(&server.record().service);
            let has_demand = last_demand.is_some_and(|&at| now.since(at) < SERVICE_DEMAND_TTL);
            let is_allowed = server.time_until_allowed(now) == Some(Duration::ZERO);
            if is_allowed || !has_demand || now < server.next_exhausted_report {
                continue;
            }
            server.next_exhausted_report = now.after(EXHAUSTED_REPORT_INTERVAL);
            exhausted.push(key);
        }
        exhausted
    }

    /// Returns when the servers of a service accept another request, except those in
    /// `attempted`.
    pub fn availability(
        &self,
        service: &str,
        attempted: &[ServerKey],
        now: Instant,
    ) -> Availability {
        let (mut limited, mut later) = (None, None);
        for &key in self.of_service(service) {
            let Some(server) = self.servers.get(key).filter(|_| !attempted.contains(&key)) else {
                continue;
            };
            let Some(until_available) = server.time_until_available(now) else {
                continue;
            };
            if !until_available.is_zero() {
                later = earliest(later, until_available);
                continue;
            }
            match server.time_until_allowed(now) {
                Some(Duration::ZERO) => return Availability::Now,
                Some(until_allowed) => limited = earliest(limited, until_allowed),
                None => {}
            }
        }
        match (limited, later) {
            (Some(time), _) => Availability::WithinLimits(time),
            (None, Some(time)) => Availability::Later(time),
            (None, None) => Availability::Never,
        }
    }

    /// Returns this node's share of the limits of a service's servers, in requests per
    /// second.
    pub fn own_allowed_rate(&self, service: &str, now: Instant) -> f64 {
        let servers = self.servers_of(service);
        let available =
            servers.filter(|server| server.time_until_available(now) == Some(Duration::ZERO));
        let limits = available.filter_map(|server| server.limit.active());
        limits.map(|limited| limited.bucket.own_rate(now)).sum()
    }
}

fn earliest(known: Option<Duration>, time: Duration) -> Option<Duration> {
    Some(known.map_or(time, |known| known.min(time)))
}
