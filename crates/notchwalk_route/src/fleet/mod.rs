//! The backend servers: their registrations, availability, failures and rate limits.

mod draining_incarnations;
mod limit;
mod limit_update;
mod removed_servers;
mod server;
mod shared_bucket;
mod sharing;
mod table;

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;
use slotmap::new_key_type;

use crate::{Group, ServerNotice};
use draining_incarnations::DrainingIncarnations;
pub use limit_update::{LimitScope, LimitSharing, LimitUpdate, ObservedLimit};
pub(crate) use removed_servers::RemovedIncarnation;
use removed_servers::{RemovalReason, RemovedServers};
pub use server::{Server, ServerRecord, ServerStage};
pub use sharing::Availability;
use sharing::Limits;
use table::ServerTable;

new_key_type! {
    /// Identifies a server in the fleet.
    pub struct ServerKey;
}

/// A change of the server registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server registered or updated its registration.
    Registered(ServerRecord),
    /// A registration from a restored snapshot, possibly of an incarnation that has ended.
    Restored(ServerRecord),
    /// The registration of this instance id was removed.
    Removed(String),
    /// The complete registry; servers that are not in it are removed.
    All(Vec<ServerRecord>),
}

/// How many servers of a service are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceStatus {
    /// All of them.
    pub registered: u32,
    /// Those that are draining.
    pub draining: u32,
    /// Those within a backoff that they requested.
    pub backing_off: u32,
    /// Those ejected for their failures, or with a probe under way after an ejection.
    pub ejected: u32,
}

/// An incarnation of a server that was removed from the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovedServer {
    /// Its former key.
    pub key: ServerKey,
    /// Its short id.
    pub short_id: u32,
    /// Whether it was draining, which means that it did not fail.
    pub was_draining: bool,
}

/// All servers.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: ServerTable,
    /// The group of this node, which uses a subset of the servers.
    group: Group,
    /// Servers whose registrations were removed.
    removed: RemovedServers,
    draining: DrainingIncarnations,
    /// Servers that announced in a response that they are draining, to be published
    /// without delay.
    draining_updates: Vec<u32>,
    limits: Limits,
}

impl Fleet {
    /// Applies a change; returns the servers that it removes.
    pub fn apply(&mut self, change: ServerChange, now: Instant) -> Vec<RemovedServer> {
        match change {
            ServerChange::Registered(record) => {
                if record.started_ms.is_none() {
                    // Without a start time, a new registration counts as a new incarnation.
                    self.draining.remove_ended(record.incarnation_short_id());
                }
                self.upsert(record, now).into_iter().collect()
            }
            ServerChange::Restored(record) => self.upsert(record, now).into_iter().collect(),
            ServerChange::Removed(instance) => self
                .remove(&instance, RemovalReason::Deregistered)
                .into_iter()
                .collect(),
            ServerChange::All(records) => {
                let mut removed = Vec::new();
                let known: Vec<String> = self.servers.instances().map(str::to_owned).collect();
                for instance in known {
                    if records.iter().any(|record| record.instance == instance) {
                        continue;
                    }
                    removed.extend(self.remove(&instance, RemovalReason::Deregistered));
                }
                for record in records {
                    removed.extend(self.upsert(record, now));
                }
                removed
            }
        }
    }

    /// Inserts or updates a server; returns its previous incarnation if this ends it.
    fn upsert(&mut self, record: ServerRecord, now: Instant) -> Option<RemovedServer> {
        let ended = self.end_other_incarnation(&record);
        if let Some(key) = self.servers.by_instance(&record.instance) {
            self.servers.update(key, record);
            return None;
        }
        let mut server = Server::new(record);
        if self.draining.contains(server.short_id) {
            server.apply_reported_draining();
        }
        self.restore_state(&mut server);
        let key = self.servers.insert(server);
        self.track_restored_limit(key, now);
        ended
    }

