//! The way of a request to a server.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::Rng;

use super::{after_ms, Router};
use crate::{
    board::{Owner, Work, NO_PAUSE_MS},
    placement::{place_call, Demand, Plan},
    request::Request,
    Assignment, Effect, Helper, Refusal, RequestFacts, RequestKey, WorkPhase,
};

/// The rank on the server when neither workspace nor route says more.
const SHORT_RANK: u8 = 2;
const LONG_RANK: u8 = 5;
/// Prompts beyond this many tokens rank as long; short requests have less on the
/// deployments known.
const LONG_PROMPT_TOKENS: u32 = 24_000;

impl Router {
    pub(super) fn arrived(
        &mut self,
        key: RequestKey,
        facts: RequestFacts,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let service = self.choose_service(&facts);
        let route = &facts.route.name;
        let since_first = self.first_tries.since_first(route, facts.patience);
        let request = Request::new(facts, since_first, service);
        if let Some(slot) = self.requests.get_mut(key) {
            *slot = Some(request);
        }
        if self.version == 0 {
            return self.refuse(key, Refusal::NotReady, now, out);
        }
        self.scatter_suspect(key, now);
        if self.draining_from.is_some_and(|from| now >= from) {
            return self.refuse(key, Refusal::Draining, now, out);
        }
        if let Some(Some(request)) = self.requests.get(key) {
            self.fleet.note_asked_for(&request.service, now);
        }
        self.queue_or_send(key, now, out);
    }

    /// Draws one of the route's services by weight.
    pub(super) fn choose_service(&mut self, facts: &RequestFacts) -> String {
        let backends = &facts.route.backends;
        let total: u32 = backends.iter().map(|backend| backend.weight).sum();
        if total == 0 {
            return backends
                .first()
                .map(|b| b.service.clone())
                .unwrap_or_default();
        }
        let mut drawn = self.rng.random_range(0..total);
        for backend in backends {
            if drawn < backend.weight {
                return backend.service.clone();
            }
            drawn -= backend.weight;
        }
        String::new()
    }

    pub(super) fn demand(&self, request: &Request, now: Instant) -> Demand {
        Demand::new(request, self.crash_risk(request, now), now)
    }

