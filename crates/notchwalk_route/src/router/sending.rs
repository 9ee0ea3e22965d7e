//! Assigns requests to servers and sends them.

use notchwalk_core::Instant;
use rand::Rng;

use super::{after_ms, Router};
use crate::{
    load_view::{Owner, Work, DEFAULT_INTER_TOKEN_MS},
    placement::{place_call, Plan, RequestDemand},
    request::{Request, LONG_PROMPT_TOKENS},
    retry_budget::SendCount,
    Assignment, Effect, PrefillWorker, Refusal, RequestFacts, RequestKey, WorkPhase,
};

/// Priority of a request with a short prompt on its server; 0 is the highest.
const SHORT_PRIORITY: u8 = 2;
/// Priority of a request with a long prompt on its server; 0 is the highest.
const LONG_PRIORITY: u8 = 5;

impl Router {
    pub(super) fn handle_arrived(
        &mut self,
        key: RequestKey,
        facts: RequestFacts,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let service = self.choose_service(&facts);
        let route = &facts.route.name;
        let since_first_attempt = self
            .first_attempts
            .since_first_attempt(route, facts.caller_timeout);
        let request = Request::new(facts, since_first_attempt, service);
        if let Some(slot) = self.requests.get_mut(key) {
            *slot = Some(request);
        }
        if self.version == 0 {
            return self.refuse(key, Refusal::NotReady, now, out);
        }
        if !self.charge_forwarded(key, now) {
            return self.refuse(key, Refusal::NotRun, now, out);
        }
        self.exclude_servers_of_peer(key);
        self.restrict_suspect(key, now);
        if self.refuses_because_draining(key, now) {
            return self.refuse(key, Refusal::Draining, now, out);
        }
        if let Some(Some(request)) = self.requests.get(key) {
            self.fleet.record_demand(&request.service, now);
        }
        self.enqueue_and_dispatch(key, now, out);
    }

    /// Chooses one of the route's services at random, by weight.
    pub(super) fn choose_service(&mut self, facts: &RequestFacts) -> String {
        let backends = &facts.route.backends;
        let total: u32 = backends.iter().map(|backend| backend.weight).sum();
        if total == 0 {
            return backends
                .first()
                .map(|b| b.service.clone())
                .unwrap_or_default();
        }
        let mut remaining = self.rng.random_range(0..total);
        for backend in backends {
            if remaining < backend.weight {
                return backend.service.clone();
            }
            remaining -= backend.weight;
        }
        String::new()
    }

    /// Returns a request's size and time limits for the cost model.
    pub(super) fn demand(&self, request: &Request, now: Instant) -> RequestDemand {
        RequestDemand::new(request, self.crash_risk(request, now), now)
    }