    /// Removes the previous incarnation of a server that restarts under its instance id:
    /// its work, failures and connections do not carry over.
    fn end_other_incarnation(&mut self, record: &ServerRecord) -> Option<RemovedServer> {
        let key = self.servers.by_instance(&record.instance)?;
        let known = self.servers.get(key)?;
        if known.record().started_ms == record.started_ms {
            return None;
        }
        self.remove(&record.instance, RemovalReason::Restarted)
    }

    /// Returns the previous incarnation of a restarted server.
    pub(crate) fn ended_incarnation(&self, key: ServerKey) -> Option<&RemovedIncarnation> {
        let removed = self.removed.get(key);
        removed.filter(|removed| removed.reason == RemovalReason::Restarted)
    }

    /// Restores what this node knows of an incarnation that registers again.
    fn restore_state(&self, server: &mut Server) {
        if let Some(removed) = self.removed.last_of(server.short_id) {
            server.limit = removed.limit.clone();
            server.backoff_until = removed.backoff_until;
        }
    }

    fn remove(&mut self, instance: &str, reason: RemovalReason) -> Option<RemovedServer> {
        let key = self.servers.by_instance(instance)?;
        let server = self.servers.remove(key)?;
        if server.is_draining() {
            self.draining.add_ended(server.short_id);
        }
        self.removed.add(key, &server, reason);
        Some(RemovedServer {
            key,
            short_id: server.short_id,
            was_draining: server.is_draining(),
        })
    }

