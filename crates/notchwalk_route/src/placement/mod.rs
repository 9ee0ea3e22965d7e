//! Chooses the server of a request and, for a long prompt, the engines that prefill
//! segments of it.
//!
//! A long prompt may be split into equal segments, which several engines prefill at the same
//! time. One of them decodes; the others are prefill workers.
//!
//! Every choice minimises the expected loss: the value of the requests that become late or
//! are affected by a crash. The value of a request is proportional to its prompt and output
//! tokens and not to its engine time, since attention is quadratic in the prompt length.
//!
//! Short requests are placed on as few engines as their number allows, the short pool. The
//! other engines are free for long prompts.
//!
//! An engine prefills segments for other engines before its own prompts, newest segment
//! first. A segment added to an engine with unfinished prefill therefore delays all of that
//! prefill.

mod call;
mod long;
mod short;

use notchwalk_core::Instant;

use crate::{
    engine_cost::EngineCost, load_view::ServerLoad, request::Request, EngineParameters, Fleet,
    LoadView, PlacementReason, ServerKey,
};

pub(crate) use call::place_call;

/// Fraction of a request's value that is lost when its response is late. On the known
/// deployments a late response is worth a quarter.
const LATE_LOSS_FRACTION: f64 = 0.75;
/// Ratio of predicted to allowed time from which a miss is possible.
const POSSIBLY_LATE_RATIO: f64 = 0.75;
/// Ratio of predicted to allowed time from which a miss is certain.
const CERTAINLY_LATE_RATIO: f64 = 1.15;
/// Fraction of the slots in the short pool that short requests may occupy before the pool
/// grows by an engine.
const SHORT_SLOT_FRACTION: f64 = 0.875;
/// Number of engines in the short pool beyond those needed for the current short requests.
const SPARE_SHORT_ENGINES: usize = 0;
/// Prefill time that weighs as much as one short request when engines are ranked for the
/// short pool, in milliseconds.
const SHORT_POOL_AFFINITY_MS: f64 = 40.0;
/// Loss added for a segment of a long prompt on an engine of the short pool, in milliseconds
/// of engine time.
const SHORT_POOL_PENALTY_MS: f64 = 20.0;
/// Minimum number of tokens per segment of a split prompt.
const MIN_SEGMENT_TOKENS: f64 = 2_500.0;
/// Maximum number of engines that an engine accepts in one request: the prefill workers, and
/// the decoding engine if it holds a reservation.
const MAX_ENGINES_PER_REQUEST: usize = 16;
/// Mean delay between the decision and the request's arrival at the engine, in
/// milliseconds.
const DISPATCH_LATENCY_MS: f64 = 3.0;
/// Stream events of a typical short response, used to estimate the wait for a slot.
const TYPICAL_SHORT_RESPONSE_EVENTS: f64 = 25.0;
/// Value of an output token as a multiple of the value of a prompt token, as the users define
/// it.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
/// Number of prompt tokens whose value equals a millisecond of engine time.
const VALUE_TOKENS_PER_MS: f64 = 100.0;
/// Output length assumed where it is unknown.
const DEFAULT_OUTPUT_TOKENS: f64 = 1_000.0;
/// Ratio of reserved to estimated memory.
const RESERVATION_MARGIN: f64 = 1.03;
/// Fraction of an engine's memory that prompts may fill; the rest is left for output
/// tokens.
const USABLE_MEMORY_FRACTION: f64 = 0.92;

/// A server of a [`Plan`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedServer {
    pub server: ServerKey,
    /// Predicted time until its prefill ends, in milliseconds.
    pub prefill_end_ms: f64,
}

/// The servers chosen for a request, with the predicted times and loss.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The server that responds to the request.
    pub primary: PlannedServer,
    /// Engines that prefill segments of the prompt.
    pub prefill_workers: Vec<PlannedServer>,
    /// Memory to reserve on each server, in tokens; set if the prompt exceeds one engine.
    pub reserve_tokens: Option<u32>,
    /// Prefill time at each server, in milliseconds.
    pub segment_ms: f64,
    /// Predicted time to first token, in milliseconds.
    pub ttft_ms: f64,
    /// Expected loss, in milliseconds of engine time.
    pub loss_ms: f64,
    /// Value of the request, in milliseconds of engine time.
    pub value_ms: f64,
    /// Reason for the choice, for logs.
    pub reason: PlacementReason,
}

