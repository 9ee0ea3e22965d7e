//! Decides whether a request is sent now, queued or refused.
//!
//! Decisions depend on the current load only. A request that can meet its objective is sent
//! once its value exceeds the loss that it causes to other requests. A late request is sent
//! where it causes little loss, and at the latest before its caller times out. It is refused
//! if no server can respond before then.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{limits::QueuedAhead, suspects::ContentCheck, Router};
use crate::{
    placement::{EnginePlacement, Plan, RequestDemand},
    request::Request,
    retry_budget::SendCount,
    wait_queue::QueuedRequest,
    Availability, Effect, PlacementReason, Refusal, RequestKey,
};

/// Limit on the loss that a late long prompt causes to other requests, as a fraction of its
/// value. A late response keeps only a part of its own value.
const MAX_LATE_LOSS: f64 = 0.1;
/// A late prompt may stay queued while its prefill takes less than this fraction of the
/// caller's remaining timeout.
const MAX_LATE_WAIT_FRACTION: f64 = 0.5;
/// Limit on the loss that an oversized prompt causes to other requests if it meets its
/// objective, as a fraction of its value. An oversized prompt exceeds the memory of one
/// engine.
const MAX_OVERSIZED_LOSS: f64 = 0.2;
/// Fraction of the remaining objective that the predicted time to first token of an
/// oversized prompt may take. The prediction depends on many engines finishing together.
const OVERSIZED_TIME_FRACTION: f64 = 0.95;
/// Longest segment of a late oversized prompt, in milliseconds. Its engines are unavailable
/// to new requests for that long.
const MAX_LATE_SEGMENT_MS: f64 = 2_500.0;
/// Time reserved for decoding a late response, as a multiple of the inter-token objective.
const LATE_DECODE_INTERVALS: u32 = 3;
/// A request of a workspace over its share is sent at once if its predicted time to first
/// token is within this fraction of the remaining time to its objective. While all slots
/// are occupied, the predicted time is longer.
const SAFE_OBJECTIVE_FRACTION: f64 = 0.65;
/// While the queue is longer than this node's share of a service's slots divided by this
/// number, requests of workspaces over their share are refused. They would time out in the
/// queue.
const SLOTS_PER_QUEUED_REQUEST: u32 = 4;
/// Factor by which a late request's time to first token may exceed the prediction.
const PREDICTION_MARGIN: f64 = 1.3;
/// Margin subtracted from the caller's timeout, in milliseconds, for two ticks of the driver
/// and network delays.
const CALLER_TIMEOUT_MARGIN_MS: f64 = 100.0;

/// What to do with a request.
pub(super) enum Decision {
    /// Keep it queued.
    Wait,
    /// Send it; `None` if no server is available.
    Send(Option<Plan>),
    /// Forward it to this peer.
    Forward(u32),
    /// Refuse it.
    Refuse(Refusal),
}

impl Router {
    /// Sends or refuses the queued requests that are due.
    pub(super) fn dispatch_queued(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        self.refresh_shares(now);
        let mut ahead = QueuedAhead::default();
        for key in self.queue.dispatch_order(&self.shares) {
            let Some(Some(request)) = self.requests.get(key) else {
                self.queue.remove(key);
                continue;
            };
            match self.decide(request, &mut ahead, now) {
                Decision::Wait => {}
                Decision::Refuse(reason) => self.refuse(key, reason, now, out),
                Decision::Forward(peer) => {
                    self.queue.remove(key);
                    self.forward(key, peer, now, out);
                }
                Decision::Send(plan) => {
                    self.queue.remove(key);
                    self.send_planned(key, plan, now, out);
                }
            }
        }
    }

    fn refresh_shares(&mut self, now: Instant) {
        /// The sums scan all work on all servers, so they are cached for this long.
        const MAX_AGE: Duration = Duration::from_millis(50);
        if now.since(self.shares_updated_at) < MAX_AGE {
            return;
        }
        self.shares_updated_at = now;
        self.shares = self.load_view.shares(&self.fleet, now);
    }

    fn decide(&self, request: &Request, ahead: &mut QueuedAhead, now: Instant) -> Decision {
        let decision = self.decide_by_load(request, ahead, now);
        self.limit_to_shutdown(request, decision, now)
    }