    /// Returns a server, if it has not been removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the servers of a service, in the same order on all nodes.
    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.servers.of_service(service)
    }

    /// Returns the servers of a service.
    pub(crate) fn servers_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        let keys = self.of_service(service).iter();
        keys.filter_map(|&key| self.servers.get(key))
    }

    /// Returns how many servers of a service are in which state.
    pub fn service_status(&self, service: &str, now: Instant) -> ServiceStatus {
        let mut status = ServiceStatus::default();
        for server in self.servers_of(service) {
            status.registered += 1;
            if server.is_draining() {
                status.draining += 1;
            } else if !server.accepts_requests(now) {
                status.backing_off += 1;
            } else if server.is_ejected(now) {
                status.ejected += 1;
            }
        }
        status
    }

    /// Sets the group of this node.
    pub fn set_group(&mut self, group: Group, now: Instant) {
        if self.group != group {
            self.group = group;
            self.update_shares(now);
        }
    }

    /// Returns the servers of a service that this node uses: those of its group, or all of
    /// them while no server of its group accepts work.
    pub fn servers_in_use(&self, service: &str, now: Instant) -> &[ServerKey] {
        let all = self.of_service(service);
        let own = self.group.subset(all);
        let is_available = |&key: &ServerKey| {
            let server = self.servers.get(key);
            server.is_some_and(|server| server.is_available(now))
        };
        match own.iter().any(is_available) {
            true => own,
            false => all,
        }
    }

    /// Returns the server with this short id.
    pub fn by_short_id(&self, short_id: u32) -> Option<ServerKey> {
        self.servers.by_short_id(short_id)
    }

    /// Returns the server at this address, of several the one that started last.
    pub fn by_addr(&self, addr: SocketAddr) -> Option<ServerKey> {
        self.servers.at_addr(addr, |_, _| true)
    }

    /// Returns the server at this address whose service `is_wanted` accepts, of several the
    /// one that started last.
    pub(crate) fn by_addr_and_service(
        &self,
        addr: SocketAddr,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Option<ServerKey> {
        let is_wanted = |_, server: &Server| is_wanted(&server.record().service);
        self.servers.at_addr(addr, is_wanted)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the server with this instance id.
    pub fn by_instance(&self, instance: &str) -> Option<ServerKey> {
        self.servers.by_instance(instance)
    }

    /// Returns a server other than `key` at this address.
    pub fn other_server_at(&self, addr: SocketAddr, key: Option<ServerKey>) -> Option<ServerKey> {
        self.servers.at_addr(addr, |other, _| Some(other) != key)
    }

    /// Applies a notice from a server; returns whether it changes anything.
    pub fn apply_notice(&mut self, key: ServerKey, notice: ServerNotice, now: Instant) -> bool {
        let key = self.current_key(key);
        if let ServerNotice::Limit {
            limit,
            requested_at,
        } = notice
        {
            return self.record_limit(key, limit, requested_at, now);
        }
        let Some(server) = self.servers.get_mut(key) else {
            self.apply_notice_to_removed(key, notice, now);
            return false;
        };
        let is_new = server.apply_notice(notice, now);
        if is_new && notice == ServerNotice::Draining {
            self.draining_updates.push(server.short_id);
        }
        is_new
    }

    /// Returns the key under which a server is registered that had this key before; the same
    /// key if it is not registered.
    fn current_key(&self, key: ServerKey) -> ServerKey {
        if self.servers.get(key).is_some() {
            return key;
        }
        let removed = self.removed.get(key);
        let registered = removed.and_then(|removed| self.servers.by_short_id(removed.short_id));
        registered.unwrap_or(key)
    }

    /// Records a notice of a server whose registration was removed: an older snapshot of the
    /// store may restore it.
    fn apply_notice_to_removed(&mut self, key: ServerKey, notice: ServerNotice, now: Instant) {
        let short_id = self.removed.get(key).map(|removed| removed.short_id);
        let Some(removed) = short_id.and_then(|id| self.removed.last_of_mut(id)) else {
            return;
        };
        match notice {
            ServerNotice::Draining if self.draining.contains(removed.short_id) => {}
            ServerNotice::Draining => {
                self.draining.add_ended(removed.short_id);
                self.draining_updates.push(removed.short_id);
            }
            ServerNotice::Backoff(time) => {
                removed.backoff_until = removed.backoff_until.max(now.after(time));
            }
            ServerNotice::Limit { .. } => {}
        }
    }

    /// Marks an incarnation as draining on a peer's report; returns the server if that is
    /// new.
    pub fn apply_reported_draining(&mut self, short_id: u32) -> Option<ServerKey> {
        let Some(key) = self.servers.by_short_id(short_id) else {
            self.draining.add_reported(short_id);
            return None;
        };
        let server = self.servers.get_mut(key)?;
        server.apply_reported_draining().then_some(key)
    }

    /// Returns whether draining servers are to be published without delay.
    pub fn has_draining_updates(&self) -> bool {
        !self.draining_updates.is_empty()
    }

    /// Takes the short ids of draining servers that are to be published without delay.
    pub fn take_draining_updates(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.draining_updates)
    }

    /// Returns the short ids of at most `max` servers that announced to this node that they
    /// are draining. Reports from peers are not rebroadcast, since they would circulate after
    /// the incarnation has ended.
    pub fn draining_to_publish(&self, max: usize) -> Vec<u32> {
        let servers = self.servers.iter();
        let draining = servers.filter(|(_, server)| server.announced_draining());
        draining
            .map(|(_, server)| server.short_id)
            .take(max)
            .collect()
    }

    /// Returns whether a server has responded successfully after `since`.
    pub fn has_responded_since(&self, key: ServerKey, since: Instant) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.has_responded_since(since))
    }

    /// Records that a request is sent to a server.
    pub fn record_send(&mut self, key: ServerKey, now: Instant) {
        self.count_message(key, now);
        if let Some(server) = self.servers.get_mut(key) {
            server.record_send(now);
        }
    }

    /// Records a successful response.
    pub fn record_success(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_success(now);
        }
    }

    /// Records that a request to a server timed out without output; returns the duration of
    /// the ejection if this starts one. A server that responds to other requests is busy and
    /// has not failed: ejecting it would only move its load to equally busy servers.
    pub fn record_timeout(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        self.servers.get_mut(key)?.record_timeout(now)
    }

    /// Records a failure of a server; returns the duration of the ejection if this starts
    /// one.
    pub fn record_failure(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        self.servers.get_mut(key)?.record_failure(now)
    }

    /// Records that a server is unreachable, which ejects it at once.
    pub fn record_unreachable(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_unreachable(now);
        }
    }
}