/// The size and the time limits of a request, as inputs of the cost model.
pub(crate) struct RequestDemand {
    pub prompt_tokens: f64,
    pub output_tokens: f64,
    /// Time left until the first-token objective, in milliseconds.
    pub objective_ms: f64,
    /// Time left until the caller times out, in milliseconds.
    pub caller_timeout_ms: f64,
    /// Attempts that failed because of a prefill worker.
    pub worker_failures: u32,
    /// Probability that the request crashes its server.
    pub crash_risk: f64,
}

fn ms_until(at: Instant, now: Instant) -> f64 {
    at.since(now).as_secs_f64() * 1e3
}

impl RequestDemand {
    /// Returns the value of the request, in milliseconds of engine time.
    pub fn value_ms(&self) -> f64 {
        value_ms(self.prompt_tokens, self.output_tokens)
    }

    pub fn new(request: &Request, crash_risk: f64, now: Instant) -> Self {
        let facts = &request.facts;
        Self {
            prompt_tokens: f64::from(facts.prompt_tokens),
            output_tokens: f64::from(facts.output_tokens),
            objective_ms: ms_until(request.objective_at(), now).max(1.0),
            caller_timeout_ms: ms_until(request.caller_timeout_at(), now).max(1.0),
            worker_failures: request.prefill_worker_failures,
            crash_risk,
        }
    }
}

/// An engine that may be chosen.
struct Candidate {
    key: ServerKey,
    load: ServerLoad,
    /// Duration of its engine step without prefill, in milliseconds.
    engine_step_ms: f64,
    /// Time until its next engine step, in milliseconds.
    start_delay_ms: f64,
    /// Loss added for recent failures, in milliseconds of engine time.
    failure_penalty_ms: f64,
    in_short_pool: bool,
    /// Whether its rate limit is too low for prompt segments.
    has_low_limit: bool,
}

impl Candidate {
    /// Returns whether the engine may prefill a segment for another engine without delaying
    /// its own prompts.
    fn can_prefill(&self) -> bool {
        /// Remaining prefill that leaves no idle time between segments and delays few requests.
        const MAX_REMAINING_PREFILL_MS: f64 = 150.0;
        !self.has_low_limit
            && self.load.own_long_prefills == 0
            && self.load.remaining_prefill_ms <= MAX_REMAINING_PREFILL_MS
    }
}

/// Places requests on the engines of one service.
pub(crate) struct EnginePlacement<'a> {
    pub parameters: &'a EngineParameters,
    pub fleet: &'a Fleet,
    pub load_view: &'a LoadView,
    pub now: Instant,
    /// Whether the load caused by peers is unknown because this node has just started.
    pub peer_load_unknown: bool,
    /// Differs between nodes, so that nodes without load information don't all choose the
    /// same engines.
    pub salt: u32,
}

/// Returns the value of a request, in milliseconds of engine time.
fn value_ms(prompt_tokens: f64, output_tokens: f64) -> f64 {
    (prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens) / VALUE_TOKENS_PER_MS
}

/// Returns the expected fraction of a request's value that is lost if its response takes
/// `predicted_ms` and may take `allowed_ms`.
fn late_loss_fraction(predicted_ms: f64, allowed_ms: f64) -> f64 {
    let ratio = predicted_ms / allowed_ms;
    LATE_LOSS_FRACTION
        * ((ratio - POSSIBLY_LATE_RATIO) / (CERTAINLY_LATE_RATIO - POSSIBLY_LATE_RATIO))
            .clamp(0.0, 1.0)
}

