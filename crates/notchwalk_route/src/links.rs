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

#[derive(Clone, Copy, Debug, Default)]
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
        match self.by_service.get_mut(service) {
            Some(link) => link.is_check_requested = true,
            None => {
                let link = ServiceLink {
                    is_check_requested: true,
                    ..ServiceLink::default()
                };
                self.by_service.insert(service.to_owned(), link);
            }
        }
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

    /// Records the result of a check; returns whether it changed the reachability of the
    /// service.
    pub fn record_check(&mut self, service: &str, passed: bool, now: Instant) -> bool {
        let Some(link) = self.by_service.get_mut(service) else {
            return false;
        };
        link.is_checking = false;
        let was_unreachable = link.is_unreachable;
        if passed {
            link.passed_checks += 1;
            link.passed_at = Some(now);
        } else {
            link.passed_checks = 0;
        }
        link.is_unreachable =
            !passed || (was_unreachable && link.passed_checks < CHECKS_TO_RECOVER);
        was_unreachable != link.is_unreachable
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
