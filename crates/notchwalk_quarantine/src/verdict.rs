//! What follows for a request, and what became known of contents.

use std::time::Duration;

use notchwalk_core::Instant;

use crate::{Crash, Fingerprint};

/// What follows for a request of a content.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It may run, where it does least harm.
    Suspected {
        /// How likely it crashes its server, 0 to 1.
        risk: f64,
    },
    /// It may run once another run of the same content has ended.
    Busy,
    /// It may not run until it is known whether servers ended under it.
    Held,
    /// It may not run before this time.
    Quarantined {
        /// When the quarantine ends.
        until: Instant,
    },
}

/// A content that was just quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// The content.
    pub content: Fingerprint,
    /// The crashes that speak against it, as far as they are known here.
    pub crashes: Vec<Crash>,
    /// How long it lasts.
    pub lasts: Duration,
    /// How often it was quarantined, this time included.
    pub times: u32,
    /// Whether this entry declared it; otherwise a peer did.
    pub own: bool,
}

/// What became known, for logs, figures and the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A server seems to have crashed under a request of this entry.
    Crashed {
        /// The request's content.
        content: Fingerprint,
        /// The crash.
        crash: Crash,
        /// Separate moments so far.
        moments: u32,
    },
    /// A content is sent to no server for a while.
    Quarantined(Quarantined),
    /// Nothing is held any more against a content that was quarantined.
    Ended {
        /// The content.
        content: Fingerprint,
        /// Why.
        reason: EndReason,
    },
}

/// Why a quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its time was over.
    Lapsed,
    /// A run ended well, here.
    Succeeded,
    /// An operator said so, here.
    Released,
    /// A peer told of one of the two.
    Told,
}

/// A suspect, for operators.
#[derive(Clone, Debug)]
pub struct SuspectView<'a> {
    /// Its content.
    pub content: Fingerprint,
    /// The crashes that speak against it.
    pub crashes: &'a [Crash],
    /// What follows for it.
    pub verdict: Verdict,
    /// How often it was quarantined.
    pub times: u32,
}
