//! Whether a request goes to a server now, waits, or is refused.
//!
//! Every decision compares values at this moment; no request waits for a time to
//! pass. A request that can be in time goes as soon as it costs others less than
//! it is worth. One that can't be in time any more has a caller who takes a late
//! answer: it goes where nobody else misses the room, at the latest when its
//! caller would give up. One that can't even be late is refused at once.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{limits::Ahead, suspects::Standing, Router};
use crate::{
    placement::{Demand, EnginePlacement, Plan},
    request::Request,
    wait_queue::Waiting,
    Availability, Effect, Grounds, Refusal, RequestKey,
};

/// Part of its worth that others may lose for a prompt that is read late; a late
/// answer earns a quarter.
const LATE_HARM: f64 = 0.1;
/// Part of its caller's patience that reading a late prompt must leave, for it
/// to wait for a cheaper moment.
const LATE_WAIT_SHARE: f64 = 0.5;
/// Part of its worth that others may lose for a prompt over one engine that is
/// read in time.
const OVERSIZED_HARM: f64 = 0.2;
/// Part of its objective's rest that a prompt over one engine may be predicted
/// to take: a dozen engines have to end together.
const OVERSIZED_IN_TIME: f64 = 0.95;
/// The longest part of a late prompt over one engine, in milliseconds: a wave of
/// other requests that begins meanwhile misses the engines for that long.
const LATE_PART_MS: f64 = 2_500.0;
/// Pauses of the longest length in time that a late answer is left to be
/// written in.
const LATE_WRITING_PAUSES: u32 = 3;
/// Part of what is left of its objective within which the first event of a
/// request of a workspace over its share must be predicted: engines with all
/// slots taken predict more.
const SURE_SHARE: f64 = 0.65;
/// One request of a workspace over its share waits for so many slots of an entry's
/// part: one that finds more would not be served while its caller waits.
const SLOTS_FOR_ONE_WAITING: u32 = 4;
/// How much longer than predicted a late request's first event may take.
const PREDICTION_SPREAD: f64 = 1.3;
/// What is left of a caller's patience besides, in milliseconds: two ticks of
/// the driver and the ways.
const PATIENCE_MARGIN_MS: f64 = 100.0;

/// What becomes of a request.
enum Decision {
    /// It waits.
    Wait,
    /// It is sent; `None` if no server is left.
    Send(Option<Plan>),
    /// It is refused.
    Refuse(Refusal),
}

impl Router {
    /// Sends the waiting requests whose moment has come.
    pub(super) fn send_waiting(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        self.sum_up_shares(now);
        let mut ahead = Ahead::default();
        for key in self.waiting.in_order(&self.shares) {
            let Some(Some(request)) = self.requests.get(key) else {
                self.waiting.remove(key);
                continue;
            };
            match self.decide(request, &mut ahead, now) {
                Decision::Wait => {}
                Decision::Refuse(reason) => self.refuse(key, reason, now, out),
                Decision::Send(plan) => {
                    self.waiting.remove(key);
                    self.send_by(key, plan, now, out);
                }
            }
        }
    }

    fn sum_up_shares(&mut self, now: Instant) {
        /// How long the sums are used: a flood adds little meanwhile, and they take
        /// a look at all work on all servers.
        const USED_FOR: Duration = Duration::from_millis(50);
        if now.since(self.shares_at) < USED_FOR {
            return;
        }
        self.shares_at = now;
        self.shares = self.board.shares(&self.fleet, now);
    }

