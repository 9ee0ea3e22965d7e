//! Checks the links to the servers of a service, which decide whether this node sends requests
//! itself or forwards them, and whether a server that refused a connection has ended.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::seq::SliceRandom;

use super::Router;
use crate::{request::Request, shares::short_id_of, Effect, RequestKey, ServerKey};

/// Maximum time that a further attempt waits for a check of the links. A check that passes
/// takes less.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(40);
/// Maximum number of servers to which a check of a service opens connections. Most of the
/// servers may have crashed together while the links are intact.
const SERVERS_PER_CHECK: usize = 12;

impl Router {
    /// Returns the services that this node can't reach.
    pub fn unreachable_services(&self) -> impl Iterator<Item = &str> {
        self.links.unreachable()
    }

    /// Returns the short ids of the services that this node can't reach, to publish to peers.
    pub fn unreachable_service_ids(&self) -> Vec<u32> {
        self.links.unreachable().map(short_id_of).collect()
    }

    /// Returns whether the service of a server is unreachable from this node.
    pub fn is_link_lost(&self, server: ServerKey) -> bool {
        self.fleet
            .get(server)
            .is_some_and(|server| self.links.is_unreachable(&server.record().service))
    }

    /// Checks the links to the service of a request whose attempt at a server failed.
    pub(super) fn check_links_after_failure(
        &mut self,
        key: RequestKey,
        server: Option<ServerKey>,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let is_registered = server.is_some_and(|server| self.fleet.get(server).is_some());
        let Some(Some(request)) = self.requests.get(key).filter(|_| is_registered) else {
            return;
        };
        self.links.request_check(&request.service);
        self.start_link_checks(now, out);
    }

    pub(super) fn handle_service_silent(
        &mut self,
        server: ServerKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        if let Some(service) = self.configured_service_of(server) {
            let service = service.to_owned();
            self.links.request_check_after_silence(&service, now);
            self.start_link_checks(now, out);
        }
    }

    /// Returns the service of a server if it is configured. No connection is opened to the
    /// servers of others.
    pub(super) fn configured_service_of(&self, server: ServerKey) -> Option<&str> {
        let service = &self.fleet.get(server)?.record().service;
        let (service, _) = self.services.get_key_value(service)?;
        Some(service)
    }

    /// Starts the checks of links that are due.
    pub(super) fn start_link_checks(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for service in self.links.take_due_checks(now) {
            let servers = self.servers_to_check(&service, now);
            if servers.is_empty() {
                self.record_link_check(&service, true, now);
                continue;
            }
            let addr = |&key: &ServerKey| Some(self.fleet.get(key)?.record().addr);
            let servers = servers.iter().filter_map(addr).collect();
            out.push(Effect::CheckLinks { service, servers });
        }
    }

    /// Returns servers of a service, the first ones in different failure domains if possible.
    /// Servers that are not ejected go first, since they are more probably up.
    fn servers_to_check(&mut self, service: &str, now: Instant) -> Vec<ServerKey> {
        let mut servers: Vec<ServerKey> = self.fleet.servers_in_use(service, now).to_vec();
        servers.retain(|&key| self.fleet.get(key).is_some_and(|s| !s.is_draining()));
        servers.shuffle(&mut self.rng);
        servers.sort_by_key(|&key| self.fleet.get(key).is_none_or(|s| !s.is_available(now)));
        let domain = |key: ServerKey| self.fleet.get(key).map(|s| &s.record().failure_domain);
        let mut chosen: Vec<ServerKey> = Vec::with_capacity(SERVERS_PER_CHECK);
        for &key in &servers {
            let is_new_domain = chosen.iter().all(|&other| domain(other) != domain(key));
            if chosen.len() < SERVERS_PER_CHECK && is_new_domain {
                chosen.push(key);
            }
        }
        for &key in &servers {
            if chosen.len() < SERVERS_PER_CHECK && !chosen.contains(&key) {
                chosen.push(key);
            }
        }
        chosen
    }

    pub(super) fn handle_links_checked(
        &mut self,
        service: String,
        passed: bool,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        if !self.record_link_check(&service, passed, now) {
            return self.dispatch_queued(now, out);
        }
        let is_reachable = !self.links.is_unreachable(&service);
        if is_reachable {
            self.quarantine.restart_probes();
        } else {
            // The same loss probably affects the other services.
            for other in self.services.keys().filter(|&other| *other != service) {
                self.links.request_check(other);
            }
        }
        out.push(Effect::ReachabilityChanged {
            service,
            is_reachable,
        });
        self.start_link_checks(now, out);
        self.dispatch_queued(now, out);
    }

    /// Records the result of a check; returns whether it changed the reachability of the
    /// service. A server that refused connections has ended if the check passes; over a lost
    /// link, all servers seem to refuse them.
    fn record_link_check(&mut self, service: &str, passed: bool, now: Instant) -> bool {
        let outcome = self.links.record_check(service, passed, now);
        for server in outcome.ended_servers {
            self.quarantine.record_server_ended(server, true, now);
        }
        outcome.is_change
    }

    /// Returns whether a further attempt waits until the links to the service are checked.
    /// Over a lost link it would be wasted.
    pub(super) fn awaits_link_check(&self, request: &Request, now: Instant) -> bool {
        request.sends > 0
            && self.links.is_checking(&request.service)
            && now.since(request.waiting_since) < MAX_CHECK_WAIT
    }
}
