//! The state of one admitted request.

use notchwalk_core::{Attempt, Instant, RequestId, Tokens};
use notchwalk_quarantine::Fingerprint;
use slotmap::new_key_type;

use crate::{catalog::GroupKey, catalog::WorkspaceSlot, claim::Claim, event::Work, lane::Lane};
use crate::{long_work::LongPlan, queue::QueuePosition, server::ServerKey};

new_key_type! {
    /// Identifies an admitted request within a node.
    pub struct RequestKey;
}

/// Identifies a waiting caller within a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is being written to the platform's table.
    Claiming,
    /// It waits in its lane.
    Queued,
    /// It waits for its backoff to end.
    Backoff,
    /// It waits for reservations from homes.
    Asking,
    /// An attempt or a segment runs.
    Running,
}

/// The running attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub server: ServerKey,
    /// When the last frame arrived; the dispatch time before the first one.
    pub last_progress: Instant,
    /// When the attempt was dispatched.
    pub sent_at: Instant,
    /// Whether the first token arrived, which ends the prefill.
    pub first_token_received: bool,
    /// Tokens reserved on the server.
    pub reserved: Tokens,
    /// Prompt tokens counted in the server's backlog until the first token.
    pub backlog: Tokens,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The id used between processes.
    pub id: RequestId,
    pub caller: CallerKey,
    pub workspace: WorkspaceSlot,
    /// The model or service.
    pub group: GroupKey,
    pub work: Work,
    /// Fingerprint of the content, if the body was read.
    pub content: Option<Fingerprint>,
    /// The length class.
    pub lane: Lane,
    /// The sequence number among the requests of this node.
    pub seq: u64,
    /// The priority, bounded by the bundle.
    pub priority: u8,
    /// When it was admitted.
    pub arrived: Instant,
    /// When it times out.
    pub deadline: Instant,
    pub phase: Phase,
    /// The running attempt, if there is one.
    pub running: Option<Running>,
    /// The number of the latest attempt.
    pub attempt: Attempt,
    /// Tokens delivered to the caller.
    pub delivered: u32,
    /// Whether any byte was sent to a backend that did not reject it.
    pub sent: bool,
    /// Failed attempts so far.
    pub failures: u16,
    /// The server of the last failed attempt.
    pub avoid: Option<ServerKey>,
    /// Cost charged to the workspace so far, in microseconds.
    pub charged_us: u64,
    /// The claim, for calls with an idempotency key.
    pub claim: Option<Claim>,
    /// The position in the queue while it waits there.
    pub queue_position: Option<QueuePosition>,
    /// Reservations of a long prompt.
    pub plan: Option<LongPlan>,
}

impl Request {
    /// Returns the generation, or `None` for a call.
    pub fn generate(&self) -> Option<&crate::event::GenerateWork> {
        match &self.work {
            Work::Generate(work) => Some(work),
            Work::Call(_) => None,
        }
    }

    /// Returns whether a failed attempt may be retried.
    pub fn is_repeatable(&self) -> bool {
        match &self.work {
            Work::Generate(_) => true,
            Work::Call(call) => call.repeatable,
        }
    }

    /// Returns the digest of a call, empty for generations.
    pub fn fingerprint(&self) -> String {
        match &self.work {
            Work::Call(call) => call.fingerprint.clone(),
            Work::Generate(_) => String::new(),
        }
    }

    /// Returns the length of the prompt in tokens, 0 for calls.
    pub fn prompt_tokens(&self) -> Tokens {
        self.generate().map_or(0, |work| work.prompt_tokens)
    }
}
