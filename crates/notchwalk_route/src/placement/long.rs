//! Placement of long prompts on engines with prefill headroom, so that no other request
//! misses its objective.

use super::{
    late_loss_fraction, short::LATENCY_WEIGHT, Candidate, EnginePlacement, Plan, RequestDemand,
    MAX_ENGINES_PER_REQUEST, RESERVATION_MARGIN,
};
use crate::{PlacementReason, ServerKey};

/// Inter-token objective assumed for short requests that have not started decoding, in
/// milliseconds.
const ASSUMED_INTER_TOKEN_MS: f64 = 250.0;
/// Fraction of an inter-token objective that a predicted engine step may take.
const STEP_FRACTION: f64 = 0.85;
/// Fraction of an inter-token objective that a predicted step may take on an engine without
/// short requests, where segments of several prompts can share a step.
const LONG_STEP_FRACTION: f64 = 0.75;
/// Longest step planned on an engine without short requests, in milliseconds. Long streams
/// must make progress too.
const MAX_STEP_MS: f64 = 900.0;
/// Engines outside the short pool that an oversized prompt leaves to other requests: one for
/// the next short requests, one for the next long prompt.
const SPARE_ENGINES: usize = 2;
/// Longest prompt segment on an engine that decodes nothing, in milliseconds.
const MAX_IDLE_SEGMENT_MS: f64 = 2_000.0;
/// Longest segment of a long prompt on an engine with short requests, in milliseconds. It
/// delays their first tokens.
const MAX_SHARED_SEGMENT_MS: f64 = 60.0;
/// Cost of decoding a long prompt on an engine outside the short pool, in milliseconds. That
/// engine can't prefill segments for others in the meantime.
const NEW_LONG_DECODER_PENALTY_MS: f64 = 60.0;
/// Cost of each engine of a split prompt, in milliseconds. Each engine may fail, and starts
/// the segment with its next step.
const PER_ENGINE_PENALTY_MS: f64 = 15.0;

/// Number of free engines assumed when predicting whether a queued prompt can still meet its
/// objective; about a third of a small fleet. With fewer, prompts are given up too early; with
/// more, they wait in vain.
const EXPECTED_FREE_ENGINES: usize = 6;

/// The memory that a prompt takes, in tokens.
struct MemoryDemand {
    /// On the decoding engine.
    on_decoder: f64,
    /// On each prefill worker.
    per_worker: f64,
    /// To reserve on each engine; `None` if no reservation is needed.
    reserve_tokens: Option<u32>,
}

