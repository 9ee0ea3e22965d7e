//! Requests for services whose servers name limits: what one entry sends to them, and
//! who waits for what they allow.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::Rng;

use super::Router;
use crate::{request::Request, Effect, RequestKey, ToldLimit};

/// Part of its caller's patience within which a late request is expected to be sent, for
/// it to wait: one that came back was told to, one whose server failed would be lost. The
/// rest is left for its answer.
const LATE_WAIT_SHARE: f64 = 0.75;
/// By how much more than predicted callers are told to come back at most, as a part of it:
/// those that were refused together come back apart.
const RETRY_SPREAD: f64 = 0.25;

/// How many requests wait before the next one for what a service's servers allow, while
/// all that wait are looked at in order.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    by_service: Vec<(String, u32)>,
}

impl Ahead {
    /// Counts a request that waits.
    fn push(&mut self, service: &str) {
        let mut known = self.by_service.iter_mut();
        match known.find(|(name, _)| name == service) {
            Some((_, count)) => *count += 1,
            None => self.by_service.push((service.to_owned(), 1)),
        }
    }

    fn count(&self, service: &str) -> u32 {
        let mut known = self.by_service.iter();
        let known = known.find(|(name, _)| name == service);
        known.map_or(0, |(_, count)| *count)
    }
}

impl Router {
    pub(super) fn told_limits(
        &mut self,
        near: Option<(u32, &str)>,
        told: &[ToldLimit],
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        for (server, word) in self.fleet.hear_limits(near, told, now) {
            let by_peer = true;
            out.push(Effect::Heard {
                server,
                word,
                by_peer,
            });
        }
    }

    /// Takes back the sends of a request that reached no server.
    pub(super) fn take_back_sends(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        for &server in request.helpers.iter().chain(&request.at) {
            self.fleet.note_unsent(server, now);
        }
    }

    /// Tells whether a request may wait for what the limits of its servers allow: the
    /// first send in `first`, one after the other from then on.
    ///
    /// One whose turn comes too late for its objective is told at once when to come back:
    /// it has lost nothing yet, and would make those behind it late as well.
    pub(super) fn may_wait_for_limits(
        &self,
        request: &Request,
        first: Duration,
        ahead: &mut Ahead,
        now: Instant,
    ) -> bool {
        let before = ahead.count(&request.service);
        let turn = self.limited_turn(&request.service, first, before, now);
        let came_back = request.first_tried < request.facts.arrived;
        let is_late = came_back || request.sends > 0 || now >= request.objective_at();
        let allowed = match is_late {
            true => request.gives_up_at().since(now).mul_f64(LATE_WAIT_SHARE),
            false => request.objective_at().since(now),
        };
        let waits = turn + self.least_time(request, now) < allowed;
        if waits {
            ahead.push(&request.service);
        }
        waits
    }

    /// Returns when a request has its turn before which so many others wait.
    fn limited_turn(&self, service: &str, first: Duration, before: u32, now: Instant) -> Duration {
        /// A turn later than this is none.
        const NEVER: Duration = Duration::from_secs(3_600);
        let rate = self.fleet.allowed_rate(service, now);
        let others = f64::from(before) / rate;
        match others < NEVER.as_secs_f64() {
            true => first + Duration::from_secs_f64(others),
            false => NEVER,
        }
    }

    /// Returns how long a request takes at least, from its send to its first event.
    fn least_time(&self, request: &Request, now: Instant) -> Duration {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return Duration::ZERO;
        };
        let demand = self.demand(request, now);
        Duration::from_secs_f64(placement.soonest_ms(&demand) / 1e3)
    }

    /// Returns when a caller may come back that is refused for the limits of a service's
    /// servers: behind those that wait already.
    pub(super) fn limited_retry(
        &mut self,
        service: &str,
        first: Duration,
        now: Instant,
    ) -> Duration {
        let waiting = self.waiting.len() as u32;
        let turn = self.limited_turn(service, first, waiting, now);
        turn.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_SPREAD))
    }
}
