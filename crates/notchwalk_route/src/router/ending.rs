//! Handles the ends of attempts and requests: retries, refusals and the release of servers.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{forwarding::may_try_other_peer, Router, MIN_TIME_LEFT};
use crate::{
    retry_budget::SendCount, AttemptEnd, Availability, Effect, Refusal, RequestKey, ServerKey,
    WorkPhase,
};

/// Limit on the sends of a request, rejected ones included, as a multiple of its route's
/// attempts.
const MAX_SENDS_PER_ATTEMPT: u32 = 3;
/// Retry delay after an overload refusal. Bursts of long prompts last for seconds.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(4_000);
/// Retry delay after servers rejected the request.
const RETRY_AFTER_NOT_RUN: Duration = Duration::from_millis(300);
/// Retry delay while all servers are draining. Replacements register about once a second.
const RETRY_AFTER_ALL_DRAINING: Duration = Duration::from_millis(1_000);
/// Retry delay for suspected content. By then the registrations usually show whether its
/// servers crashed.
const RETRY_AFTER_SUSPECTED: Duration = Duration::from_millis(2_000);

impl Router {
    /// Handles the first event of a stream, which ends the prefill.
    pub(super) fn handle_started(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        request.started = true;
        request.has_output = true;
        let Some(server) = request.server else {
            return;
        };
        self.load_view.set_phase(server, key, WorkPhase::Decode);
        if request.holds_reservations {
            for &worker in &request.prefill_workers {
                self.load_view
                    .set_phase(worker, key, WorkPhase::RemoteCache);
            }
        } else {
            for worker in std::mem::take(&mut request.prefill_workers) {
                self.load_view.remove(worker, key);
            }
        }
        self.fleet.record_success(server, now);
    }

