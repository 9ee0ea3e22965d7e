//! What follows when sending a request to a server ended, and how a request
//! ends.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{Router, LEAST_TIME_LEFT};
use crate::{AttemptEnd, Availability, Effect, Refusal, RequestKey, ServerKey, WorkPhase};

/// Sends of one request at most, refused ones included, as a multiple of the
/// servers it may run on.
const SENDS_PER_ATTEMPT: u32 = 3;
/// When a caller may come back whose request had to make way. Waves of long
/// work last for seconds.
const OVERLOAD_RETRY: Duration = Duration::from_millis(4_000);
/// When a caller may come back whose request the servers turned away.
const NEXT_TRY: Duration = Duration::from_millis(300);
/// The same where all servers leave: those that take their place write their records
/// about once a second.
const SUCCESSOR_IN: Duration = Duration::from_millis(1_000);
/// When a caller may come back under whose request servers ended: by then their
/// records mostly tell whether they crashed.
const SUSPECTED_RETRY: Duration = Duration::from_millis(2_000);

impl Router {
    pub(super) fn started(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        request.started = true;
        let Some(server) = request.at else {
            return;
        };
        self.board.set_phase(server, key, WorkPhase::Writing);
        if request.holds {
            for &helper in &request.helpers {
                self.board.set_phase(helper, key, WorkPhase::Holding);
            }
        } else {
            for helper in std::mem::take(&mut request.helpers) {
                self.board.remove(helper, key);
            }
        }
        self.fleet.note_success(server, now);
    }

    /// Takes a request off the servers that it was on.
    pub(super) fn lift(&mut self, key: RequestKey) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let helpers = std::mem::take(&mut request.helpers);
        for server in request.at.take().into_iter().chain(helpers) {
            self.board.remove(server, key);
        }
    }

    pub(super) fn forget(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        self.waiting.remove(key);
        self.lift(key);
        self.give_back(key, now, out);
        debug_assert!(!self.board.has_request(key), "work of an ended request");
        self.requests.remove(key);
    }

    pub(super) fn refuse(
        &mut self,
        key: RequestKey,
        reason: Refusal,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let ran_on = self.requests.get(key).and_then(Option::as_ref);
        let may_have_run = ran_on.is_some_and(|request| request.ran_on > 0);
        let reason = match reason.has_not_run() && may_have_run {
            true => Refusal::Unknown,
            false => reason,
        };
        let left = self.quarantine_left(key, now);
        let server_in = self.server_in(key, now);
        self.forget(key, now, out);
        let retry_after = match reason {
            Refusal::NotReady => Some(Duration::from_millis(500)),
            Refusal::Draining => Some(Duration::from_millis(50)),
            Refusal::Overloaded => Some(OVERLOAD_RETRY),
            Refusal::Suspected => Some(SUSPECTED_RETRY),
            Refusal::Quarantined => left,
            Refusal::NoServer | Refusal::NotRun | Refusal::Limited => Some(server_in),
            Refusal::Unknown | Refusal::TimedOut => None,
        };
        out.push(Effect::Refuse {
            request: key,
            reason,
            retry_after,
        });
    }

    /// Returns when a caller may come back whom no server served: when the first one
    /// takes requests again, where none does now.
    fn server_in(&mut self, key: RequestKey, now: Instant) -> Duration {
        let Some(Some(request)) = self.requests.get(key) else {
            return NEXT_TRY;
        };
        let service = request.service.clone();
        match self.fleet.availability(&service, &[], now) {
            Availability::Now => NEXT_TRY,
            Availability::WithinLimits(first) => self.limited_retry(&service, first, now),
            Availability::Later(time) => time,
            Availability::Never if self.fleet.of_service(&service).is_empty() => NEXT_TRY,
            Availability::Never => SUCCESSOR_IN,
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        request.waits_since = now;
        self.note_end(key, end, now);
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let server = request.at;
        // A helper that turned its part away would do so again.
        if let AttemptEnd::NotRun {
            at_fault: Some(addr),
            ..
        } = end
        {
            let at_fault = self.fleet.by_addr(addr);
            if at_fault != server {
                request.helpers_failed += 1;
            }
            request.tried.extend(at_fault);
        }
        if matches!(
            end,
            AttemptEnd::Broken | AttemptEnd::Unusable | AttemptEnd::Failed | AttemptEnd::Silent
        ) {
            request.ran_on += 1;
        }
        if matches!(end, AttemptEnd::NotConnected | AttemptEnd::NotSent) {
            self.take_back_sends(key, now);
        }
        self.judge_server(server, end, now, out);
        self.give_back(key, now, out);
        self.lift(key);
        if matches!(end, AttemptEnd::Delivered { .. }) {
            return self.forget(key, now, out);
        }
        if self.may_resend(key, end, now) {
            self.scatter_suspect(key, now);
            return self.queue_or_send(key, now, out);
        }
        self.give_up(key, end, now, out);
    }

    pub(super) fn judge_server(
        &mut self,
        server: Option<ServerKey>,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = server else {
            return;
        };
        let at_fault = match end {
            AttemptEnd::Delivered { healthy: true } => return self.fleet.note_success(server, now),
            AttemptEnd::Delivered { healthy: false } => return,
            AttemptEnd::NotRun {
                at_fault: Some(addr),
                ..
            } => {
                let at_fault = self.fleet.by_addr(addr);
                match at_fault.filter(|&at_fault| at_fault != server) {
                    // A helper turns a part away if it is gone, leaves or is
                    // full; the next prompt would fail by it as well.
                    Some(helper) => {
                        self.fleet.note_unreachable(helper, now);
                        None
                    }
                    None => at_fault,
                }
            }
            AttemptEnd::NotRun { moved: true, .. } => Some(server),
            AttemptEnd::NotRun { .. } => return,
            AttemptEnd::NotSent => return,
            AttemptEnd::Failed => None,
            AttemptEnd::NotConnected => {
                self.fleet.note_unreachable(server, now);
                None
            }
            AttemptEnd::Broken | AttemptEnd::Unusable => Some(server),
            AttemptEnd::Silent => {
                if let Some(pause) = self.fleet.note_silence(server, now) {
                    out.push(Effect::Closed { server, pause });
                }
                None
            }
        };
        let Some(at_fault) = at_fault else {
            return;
        };
        if let Some(pause) = self.fleet.note_failure(at_fault, now) {
            out.push(Effect::Closed {
                server: at_fault,
                pause,
            });
        }
    }

    pub(super) fn may_resend(&mut self, key: RequestKey, end: AttemptEnd, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        let attempts = request.facts.route.max_attempts;
        if request.left(now) < LEAST_TIME_LEFT || request.sends >= attempts * SENDS_PER_ATTEMPT {
            return false;
        }
        if request.ran_on > 0 && !request.may_repeat() {
            return false;
        }
        if request.ran_on >= attempts {
            return false;
        }
        // A send that reached no server costs no server anything.
        if matches!(end, AttemptEnd::NotConnected | AttemptEnd::NotSent) {
            return true;
        }
        self.budget.take(now, self.entries)
    }

    pub(super) fn give_up(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        if end == AttemptEnd::Failed {
            self.forget(key, now, out);
            out.push(Effect::DeliverFailure { request: key });
            return;
        }
        let reason = match self.quarantine_left(key, now) {
            Some(_) => Refusal::Quarantined,
            None => Refusal::NotRun,
        };
        self.refuse(key, reason, now, out);
    }
}