    fn decide(&self, request: &Request, ahead: &mut Ahead, now: Instant) -> Decision {
        match self.standing(request, now) {
            Standing::Clear => {}
            Standing::Wait => return Decision::Wait,
            Standing::Refuse(reason) => return Decision::Refuse(reason),
        }
        // No use to wait for engines that all leave or want nothing: the caller is told
        // at once.
        match self
            .fleet
            .availability(&request.service, &request.tried, now)
        {
            Availability::Now => {}
            Availability::WithinLimits(first) => {
                return match self.may_wait_for_limits(request, first, ahead, now) {
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
        if self.long_read_ms(request, now).is_some() {
            return self.decide_long(request, &placement, &demand, now);
        }
        self.decide_short(request, &placement, &demand, now)
    }

    /// Decides about a short request. One that is late already, because its
    /// caller comes back after a failure, or that would come late wherever it goes,
    /// waits for spare room; so does one of a workspace over its share once slots are
    /// taken, but for those that find so many waiting that they would not be served:
    /// they are refused at once.
    ///
    /// The first answers the seconds after all entries lost power: callers come
    /// back together, and sent at once they make the first tries behind them
    /// late.
    /// The second answers more questions than slots: sent at once, each makes the next
    /// one late as well.
    /// The third answers a flood of one workspace, which makes the others late. (They are
    /// not all refused at once: large workspaces are over their share in each wave.)
    fn decide_short(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &Demand,
        now: Instant,
    ) -> Decision {
        let plan = self.plan(request, now);
        let misses = plan
            .as_ref()
            .is_some_and(|plan| plan.first_ms > demand.objective_ms);
        let is_late = misses || now >= request.objective_at();
        let sure_ms = SURE_SHARE * demand.objective_ms;
        let is_sure = plan.as_ref().is_some_and(|plan| plan.first_ms <= sure_ms);
        let is_over = !is_sure && self.shares.is_over(request.facts.workspace);
        if request.started || !(is_late || is_over) {
            return Decision::Send(plan);
        }
        let spare = placement.place_spare(&request.service, demand, &request.tried);
        if spare.is_some() {
            return Decision::Send(spare);
        }
        if is_over && self.is_crowded(&request.service) {
            return Decision::Refuse(Refusal::Overloaded);
        }
        let may_wait = plan.as_ref().is_some_and(|plan| {
            plan.first_ms * PREDICTION_SPREAD + PATIENCE_MARGIN_MS < demand.patience_ms
        });
        match may_wait {
            true => Decision::Wait,
            false => Decision::Send(plan),
        }
    }

    /// Tells whether more requests wait here than this entry's part of a service's
    /// slots can serve soon.
    fn is_crowded(&self, service: &str) -> bool {
        let servers = self.fleet.iter().map(|(_, server)| &server.record);
        let of_service = servers.filter(|record| record.service == service);
        let slots: u32 = of_service.map(|record| record.slots).sum();
        let own_slots = slots / self.entries.unwrap_or(1).max(1);
        self.waiting.len() as u32 > own_slots / SLOTS_FOR_ONE_WAITING
    }

    fn decide_long(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &Demand,
        now: Instant,
    ) -> Decision {
        let in_time = self
            .plan_in_time(request, placement, demand)
            .or_else(|| self.plan_urgent(request, now));
        if let Some(plan) = in_time {
            return Decision::Send(Some(plan));
        }
        if placement.soonest_ms(demand) < demand.objective_ms {
            return Decision::Wait;
        }
        self.decide_late(request, placement, demand, now)
    }

    /// Returns a way in time that hardly costs others anything.
    fn plan_in_time(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &Demand,
    ) -> Option<Plan> {
        let (service, tried) = (&request.service, &request.tried);
        let left_ms = demand.objective_ms;
        let roomy = placement.place_long(service, demand, tried);
        let roomy = roomy.filter(|plan| plan.first_ms <= left_ms);
        if roomy.is_some() || !placement.exceeds_engine(demand) {
            return roomy;
        }
        let limit_ms = left_ms * OVERSIZED_IN_TIME;
        let plan = placement.place_oversized(service, demand, tried, limit_ms, left_ms)?;
        (plan.loss_ms <= OVERSIZED_HARM * plan.worth_ms).then_some(plan)
    }

    /// Decides about a prompt that can't be read in time any more: it is read
    /// where it costs others less than its late answer is worth.
    ///
    /// It answers waves of long prompts that fill all engines: read as soon as they are
    /// late, whatever it costs, they make others late.
    fn decide_late(
        &self,
        request: &Request,
        placement: &EnginePlacement<'_>,
        demand: &Demand,
        now: Instant,
    ) -> Decision {
        let (service, tried) = (&request.service, &request.tried);
        let limit_ms = self.patience_ms(request, now);
        let exceeds = placement.exceeds_engine(demand);
        let plan = match exceeds {
            true => placement.place_oversized(service, demand, tried, limit_ms, LATE_PART_MS),
            false => placement.place_late(service, demand, tried, limit_ms),
        };
        let may_wait = placement.soonest_ms(demand) < limit_ms * LATE_WAIT_SHARE;
        match plan {
            Some(plan) if plan.loss_ms <= LATE_HARM * plan.worth_ms => Decision::Send(Some(plan)),
            Some(_) if may_wait => Decision::Wait,
            Some(plan) => Decision::Send(Some(plan)),
            None => Decision::Refuse(Refusal::Overloaded),
        }
    }

    /// Tells whether a request would be sent to another server at once.
    pub(super) fn has_way(&self, request: &Request, now: Instant) -> bool {
        let decision = self.decide(request, &mut Ahead::default(), now);
        matches!(decision, Decision::Send(Some(_)))
    }

    /// Returns a way in time at the cost of others, if the request stands for
    /// more than they do.
    fn plan_urgent(&self, request: &Request, now: Instant) -> Option<Plan> {
        /// Part of what a request stands for that others may lose for it.
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
        let writing = route.pause_objective.unwrap_or_default() * LATE_WRITING_PAUSES;
        let end = request.patience_end();
        let end = end.min(request.facts.deadline.before(writing));
        end.since(now).as_secs_f64() * 1e3
    }

    /// Returns the engine time of a request's prompt if it is long enough to
    /// wait for engines with room.
    fn long_read_ms(&self, request: &Request, now: Instant) -> Option<f64> {
        /// Reading that a pass with short requests can take at once.
        const SHORT_READ_MS: f64 = 200.0;
        /// Objectives below this leave no time to wait.
        const WAITABLE: Duration = Duration::from_millis(800);
        if request.facts.route.objective < WAITABLE {
            return None;
        }
        let placement = self.engine_placement(&request.service, now)?;
        let read_ms = placement.read_ms(&self.demand(request, now));
        (read_ms > SHORT_READ_MS).then_some(read_ms)
    }

    pub(super) fn queue_or_send(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let read_ms = self.long_read_ms(request, now).unwrap_or_default();
        self.waiting.push(Waiting {
            request: key,
            workspace: request.facts.workspace,
            read_ms,
        });
        self.send_waiting(now, out);
    }
}
