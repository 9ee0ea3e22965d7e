//! One piece of work on a stand-in engine.

use std::time::Instant;

use local_sync::mpsc::unbounded;
use notchwalk_core::{Attempt, RequestId, Tokens};

use crate::answer::AnswerSeed;

/// What a sequence tells its connection.
#[derive(Debug)]
pub enum Output {
    /// A token and its place in the answer.
    Token(u32, String),
    /// The answer is whole.
    Finished {
        /// `stop` or `length`.
        reason: &'static str,
        /// Tokens of the prompt.
        prompt_tokens: Tokens,
        /// Tokens of it that were cached.
        cached_tokens: Tokens,
        /// Tokens of the whole answer.
        completion_tokens: u32,
    },
    /// The segment is computed and held.
    SegmentReady,
}

/// What a sequence computes.
#[derive(Clone, Debug)]
pub enum Goal {
    /// An answer.
    Answer {
        /// The function that gives its tokens.
        seed: AnswerSeed,
        /// The first token wanted.
        offset: u32,
        /// The longest answer.
        max_tokens: u32,
        /// Texts that end it.
        stop: Vec<String>,
    },
    /// The KV cache of a part of a prompt, held until it is cancelled.
    Segment,
}

/// A sequence, waiting or running.
pub struct Sequence {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// Higher is served first.
    pub priority: u8,
    /// The place in the order of arrival.
    pub order: u64,
    /// When it arrived.
    pub since: Instant,
    /// Tokens of the whole prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt that this engine computes and holds.
    pub own_tokens: Tokens,
    /// Tokens computed or found in the cache.
    pub computed: Tokens,
    /// Tokens found in the cache.
    pub cached: Tokens,
    /// The prompt's blocks.
    pub prefix: Vec<u64>,
    /// Tokens of the answer that exist.
    pub generated: u32,
    /// What is computed.
    pub goal: Goal,
    /// Whether it holds memory.
    pub running: bool,
    /// Where its output goes.
    pub tx: unbounded::Tx<Output>,
}

impl Sequence {
    /// Returns the memory held, in tokens.
    pub fn held(&self) -> Tokens {
        match self.running {
            true => self.own_tokens + Tokens::from(self.generated),
            false => 0,
        }
    }

    /// Returns the prompt tokens still to be computed.
    pub fn left(&self) -> Tokens {
        self.own_tokens - self.computed.min(self.own_tokens)
    }

    /// Tells whether the sequence is a segment that is only held.
    pub fn is_held_segment(&self) -> bool {
        matches!(self.goal, Goal::Segment) && self.running && self.left() == 0
    }

    /// Returns the key by which sequences are served: priority first, then
    /// arrival.
    pub fn rank(&self) -> (std::cmp::Reverse<u8>, u64) {
        (std::cmp::Reverse(self.priority), self.order)
    }
}
