//! Simulation of the engine's steps, without I/O.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_wire::{Allocation, LoadReport, LoadedModel};

use super::{
    cache::PrefixCache,
    config::EngineConfig,
    fault::Fault,
    sequence::{Output, Sequence, SequenceKind},
};

/// The state of one engine.
pub struct Simulation {
    /// Configuration of the engine.
    pub config: EngineConfig,
    /// The injected fault.
    pub fault: Fault,
    /// Loaded models.
    pub loaded: Vec<LoadedModel>,
    /// Whether the engine is draining.
    pub draining: bool,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Number of accepted requests since the start.
    pub received: u64,
    /// When a request was last accepted.
    pub last_received: Option<Instant>,
    sequences: Vec<Sequence>,
    next_order: u64,
    evictions: u64,
    computed_tokens: u64,
    generated_tokens: u64,
    report_history: Vec<(Instant, LoadReport)>,
}

impl Simulation {
    /// Creates an idle engine.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            loaded: config.loaded.clone(),
            config,
            fault: Fault::None,
            draining: false,
            cache: PrefixCache::default(),
            received: 0,
            last_received: None,
            sequences: Vec::new(),
            next_order: 0,
            evictions: 0,
            computed_tokens: 0,
            generated_tokens: 0,
            report_history: Vec::new(),
        }
    }

    /// Returns the KV memory used by sequences, in tokens.
    pub fn used_tokens(&self) -> Tokens {
        self.sequences.iter().map(Sequence::used_tokens).sum()
    }

    /// Returns the numbers of prompt tokens prefilled and completion tokens generated.
    pub fn token_counts(&self) -> (u64, u64) {
        (self.computed_tokens, self.generated_tokens)
    }

    /// Adds a sequence and removes older attempts of the same request.
    pub fn add(&mut self, mut sequence: Sequence) {
        let (request, attempt) = (sequence.request, sequence.attempt);
        self.sequences
            .retain(|s| s.request != request || s.attempt >= attempt);
        sequence.arrival_order = self.next_order;
        self.next_order += 1;
        self.received += 1;
        self.last_received = Some(Instant::now());
        self.sequences.push(sequence);
    }

    /// Cancels a request's attempts up to `up_to`. Returns the freed memory, in tokens.
    pub fn cancel(&mut self, request: RequestId, up_to: Attempt) -> Tokens {
        let before = self.used_tokens();
        self.sequences
            .retain(|s| s.request != request || s.attempt > up_to);
        before - self.used_tokens()
    }

    /// Aborts a completion whose connection closed.
    pub fn abort_completion(&mut self, request: RequestId, attempt: Attempt) {
        let aborted = |s: &Sequence| {
            s.request == request && s.attempt == attempt && !matches!(s.kind, SequenceKind::Segment)
        };
        self.sequences.retain(|s| !aborted(s));
    }

    /// Drops all sequences and the cache, as in a crash.
    pub fn crash(&mut self) {
        self.sequences.clear();
        self.cache.shrink_to(0);
    }

    /// Returns the memory held by each running sequence.
    pub fn allocations(&self) -> Vec<Allocation> {
        let allocation = |s: &Sequence| Allocation {
            request: s.request,
            attempt: s.attempt,
            tokens: s.used_tokens(),
            age_ms: s.arrived_at.elapsed().as_millis() as u64,
        };
        self.sequences
            .iter()
            .filter(|s| s.running)
            .map(allocation)
            .collect()
    }

    /// Runs one step. Returns its duration, or `None` if there is no work.
    pub fn step(&mut self) -> Option<Duration> {
        self.sequences
            .sort_unstable_by_key(Sequence::scheduling_key);
        self.admit();
        let decoded = self.decode();
        let prefilled = self.prefill(decoded);
        let finished = self.remove_finished();
        if decoded == 0 && prefilled == 0 && finished == 0 {
            return None;
        }
        let config = &self.config;
        let work = config.step_overhead
            + config.prefill_per_token.mul_f64(prefilled as f64)
            + config.decode_per_token.mul_f64(decoded as f64);
        let factor = match self.fault {
            Fault::Slow(factor) => factor,
            _ => 1.0,
        };
        Some(config.scaled(work).mul_f64(factor))
    }

    /// Admits waiting sequences in order while slots and memory allow.
    fn admit(&mut self) {
        let mut used = self.used_tokens();
        let mut running = self
            .sequences
            .iter()
            .filter(|s| s.running && !s.is_held_segment());
        let mut running = running.by_ref().count() as u32;
        let capacity = self.config.capacity_tokens;
        for sequence in &mut self.sequences {
            if sequence.running {
                continue;
            }
            let required = sequence.local_tokens + Tokens::from(sequence.generated_tokens);
            if running >= self.config.slots || used + required > capacity {
                break;
            }
            sequence.running = true;
            sequence.cached_tokens = self
                .cache
                .lookup(&sequence.prefix)
                .min(sequence.local_tokens - 1);
            sequence.prefilled_tokens = sequence.cached_tokens;
            used += required;
            running += 1;
        }
        self.cache.shrink_to(capacity.saturating_sub(used));
    }

    /// Decodes one token for each sequence whose prompt is prefilled. Returns the number of
    /// tokens.
    fn decode(&mut self) -> u64 {
        let capacity = self.config.capacity_tokens;
        let mut used = self.used_tokens();
        let mut decoded = 0;
        let mut i = 0;
        while i < self.sequences.len() {
            let sequence = &self.sequences[i];
            let is_completion = matches!(sequence.kind, SequenceKind::Completion { .. });
            if !sequence.running || sequence.remaining_prompt_tokens() > 0 || !is_completion {
                i += 1;
                continue;
            }
            if used + 1 > capacity {
                if !self.evict_after(i) {
                    break;
                }
                used = self.used_tokens();
                continue;
            }
            let sequence = &mut self.sequences[i];
            emit_token(sequence);
            used += 1;
            decoded += 1;
            i += 1;
        }
        self.generated_tokens += decoded;
        decoded
    }

    /// Evicts the last sequence after index `i` that is running and is not a held segment. The
    /// evicted sequence loses its prefilled tokens and waits to be admitted again. Returns
    /// whether there was such a sequence.
    fn evict_after(&mut self, i: usize) -> bool {
        let mut candidates = self.sequences.iter().enumerate().skip(i + 1);
        let victim = candidates.rfind(|(_, s)| s.running && !s.is_held_segment());
        let Some((victim, _)) = victim else {
            return false;
        };
        let sequence = &mut self.sequences[victim];
        sequence.running = false;
        sequence.prefilled_tokens = 0;
        self.evictions += 1;
        true
    }

    /// Prefills prompt tokens in order with the rest of the step's budget. Returns their
    /// number.
    fn prefill(&mut self, decoded: u64) -> Tokens {
        let mut budget = self.config.step_token_budget.saturating_sub(decoded);
        let mut prefilled = 0;
        for sequence in &mut self.sequences {
            if !sequence.running || sequence.remaining_prompt_tokens() == 0 {
                continue;
            }
            let chunk = sequence.remaining_prompt_tokens().min(budget);
            sequence.prefilled_tokens += chunk;
            budget -= chunk;
            prefilled += chunk;
            if sequence.remaining_prompt_tokens() > 0 {
                break;
            }
            if matches!(sequence.kind, SequenceKind::Segment) {
                let _ = sequence.tx.send(Output::SegmentReady);
            }
        }
        self.computed_tokens += prefilled;
        prefilled
    }

    /// Removes finished completions and caches their prompts. Returns the number of removed
    /// sequences.
    fn remove_finished(&mut self) -> usize {
        let mut finished_prefixes = Vec::new();
        self.sequences.retain_mut(|sequence| {
            let Some(reason) = finish_reason(sequence) else {
                return true;
            };
            let _ = sequence.tx.send(Output::Finished {
                reason,
                prompt_tokens: sequence.prompt_tokens,
                cached_tokens: sequence.cached_tokens,
                completion_tokens: sequence.generated_tokens,
            });
            finished_prefixes.push(std::mem::take(&mut sequence.prefix));
            false
        });
        for prefix in &finished_prefixes {
            let used = self.used_tokens() + self.cache.tokens();
            let free = self.config.capacity_tokens.saturating_sub(used);
            self.cache.store(prefix, free);
        }
        finished_prefixes.len()
    }

    fn backlog_by_priority(&self) -> Vec<(u8, Tokens)> {
        let mut backlog = BTreeMap::new();
        for sequence in self
            .sequences
            .iter()
            .filter(|s| s.remaining_prompt_tokens() > 0)
        {
            *backlog.entry(Reverse(sequence.priority)).or_default() +=
                sequence.remaining_prompt_tokens();
        }
        let by_priority = backlog.into_iter();
        by_priority.map(|(priority, n)| (priority.0, n)).collect()
    }

    fn current_report(&self) -> LoadReport {
        let running = self.sequences.iter().filter(|s| s.running).count();
        let scale = self.config.time_scale;
        let ns = |d: Duration| (d.as_nanos() as f64 / scale) as u64;
        // The step overhead is spread over the tokens of a full step.
        let overhead_per_token =
            self.config.step_overhead.as_nanos() as f64 / self.config.step_token_budget as f64;
        LoadReport {
            capacity_tokens: self.config.capacity_tokens,
            used_tokens: self.used_tokens(),
            running: running as u32,
            waiting: (self.sequences.len() - running) as u32,
            slots: self.config.slots,
            backlog_tokens: self
                .sequences
                .iter()
                .map(Sequence::remaining_prompt_tokens)
                .sum(),
            backlog_by_priority: self.backlog_by_priority(),
            prefill_token_ns: ns(self.config.prefill_per_token)
                + (overhead_per_token / scale) as u64,
            decode_token_ns: ns(self.config.decode_per_token) + (overhead_per_token / scale) as u64,
            loaded: self.loaded.clone(),
            draining: self.draining,
            evictions: self.evictions,
        }
    }

    /// Returns the load report as of `report_lag` ago.
    pub fn delayed_report(&mut self) -> LoadReport {
        let now = Instant::now();
        let report = self.current_report();
        self.report_history.push((now, report));
        let lag = self.config.report_lag;
        let newest_reported = self
            .report_history
            .iter()
            .rposition(|(at, _)| now - *at >= lag);
        let index = newest_reported.unwrap_or(0);
        self.report_history.drain(..index);
        let mut report = self.report_history[0].1.clone();
        report.draining = self.draining;
        report
    }
}

fn emit_token(sequence: &mut Sequence) {
    let SequenceKind::Completion { seed, offset, .. } = &sequence.kind else {
        return;
    };
    // A resumed completion starts at its offset; earlier tokens aren't generated again.
    let index = sequence.generated_tokens.max(*offset);
    let _ = sequence.tx.send(Output::Token(index, seed.token(index)));
    sequence.generated_tokens = index + 1;
}

fn finish_reason(sequence: &Sequence) -> Option<&'static str> {
    let SequenceKind::Completion {
        seed,
        max_tokens,
        stop,
        ..
    } = &sequence.kind
    else {
        return None;
    };
    if sequence.remaining_prompt_tokens() > 0 || sequence.generated_tokens == 0 {
        return None;
    }
    let last_token = seed.token(sequence.generated_tokens - 1);
    if stop
        .iter()
        .any(|text| !text.is_empty() && last_token.contains(text.as_str()))
    {
        return Some("stop");
    }
    (sequence.generated_tokens >= *max_tokens).then_some("length")
}
