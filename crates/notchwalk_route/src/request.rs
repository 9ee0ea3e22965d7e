//! The router's state of a request.

use std::{sync::Arc, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::Fingerprint;
use slotmap::new_key_type;

use crate::{
    retry_budget::SendCount, Assignment, Repeatability, Route, ServerKey, WorkspaceShortId,
};

new_key_type! {
    /// Identifies a request in the router.
    pub struct RequestKey;
}

/// Minimum time without output after which callers abort a stream. The longest of this and
/// the two multiples below applies.
const MIN_CALLER_STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without output after which callers abort, as a multiple of the latency objective.
const STREAM_TIMEOUT_PER_OBJECTIVE: u32 = 4;
/// Time without output after which callers abort, as a multiple of the inter-token latency
/// objective.
const STREAM_TIMEOUT_PER_INTER_TOKEN: u32 = 8;

/// The properties of a request on its arrival.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Its route.
    pub route: Arc<Route>,
    /// Fingerprint of its content, the same for all of its attempts.
    pub content: Fingerprint,
    /// Its workspace; the default if it has no key.
    pub workspace: WorkspaceShortId,
    /// Priority of its workspace; 0 is the highest.
    pub workspace_priority: u8,
    /// When its first byte arrived.
    pub arrived_at: Instant,
    /// The timeout that its caller announced.
    pub caller_timeout: Duration,
    /// The deadline from the timeouts of its caller and its route.
    pub deadline: Instant,
    /// Number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Expected number of response tokens.
    pub output_tokens: u32,
}

/// The state of a request until its response has ended.
#[derive(Debug)]
pub(crate) struct Request {
    pub facts: RequestFacts,
    /// Estimated time of its caller's first attempt.
    pub first_attempt_at: Instant,
    /// Its service, chosen from those of the route.
    pub service: String,
    /// Servers that are excluded from further attempts: it was sent to them, they rejected
    /// a segment or a reservation, or they are outside the subset for its suspected content.
    pub attempted: Vec<ServerKey>,
    /// Number of servers that may have started it.
    pub started_on: u32,
    /// Number of sends, rejected ones included.
    pub sends: u32,
    /// How its next send counts against the retry budget.
    pub next_send: SendCount,
    /// Number of sends that failed because of a prefill worker.
    pub prefill_worker_failures: u32,
    /// The server that it is assigned to.
    pub server: Option<ServerKey>,
    /// Servers that prefill segments of its prompt.
    pub prefill_workers: Vec<ServerKey>,
    /// The assignment to send once its memory is reserved.
    pub pending_assignment: Option<Assignment>,
    /// Whether it holds memory reservations.
    pub holds_reservations: bool,
    /// Predicted time of the first event.
    pub predicted_first_event: Instant,
    /// Time of the last send.
    pub sent_at: Instant,
    /// Start of the current wait to be sent.
    pub waiting_since: Instant,
    /// Whether an event of its stream has been delivered.
    pub started: bool,
}

impl Request {
    pub fn new(facts: RequestFacts, since_first_attempt: Duration, service: String) -> Self {
        Self {
            first_attempt_at: facts.arrived_at.before(since_first_attempt),
            sent_at: facts.arrived_at,
            waiting_since: facts.arrived_at,
            predicted_first_event: facts.arrived_at,
            facts,
            service,
            attempted: Vec::new(),
            started_on: 0,
            sends: 0,
            next_send: SendCount::FirstAttempt,
            prefill_worker_failures: 0,
            server: None,
            prefill_workers: Vec::new(),
            pending_assignment: None,
            holds_reservations: false,
            started: false,
        }
    }

    /// Returns whether the request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.facts.route.repeatability != Repeatability::AtMostOnce
    }

    /// Returns when its latency objective ends, counted from the caller's first attempt.
    pub fn objective_at(&self) -> Instant {
        self.first_attempt_at.after(self.facts.route.objective)
    }

    /// Returns when its caller aborts if no event has been delivered by then.
    pub fn caller_timeout_at(&self) -> Instant {
        let route = &self.facts.route;
        if !route.streaming || self.started {
            return self.facts.deadline;
        }
        let timeout = self.caller_stream_timeout();
        self.facts
            .deadline
            .min(self.facts.arrived_at.after(timeout))
    }

    /// Returns the time without output after which its caller aborts a stream.
    fn caller_stream_timeout(&self) -> Duration {
        let route = &self.facts.route;
        let inter_token = route.inter_token_objective.unwrap_or_default();
        MIN_CALLER_STREAM_TIMEOUT
            .max(route.objective * STREAM_TIMEOUT_PER_OBJECTIVE)
            .max(inter_token * STREAM_TIMEOUT_PER_INTER_TOKEN)
    }

    /// Returns when its caller aborts. The timeout of a started stream runs from its last
    /// event.
    pub fn caller_aborts_at(&self) -> Instant {
        match self.started {
            true => self
                .facts
                .deadline
                .min(self.waiting_since.after(self.caller_stream_timeout())),
            false => self.caller_timeout_at(),
        }
    }

    /// Returns the time until its deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.facts.deadline.since(now)
    }
}
