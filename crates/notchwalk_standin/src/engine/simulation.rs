//! The engine's steps, without I/O.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_wire::{Holding, LoadReport, LoadedModel};

use super::{
    cache::PrefixCache,
    config::EngineConfig,
    fault::Fault,
    sequence::{Goal, Output, Sequence},
};

/// The state of one engine.
pub struct Simulation {
    /// Its properties.
    pub config: EngineConfig,
    /// What is wrong with it.
    pub fault: Fault,
    /// What is loaded.
    pub loaded: Vec<LoadedModel>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Its prefix cache.
    pub cache: PrefixCache,
    /// Requests that were ever sent here, for tests.
    pub received: u64,
    /// When work was last accepted.
    pub last_received: Option<Instant>,
    sequences: Vec<Sequence>,
    next_order: u64,
    evictions: u64,
    computed_tokens: u64,
    generated_tokens: u64,
    reports: Vec<(Instant, LoadReport)>,
}

impl Simulation {
    /// Builds an idle engine.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            loaded: config.loaded.clone(),
            config,
            fault: Fault::None,
            leaving: false,
            cache: PrefixCache::default(),
            received: 0,
            last_received: None,
            sequences: Vec::new(),
            next_order: 0,
            evictions: 0,
            computed_tokens: 0,
            generated_tokens: 0,
            reports: Vec::new(),
        }
    }

    /// Returns the memory held by sequences, in tokens.
    pub fn used(&self) -> Tokens {
        self.sequences.iter().map(Sequence::held).sum()
    }

    /// Returns prompt and answer tokens made since the start.
    pub fn tokens_made(&self) -> (u64, u64) {
        (self.computed_tokens, self.generated_tokens)
    }

    /// Adds work. An older attempt of the same request ends.
    pub fn add(&mut self, mut sequence: Sequence) {
        let (request, attempt) = (sequence.request, sequence.attempt);
        self.sequences
            .retain(|s| s.request != request || s.attempt >= attempt);
        sequence.order = self.next_order;
        self.next_order += 1;
        self.received += 1;
        self.last_received = Some(Instant::now());
        self.sequences.push(sequence);
    }

    /// Ends a request's attempts; returns the freed tokens.
    pub fn cancel(&mut self, request: RequestId, up_to: Attempt) -> Tokens {
        let before = self.used();
        self.sequences
            .retain(|s| s.request != request || s.attempt > up_to);
        before - self.used()
    }

    /// Ends an answer whose connection is gone.
    pub fn drop_answer(&mut self, request: RequestId, attempt: Attempt) {
        let gone = |s: &Sequence| {
            s.request == request && s.attempt == attempt && !matches!(s.goal, Goal::Segment)
        };
        self.sequences.retain(|s| !gone(s));
    }

    /// Loses everything, as a crash does.
    pub fn crash(&mut self) {
        self.sequences.clear();
        self.cache.shrink_to(0);
    }

    /// Lists the memory held.
    pub fn holdings(&self) -> Vec<Holding> {
        let holding = |s: &Sequence| Holding {
            request: s.request,
            attempt: s.attempt,
            tokens: s.held(),
            age_ms: s.since.elapsed().as_millis() as u64,
        };
        self.sequences
            .iter()
            .filter(|s| s.running)
            .map(holding)
            .collect()
    }

    /// Runs one step; returns how long it takes, `None` if there is nothing to
    /// do.
    pub fn step(&mut self) -> Option<Duration> {
        self.sequences.sort_unstable_by_key(Sequence::rank);
        self.admit();
        let answers = self.generate();
        let prompts = self.compute_prompts(answers);
        let answers_only = self.finish_step();
        if answers == 0 && prompts == 0 && answers_only == 0 {
            return None;
        }
        let config = &self.config;
        let work = config.step_base
            + config.prompt_token.mul_f64(prompts as f64)
            + config.answer_token.mul_f64(answers as f64);
        let factor = match self.fault {
            Fault::Slow(factor) => factor,
            _ => 1.0,
        };
        Some(config.scaled(work).mul_f64(factor))
    }

    /// Starts waiting sequences in order while slots and memory allow.
    fn admit(&mut self) {
        let mut used = self.used();
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
            let need = sequence.own_tokens + Tokens::from(sequence.generated);
            if running >= self.config.slots || used + need > capacity {
                break;
            }
            sequence.running = true;
            sequence.cached = self
                .cache
                .hit(&sequence.prefix)
                .min(sequence.own_tokens - 1);
            sequence.computed = sequence.cached;
            used += need;
            running += 1;
        }
        self.cache.shrink_to(capacity.saturating_sub(used));
    }

    /// Makes one token for each sequence whose prompt is computed. Returns
    /// how many.
    fn generate(&mut self) -> u64 {
        let capacity = self.config.capacity_tokens;
        let mut used = self.used();
        let mut made = 0;
        let mut i = 0;
        while i < self.sequences.len() {
            let sequence = &self.sequences[i];
            let answers = matches!(sequence.goal, Goal::Answer { .. });
            if !sequence.running || sequence.left() > 0 || !answers {
                i += 1;
                continue;
            }
            if used + 1 > capacity {
                if !self.evict_after(i) {
                    break;
                }
                used = self.used();
                continue;
            }
            let sequence = &mut self.sequences[i];
            emit_token(sequence);
            used += 1;
            made += 1;
            i += 1;
        }
        self.generated_tokens += made;
        made
    }

    /// Takes the memory of the last running sequence behind `i`; it starts
    /// anew later.
    fn evict_after(&mut self, i: usize) -> bool {
        let mut behind = self.sequences.iter().enumerate().skip(i + 1);
        let victim = behind.rfind(|(_, s)| s.running && !s.is_held_segment());
        let Some((victim, _)) = victim else {
            return false;
        };
        let sequence = &mut self.sequences[victim];
        sequence.running = false;
        sequence.computed = 0;
        self.evictions += 1;
        true
    }

    /// Computes prompt tokens, in order, with what is left of the budget.
    fn compute_prompts(&mut self, answers: u64) -> Tokens {
        let mut budget = self.config.step_budget.saturating_sub(answers);
        let mut done = 0;
        for sequence in &mut self.sequences {
            if !sequence.running || sequence.left() == 0 {
                continue;
            }
            let chunk = sequence.left().min(budget);
            sequence.computed += chunk;
            budget -= chunk;
            done += chunk;
            if sequence.left() > 0 {
                break;
            }
            if matches!(sequence.goal, Goal::Segment) {
                let _ = sequence.tx.send(Output::SegmentReady);
            }
        }
        self.computed_tokens += done;
        done
    }

    /// Ends whole answers and caches their prompts; returns how many ended.
    fn finish_step(&mut self) -> usize {
        let mut ended = Vec::new();
        self.sequences.retain_mut(|sequence| {
            let Some(reason) = end_of(sequence) else {
                return true;
            };
            let _ = sequence.tx.send(Output::Finished {
                reason,
                prompt_tokens: sequence.prompt_tokens,
                cached_tokens: sequence.cached,
                completion_tokens: sequence.generated,
            });
            ended.push(std::mem::take(&mut sequence.prefix));
            false
        });
        for prefix in &ended {
            let taken = self.used() + self.cache.tokens();
            let room = self.config.capacity_tokens.saturating_sub(taken);
            self.cache.store(prefix, room);
        }
        ended.len()
    }

    fn backlog_by_priority(&self) -> Vec<(u8, Tokens)> {
        let mut backlog = BTreeMap::new();
        for sequence in self.sequences.iter().filter(|s| s.left() > 0) {
            *backlog.entry(Reverse(sequence.priority)).or_default() += sequence.left();
        }
        let by_priority = backlog.into_iter();
        by_priority.map(|(priority, n)| (priority.0, n)).collect()
    }

    fn report_now(&self) -> LoadReport {
        let running = self.sequences.iter().filter(|s| s.running).count();
        let scale = self.config.time_scale;
        let ns = |d: Duration| (d.as_nanos() as f64 / scale) as u64;
        // A full step's base is spread over its tokens.
        let spread = self.config.step_base.as_nanos() as f64 / self.config.step_budget as f64;
        LoadReport {
            capacity_tokens: self.config.capacity_tokens,
            used_tokens: self.used(),
            running: running as u32,
            waiting: (self.sequences.len() - running) as u32,
            slots: self.config.slots,
            backlog_tokens: self.sequences.iter().map(Sequence::left).sum(),
            backlog_by_priority: self.backlog_by_priority(),
            prompt_token_ns: ns(self.config.prompt_token) + (spread / scale) as u64,
            answer_token_ns: ns(self.config.answer_token) + (spread / scale) as u64,
            loaded: self.loaded.clone(),
            leaving: self.leaving,
            evictions: self.evictions,
        }
    }

    /// Returns the load as it was a moment ago.
    pub fn lagging_report(&mut self) -> LoadReport {
        let now = Instant::now();
        let report = self.report_now();
        self.reports.push((now, report));
        let lag = self.config.report_lag;
        let old_enough = self.reports.iter().rposition(|(at, _)| now - *at >= lag);
        let at = old_enough.unwrap_or(0);
        self.reports.drain(..at);
        let mut report = self.reports[0].1.clone();
        report.leaving = self.leaving;
        report
    }
}

fn emit_token(sequence: &mut Sequence) {
    let Goal::Answer { seed, offset, .. } = &sequence.goal else {
        return;
    };
    // A resumed answer starts at its offset; what came before is not made
    // again.
    let place = sequence.generated.max(*offset);
    let _ = sequence.tx.send(Output::Token(place, seed.token(place)));
    sequence.generated = place + 1;
}

fn end_of(sequence: &Sequence) -> Option<&'static str> {
    let Goal::Answer {
        seed,
        max_tokens,
        stop,
        ..
    } = &sequence.goal
    else {
        return None;
    };
    if sequence.left() > 0 || sequence.generated == 0 {
        return None;
    }
    let last = seed.token(sequence.generated - 1);
    if stop
        .iter()
        .any(|text| !text.is_empty() && last.contains(text.as_str()))
    {
        return Some("stop");
    }
    (sequence.generated >= *max_tokens).then_some("length")
}