    fn decide_by_load(&self, request: &Request, ahead: &mut QueuedAhead, now: Instant) -> Decision {
        match self.check_content(request, now) {
            ContentCheck::Allowed => {}
            ContentCheck::Wait => return Decision::Wait,
            ContentCheck::Refuse(reason) => return Decision::Refuse(reason),
        }
        if self.awaits_link_check(request, now) {
            return Decision::Wait;
        }
        if let Some(peer) = self.peer_to_forward_to(request, now) {
            return Decision::Forward(peer);
        }
        if request.next_send == SendCount::PeerRetry {
            return Decision::Refuse(Refusal::NotRun);
        }
        // Don't queue a request if all servers are draining or requested a backoff.
        match self
            .fleet
            .availability(&request.service, &request.attempted, now)
        {
            Availability::Now => {}
            Availability::WithinLimits(first) => {
                return match self.may_wait_for_limit(request, first, ahead, now) {
                    true => Decision::Wait,
                    false => Decision::Refuse(Refusal::Limited),
                };
            }
            Availability::Later(_) | Availability::Never => return Decision::Send(None),
        }
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return Decision::Send(self.plan(request, now));
        };
        let demand = self.demand(request, now);
        if self.long_prefill_ms(request, now).is_some() {
            return self.decide_long(request, &placement, &demand, now);
        }
        self.decide_short(request, &placement, &demand, now)
    }

    /// Decides whether a short request is sent, queued or refused.
    ///
    /// A request waits for spare capacity if it is late, if it would be late on every
    /// server, or if its workspace is over its share and slots are scarce. If it were sent
    /// at once, it would make other requests late. A request of a workspace over its share is
    /// refused if the queue is full.
    fn decide_short(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &RequestDemand,
        now: Instant,
    ) -> Decision {
        let plan = self.plan(request, now);
        let misses_objective = plan
            .as_ref()
            .is_some_and(|plan| plan.ttft_ms > demand.objective_ms);
        let is_late = misses_objective || now >= request.objective_at();
        let safe_ms = SAFE_OBJECTIVE_FRACTION * demand.objective_ms;
        let is_safely_in_time = plan.as_ref().is_some_and(|plan| plan.ttft_ms <= safe_ms);
        let is_over_share = !is_safely_in_time && self.shares.is_over(request.facts.workspace);
        if request.started || !(is_late || is_over_share) {
            return Decision::Send(plan);
        }
        let spare = placement.place_spare(&request.service, demand, &request.attempted);
        if spare.is_some() {
            return Decision::Send(spare);
        }
        if is_over_share && self.is_queue_full(&request.service) {
            return Decision::Refuse(Refusal::Overloaded);
        }
        let may_wait = plan.as_ref().is_some_and(|plan| {
            plan.ttft_ms * PREDICTION_MARGIN + CALLER_TIMEOUT_MARGIN_MS < demand.caller_timeout_ms
        });
        match may_wait {
            true => Decision::Wait,
            false => Decision::Send(plan),
        }
    }

    /// Returns whether the queue is longer than this node's share of a service's slots can
    /// serve.
    fn is_queue_full(&self, service: &str) -> bool {
        let slots = self.fleet.servers_of(service);
        let slots = slots.map(|server| server.record().slots);
        let slots = slots.fold(0, u32::saturating_add);
        let node_slots = slots / self.node_count.unwrap_or(1).max(1);
        self.queue.len() as u32 > node_slots / SLOTS_PER_QUEUED_REQUEST
    }

    fn decide_long(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &RequestDemand,
        now: Instant,
    ) -> Decision {
        let in_time = self
            .plan_in_time(request, placement, demand)
            .or_else(|| self.plan_urgent(request, now));
        if let Some(plan) = in_time {
            return Decision::Send(Some(plan));
        }
        if placement.min_ttft_ms(demand) < demand.objective_ms {
            return Decision::Wait;
        }
        self.decide_late(request, placement, demand, now)
    }

    /// Returns a plan that meets the objective and causes little loss to other requests.
    fn plan_in_time(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &RequestDemand,
    ) -> Option<Plan> {
        let (service, excluded) = (&request.service, &request.attempted);
        let left_ms = demand.objective_ms;
        let with_headroom = placement.place_long(service, demand, excluded);
        let with_headroom = with_headroom.filter(|plan| plan.ttft_ms <= left_ms);
        if with_headroom.is_some() || !placement.exceeds_engine(demand) {
            return with_headroom;
        }
        let limit_ms = left_ms * OVERSIZED_TIME_FRACTION;
        let plan = placement.place_oversized(service, demand, excluded, limit_ms, left_ms)?;
        (plan.loss_ms <= MAX_OVERSIZED_LOSS * plan.value_ms).then_some(plan)
    }

    /// Decides whether a prompt that can no longer meet its objective is sent, queued or
    /// refused. It is sent once it causes little loss to other requests, or when it can
    /// wait no longer. Sending all late prompts of a burst at once would make other
    /// requests late as well.
    fn decide_late(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &RequestDemand,
        now: Instant,
    ) -> Decision {
        let (service, excluded) = (&request.service, &request.attempted);
        let limit_ms = self.caller_timeout_ms(request, now);
        let exceeds = placement.exceeds_engine(demand);
        let plan = match exceeds {
            true => {
                placement.place_oversized(service, demand, excluded, limit_ms, MAX_LATE_SEGMENT_MS)
            }
            false => placement.place_late(service, demand, excluded, limit_ms),
        };
        let may_wait = placement.min_ttft_ms(demand) < limit_ms * MAX_LATE_WAIT_FRACTION;
        match plan {
            Some(plan) if plan.loss_ms <= MAX_LATE_LOSS * plan.value_ms => {
                Decision::Send(Some(plan))
            }
            Some(_) if may_wait => Decision::Wait,
            Some(plan) => Decision::Send(Some(plan)),
            None => Decision::Refuse(Refusal::Overloaded),
        }
    }

    /// Returns whether a request could be sent to another server immediately.
    pub(super) fn has_alternative(&self, request: &Request, now: Instant) -> bool {
        let decision = self.decide(request, &mut QueuedAhead::default(), now);
        matches!(decision, Decision::Send(Some(_)) | Decision::Forward(_))
    }

    /// Returns a plan that meets the objective although it makes other requests late, if
    /// the request's value justifies that.
    fn plan_urgent(&self, request: &Request, now: Instant) -> Option<Plan> {
        /// Limit on the loss caused to other requests, as a fraction of the request's value.
        const MAX_LOSS_FRACTION: f64 = 0.3;
        let left_ms = request.objective_at().since(now).as_secs_f64() * 1e3;
        let mut plan = self.plan(request, now)?;
        plan.reason = PlacementReason::Urgent;
        let is_loss_acceptable = plan.loss_ms <= MAX_LOSS_FRACTION * plan.value_ms;
        (plan.ttft_ms <= left_ms && is_loss_acceptable).then_some(plan)
    }

    /// Returns how long the caller of a late request still waits for its first token, in
    /// milliseconds.
    fn caller_timeout_ms(&self, request: &Request, now: Instant) -> f64 {
        let route = &request.facts.route;
        let decode_time = route.inter_token_objective.unwrap_or_default() * LATE_DECODE_INTERVALS;
        let end = request.caller_timeout_at();
        let end = end.min(request.facts.deadline.before(decode_time));
        end.since(now).as_secs_f64() * 1e3
    }

    /// Returns the prefill time of a request's prompt in milliseconds, if it is long enough
    /// to be queued for engines with headroom.
    fn long_prefill_ms(&self, request: &Request, now: Instant) -> Option<f64> {
        /// Maximum prefill time that fits into an engine step with short requests.
        const MAX_SHORT_PREFILL_MS: f64 = 200.0;
        /// Requests with a shorter objective are not queued.
        const MIN_OBJECTIVE: Duration = Duration::from_millis(800);
        if request.facts.route.objective < MIN_OBJECTIVE {
            return None;
        }
        let placement = self.engine_placement(&request.service, now)?;
        let prefill_ms = placement.prefill_ms(&self.demand(request, now));
        (prefill_ms > MAX_SHORT_PREFILL_MS).then_some(prefill_ms)
    }

    pub(super) fn enqueue_and_dispatch(
        &mut self,
        key: RequestKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let prefill_ms = self.long_prefill_ms(request, now).unwrap_or_default();
        self.queue.push(QueuedRequest {
            request: key,
            workspace: request.facts.workspace,
            prefill_ms,
        });
        self.dispatch_queued(now, out);
    }
}