    pub(super) fn plan(&self, request: &Request, now: Instant) -> Option<Plan> {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            let (fleet, board) = (&self.fleet, &self.board);
            let near = &self.config.failure_domain;
            let risk = self.crash_risk(request, now);
            return place_call(
                fleet,
                board,
                &request.service,
                near,
                &request.tried,
                risk,
                now,
            );
        };
        let demand = self.demand(request, now);
        placement.place(&request.service, &demand, &request.tried)
    }

    pub(super) fn send_by(
        &mut self,
        key: RequestKey,
        plan: Option<Plan>,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let Some(plan) = plan else {
            let reason = match request.sends {
                0 => Refusal::NoServer,
                _ => Refusal::NotRun,
            };
            return self.refuse(key, reason, now, out);
        };
        let first_send = request.sends == 0;
        if first_send {
            self.budget.note_first(now);
        }
        let Some(assignment) = self.assign(key, &plan, now) else {
            return self.refuse(key, Refusal::NoServer, now, out);
        };
        match plan.reserve_tokens {
            Some(tokens) => self.reserve(key, assignment, tokens, now, out),
            None => out.push(Effect::Send {
                request: key,
                to: assignment,
            }),
        }
    }

    pub(super) fn assign(
        &mut self,
        key: RequestKey,
        plan: &Plan,
        now: Instant,
    ) -> Option<Assignment> {
        let request = self.requests.get_mut(key)?.as_mut()?;
        let server = self.fleet.get(plan.first.server)?;
        debug_assert!(
            request.ran_on == 0 || request.may_repeat(),
            "what may run once is sent after it may have run"
        );
        debug_assert!(
            request.ran_on < request.facts.route.max_attempts.max(1),
            "a request is sent to more servers than its route allows"
        );
        debug_assert!(
            server.wants_work(now),
            "a server that leaves or wants nothing gets work"
        );
        self.quarantine.note_sent(request.facts.content, now);
        let is_engine = request.facts.prompt_tokens > 0;
        request.sent_at = now;
        request.predicted_first = after_ms(now, plan.first_ms);
        request.at = Some(plan.first.server);
        request.helpers = plan.helpers.iter().map(|part| part.server).collect();
        request.tried.push(plan.first.server);
        request.started = false;
        request.sends += 1;
        let pause = request.facts.route.pause_objective;
        let pause_ms = pause.map_or(NO_PAUSE_MS, |pause| pause.as_secs_f64() * 1e3);
        let prompt = f64::from(request.facts.prompt_tokens);
        let reserved = plan.reserve_tokens.map(f64::from);
        request.holds = false;
        let work = Work {
            owner: Owner::Own(key),
            workspace: request.facts.workspace,
            phase: if is_engine {
                WorkPhase::Reading
            } else {
                WorkPhase::Calling
            },
            context_tokens: reserved.unwrap_or(prompt),
            pass_tokens: prompt / (plan.helpers.len() + 1) as f64,
            read_ms: plan.part_ms,
            pause_ms,
            since: now,
            read_by: after_ms(now, plan.first.read_end_ms),
        };
        let assignment = Assignment {
            server: plan.first.server,
            addr: server.record.addr,
            instance: server.record.instance.clone(),
            helpers: Vec::new(),
            priority: rank(&request.facts),
            deadline: request.facts.deadline,
            grounds: plan.grounds,
            resent: request.sends - 1,
            predicted_first: request.predicted_first.since(now),
            since_first: request.facts.arrived.since(request.first_tried),
            first_silence: first_silence(request, now),
            pause_silence: pause_silence(request),
        };
        self.board.add(plan.first.server, work);
        self.fleet.note_sent(plan.first.server, now);
        let mut helpers = Vec::with_capacity(plan.helpers.len());
        for helper in &plan.helpers {
            let Some(server) = self.fleet.get(helper.server) else {
                continue;
            };
            helpers.push(Helper {
                addr: server.record.addr,
                reservation: None,
            });
            let part = Work {
                phase: WorkPhase::Helping,
                context_tokens: reserved.unwrap_or(0.0),
                pass_tokens: reserved.map_or(0.0, |_| work.pass_tokens),
                read_by: after_ms(now, helper.read_end_ms),
                ..work
            };
            self.board.add(helper.server, part);
            self.fleet.note_message(helper.server, now);
        }
        Some(Assignment {
            helpers,
            ..assignment
        })
    }
}

/// Returns the rank of a request on its server: workspaces before routes, short
/// work before long.
fn rank(facts: &RequestFacts) -> u8 {
    let by_size = if facts.prompt_tokens > LONG_PROMPT_TOKENS {
        LONG_RANK
    } else {
        SHORT_RANK
    };
    (by_size + facts.workspace_priority.min(2)).min(9)
}

/// Returns how long a server may say nothing before the request goes to
/// another one; `None` for a request that may run once only.
fn first_silence(request: &Request, now: Instant) -> Option<Duration> {
    /// Callers give a stream up after two seconds at the earliest; this leaves
    /// another server time to answer. A call is answered much sooner.
    const LEAST_STREAM: Duration = Duration::from_millis(1_500);
    const LEAST_CALL: Duration = Duration::from_millis(900);
    if !request.may_repeat() {
        return None;
    }
    let route = &request.facts.route;
    let least = match route.streaming {
        true => LEAST_STREAM.max(route.objective),
        false => LEAST_CALL,
    };
    // Reading a long prompt anew costs engines seconds, and an engine that has
    // it is busy far more often than broken.
    let least = match request.facts.prompt_tokens > LONG_PROMPT_TOKENS {
        true => least * 2,
        false => least,
    };
    Some((request.predicted_first.since(now) * 2).max(least))
}

/// Returns how long a stream may pause before it is resumed elsewhere.
fn pause_silence(request: &Request) -> Option<Duration> {
    /// Callers give a stream up after two seconds at the earliest.
    const LEAST: Duration = Duration::from_millis(1_200);
    if !request.may_repeat() {
        return None;
    }
    let pause = request.facts.route.pause_objective?;
    Some((pause * 4).max(LEAST))
}
