//! Placement by least expected loss: short requests, and long ones that can't wait.

use super::{
    late_loss_fraction, Candidate, EnginePlacement, Plan, RequestDemand, SHORT_POOL_PENALTY_MS,
};
use crate::{PlacementReason, ServerKey};

/// Loss per millisecond of time to first token, also within the objective.
pub(super) const LATENCY_WEIGHT: f64 = 0.05;
/// Loss added for a short request on an engine outside the short pool, in milliseconds of
/// engine time.
const OUTSIDE_SHORT_POOL_PENALTY_MS: f64 = 40.0;
/// Fraction of the tightest inter-token objective on an engine that its next step may take if
/// a late request is added.
const SPARE_STEP_FRACTION: f64 = 0.6;
/// Maximum length of a prompt that is never split, in tokens. A segment should keep an engine
/// busy for longer than the message that starts it takes.
const MAX_UNSPLIT_TOKENS: f64 = 12_000.0;

impl EnginePlacement<'_> {
    /// Returns an offset in milliseconds that differs between nodes for the same engine.
    pub(super) fn tie_break_ms(&self, candidate: &Candidate) -> f64 {
        /// About the time that one short request adds to an engine step.
        const TIE_BREAK_RANGE_MS: u32 = 30;
        let short_id = self
            .fleet
            .get(candidate.key)
            .map_or(0, |server| server.short_id);
        let mixed = (short_id ^ self.salt).wrapping_mul(0x9e37_79b1) >> 16;
        f64::from(mixed % TIE_BREAK_RANGE_MS)
    }

    /// Chooses servers for a request; `None` if no server is available.
    pub fn place(
        &self,
        service: &str,
        demand: &RequestDemand,
        excluded: &[ServerKey],
    ) -> Option<Plan> {
        let candidates = self.candidates(service, excluded);
        let single = self.place_on_single_engine(&candidates, demand);
        if demand.prompt_tokens <= MAX_UNSPLIT_TOKENS {
            return single;
        }
        let split = self.place_split(candidates, demand);
        match (single, split) {
            (Some(single), Some(split)) if single.loss_ms <= split.loss_ms => Some(single),
            (single, split) => split.or(single),
        }
    }

    /// Chooses an engine with spare capacity for a late request: neither its prefill nor
    /// its slot may make another request late.
    pub fn place_spare(
        &self,
        service: &str,
        demand: &RequestDemand,
        excluded: &[ServerKey],
    ) -> Option<Plan> {
        let segment_ms = self
            .cost()
            .prefill_ms(demand.prompt_tokens, demand.prompt_tokens);
        let mut best: Option<Plan> = None;
        for candidate in &self.candidates(service, excluded) {
            let load = &candidate.load;
            let engine_step_ms = candidate.engine_step_ms + load.remaining_prefill_ms + segment_ms;
            let is_unsuitable = load.occupied() as f64 >= self.short_per_engine()
                || engine_step_ms > SPARE_STEP_FRACTION * load.tightest_upcoming_inter_token_ms
                || load.own_long_prefills > 0
                || !self.memory_fits(candidate, demand);
            if is_unsuitable {
                continue;
            }
            let ttft_ms = self.ttft_ms(candidate, demand.prompt_tokens, segment_ms);
            let loss_ms =
                ttft_ms + candidate.failure_penalty_ms + self.crash_penalty_ms(candidate, demand);
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                loss_ms,
                reason: PlacementReason::Late,
                ..self.single_engine_plan(candidate, demand, segment_ms, ttft_ms)
            });
        }
        best
    }

    /// Chooses the engine with the least expected loss for an unsplit prompt.
    pub(super) fn place_on_single_engine(
        &self,
        candidates: &[Candidate],
        demand: &RequestDemand,
    ) -> Option<Plan> {
        let value_ms = demand.value_ms();
        let segment_ms = self
            .cost()
            .prefill_ms(demand.prompt_tokens, demand.prompt_tokens);
        let is_short = demand.prompt_tokens <= MAX_UNSPLIT_TOKENS * 2.0;
        let mut best: Option<Plan> = None;
        for candidate in candidates {
            let ttft_ms = self.ttft_ms(candidate, demand.prompt_tokens, segment_ms);
            let mut loss_ms = value_ms * late_loss_fraction(ttft_ms, demand.objective_ms);
            loss_ms += self.penalty_ms(candidate, segment_ms) + candidate.failure_penalty_ms;
            loss_ms += self.crash_penalty_ms(candidate, demand);
            loss_ms += match (is_short, candidate.in_short_pool) {
                (true, false) => OUTSIDE_SHORT_POOL_PENALTY_MS,
                (false, true) => SHORT_POOL_PENALTY_MS,
                _ => 0.0,
            };
            // Among engines that meet the objective, prefer the soonest.
            let tie_break_ms = if self.peer_load_unknown {
                self.tie_break_ms(candidate)
            } else {
                0.0
            };
            loss_ms += (ttft_ms + tie_break_ms) * LATENCY_WEIGHT;
            if !self.memory_fits(candidate, demand) {
                loss_ms += value_ms;
            }
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                loss_ms,
                ..self.single_engine_plan(candidate, demand, segment_ms, ttft_ms)
            });
        }
        best
    }

    /// Chooses the number of engines, at least two, and the engines with the least expected
    /// loss for a split prompt.
    pub(super) fn place_split(
        &self,
        mut candidates: Vec<Candidate>,
        demand: &RequestDemand,
    ) -> Option<Plan> {
        let cost = self.cost();
        let value_ms = demand.value_ms();
        // Prefer engines on which a long segment causes the least loss.
        let sample_segment_ms = cost.prefill_ms(demand.prompt_tokens / 6.0, demand.prompt_tokens);
        let mut order: Vec<(f64, Candidate)> = Vec::with_capacity(candidates.len());
        candidates.retain(Candidate::can_prefill);
        for candidate in candidates {
            let pool_penalty_ms = if candidate.in_short_pool { 150.0 } else { 0.0 };
            let delay_ms = candidate.start_delay_ms + candidate.load.remaining_prefill_ms;
            let key = self.penalty_ms(&candidate, sample_segment_ms)
                + delay_ms
                + pool_penalty_ms
                + candidate.failure_penalty_ms;
            order.push((key, candidate));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let limit = self.max_engines(demand).min(order.len());
        let mut best: Option<Plan> = None;
        for k in 2..=limit {
            let segment_ms = cost.prefill_ms(demand.prompt_tokens / k as f64, demand.prompt_tokens);
            let mut loss_ms = 0.0;
            let mut ttft_ms: f64 = 0.0;
            for (_, candidate) in &order[..k] {
                let pool_penalty_ms = if candidate.in_short_pool {
                    SHORT_POOL_PENALTY_MS
                } else {
                    0.0
                };
                loss_ms += self.penalty_ms(candidate, segment_ms)
                    + pool_penalty_ms
                    + candidate.failure_penalty_ms;
                ttft_ms = ttft_ms.max(self.ttft_ms(
                    candidate,
                    demand.prompt_tokens / k as f64,
                    segment_ms,
                ));
            }
            loss_ms += value_ms * late_loss_fraction(ttft_ms, demand.objective_ms);
            loss_ms += ttft_ms * LATENCY_WEIGHT;
            // Each further engine may fail and adds a step.
            loss_ms += 2.0 * k as f64;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            let chosen: Vec<&Candidate> =
                order[..k].iter().map(|(_, candidate)| candidate).collect();
            let Some((decoder, reserve_tokens)) = self.choose_split_decoder(&chosen, demand) else {
                continue;
            };
            best = Some(Plan {
                reserve_tokens,
                loss_ms,
                ..self.split_plan(&chosen, decoder, demand, segment_ms, ttft_ms)
            });
        }
        best
    }
}
