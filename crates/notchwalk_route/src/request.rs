//! A request as the router sees it.

use std::{sync::Arc, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::Fingerprint;
use slotmap::new_key_type;

use crate::{Assignment, Repeatability, Route, ServerKey, WorkspaceTag};

new_key_type! {
    /// A request's place in the router.
    pub struct RequestKey;
}

/// Silence after which callers give a stream up at the earliest. This and the
/// two multiples are how the callers of the deployments known behave; the
/// longest of the three holds.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// The same as a multiple of the latency objective.
const PATIENCE_IN_OBJECTIVES: u32 = 4;
/// The same as a multiple of the pause objective.
const PATIENCE_IN_PAUSES: u32 = 8;

/// What is known of a request when it arrives.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Its route.
    pub route: Arc<Route>,
    /// Identifies its content, alike for all its tries.
    pub content: Fingerprint,
    /// Its workspace; the default for a route that asks for no key.
    pub workspace: WorkspaceTag,
    /// The rank of its workspace, 0 first.
    pub workspace_priority: u8,
    /// When its first byte arrived.
    pub arrived: Instant,
    /// How long its caller waits, as it states.
    pub patience: Duration,
    /// When its caller, or its route, stops waiting.
    pub deadline: Instant,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Tokens of the answer, as far as the caller can tell.
    pub answer_tokens: u32,
}

/// What the router keeps of a request until its answer ended.
#[derive(Debug)]
pub(crate) struct Request {
    pub facts: RequestFacts,
    /// When its caller asked for the first time.
    pub first_tried: Instant,
    /// The service it was sent to; a route may split its requests.
    pub service: String,
    /// Servers it was sent to so far.
    pub tried: Vec<ServerKey>,
    /// Servers that may have begun to work on it.
    pub ran_on: u32,
    /// Sends so far, refused ones included.
    pub sends: u32,
    /// Sends that failed because another engine than its own was at fault.
    pub helpers_failed: u32,
    /// Where it is now.
    pub at: Option<ServerKey>,
    /// Servers that read parts of its prompt.
    pub helpers: Vec<ServerKey>,
    /// The way it goes once memory is set aside for it.
    pub reserving: Option<Assignment>,
    /// Whether its prompt lies in reservations.
    pub holds: bool,
    /// When the first event was predicted to come.
    pub predicted_first: Instant,
    /// When it was sent last.
    pub sent_at: Instant,
    /// Since when it waits to be sent.
    pub waits_since: Instant,
    /// Whether an event of its stream was delivered.
    pub started: bool,
}

impl Request {
    pub fn new(facts: RequestFacts, since_first: Duration, service: String) -> Self {
        Self {
            first_tried: facts.arrived.before(since_first),
            sent_at: facts.arrived,
            waits_since: facts.arrived,
            predicted_first: facts.arrived,
            facts,
            service,
            tried: Vec::new(),
            ran_on: 0,
            sends: 0,
            helpers_failed: 0,
            at: None,
            helpers: Vec::new(),
            reserving: None,
            holds: false,
            started: false,
        }
    }

    /// Tells whether the request may run although it may have run before.
    pub fn may_repeat(&self) -> bool {
        self.facts.route.repeatability != Repeatability::Once
    }

    /// Returns when its objective is missed. It runs from the first try.
    pub fn objective_at(&self) -> Instant {
        self.first_tried.after(self.facts.route.objective)
    }

    /// Returns when its caller gives up if no event of the answer has come by
    /// then.
    pub fn patience_end(&self) -> Instant {
        let route = &self.facts.route;
        if !route.streaming || self.started {
            return self.facts.deadline;
        }
        let patience = self.stream_patience();
        self.facts.deadline.min(self.facts.arrived.after(patience))
    }

    /// Returns how long its caller bears a stream on which nothing comes.
    fn stream_patience(&self) -> Duration {
        let route = &self.facts.route;
        let pause = route.pause_objective.unwrap_or_default();
        LEAST_PATIENCE
            .max(route.objective * PATIENCE_IN_OBJECTIVES)
            .max(pause * PATIENCE_IN_PAUSES)
    }

    /// Returns when its caller gives up, of a stream under way the pause since its last
    /// event.
    pub fn gives_up_at(&self) -> Instant {
        match self.started {
            true => self
                .facts
                .deadline
                .min(self.waits_since.after(self.stream_patience())),
            false => self.patience_end(),
        }
    }

    /// Returns the time left to its deadline.
    pub fn left(&self, now: Instant) -> Duration {
        self.facts.deadline.since(now)
    }
}
