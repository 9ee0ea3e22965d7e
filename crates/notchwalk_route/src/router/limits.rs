//! Requests for services whose servers announce rate limits: which requests may be queued,
//! and for how long.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::Rng;

use super::Router;
use crate::{request::Request, Effect, LimitUpdate, RequestKey};

/// Fraction of the caller's remaining timeout that a late request may wait for a rate limit.
/// The rest is left for the response.
const MAX_LIMIT_WAIT_FRACTION: f64 = 0.75;
/// Random addition to retry delays, as a fraction, so that refused callers don't all retry
/// at the same time.
const RETRY_JITTER: f64 = 0.25;

/// Counts the requests queued ahead for each service during one scan of the queue.
#[derive(Debug, Default)]
pub(super) struct QueuedAhead {
    by_service: Vec<(String, u32)>,
}

impl QueuedAhead {
    /// Counts a queued request.
    fn push(&mut self, service: &str) {
        let mut counts = self.by_service.iter_mut();
        match counts.find(|(name, _)| name == service) {
            Some((_, count)) => *count += 1,
            None => self.by_service.push((service.to_owned(), 1)),
        }
    }

    /// Returns the number of requests counted for a service.
    fn count(&self, service: &str) -> u32 {
        let mut counts = self.by_service.iter();
        let found = counts.find(|(name, _)| name == service);
        found.map_or(0, |(_, count)| *count)
    }
}

impl Router {
    /// Applies a peer's updates on limited servers and reports the limits that changed.
    pub(super) fn apply_peer_limits(
        &mut self,
        group_peer: Option<(u32, &str)>,
        limits: &[LimitUpdate],
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        for (server, notice) in self.fleet.apply_limit_updates(group_peer, limits, now) {
            let reported_by_peer = true;
            out.push(Effect::NewNotice {
                server,
                notice,
                reported_by_peer,
            });
        }
    }

    /// Rolls back the sends of a request that reached no server.
    pub(super) fn roll_back_sends(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        for &server in request.prefill_workers.iter().chain(&request.server) {
            self.fleet.roll_back_message(server, now);
        }
    }

    /// Returns whether a request may be queued for its servers' rate limits. The first
    /// queued request is sent in `first_send`, the others at the allowed rate.
    ///
    /// A request whose first token would miss its objective is refused with a retry delay.
    /// Queueing it would also delay those behind it.
    pub(super) fn may_wait_for_limit(
        &self,
        request: &Request,
        first_send: Duration,
        ahead: &mut QueuedAhead,
        now: Instant,
    ) -> bool {
        let queued_before = ahead.count(&request.service);
        let wait = self.limited_wait(&request.service, first_send, queued_before, now);
        let is_caller_retry = request.first_attempt_at < request.facts.arrived_at;
        let is_late = is_caller_retry || request.sends > 0 || now >= request.objective_at();
        let allowed = match is_late {
            true => request
                .caller_aborts_at()
                .since(now)
                .mul_f64(MAX_LIMIT_WAIT_FRACTION),
            false => request.objective_at().since(now),
        };
        let may_wait = wait + self.min_ttft(request, now) < allowed;
        if may_wait {
            ahead.push(&request.service);
        }
        may_wait
    }

    /// Returns the time until a request is sent, with `queued_before` requests ahead of it.
    fn limited_wait(
        &self,
        service: &str,
        first_send: Duration,
        queued_before: u32,
        now: Instant,
    ) -> Duration {
        /// Maximum result.
        const MAX_WAIT: Duration = Duration::from_secs(3_600);
        let rate = self.fleet.own_allowed_rate(service, now);
        let queue_time = f64::from(queued_before) / rate;
        match queue_time < MAX_WAIT.as_secs_f64() {
            true => first_send + Duration::from_secs_f64(queue_time),
            false => MAX_WAIT,
        }
    }

    /// Returns the minimum time from sending a request to its first token.
    fn min_ttft(&self, request: &Request, now: Instant) -> Duration {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return Duration::ZERO;
        };
        let demand = self.demand(request, now);
        Duration::from_secs_f64(placement.min_ttft_ms(&demand) / 1e3)
    }

    /// Returns the retry delay for a request refused because of rate limits: after all
    /// queued requests.
    pub(super) fn limited_retry_after(
        &mut self,
        service: &str,
        first_send: Duration,
        now: Instant,
    ) -> Duration {
        let queue_len = self.queue.len() as u32;
        let wait = self.limited_wait(service, first_send, queue_len, now);
        wait.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_JITTER))
    }
}
