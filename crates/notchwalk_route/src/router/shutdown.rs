//! Which requests a node that shuts down still serves: those that it can be expected to finish
//! before it exits. The others are refused at once, so that their callers have the rest of
//! their time at another node.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{after_ms, waiting::Decision, Router};
use crate::{placement::Plan, request::Request, DrainSchedule, Effect, Refusal, RequestKey};

/// Ratio of the time allowed for a request to its predicted duration.
const DURATION_MARGIN: f64 = 1.3;
/// Minimum retry delay of a request that is refused because this node shuts down. Other nodes
/// accept it immediately.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Router {
    /// Starts the shutdown.
    pub(super) fn start_draining(&mut self, schedule: DrainSchedule) {
        self.draining = Some(schedule);
    }

    /// Returns the retry delay of a request that is refused because this node shuts down.
    ///
    /// Until the directory's responses that list this node have expired, a caller could choose
    /// it again. A peer that forwarded the request knows that it stops.
    pub fn shutdown_retry_after(&self, is_forwarded: bool, now: Instant) -> Duration {
        let draining = self.draining.filter(|_| !is_forwarded);
        let until_unlisted = draining.map(|draining| draining.unlisted_at.since(now));
        until_unlisted.unwrap_or_default().max(MIN_RETRY_AFTER)
    }

    pub(super) fn is_forwarded(&self, key: RequestKey) -> bool {
        let request = self.requests.get(key).and_then(Option::as_ref);
        request.is_some_and(|request| request.facts.forwarded.is_some())
    }

    pub(super) fn refuses_because_draining(&self, key: RequestKey, now: Instant) -> bool {
        let Some(draining) = &self.draining else {
            return false;
        };
        now >= match self.is_forwarded(key) {
            true => draining.refuses_peers_from,
            false => draining.refuses_callers_from,
        }
    }

    /// Replaces a decision by a refusal if the request can't end before this node exits.
    pub(super) fn limit_to_shutdown(
        &self,
        request: &Request,
        decision: Decision,
        now: Instant,
    ) -> Decision {
        // The caller keeps what it has of a stream, so each further event is useful.
        if self.draining.is_none() || request.has_output {
            return decision;
        }
        let duration_ms = match &decision {
            Decision::Refuse(_) | Decision::Send(None) => return decision,
            Decision::Send(Some(plan)) => self.planned_duration_ms(request, plan, now),
            Decision::Wait | Decision::Forward(_) => self.min_duration_ms(request, now),
        };
        match self.ends_before_exit(duration_ms, now) {
            true => decision,
            false => Decision::Refuse(Refusal::Draining),
        }
    }

    /// Returns whether a request that is sent now can end before this node exits.
    pub(super) fn can_end_before_exit(&self, request: &Request, now: Instant) -> bool {
        request.has_output || self.ends_before_exit(self.min_duration_ms(request, now), now)
    }

    fn ends_before_exit(&self, duration_ms: f64, now: Instant) -> bool {
        let ends_at = after_ms(now, duration_ms * DURATION_MARGIN);
        self.draining
            .is_none_or(|draining| ends_at <= draining.responses_end_at)
    }

    /// Returns the predicted duration of a request that is sent as planned, in milliseconds.
    fn planned_duration_ms(&self, request: &Request, plan: &Plan, now: Instant) -> f64 {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return call_duration_ms(request);
        };
        let demand = self.demand(request, now);
        plan.ttft_ms + placement.decode_ms(plan.primary.server, &demand)
    }

    /// Returns the duration of a request if its servers have nothing else to do, in
    /// milliseconds.
    fn min_duration_ms(&self, request: &Request, now: Instant) -> f64 {
        match self.engine_placement(&request.service, now) {
            Some(placement) => {
                placement.min_duration_ms(&request.service, &self.demand(request, now))
            }
            None => call_duration_ms(request),
        }
    }

    /// Refuses the requests that have waited for engine memory for too long to end before
    /// this node exits. Queued ones are refused when they are dispatched.
    pub(super) fn refuse_late_reservations(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.draining.is_none() {
            return;
        }
        let requests = self.requests.iter();
        let requests = requests.filter_map(|(key, request)| Some((key, request.as_ref()?)));
        let late = requests.filter(|(_, request)| {
            request.pending_assignment.is_some() && !self.can_end_before_exit(request, now)
        });
        let late: Vec<RequestKey> = late.map(|(key, _)| key).collect();
        for key in late {
            self.roll_back_sends(key, now);
            self.refuse(key, Refusal::Draining, now, out);
        }
    }
}

/// Returns the expected duration of a call to a plain service, in milliseconds.
fn call_duration_ms(request: &Request) -> f64 {
    request.facts.route.objective.as_secs_f64() * 1e3
}
