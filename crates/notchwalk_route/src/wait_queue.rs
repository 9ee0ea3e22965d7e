//! Requests that wait for engines.
//!
//! A long prompt keeps engines busy for a second and more. Bound to an engine
//! at arrival, it would stand there in the order of arrival, and near
//! saturation all would be late. So long requests wait here and are sent when
//! engines have room: the cheapest first, with ageing. Short requests that are
//! late already wait here too, for room that nobody else misses.

use std::time::Duration;

use notchwalk_core::Instant;

use crate::{request::Request, RequestKey};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub request: RequestKey,
    /// Engine time of its prompt, in milliseconds.
    pub read_ms: f64,
    pub since: Instant,
    /// Its latency objective.
    pub objective: Duration,
}

/// How much a request's cost counts less after it waited for its objective.
const AGEING: f64 = 0.6;

impl Waiting {
    pub fn new(key: RequestKey, request: &Request, read_ms: f64, now: Instant) -> Self {
        Self {
            request: key,
            read_ms,
            since: now,
            objective: request.facts.route.objective,
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
pub(crate) struct WaitQueue {
    waiting: Vec<Waiting>,
}

impl WaitQueue {
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