    /// Removes a request from its servers.
    pub(super) fn remove_from_servers(&mut self, key: RequestKey) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let workers = std::mem::take(&mut request.prefill_workers);
        for server in request.server.take().into_iter().chain(workers) {
            self.load_view.remove(server, key);
        }
    }

    /// Removes a request from all state and releases its reservations.
    pub(super) fn remove_request(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        self.queue.remove(key);
        self.remove_from_servers(key);
        self.release_reservations(key, now, out);
        debug_assert!(
            !self.load_view.has_request(key),
            "removed request still has work in the load view"
        );
        let Some(Some(request)) = self.requests.remove(key) else {
            return;
        };
        if request.next_send == SendCount::Retry {
            self.retry_budgets.release(&request.service);
        }
    }

    /// Refuses a request and drops its state. If it may have run, the reason is
    /// [`Refusal::Unknown`] instead of one that guarantees that it has not.
    pub(super) fn refuse(
        &mut self,
        key: RequestKey,
        reason: Refusal,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.refuse_with(key, reason, None, now, out);
    }

    /// Like [`Self::refuse`], with the retry delay that a peer requested, if any.
    fn refuse_with(
        &mut self,
        key: RequestKey,
        reason: Refusal,
        peer_retry_after: Option<Duration>,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get(key).and_then(Option::as_ref);
        let may_have_run = request.is_some_and(|request| request.started_on > 0);
        let reason = match reason.has_not_run() && may_have_run {
            true => Refusal::Unknown,
            false => reason,
        };
        let quarantine_left = self.quarantine_left(key, now);
        if matches!(reason, Refusal::Suspected | Refusal::Quarantined) {
            self.report_blocked(key, now, out);
        }
        let server_retry_after = self.server_retry_after(key, now);
        let is_forwarded = self.is_forwarded(key);
        self.remove_request(key, now, out);
        let retry_after = match reason {
            Refusal::NotReady => Some(Duration::from_millis(500)),
            Refusal::Draining => Some(self.shutdown_retry_after(is_forwarded, now)),
            Refusal::Overloaded => Some(RETRY_AFTER_OVERLOAD),
            Refusal::Suspected => Some(RETRY_AFTER_SUSPECTED),
            Refusal::Quarantined => quarantine_left,
            Refusal::NoServer | Refusal::NotRun | Refusal::Limited | Refusal::PeerBusy => {
                Some(server_retry_after)
            }
            Refusal::Unknown | Refusal::TimedOut => None,
        };
        let retry_after = peer_retry_after.or(retry_after);
        out.push(Effect::Refuse {
            request: key,
            reason,
            retry_after,
        });
    }

    /// Returns the retry delay for a request that no server accepted: the time until a server
    /// accepts requests again.
    fn server_retry_after(&mut self, key: RequestKey, now: Instant) -> Duration {
        let Some(Some(request)) = self.requests.get(key) else {
            return RETRY_AFTER_NOT_RUN;
        };
        let service = request.service.clone();
        match self.fleet.availability(&service, &[], now) {
            Availability::Now => RETRY_AFTER_NOT_RUN,
            Availability::WithinLimits(first) => self.limited_retry_after(&service, first, now),
            Availability::Later(time) => time,
            Availability::Never if self.fleet.of_service(&service).is_empty() => {
                RETRY_AFTER_NOT_RUN
            }
            Availability::Never => RETRY_AFTER_ALL_DRAINING,
        }
    }

    pub(super) fn handle_attempt_ended(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        request.waiting_since = now;
        self.end_forwarding(key, Some(end), now);
        self.record_content_outcome(key, end, now);
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let server = request.server;
        let faulty_server = end.faulty_server().and_then(|addr| {
            let is_wanted = |service: &str| service == request.service;
            self.fleet.by_addr_and_service(addr, is_wanted)
        });
        // Excludes a prefill worker that rejected its segment from further attempts.
        if end.faulty_server().is_some() {
            if faulty_server != server {
                request.prefill_worker_failures += 1;
            }
            request.attempted.extend(faulty_server);
        }
        if matches!(
            end,
            AttemptEnd::ConnectionLost
                | AttemptEnd::InvalidResponse
                | AttemptEnd::ServerError
                | AttemptEnd::IdleTimeout
        ) {
            request.started_on += 1;
        }
        if matches!(end, AttemptEnd::NotConnected | AttemptEnd::NotSent) {
            self.roll_back_sends(key, now);
        }
        self.record_server_outcome(server, faulty_server, end, now, out);
        self.release_reservations(key, now, out);
        self.remove_from_servers(key);
        if matches!(end, AttemptEnd::Delivered { .. }) {
            return self.remove_request(key, now, out);
        }
        if matches!(end, AttemptEnd::NotConnected | AttemptEnd::ConnectionLost) {
            self.check_links_after_failure(key, server, now, out);
        }
        if self.may_retry(key, end, now, out) {
            self.restrict_suspect(key, now);
            return self.enqueue_and_dispatch(key, now, out);
        }
        self.finish_failed(key, end, now, out);
    }

    /// Records what the end of an attempt shows about the health of its servers.
    pub(super) fn record_server_outcome(
        &mut self,
        server: Option<ServerKey>,
        faulty_server: Option<ServerKey>,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = server else {
            return;
        };
        let faulty_server = match end {
            AttemptEnd::Delivered { is_success: true } => {
                return self.fleet.record_success(server, now)
            }
            AttemptEnd::Delivered { is_success: false } => return,
            AttemptEnd::NotRun {
                faulty_server: Some(_),
                ..
            } => {
                match faulty_server.filter(|&faulty_server| faulty_server != server) {
                    // A worker that rejects a segment is unreachable, draining or full. It
                    // would reject the next segment too.
                    Some(worker) => {
                        self.fleet.record_unreachable(worker, now);
                        None
                    }
                    None => faulty_server,
                }
            }
            AttemptEnd::NotRun {
                address_reused: true,
                ..
            } => Some(server),
            AttemptEnd::NotRun { .. } => return,
            AttemptEnd::NotSent | AttemptEnd::PeerRefused { .. } => return,
            AttemptEnd::ServerError => None,
            AttemptEnd::NotConnected => {
                self.fleet.record_unreachable(server, now);
                None
            }
            AttemptEnd::ConnectionLost | AttemptEnd::InvalidResponse => Some(server),
            AttemptEnd::IdleTimeout => {
                if let Some(ejection) = self.fleet.record_timeout(server, now) {
                    out.push(Effect::Ejected {
                        server,
                        duration: ejection,
                    });
                }
                None
            }
        };
        let Some(faulty_server) = faulty_server else {
            return;
        };
        if let Some(ejection) = self.fleet.record_failure(faulty_server, now) {
            out.push(Effect::Ejected {
                server: faulty_server,
                duration: ejection,
            });
        }
    }

    /// Returns whether a request may be sent again, and reserves a retry in the budget if
    /// the attempt put load on a server.
    pub(super) fn may_retry(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return false;
        };
        let attempts = request.max_attempts();
        let has_sends_left = request.sends < attempts * MAX_SENDS_PER_ATTEMPT;
        if request.time_left(now) < MIN_TIME_LEFT {
            return false;
        }
        if request.started_on > 0 && !request.may_repeat() {
            return false;
        }
        if request.started_on >= attempts {
            return false;
        }
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        let can_forward = self.peer_to_pay_retry(request, now).is_some();
        if !has_sends_left && !can_forward {
            return false;
        }
        match end {
            // The attempt put no load on a server, so it does not count as a retry.
            AttemptEnd::NotConnected | AttemptEnd::NotSent => return true,
            AttemptEnd::PeerRefused { reason, .. } if !may_try_other_peer(reason) => return false,
            // The servers that the peer chose rejected the request.
            AttemptEnd::PeerRefused {
                reason: Refusal::NotRun,
                ..
            } => {}
            AttemptEnd::PeerRefused { .. } => return true,
            _ => {}
        }
        let service = request.service.clone();
        let usage = self.retry_budgets.usage(&service, now);
        let is_own_retry = self.retry_budgets.try_reserve(&service, now);
        let allowed = is_own_retry || can_forward;
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.next_send = match (is_own_retry, can_forward) {
                (true, _) => SendCount::Retry,
                (false, true) => SendCount::PeerRetry,
                (false, false) => request.next_send,
            };
        }
        out.push(Effect::RetryDecided {
            request: key,
            service,
            end,
            allowed,
            usage,
        });
        allowed
    }

    /// Ends a request that may not be sent again.
    pub(super) fn finish_failed(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        if end == AttemptEnd::ServerError {
            self.remove_request(key, now, out);
            out.push(Effect::DeliverFailure { request: key });
            return;
        }
        if let AttemptEnd::PeerRefused {
            reason,
            retry_after,
        } = end
        {
            return self.refuse_with(key, reason, retry_after, now, out);
        }
        let reason = match self.quarantine_left(key, now) {
            Some(_) => Refusal::Quarantined,
            None => Refusal::NotRun,
        };
        self.refuse(key, reason, now, out);
    }
}