impl EnginePlacement<'_> {
    fn cost(&self) -> EngineCost<'_> {
        EngineCost::new(self.parameters)
    }

    /// Returns the maximum number of engines over which a prompt may be split.
    ///
    /// Each failure of a prefill worker halves it: when several engines crash at once, a
    /// large set probably contains another crashed engine.
    fn max_engines(&self, demand: &RequestDemand) -> usize {
        /// Number of halvings that reduce the maximum to one engine.
        const MAX_HALVINGS: u32 = usize::BITS - (MAX_ENGINES_PER_REQUEST + 1).leading_zeros();
        let exceeds = self.exceeds_engine(demand);
        // A crash must not affect more than one engine.
        if demand.crash_risk > 0.0 && !exceeds {
            return 1;
        }
        let by_size = (demand.prompt_tokens / MIN_SEGMENT_TOKENS) as usize;
        let limit = match exceeds {
            true => MAX_ENGINES_PER_REQUEST,
            false => MAX_ENGINES_PER_REQUEST + 1,
        };
        by_size.clamp(
            1,
            (limit >> demand.worker_failures.min(MAX_HALVINGS)).max(1),
        )
    }

    /// Returns the number of short requests per engine of the short pool.
    fn short_per_engine(&self) -> f64 {
        (f64::from(self.parameters.slots) * SHORT_SLOT_FRACTION).max(1.0)
    }

    /// Returns whether a prompt and its output exceed the memory of one engine.
    pub fn exceeds_engine(&self, demand: &RequestDemand) -> bool {
        demand.prompt_tokens + demand.output_tokens
            > USABLE_MEMORY_FRACTION * self.parameters.memory_tokens as f64
    }

    /// Returns the prefill time of a prompt on one engine, in milliseconds.
    pub fn prefill_ms(&self, demand: &RequestDemand) -> f64 {
        self.cost()
            .prefill_ms(demand.prompt_tokens, demand.prompt_tokens)
    }

    fn candidates(&self, service: &str, excluded: &[ServerKey]) -> Vec<Candidate> {
        let servers = self.fleet.servers_in_use(service, self.now);
        let mut candidates = Vec::with_capacity(servers.len());
        let mut short = 0;
        for &key in servers {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            let load = self.load_view.load(key, self.now);
            short += load.short_requests;
            if !server.is_available(self.now) || excluded.contains(&key) {
                continue;
            }
            let engine_step_ms = self.cost().engine_step_ms(load.decoding, load.step_tokens);
            let start_delay_ms = match load.decoding {
                0 => 0.0,
                _ => (engine_step_ms + load.remaining_prefill_ms) / 2.0,
            };
            candidates.push(Candidate {
                key,
                load,
                engine_step_ms,
                start_delay_ms,
                failure_penalty_ms: 400.0 * server.failure_rate(self.now),
                in_short_pool: self.peer_load_unknown,
                has_low_limit: server.has_low_limit(),
            });
        }
        if self.peer_load_unknown {
            return candidates;
        }
        let pool =
            ((short + 1) as f64 / self.short_per_engine()).ceil() as usize + SPARE_SHORT_ENGINES;
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        // Prefer engines that already run short requests, and engines with little remaining
        // prefill.
        order.sort_by(|&a, &b| {
            let affinity = |candidate: &Candidate| {
                candidate.load.short_requests as f64 * SHORT_POOL_AFFINITY_MS
                    - candidate.load.remaining_prefill_ms
            };
            affinity(&candidates[b]).total_cmp(&affinity(&candidates[a]))
        });
        for index in order.into_iter().take(pool) {
            candidates[index].in_short_pool = true;
        }
        candidates
    }

    /// Returns the expected loss of an engine's other requests if its next step includes
    /// `segment_ms` more prefill.
    fn penalty_ms(&self, candidate: &Candidate, segment_ms: f64) -> f64 {
        let before = candidate.engine_step_ms + candidate.load.remaining_prefill_ms;
        let after = before + segment_ms;
        let mut loss = 0.0;
        for work in self.load_view.work_on(candidate.key) {
            let allowed = match work.phase {
                crate::WorkPhase::Decode => work.inter_token_ms,
                crate::WorkPhase::Prefill => work.inter_token_ms * 1.2,
                _ => continue,
            };
            let added = late_loss_fraction(after, allowed) - late_loss_fraction(before, allowed);
            if added <= 0.0 {
                continue;
            }
            loss += added * value_ms(work.context_tokens, DEFAULT_OUTPUT_TOKENS);
        }
        loss
    }

    /// Returns the expected loss of an engine's other requests from a crash caused by this
    /// one.
    fn crash_penalty_ms(&self, candidate: &Candidate, demand: &RequestDemand) -> f64 {
        if demand.crash_risk <= 0.0 {
            return 0.0;
        }
        let works = self.load_view.work_on(candidate.key).iter();
        let value = works.map(|work| value_ms(work.context_tokens, DEFAULT_OUTPUT_TOKENS));
        demand.crash_risk * LATE_LOSS_FRACTION * value.sum::<f64>()
    }

    /// Predicts the time to first token of a prompt that is added to an engine, in
    /// milliseconds.
    fn ttft_ms(&self, candidate: &Candidate, segment_tokens: f64, segment_ms: f64) -> f64 {
        let load = &candidate.load;
        let decoding = load.decoding + load.prefilling + 1;
        let context = load.step_tokens + segment_tokens;
        let step_ms = self.cost().engine_step_ms(decoding, context);
        // Requests beyond the slots are queued by the engine.
        let excess_requests = (load.occupied() + 1) as f64 - f64::from(self.parameters.slots);
        let queued = excess_requests.max(0.0) / f64::from(self.parameters.slots)
            * TYPICAL_SHORT_RESPONSE_EVENTS
            * step_ms;
        DISPATCH_LATENCY_MS
            + candidate.start_delay_ms
            + load.remaining_prefill_ms
            + segment_ms
            + step_ms
            + queued
    }

    fn memory_fits(&self, candidate: &Candidate, demand: &RequestDemand) -> bool {
        self.has_memory(candidate, demand.prompt_tokens + demand.output_tokens)
    }

    fn has_memory(&self, candidate: &Candidate, tokens: f64) -> bool {
        let capacity = USABLE_MEMORY_FRACTION * self.parameters.memory_tokens as f64;
        candidate.load.context_tokens + tokens <= capacity
    }

    fn planned_server(&self, candidate: &Candidate, segment_ms: f64) -> PlannedServer {
        PlannedServer {
            server: candidate.key,
            prefill_end_ms: DISPATCH_LATENCY_MS
                + candidate.start_delay_ms
                + candidate.load.remaining_prefill_ms
                + segment_ms,
        }
    }

    /// Returns a plan with the whole prompt on one engine.
    fn single_engine_plan(
        &self,
        candidate: &Candidate,
        demand: &RequestDemand,
        segment_ms: f64,
        ttft_ms: f64,
    ) -> Plan {
        Plan {
            primary: self.planned_server(candidate, segment_ms),
            prefill_workers: Vec::new(),
            reserve_tokens: None,
            segment_ms,
            ttft_ms,
            loss_ms: 0.0,
            value_ms: demand.value_ms(),
            reason: PlacementReason::LeastLoss,
        }
    }

    /// Returns a plan that splits a prompt evenly over engines, one of which decodes.
    fn split_plan(
        &self,
        chosen: &[&Candidate],
        decoder: ServerKey,
        demand: &RequestDemand,
        segment_ms: f64,
        ttft_ms: f64,
    ) -> Plan {
        let (primary, prefill_workers) = self.planned_servers(chosen, decoder, segment_ms);
        Plan {
            primary,
            prefill_workers,
            reserve_tokens: None,
            segment_ms,
            ttft_ms,
            loss_ms: 0.0,
            value_ms: demand.value_ms(),
            reason: PlacementReason::LeastLoss,
        }
    }

    /// Returns the decoding engine and the prefill workers.
    fn planned_servers(
        &self,
        candidates: &[&Candidate],
        decoder: ServerKey,
        segment_ms: f64,
    ) -> (PlannedServer, Vec<PlannedServer>) {
        let mut primary = None;
        let mut prefill_workers = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let planned = self.planned_server(candidate, segment_ms);
            if candidate.key == decoder {
                primary = Some(planned);
            } else {
                prefill_workers.push(planned);
            }
        }
        let primary = primary.unwrap_or(PlannedServer {
            server: decoder,
            prefill_end_ms: segment_ms,
        });
        (primary, prefill_workers)
    }

    /// Chooses the decoding engine: the least loaded one with memory for the whole prompt.
    /// If no engine has enough memory, also returns the number of tokens to reserve on each
    /// engine. Returns `None` if an engine has too little memory for its share.
    fn choose_split_decoder(
        &self,
        candidates: &[&Candidate],
        demand: &RequestDemand,
    ) -> Option<(ServerKey, Option<u32>)> {
        let order = |a: &&&Candidate, b: &&&Candidate| {
            let a = (a.in_short_pool, a.load.context_tokens);
            let b = (b.in_short_pool, b.load.context_tokens);
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let fitting = candidates
            .iter()
            .filter(|candidate| self.memory_fits(candidate, demand));
        if let Some(candidate) = fitting.min_by(order) {
            return Some((candidate.key, None));
        }
        if candidates.len() > MAX_ENGINES_PER_REQUEST {
            return None;
        }
        let share = (demand.prompt_tokens + demand.output_tokens) / candidates.len() as f64
            * RESERVATION_MARGIN;
        let capacity = USABLE_MEMORY_FRACTION * self.parameters.memory_tokens as f64;
        let mut engines = candidates.iter();
        if !engines.all(|candidate| candidate.load.context_tokens + share <= capacity) {
            return None;
        }
        let candidate = candidates.iter().min_by(order)?;
        Some((candidate.key, Some(share.ceil() as u32)))
    }
}
