//! Fake engines and claim table. Their state is the ground truth for the checks.

use std::collections::{BTreeMap, HashMap};

use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_decide::{ClaimResponse, ClaimRow};
use notchwalk_wire::{Allocation, LoadReport, LoadedModel};

/// Memory reserved on a fake engine for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// The attempt.
    pub attempt: Attempt,
    /// The reserved memory, in tokens.
    pub tokens: Tokens,
    /// When the memory was reserved, in microseconds of virtual time.
    pub since_us: u64,
}

/// A fake engine. It reserves memory for each attempt until the attempt ends or is cancelled.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Whether the engine has crashed and refuses connections.
    pub crashed: bool,
    /// Whether the engine is unresponsive and generates nothing.
    pub hung: bool,
    /// Whether the engine inserts frames of other requests and attempts into streams.
    pub sends_mismatched_frames: bool,
    /// When the engine started to drain, if it has.
    pub draining_since_us: Option<u64>,
    /// Reserved memory by request.
    pub reservations: BTreeMap<RequestId, Reservation>,
}

pub const CAPACITY_TOKENS: Tokens = 40_000;

impl FakeEngine {
    /// Reserves memory for an attempt and replaces an older attempt of the request.
    /// Ignores the attempt if a newer one is running.
    pub fn accept(&mut self, id: RequestId, attempt: Attempt, tokens: Tokens, now_us: u64) {
        let newer = self
            .reservations
            .get(&id)
            .is_some_and(|r| r.attempt > attempt);
        if newer {
            return;
        }
        let reservation = Reservation {
            attempt,
            tokens,
            since_us: now_us,
        };
        self.reservations.insert(id, reservation);
    }

    /// Returns whether the attempt is running.
    pub fn is_running(&self, id: RequestId, attempt: Attempt) -> bool {
        !self.crashed
            && self
                .reservations
                .get(&id)
                .is_some_and(|r| r.attempt == attempt)
    }

    /// Cancels the request's attempt unless it is newer than `up_to`.
    pub fn cancel(&mut self, id: RequestId, up_to: Attempt) {
        if self
            .reservations
            .get(&id)
            .is_some_and(|r| r.attempt <= up_to)
        {
            self.reservations.remove(&id);
        }
    }

    /// Crashes the engine and releases all memory.
    pub fn crash(&mut self) {
        self.crashed = true;
        self.reservations.clear();
    }

    /// Returns the reserved memory.
    pub fn used_tokens(&self) -> Tokens {
        self.reservations.values().map(|r| r.tokens).sum()
    }

    /// Returns the reservations as reported to nodes.
    pub fn allocations(&self, now_us: u64) -> Vec<Allocation> {
        let allocations = self.reservations.iter().map(|(id, r)| Allocation {
            request: *id,
            attempt: r.attempt,
            tokens: r.tokens,
            age_ms: (now_us - r.since_us) / 1_000,
        });
        allocations.collect()
    }

    /// Returns the load as reported to nodes.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            capacity_tokens: CAPACITY_TOKENS,
            used_tokens: self.used_tokens(),
            running: self.reservations.len() as u32,
            waiting: 0,
            slots: 32,
            backlog_tokens: 0,
            backlog_by_priority: Vec::new(),
            prefill_token_ns: 10_000,
            decode_token_ns: 10_000,
            loaded: vec![LoadedModel {
                model: "m".to_owned(),
                versions: vec!["v1".to_owned()],
                adapters: vec!["tour".to_owned()],
            }],
            draining: self.draining_since_us.is_some(),
            evictions: 0,
        }
    }
}

/// A fake claim table.
#[derive(Debug, Default)]
pub struct FakeClaimTable {
    /// Whether the table is unavailable.
    pub unavailable: bool,
    /// The claims by key.
    pub rows: HashMap<String, ClaimRow>,
}

impl FakeClaimTable {
    /// Inserts a claim unless the key has one.
    pub fn insert(&mut self, key: &str, token: &str, fingerprint: &str) {
        let row = ClaimRow {
            token: token.to_owned(),
            done: false,
            fingerprint: fingerprint.to_owned(),
        };
        self.rows.entry(key.to_owned()).or_insert(row);
    }

    /// Deletes the claim if it belongs to `token` and has no outcome.
    pub fn release(&mut self, key: &str, token: &str) {
        if self
            .rows
            .get(key)
            .is_some_and(|r| r.token == token && !r.done)
        {
            self.rows.remove(key);
        }
    }

    /// Marks the claim as done if it belongs to `token`.
    pub fn finish(&mut self, key: &str, token: &str) {
        if let Some(row) = self.rows.get_mut(key).filter(|r| r.token == token) {
            row.done = true;
        }
    }

    /// Reads a claim.
    pub fn read(&self, key: &str) -> ClaimResponse {
        match self.rows.get(key) {
            Some(row) => ClaimResponse::Row(row.clone()),
            None => ClaimResponse::NoRow,
        }
    }
}
