//! Long requests: when they are sent, and on which grounds.

use std::time::Duration;

use notchwalk_core::Instant;

use super::Router;
use crate::{
    long_queue::{Waiting, PATIENCE_IN_OBJECTIVES},
    placement::{Demand, EnginePlacement, Plan},
    request::Request,
    Effect, Grounds, Refusal, RequestKey,
};

/// A refusal should come within a quarter of the objective, while its caller
/// can still be served elsewhere or later; this is a little earlier.
const DECIDED_IN_PART_OF_OBJECTIVE: u32 = 5;
/// Pauses of the longest length in time that a late answer is left to be
/// written in.
const LATE_WRITING_PAUSES: u32 = 3;

/// What becomes of a long request that waits.
enum LongDecision {
    /// It goes on waiting.
    Wait,
    /// It is sent; `None` if no server is left.
    Send(Option<Plan>),
    /// The fleet has no room for it.
    Refuse,
}

impl Router {
    /// Sends the long requests for which engines have room.
    pub(super) fn send_long(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.long_queue.is_empty() {
            return;
        }
        for waiting in self.long_queue.in_order(now) {
            let key = waiting.request;
            let Some(Some(request)) = self.requests.get(key) else {
                self.long_queue.remove(key);
                continue;
            };
            match self.decide_long(request, &waiting, now) {
                LongDecision::Wait => {}
                LongDecision::Refuse => self.refuse(key, Refusal::Overloaded, now, out),
                LongDecision::Send(plan) => {
                    self.long_queue.remove(key);
                    self.send_by(key, plan, now, out);
                }
            }
        }
    }

    fn decide_long(&self, request: &Request, waiting: &Waiting, now: Instant) -> LongDecision {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return LongDecision::Send(None);
        };
        let (service, tried) = (&request.service, &request.tried);
        let demand = Demand::new(&request.facts, now);
        let left_ms = request.objective_at().since(now).as_secs_f64() * 1e3;
        let in_time = placement.place_long(service, &demand, tried);
        let in_time = in_time.filter(|plan| plan.first_ms <= left_ms);
        if placement.exceeds_engine(&demand) {
            return match in_time {
                Some(plan) => LongDecision::Send(Some(plan)),
                None => self.decide_oversized(request, &placement, &demand, now),
            };
        }
        match in_time.or_else(|| self.plan_urgent(request, now)) {
            Some(plan) => LongDecision::Send(Some(plan)),
            None if now < waiting.latest => LongDecision::Wait,
            None => {
                let limit_ms = self.patience_ms(request, now);
                LongDecision::Send(placement.place_late(service, &demand, tried, limit_ms))
            }
        }
    }

    /// Tells whether a request would be sent to another server at once.
    pub(super) fn has_way(&self, request: &Request, now: Instant) -> bool {
        let Some(read_ms) = self.long_read_ms(request, now) else {
            return self.plan(request, now).is_some();
        };
        let waiting = Waiting::new(RequestKey::default(), &request.facts, read_ms, now);
        let decision = self.decide_long(request, &waiting, now);
        matches!(decision, LongDecision::Send(Some(_)))
    }

    /// Decides about a prompt that exceeds one engine and can't be read in time:
    /// it is read late if enough engines are idle.
    fn decide_oversized(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &Demand,
        now: Instant,
    ) -> LongDecision {
        let limit_ms = self.patience_ms(request, now);
        let (service, tried) = (&request.service, &request.tried);
        let plan = placement.place_oversized(service, demand, tried, limit_ms);
        let decided_by = request.facts.route.objective / DECIDED_IN_PART_OF_OBJECTIVE;
        let undecided = now.since(request.facts.arrived) < decided_by;
        match plan {
            Some(plan) => LongDecision::Send(Some(plan)),
            None if undecided => LongDecision::Wait,
            None => LongDecision::Refuse,
        }
    }

    /// Returns a way in time at the cost of others, if the request stands for
    /// more than they do.
    fn plan_urgent(&self, request: &Request, now: Instant) -> Option<Plan> {
        /// Part of what a request stands for that others may lose for it.
        /// Measured between 0.15 and 0.6: see docs/BENCHES.md.
        const WORTH_SHARE: f64 = 0.3;
        let left_ms = request.objective_at().since(now).as_secs_f64() * 1e3;
        let mut plan = self.plan(request, now)?;
        plan.grounds = Grounds::Urgent;
        let pays = plan.loss_ms <= WORTH_SHARE * plan.worth_ms;
        (plan.first_ms <= left_ms && pays).then_some(plan)
    }

    /// Returns how long the caller of a request that will be late still waits
    /// for its first event, in milliseconds.
    fn patience_ms(&self, request: &Request, now: Instant) -> f64 {
        let route = &request.facts.route;
        let patience = route.objective * PATIENCE_IN_OBJECTIVES;
        let patience = request.facts.arrived.after(patience);
        let writing = route.pause_objective.unwrap_or_default() * LATE_WRITING_PAUSES;
        let end = patience.min(request.facts.deadline.before(writing));
        end.since(now).as_secs_f64() * 1e3
    }

    /// Returns the engine time of a request's prompt if it is long enough to
    /// wait for engines with room.
    pub(super) fn long_read_ms(&self, request: &Request, now: Instant) -> Option<f64> {
        /// Reading that a pass with short requests can take at once.
        const SHORT_READ_MS: f64 = 200.0;
        /// Objectives below this leave no time to wait.
        const WAITABLE: Duration = Duration::from_millis(800);
        if request.facts.route.objective < WAITABLE {
            return None;
        }
        let placement = self.engine_placement(&request.service, now)?;
        let read_ms = placement.read_ms(&Demand::new(&request.facts, now));
        (read_ms > SHORT_READ_MS).then_some(read_ms)
    }

    pub(super) fn queue_or_send(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let Some(read_ms) = self.long_read_ms(request, now) else {
            return self.send(key, now, out);
        };
        let waiting = Waiting::new(key, &request.facts, read_ms, now);
        self.long_queue.push(waiting);
        self.send_long(now, out);
    }
}