    /// Returns the placement with the least expected loss; `None` if no server is available.
    pub(super) fn plan(&self, request: &Request, now: Instant) -> Option<Plan> {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            let (fleet, load_view) = (&self.fleet, &self.load_view);
            let local_domain = &self.config.failure_domain;
            let risk = self.crash_risk(request, now);
            return place_call(
                fleet,
                load_view,
                &request.service,
                local_domain,
                &request.attempted,
                risk,
                now,
            );
        };
        let demand = self.demand(request, now);
        placement.place(&request.service, &demand, &request.attempted)
    }

    /// Sends a request as planned, after reserving memory if the plan requires it.
    pub(super) fn send_planned(
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
            out.push(Effect::NoServer {
                request: key,
                service: request.service.clone(),
                status: self.fleet.service_status(&request.service, now),
                excluded: request.attempted.len(),
            });
            let reason = match request.sends {
                0 => Refusal::NoServer,
                _ => Refusal::NotRun,
            };
            return self.refuse(key, reason, now, out);
        };
        let Some(assignment) = self.assign(key, &plan, now) else {
            return self.refuse(key, Refusal::NoServer, now, out);
        };
        match plan.reserve_tokens {
            Some(tokens) => self.reserve(key, assignment, tokens, now, out),
            None => self.send(key, assignment, now, out),
        }
    }

    /// Sends a request to its assigned server and counts it against the retry budget.
    pub(super) fn send(
        &mut self,
        key: RequestKey,
        to: Assignment,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let counts_as = std::mem::replace(&mut request.next_send, SendCount::Nothing);
        self.retry_budgets
            .record_send(&request.service, counts_as, now);
        out.push(Effect::Send { request: key, to });
    }

    /// Assigns a request to the servers of a plan and adds its work to the load view.
    pub(super) fn assign(
        &mut self,
        key: RequestKey,
        plan: &Plan,
        now: Instant,
    ) -> Option<Assignment> {
        let request = self.requests.get_mut(key)?.as_mut()?;
        let server = self.fleet.get(plan.primary.server)?;
        debug_assert!(
            request.started_on == 0 || request.may_repeat(),
            "non-repeatable request sent again after it may have run"
        );
        debug_assert!(
            request.started_on < request.max_attempts(),
            "request sent to more servers than its route allows"
        );
        debug_assert!(
            server.accepts_requests(now),
            "work assigned to a server that is draining or has requested a backoff"
        );
        self.quarantine.record_request_sent(&request.subjects, now);
        let is_engine = request.facts.prompt_tokens > 0;
        request.sent_at = now;
        request.predicted_first_event = after_ms(now, plan.ttft_ms);
        request.server = Some(plan.primary.server);
        request.prefill_workers = plan
            .prefill_workers
            .iter()
            .map(|worker| worker.server)
            .collect();
        request.attempted.push(plan.primary.server);
        request.started = false;
        request.survived = false;
        request.sends += 1;
        let objective = request.facts.route.inter_token_objective;
        let inter_token_ms = objective.map_or(DEFAULT_INTER_TOKEN_MS, |objective| {
            objective.as_secs_f64() * 1e3
        });
        let prompt = f64::from(request.facts.prompt_tokens);
        let reserved = plan.reserve_tokens.map(f64::from);
        request.holds_reservations = false;
        let work = Work {
            owner: Owner::Own(key),
            workspace: request.facts.workspace,
            phase: if is_engine {
                WorkPhase::Prefill
            } else {
                WorkPhase::Call
            },
            context_tokens: reserved.unwrap_or(prompt),
            step_tokens: prompt / (plan.prefill_workers.len() + 1) as f64,
            prefill_ms: plan.segment_ms,
            inter_token_ms,
            since: now,
            predicted_prefill_end: after_ms(now, plan.primary.prefill_end_ms),
        };
        let assignment = Assignment {
            server: plan.primary.server,
            addr: server.record().addr,
            instance: server.record().instance.clone(),
            prefill_workers: Vec::new(),
            priority: priority(&request.facts),
            deadline: request.facts.deadline,
            reason: plan.reason,
            previous_sends: request.sends - 1,
            predicted_first_event: request.predicted_first_event.since(now),
            since_first_attempt: request.facts.arrived_at.since(request.first_attempt_at),
            first_output_timeout: request.first_output_timeout(now),
            inter_token_timeout: request.inter_token_timeout(),
        };
        self.load_view.add(plan.primary.server, work);
        self.fleet.record_send(plan.primary.server, now);
        let mut workers = Vec::with_capacity(plan.prefill_workers.len());
        for worker in &plan.prefill_workers {
            let Some(server) = self.fleet.get(worker.server) else {
                continue;
            };
            workers.push(PrefillWorker {
                addr: server.record().addr,
                reservation: None,
            });
            let segment = Work {
                phase: WorkPhase::RemotePrefill,
                context_tokens: reserved.unwrap_or(0.0),
                step_tokens: reserved.map_or(0.0, |_| work.step_tokens),
                predicted_prefill_end: after_ms(now, worker.prefill_end_ms),
                ..work
            };
            self.load_view.add(worker.server, segment);
            self.fleet.count_message(worker.server, now);
        }
        Some(Assignment {
            prefill_workers: workers,
            ..assignment
        })
    }
}

/// Returns the priority of a request on its server, 0 first: short prompts before long
/// ones, then by workspace.
fn priority(facts: &RequestFacts) -> u8 {
    let by_size = if facts.prompt_tokens > LONG_PROMPT_TOKENS {
        LONG_PRIORITY
    } else {
        SHORT_PRIORITY
    };
    (by_size + facts.workspace_priority.min(2) as u8).min(9)
}
