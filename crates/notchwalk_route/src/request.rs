//! The router's state of a request.

use std::{sync::Arc, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, PromptPart, RequestSubjects};
use slotmap::new_key_type;

use crate::{
    retry_budget::SendCount, Assignment, Repeatability, Route, ServerKey, WorkspaceShortId,
};

/// Maximum number of tokens of a short prompt. Those of short requests on the known
/// deployments are below it.
pub(crate) const LONG_PROMPT_TOKENS: u32 = 24_000;

new_key_type! {
    /// Identifies a request in the router.
    pub struct RequestKey;
}

/// Minimum time without output after which callers abort a stream. The longest of this and
/// the two multiples below applies, as known callers behave.
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
    /// The parts of its prompt that other requests may share, by their ids.
    pub shared_parts: Vec<Fingerprint>,
    /// Its workspace; the default if it has no key.
    pub workspace: WorkspaceShortId,
    /// Priority of its workspace; 0 is the highest.
    pub workspace_priority: u32,
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
    /// How its send counts, if a peer forwarded it.
    pub forwarded: Option<ForwardedSend>,
    /// The short ids of the servers that the peer excludes: they requested a backoff from it.
    pub excluded_servers: Vec<u32>,
}

/// How the send of a forwarded request to a server counts at the node that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedSend {
    /// As the first attempt of the request.
    FirstAttempt,
    /// As a retry, which the sending node's budget must allow.
    Retry,
    /// Not at all: the node that forwards it has counted it.
    Counted,
}

/// The state of a request until its response has ended.
#[derive(Debug)]
pub(crate) struct Request {
    pub facts: RequestFacts,
    /// Estimated time of its caller's first attempt.
    pub first_attempt_at: Instant,
    /// Its service, chosen from those of the route.
    pub service: String,
    /// Its content and the shared parts of its prompt, as possible causes of crashes.
    pub subjects: RequestSubjects,
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
    /// The peer that it is forwarded to now.
    pub current_peer: Option<u32>,
    /// All peers that it was forwarded to.
    pub forwarded_to: Vec<u32>,
    /// The peers that refused it or could not be connected to.
    pub refused_by: Vec<u32>,
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
    /// Whether the current attempt has delivered an event of its stream.
    pub started: bool,
    /// Whether an event has been delivered by this or an earlier attempt.
    pub has_output: bool,
    /// Whether its stream went on for long enough to show that its prompt does not crash its
    /// server.
    pub survived: bool,
}

fn subjects(facts: &RequestFacts, service: &str) -> RequestSubjects {
    let parts = facts.shared_parts.iter();
    let workspace = facts.workspace.number();
    let parts = parts.map(|&id| PromptPart::new(service, id, workspace));
    RequestSubjects {
        content: facts.content,
        parts: parts.collect(),
    }
}

impl Request {
    pub fn new(facts: RequestFacts, since_first_attempt: Duration, service: String) -> Self {
        Self {
            first_attempt_at: facts.arrived_at.before(since_first_attempt),
            sent_at: facts.arrived_at,
            waiting_since: facts.arrived_at,
            predicted_first_event: facts.arrived_at,
            subjects: subjects(&facts, &service),
            facts,
            service,
            attempted: Vec::new(),
            started_on: 0,
            sends: 0,
            next_send: SendCount::FirstAttempt,
            prefill_worker_failures: 0,
            current_peer: None,
            forwarded_to: Vec::new(),
            refused_by: Vec::new(),
            server: None,
            prefill_workers: Vec::new(),
            pending_assignment: None,
            holds_reservations: false,
            started: false,
            has_output: false,
            survived: false,
        }
    }

    /// Returns whether the request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.facts.route.repeatability != Repeatability::AtMostOnce
    }

    /// Returns on how many servers this node may start it. A peer that forwarded it decides
    /// about further attempts itself.
    pub fn max_attempts(&self) -> u32 {
        match self.facts.forwarded {
            Some(_) => 1,
            None => self.facts.route.max_attempts.max(1),
        }
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

    /// Returns the timeout for the first event, after which the request is sent to another
    /// server; `None` if the request may run only once.
    pub fn first_output_timeout(&self, now: Instant) -> Option<Duration> {
        if !self.may_repeat() {
            return None;
        }
        let min_timeout = self.min_first_output_timeout();
        // Repeating a long prefill is expensive, and an engine with a long prompt is more
        // likely busy than broken.
        let min_timeout = match self.facts.prompt_tokens > LONG_PROMPT_TOKENS {
            true => min_timeout * 2,
            false => min_timeout,
        };
        Some((self.predicted_first_event.since(now) * 2).max(min_timeout))
    }

    /// Returns the timeout for the first output of a peer that the request is forwarded to;
    /// `None` if it may run only once, or if the peer may queue its long prompt.
    pub fn forwarded_output_timeout(&self) -> Option<Duration> {
        let may_time_out = self.may_repeat() && self.facts.prompt_tokens <= LONG_PROMPT_TOKENS;
        may_time_out.then(|| self.min_first_output_timeout())
    }

    fn min_first_output_timeout(&self) -> Duration {
        /// For streams. Leaves time for another attempt: callers of streams time out after
        /// 2 s at the earliest.
        const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
        /// For responses that are not streamed.
        const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
        match self.facts.route.streaming {
            true => MIN_FIRST_EVENT_TIMEOUT.max(self.facts.route.objective),
            false => MIN_RESPONSE_TIMEOUT,
        }
    }

    /// Returns the timeout between two events of a stream, after which it is resumed on
    /// another server; `None` if the route has no inter-token objective or the request may run
    /// only once.
    pub fn inter_token_timeout(&self) -> Option<Duration> {
        /// Callers of streams time out after 2 s at the earliest.
        const MIN_TIMEOUT: Duration = Duration::from_millis(1_200);
        if !self.may_repeat() {
            return None;
        }
        let objective = self.facts.route.inter_token_objective?;
        Some((objective * 4).max(MIN_TIMEOUT))
    }
}
