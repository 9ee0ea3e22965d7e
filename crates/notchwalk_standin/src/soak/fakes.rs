//! Fakes at the reducer's interfaces. Each counts what really happened.

use std::collections::{BTreeMap, HashMap};

use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_decide::{ClaimAnswer, ClaimRow};
use notchwalk_wire::{Holding, LoadReport, LoadedModel};

/// Work on a fake engine.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The attempt.
    pub attempt: Attempt,
    /// Tokens held.
    pub tokens: Tokens,
    /// Since when, in microseconds.
    pub since_us: u64,
}

/// A fake engine: holds memory until it is told to let go.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Refuses connections.
    pub dead: bool,
    /// Takes work but makes nothing.
    pub hung: bool,
    /// Mixes frames of other requests into streams.
    pub crossed: bool,
    /// About to leave, and since when.
    pub leaving_since_us: Option<u64>,
    /// Memory held by request.
    pub held: BTreeMap<RequestId, Held>,
}

/// Memory of a fake engine, in tokens.
pub const CAPACITY: Tokens = 40_000;

impl FakeEngine {
    /// Takes in work; an older attempt of the request ends.
    pub fn accept(&mut self, id: RequestId, attempt: Attempt, tokens: Tokens, now_us: u64) {
        let newer = self.held.get(&id).is_some_and(|h| h.attempt > attempt);
        if newer {
            return;
        }
        let held = Held {
            attempt,
            tokens,
            since_us: now_us,
        };
        self.held.insert(id, held);
    }

    /// Tells whether an attempt is being worked on.
    pub fn works_on(&self, id: RequestId, attempt: Attempt) -> bool {
        !self.dead && self.held.get(&id).is_some_and(|h| h.attempt == attempt)
    }

    /// Ends a request's attempts.
    pub fn cancel(&mut self, id: RequestId, up_to: Attempt) {
        if self.held.get(&id).is_some_and(|h| h.attempt <= up_to) {
            self.held.remove(&id);
        }
    }

    /// Loses everything.
    pub fn crash(&mut self) {
        self.dead = true;
        self.held.clear();
    }

    /// Returns the tokens held.
    pub fn used(&self) -> Tokens {
        self.held.values().map(|h| h.tokens).sum()
    }

    /// Lists what is held.
    pub fn holdings(&self, now_us: u64) -> Vec<Holding> {
        let list = self.held.iter().map(|(id, held)| Holding {
            request: *id,
            attempt: held.attempt,
            tokens: held.tokens,
            age_ms: (now_us - held.since_us) / 1_000,
        });
        list.collect()
    }

    /// Returns the load.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            capacity_tokens: CAPACITY,
            used_tokens: self.used(),
            running: self.held.len() as u32,
            waiting: 0,
            slots: 32,
            backlog_tokens: 0,
            backlog_by_priority: Vec::new(),
            prompt_token_ns: 10_000,
            answer_token_ns: 10_000,
            loaded: vec![LoadedModel {
                model: "m".to_owned(),
                versions: vec!["v1".to_owned()],
                adapters: vec!["tour".to_owned()],
            }],
            leaving: self.leaving_since_us.is_some(),
            evictions: 0,
        }
    }
}

/// The fake table of claims.
#[derive(Debug, Default)]
pub struct FakeTable {
    /// Answers nothing and takes nothing.
    pub down: bool,
    /// The rows.
    pub rows: HashMap<String, ClaimRow>,
}

impl FakeTable {
    /// Inserts a claim unless there is one.
    pub fn insert(&mut self, key: &str, token: &str, fingerprint: &str) {
        let row = ClaimRow {
            token: token.to_owned(),
            done: false,
            fingerprint: fingerprint.to_owned(),
        };
        self.rows.entry(key.to_owned()).or_insert(row);
    }

    /// Deletes a claim that is still that of a token.
    pub fn release(&mut self, key: &str, token: &str) {
        if self
            .rows
            .get(key)
            .is_some_and(|r| r.token == token && !r.done)
        {
            self.rows.remove(key);
        }
    }

    /// Stores an outcome.
    pub fn finish(&mut self, key: &str, token: &str) {
        if let Some(row) = self.rows.get_mut(key).filter(|r| r.token == token) {
            row.done = true;
        }
    }

    /// Reads a claim.
    pub fn read(&self, key: &str) -> ClaimAnswer {
        match self.rows.get(key) {
            Some(row) => ClaimAnswer::Row(row.clone()),
            None => ClaimAnswer::NoRow,
        }
    }
}
