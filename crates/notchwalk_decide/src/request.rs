//! One admitted request and where it stands.

use notchwalk_core::{Attempt, Instant, RequestId, Tokens};
use notchwalk_quarantine::Fingerprint;
use slotmap::new_key_type;

use crate::{catalog::GroupKey, catalog::WorkspaceSlot, claim::Claim, event::Work, lane::Lane};
use crate::{long_work::LongPlan, queue::Place, server::ServerKey};

new_key_type! {
    /// Names an admitted request within a node.
    pub struct RequestKey;
}

/// Names a waiting caller within a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is being written to the platform's table.
    Claiming,
    /// It waits in its lane.
    Queued,
    /// It waits before it is queued again.
    Backoff,
    /// It asks homes for room.
    Asking,
    /// An attempt runs.
    Running,
}

/// The attempt that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    /// The server.
    pub server: ServerKey,
    /// When the last frame came, or when it was sent.
    pub progress: Instant,
    /// When it was sent.
    pub since: Instant,
    /// Whether a token came: its prompt is computed.
    pub answers: bool,
    /// Tokens held on the server.
    pub held: Tokens,
    /// Prompt tokens counted as the server's backlog until the first token.
    pub backlog: Tokens,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Its id towards other processes.
    pub id: RequestId,
    /// Its caller.
    pub caller: CallerKey,
    /// Its workspace.
    pub workspace: WorkspaceSlot,
    /// The model or service.
    pub group: GroupKey,
    /// What is to be done.
    pub work: Work,
    /// Identifies its content, if its body was read.
    pub content: Option<Fingerprint>,
    /// Its length class.
    pub lane: Lane,
    /// Its place among the requests of its node.
    pub seq: u64,
    /// Its priority, bounded by the bundle.
    pub priority: u8,
    /// When it was admitted.
    pub arrived: Instant,
    /// When it must have ended.
    pub deadline: Instant,
    /// Where it stands.
    pub phase: Phase,
    /// The attempt that runs.
    pub running: Option<Running>,
    /// The number of the latest attempt.
    pub attempt: Attempt,
    /// Tokens delivered to the caller.
    pub delivered: u32,
    /// Whether any byte went to a backend that did not refuse it.
    pub sent: bool,
    /// Failed attempts so far.
    pub failures: u16,
    /// The server of the last failed attempt.
    pub avoid: Option<ServerKey>,
    /// Cost charged to the workspace so far, in microseconds.
    pub charged_us: u64,
    /// The claim, for calls with an idempotency key.
    pub claim: Option<Claim>,
    /// Its place in the queue while it waits there.
    pub queued_at: Option<Place>,
    /// Reservations for long work.
    pub plan: Option<LongPlan>,
}

impl Request {
    /// Returns the generation wanted, unless it is a call.
    pub fn generate(&self) -> Option<&crate::event::GenerateWork> {
        match &self.work {
            Work::Generate(work) => Some(work),
            Work::Call(_) => None,
        }
    }

    /// Tells whether a failed attempt may be followed by another.
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

    /// Returns the prompt's tokens, 0 for calls.
    pub fn prompt_tokens(&self) -> Tokens {
        self.generate().map_or(0, |work| work.prompt_tokens)
    }
}
