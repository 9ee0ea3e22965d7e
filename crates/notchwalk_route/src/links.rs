//! Which services this node reaches.
//!
//! Only a new connection shows whether a link is lost: a silent server may be busy, and open
//! connections may outlive the loss. After a failure or a silence, connections to servers of
//! the service are opened. The service is unreachable if none of them opens.

use std::{collections::BTreeMap, time::Duration};

use notchwalk_core::Instant;

/// Minimum interval between checks of a reachable service.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between a passed check and the next one after a silence. A node with a
/// single long request is often silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks of an unreachable service.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Consecutive checks that must pass until an unreachable service is reachable again. One may
/// pass by chance on a link that loses packets.
const CHECKS_TO_RECOVER: u32 = 2;

#[derive(Clone, Debug, Default)]
struct ServiceLink {
    is_unreachable: bool,
    /// Whether a check was requested and has not started.
    is_check_requested: bool,
    is_checking: bool,
    next_check_at: Instant,
    /// When a check last passed.
    passed_at: Option<Instant>,
    /// Consecutive checks that passed while the service is unreachable.
    passed_checks: u32,
    /// The servers that refused a connection since the last check, by their short ids.
    refusing_servers: Vec<u32>,
}

/// What the result of a check shows.
#[derive(Debug, Default)]
pub(crate) struct CheckOutcome {
    /// Whether the reachability of the service changed.
    pub is_change: bool,
    /// The servers that refused a connection although the links are intact.
    pub ended_servers: Vec<u32>,
}

/// The links of this node to the services.
#[derive(Debug, Default)]
pub(crate) struct Links {
    // Ordered, so that replays are deterministic.
    by_service: BTreeMap<String, ServiceLink>,
}

impl Links {
    /// Requests a check of a service whose servers are silent.
    pub fn request_check_after_silence(&mut self, service: &str, now: Instant) {
        let passed_at = self.by_service.get(service).and_then(|link| link.passed_at);
        if passed_at.is_none_or(|at| now.since(at) >= SILENCE_CHECK_INTERVAL) {
            self.request_check(service);
        }
    }

    /// Requests a check of a service after a failure.
    pub fn request_check(&mut self, service: &str) {
        self.link_mut(service).is_check_requested = true;
    }

    /// Records that a server refused a connection, and requests the check that shows whether
    /// the server or the link is the cause. While the service is unreachable, it is the link.
    pub fn record_refused_connection(&mut self, service: &str, server: u32) {
        let link = self.link_mut(service);
        if link.is_unreachable {
            return;
        }
        link.is_check_requested = true;
        if !link.refusing_servers.contains(&server) {
            link.refusing_servers.push(server);
        }
    }

    fn link_mut(&mut self, service: &str) -> &mut ServiceLink {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.to_owned(), ServiceLink::default());
        }
        self.by_service.get_mut(service).expect("just inserted")
    }

    /// Takes the services whose check starts now.
    pub fn take_due_checks(&mut self, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for (service, link) in &mut self.by_service {
            let is_wanted = link.is_check_requested || link.is_unreachable;
            if !is_wanted || link.is_checking || now < link.next_check_at {
                continue;
            }
            link.is_check_requested = false;
            link.is_checking = true;
            link.next_check_at = now.after(match link.is_unreachable {
                true => RECHECK_INTERVAL,
                false => MIN_CHECK_INTERVAL,
            });
            due.push(service.clone());
        }
        due
    }

    /// Records the result of a check.
    pub fn record_check(&mut self, service: &str, passed: bool, now: Instant) -> CheckOutcome {
        let Some(link) = self.by_service.get_mut(service) else {
            return CheckOutcome::default();
        };
        link.is_checking = false;
        let was_unreachable = link.is_unreachable;
        let refusing_servers = std::mem::take(&mut link.refusing_servers);
        if passed {
            link.passed_checks += 1;
            link.passed_at = Some(now);
        } else {
            link.passed_checks = 0;
        }
        link.is_unreachable =
            !passed || (was_unreachable && link.passed_checks < CHECKS_TO_RECOVER);
        CheckOutcome {
            is_change: was_unreachable != link.is_unreachable,
            ended_servers: if passed { refusing_servers } else { Vec::new() },
        }
    }

    /// Returns whether a service is unreachable from this node.
    pub fn is_unreachable(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_some_and(|link| link.is_unreachable)
    }

    /// Returns whether a service is unreachable, or a check of its links is under way.
    pub fn is_suspect(&self, service: &str) -> bool {
        let link = self.by_service.get(service);
        link.is_some_and(|link| link.is_unreachable || link.is_checking || link.is_check_requested)
    }

    /// Returns whether a check of the links to a service is under way.
    pub fn is_checking(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_some_and(|link| link.is_checking)
    }

    /// Returns the unreachable services.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let links = self.by_service.iter();
        let unreachable = links.filter(|(_, link)| link.is_unreachable);
        unreachable.map(|(service, _)| service.as_str())
    }

    /// Forgets services that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.by_service
            .retain(|service, _| is_configured(service.as_str()));
    }
}
