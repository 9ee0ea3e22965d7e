//! A request as the router sees it.

use std::{sync::Arc, time::Duration};

use notchwalk_core::Instant;
use slotmap::new_key_type;

use crate::{Assignment, Repeatability, Route, ServerKey};

new_key_type! {
    /// A request's place in the router.
    pub struct RequestKey;
}

/// What is known of a request when it arrives.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Its route.
    pub route: Arc<Route>,
    /// The rank of its workspace, 0 first.
    pub workspace_priority: u8,
    /// When its first byte arrived.
    pub arrived: Instant,
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
    /// The service it was sent to; a route may split its requests.
    pub service: String,
    /// Servers it was sent to so far.
    pub tried: Vec<ServerKey>,
    /// Servers that may have begun to work on it.
    pub ran_on: u32,
    /// Sends so far, refused ones included.
    pub sends: u32,
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
    /// Whether an event of its stream was delivered.
    pub started: bool,
}

impl Request {
    pub fn new(facts: RequestFacts, service: String) -> Self {
        Self {
            sent_at: facts.arrived,
            predicted_first: facts.arrived,
            facts,
            service,
            tried: Vec::new(),
            ran_on: 0,
            sends: 0,
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

    /// Returns when its objective is missed.
    pub fn objective_at(&self) -> Instant {
        self.facts.arrived.after(self.facts.route.objective)
    }

    /// Returns the time left to its deadline.
    pub fn left(&self, now: Instant) -> Duration {
        self.facts.deadline.since(now)
    }
}
