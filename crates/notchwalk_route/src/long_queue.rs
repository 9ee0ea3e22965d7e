//! Long requests that wait for engines.
//!
//! A long prompt keeps engines busy for a second and more. Bound to an engine
//! at arrival, it would stand there in the order of arrival, and near
//! saturation all would be late. So long requests wait here and are sent when
//! engines have room: the ones that can still be in time first, the cheapest
//! of them before the others, with ageing.

use std::time::Duration;

use notchwalk_core::Instant;

use crate::{RequestFacts, RequestKey};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub request: RequestKey,
    /// Engine time of its prompt, in milliseconds.
    pub read_ms: f64,
    pub since: Instant,
    /// Its latency objective.
    pub objective: Duration,
    /// When it is sent wherever it may go.
    pub latest: Instant,
}

/// Objectives that a caller waits for the first event before it gives up: four
/// times the objective, less the time that reading takes.
pub(crate) const PATIENCE_IN_OBJECTIVES: u32 = 4;
/// Engines that a prompt is spread over when nothing else is left.
const LAST_RESORT_ENGINES: f64 = 4.0;
/// How much a request's cost counts less after it waited for its objective.
const AGEING: f64 = 0.6;

impl Waiting {
    pub fn new(request: RequestKey, facts: &RequestFacts, read_ms: f64, now: Instant) -> Self {
        let objective = facts.route.objective;
        let reading = Duration::from_secs_f64(read_ms / LAST_RESORT_ENGINES / 1e3);
        let patience = (objective * PATIENCE_IN_OBJECTIVES).saturating_sub(reading) / 2;
        Self {
            request,
            read_ms,
            since: now,
            objective,
            latest: facts.arrived.after(patience.min(objective.mul_f64(0.9))),
        }
    }

    /// Returns its place in the order: lower goes first.
    fn order(&self, now: Instant) -> f64 {
        let waited = now.since(self.since).as_secs_f64();
        let aged = (waited / self.objective.as_secs_f64().max(1e-3)).min(1.0);
        self.read_ms * (1.0 - AGEING * aged)
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub(crate) struct LongQueue {
    waiting: Vec<Waiting>,
}

impl LongQueue {
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    pub fn remove(&mut self, request: RequestKey) {
        self.waiting.retain(|waiting| waiting.request != request);
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the engine time that waits, in milliseconds.
    pub fn read_ms(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.read_ms).sum()
    }

    /// Returns all that wait, the first to be sent first.
    pub fn in_order(&self, now: Instant) -> Vec<Waiting> {
        let mut waiting = self.waiting.clone();
        waiting.sort_by(|a, b| a.order(now).total_cmp(&b.order(now)));
        waiting
    }
}