impl EnginePlacement<'_> {
    /// Returns the memory that a prompt takes on each of `k` engines: all of it on the
    /// decoding engine, or equal reserved shares if the prompt exceeds one engine.
    fn memory_demand(&self, demand: &RequestDemand, k: usize) -> MemoryDemand {
        if !self.exceeds_engine(demand) {
            return MemoryDemand {
                on_decoder: demand.prompt_tokens + demand.output_tokens,
                per_worker: 0.0,
                reserve_tokens: None,
            };
        }
        let share = (demand.prompt_tokens + demand.output_tokens) / k as f64 * RESERVATION_MARGIN;
        MemoryDemand {
            on_decoder: share,
            per_worker: share,
            reserve_tokens: Some(share.ceil() as u32),
        }
    }

    /// Chooses engines for a long prompt without exceeding the inter-token objectives of
    /// other requests; `None` if no engines have the headroom.
    ///
    /// An engine prefills segments for other engines before its own prompts, so an engine
    /// that still prefills a prompt of its own gets no segments.
    pub fn place_long(
        &self,
        service: &str,
        demand: &RequestDemand,
        excluded: &[ServerKey],
    ) -> Option<Plan> {
        if self.max_engines(demand) == 1 && demand.crash_risk > 0.0 {
            // Minimise the impact of a crash instead of the time to first token.
            return self.place_on_single_engine(&self.candidates(service, excluded), demand);
        }
        let cost = self.cost();
        let value_ms = demand.value_ms();
        let mut candidates = self.candidates(service, excluded);
        candidates.sort_by(|a, b| {
            let busy = |candidate: &Candidate| {
                candidate.start_delay_ms
                    + candidate.load.remaining_prefill_ms
                    + candidate.failure_penalty_ms
            };
            let order = a.in_short_pool.cmp(&b.in_short_pool);
            order.then(busy(a).total_cmp(&busy(b)))
        });
        let limit = self.max_engines(demand).min(candidates.len());
        let mut best: Option<Plan> = None;
        for k in 1..=limit {
            let segment_ms = cost.prefill_ms(demand.prompt_tokens / k as f64, demand.prompt_tokens);
            let segment_tokens = demand.prompt_tokens / k as f64;
            let memory = self.memory_demand(demand, k);
            let Some(decoder) =
                self.choose_decoder(&candidates, &memory, segment_tokens, segment_ms)
            else {
                continue;
            };
            let with_headroom = candidates.iter().filter(|candidate| {
                candidate.key != decoder.key
                    && self.has_memory(candidate, memory.per_worker)
                    && candidate.can_prefill()
                    && self.prefill_headroom_ms(candidate) >= segment_ms
            });
            let mut chosen: Vec<&Candidate> = with_headroom.take(k - 1).collect();
            if chosen.len() + 1 < k {
                continue;
            }
            chosen.push(decoder);
            let mut ttft_ms = self.ttft_ms(decoder, segment_tokens, segment_ms);
            let mut loss_ms = 0.0;
            for candidate in &chosen {
                let end_ms =
                    candidate.start_delay_ms + candidate.load.remaining_prefill_ms + segment_ms;
                ttft_ms = ttft_ms.max(end_ms + decoder.engine_step_ms);
                loss_ms += PER_ENGINE_PENALTY_MS + candidate.failure_penalty_ms;
                if candidate.in_short_pool {
                    loss_ms +=
                        segment_ms * candidate.load.short_requests as f64 / self.short_per_engine();
                }
            }
            loss_ms += value_ms * late_loss_fraction(ttft_ms, demand.objective_ms) + ttft_ms;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                reserve_tokens: memory.reserve_tokens,
                loss_ms,
                reason: PlacementReason::Room,
                ..self.split_plan(&chosen, decoder.key, demand, segment_ms, ttft_ms)
            });
        }
        best
    }

    /// Chooses the decoding engine of a long prompt: the soonest one with headroom and
    /// memory, preferring engines that already decode long prompts.
    fn choose_decoder<'a>(
        &self,
        candidates: &'a [Candidate],
        memory: &MemoryDemand,
        segment_tokens: f64,
        segment_ms: f64,
    ) -> Option<&'a Candidate> {
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            if !self.has_memory(candidate, memory.on_decoder)
                || self.prefill_headroom_ms(candidate) < segment_ms
            {
                continue;
            }
            let pool_penalty_ms = if candidate.in_short_pool {
                0.0
            } else {
                NEW_LONG_DECODER_PENALTY_MS
            };
            let ttft_ms = self.ttft_ms(candidate, segment_tokens, segment_ms);
            // Queued segments for other engines are prefilled first.
            let cost_ms = ttft_ms + candidate.load.remaining_prefill_ms + pool_penalty_ms;
            if best.is_none_or(|(lowest, _)| cost_ms < lowest) {
                best = Some((cost_ms, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Returns the time to first token of a long prompt on idle engines, in milliseconds.
    pub fn min_ttft_ms(&self, demand: &RequestDemand) -> f64 {
        let limit = self.max_engines(demand).min(EXPECTED_FREE_ENGINES) as f64;
        let segment_ms = self
            .cost()
            .prefill_ms(demand.prompt_tokens / limit, demand.prompt_tokens);
        segment_ms + self.cost().engine_step_ms(1, demand.prompt_tokens)
    }

    /// Returns the duration of a request on engines without other work, in milliseconds.
    pub fn min_duration_ms(&self, service: &str, demand: &RequestDemand) -> f64 {
        let engines = self.fleet.servers_in_use(service, self.now).len();
        let limit = self.max_engines(demand).min(EXPECTED_FREE_ENGINES);
        let limit = limit.min(engines).max(1) as f64;
        let cost = self.cost();
        let segment_ms = cost.prefill_ms(demand.prompt_tokens / limit, demand.prompt_tokens);
        segment_ms + self.output_ms(demand, cost.engine_step_ms(1, demand.prompt_tokens))
    }

    /// Predicts the duration of a request's decode on an engine with its current load, in
    /// milliseconds.
    pub fn decode_ms(&self, server: ServerKey, demand: &RequestDemand) -> f64 {
        let load = self.load_view.load(server, self.now);
        let requests = load.decoding + load.prefilling + 1;
        let context = load.step_tokens + demand.prompt_tokens;
        self.output_ms(demand, self.cost().engine_step_ms(requests, context))
    }

    /// Returns the duration of the engine steps that decode a request's output.
    fn output_ms(&self, demand: &RequestDemand, engine_step_ms: f64) -> f64 {
        let steps = demand.output_tokens / self.parameters.decode_steps_per_engine_step.max(1.0);
        steps.max(1.0) * engine_step_ms
    }

    /// Chooses one engine that serves a late long prompt within `limit_ms`: the engine with
    /// the fewest short requests, then the fewest long ones, then the least prefill.
    ///
    /// The prompt isn't split. Engines prefill segments for other engines first, so an unsplit
    /// late prompt doesn't delay split prompts that can still meet their objective.
    pub fn place_late(
        &self,
        service: &str,
        demand: &RequestDemand,
        excluded: &[ServerKey],
        limit_ms: f64,
    ) -> Option<Plan> {
        let segment_ms = self.prefill_ms(demand);
        let tokens = demand.prompt_tokens + demand.output_tokens;
        let mut best: Option<((usize, usize), f64, Plan)> = None;
        for candidate in &self.candidates(service, excluded) {
            let ttft_ms = self.ttft_ms(candidate, demand.prompt_tokens, segment_ms);
            if ttft_ms > limit_ms || !self.has_memory(candidate, tokens) {
                continue;
            }
            let long = candidate.load.decoding + candidate.load.own_long_prefills;
            let affected = (candidate.load.short_requests, long);
            let busy_ms = candidate.load.remaining_prefill_ms
                + candidate.failure_penalty_ms
                + self.crash_penalty_ms(candidate, demand);
            let order = (affected, busy_ms);
            if best.as_ref().is_some_and(|best| (best.0, best.1) <= order) {
                continue;
            }
            let plan = Plan {
                loss_ms: self.penalty_ms(candidate, segment_ms),
                reason: PlacementReason::Late,
                ..self.single_engine_plan(candidate, demand, segment_ms, ttft_ms)
            };
            best = Some((affected, busy_ms, plan));
        }
        best.map(|(_, _, plan)| plan)
    }

    /// Chooses engines for an oversized prompt such that its first token arrives within
    /// `limit_ms` and no segment takes longer than `max_segment_ms`. Returns `None` if too
    /// few engines are idle.
    pub fn place_oversized(
        &self,
        service: &str,
        demand: &RequestDemand,
        excluded: &[ServerKey],
        limit_ms: f64,
        max_segment_ms: f64,
    ) -> Option<Plan> {
        let mut candidates = self.candidates(service, excluded);
        candidates.retain(|candidate| !candidate.in_short_pool && candidate.can_prefill());
        let cost = self.cost();
        let sample_segment_ms = cost.prefill_ms(
            demand.prompt_tokens / MAX_ENGINES_PER_REQUEST as f64,
            demand.prompt_tokens,
        );
        let penalty = |candidate: &Candidate| {
            self.penalty_ms(candidate, sample_segment_ms) + candidate.failure_penalty_ms
        };
        candidates.sort_by(|a, b| {
            let busy = |candidate: &Candidate| {
                candidate.load.remaining_prefill_ms + candidate.load.context_tokens / 1e3
            };
            penalty(a)
                .total_cmp(&penalty(b))
                .then(busy(a).total_cmp(&busy(b)))
        });
        let spare = SPARE_ENGINES.min(candidates.len());
        let limit = self.max_engines(demand).min(candidates.len() - spare);
        let mut best: Option<Plan> = None;
        for k in 2..=limit {
            let segment_ms = cost.prefill_ms(demand.prompt_tokens / k as f64, demand.prompt_tokens);
            let memory = self.memory_demand(demand, k);
            let Some((decoder, chosen)) = self.select_with_memory(&candidates, &memory, k) else {
                continue;
            };
            let segment_tokens = demand.prompt_tokens / k as f64;
            let ttfts = chosen.iter();
            let ttfts = ttfts.map(|candidate| self.ttft_ms(candidate, segment_tokens, segment_ms));
            let ttft_ms = ttfts.fold(0.0, f64::max);
            if ttft_ms > limit_ms || segment_ms > max_segment_ms {
                continue;
            }
            let penalty_ms: f64 = chosen
                .iter()
                .map(|candidate| self.penalty_ms(candidate, segment_ms))
                .sum();
            let loss_ms = penalty_ms + segment_ms * LATENCY_WEIGHT;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                reserve_tokens: memory.reserve_tokens,
                loss_ms,
                reason: PlacementReason::Late,
                ..self.split_plan(&chosen, decoder, demand, segment_ms, ttft_ms)
            });
        }
        best
    }

    /// Returns the first `k` engines with enough memory, and which of them decodes.
    fn select_with_memory<'a>(
        &self,
        candidates: &'a [Candidate],
        memory: &MemoryDemand,
        k: usize,
    ) -> Option<(ServerKey, Vec<&'a Candidate>)> {
        let mut decoder = candidates.iter();
        let decoder = decoder.find(|candidate| self.has_memory(candidate, memory.on_decoder))?;
        let others = candidates.iter().filter(|candidate| {
            candidate.key != decoder.key && self.has_memory(candidate, memory.per_worker)
        });
        let mut chosen = vec![decoder];
        chosen.extend(others.take(k - 1));
        (chosen.len() == k).then_some((decoder.key, chosen))
    }

    /// Returns the prefill time that fits into an engine's next step without making its
    /// requests late, in milliseconds.
    fn prefill_headroom_ms(&self, candidate: &Candidate) -> f64 {
        let busy = candidate.engine_step_ms + candidate.load.remaining_prefill_ms;
        if candidate.in_short_pool || candidate.load.short_requests > 0 {
            let inter_token_ms = candidate
                .load
                .tightest_inter_token_ms
                .min(ASSUMED_INTER_TOKEN_MS);
            return (STEP_FRACTION * inter_token_ms - busy).min(MAX_SHARED_SEGMENT_MS);
        }
        if candidate.load.decoding == 0 && candidate.load.own_long_prefills == 0 {
            return MAX_IDLE_SEGMENT_MS - candidate.load.remaining_prefill_ms;
        }
        let inter_token_ms = candidate
            .load
            .tightest_upcoming_inter_token_ms
            .min(MAX_STEP_MS);
        LONG_STEP_FRACTION * inter_token_ms - busy
    }
}
