//! A sequence: one unit of work on a stand-in engine.

use std::time::Instant;

use local_sync::mpsc::unbounded;
use notchwalk_core::{Attempt, RequestId, Tokens};

use crate::completion::CompletionSeed;

/// An output of a sequence, sent to its connection.
#[derive(Debug)]
pub enum Output {
    /// A token and its index in the completion.
    Token(u32, String),
    /// The completion has ended.
    Finished {
        /// `stop` or `length`.
        reason: &'static str,
        /// Length of the prompt, in tokens.
        prompt_tokens: Tokens,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: Tokens,
        /// Length of the whole completion, in tokens.
        completion_tokens: u32,
    },
    /// The segment is prefilled and held in memory.
    SegmentReady,
}

/// The kind of work of a sequence.
#[derive(Clone, Debug)]
pub enum SequenceKind {
    /// A completion.
    Completion {
        /// Seed of the completion.
        seed: CompletionSeed,
        /// Index of the first token to generate.
        offset: u32,
        /// Maximum completion length, in tokens.
        max_tokens: u32,
        /// Stop sequences.
        stop: Vec<String>,
    },
    /// The KV cache of a prompt segment, held until it is cancelled.
    Segment,
}

/// A waiting or running sequence.
pub struct Sequence {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt number of the request.
    pub attempt: Attempt,
    /// Scheduling priority; higher values first.
    pub priority: u8,
    /// Sequence number of arrival.
    pub arrival_order: u64,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Prompt tokens that this engine prefills and holds; the others are imported.
    pub local_tokens: Tokens,
    /// Prompt tokens prefilled or found in the prefix cache.
    pub prefilled_tokens: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Block hashes of the prompt.
    pub prefix: Vec<u64>,
    /// Completion tokens generated so far.
    pub generated_tokens: u32,
    /// The kind of work.
    pub kind: SequenceKind,
    /// Whether the sequence is admitted and holds memory.
    pub running: bool,
    /// Sends outputs to the connection.
    pub tx: unbounded::Tx<Output>,
}

impl Sequence {
    /// Returns the KV memory in use, in tokens.
    pub fn used_tokens(&self) -> Tokens {
        match self.running {
            true => self.local_tokens + Tokens::from(self.generated_tokens),
            false => 0,
        }
    }

    /// Returns the number of prompt tokens that remain to be prefilled.
    pub fn remaining_prompt_tokens(&self) -> Tokens {
        self.local_tokens - self.prefilled_tokens.min(self.local_tokens)
    }

    /// Returns whether the sequence is a prefilled segment held in memory.
    pub fn is_held_segment(&self) -> bool {
        matches!(self.kind, SequenceKind::Segment)
            && self.running
            && self.remaining_prompt_tokens() == 0
    }

    /// Returns the scheduling key: priority first, then arrival.
    pub fn scheduling_key(&self) -> (std::cmp::Reverse<u8>, u64) {
        (std::cmp::Reverse(self.priority), self.arrival_order)
    }
}
