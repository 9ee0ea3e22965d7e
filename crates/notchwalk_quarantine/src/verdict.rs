//! Verdicts on requests, and findings about contents.

use std::time::Duration;

use notchwalk_core::Instant;

use crate::{Crash, Fingerprint, SubjectKind};

/// Whether requests of a content may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There is no evidence against it.
    Allowed,
    /// It may run, preferably on a server where a crash affects the fewest requests.
    Suspected {
        /// The estimated probability that it crashes its server, 0 to 1.
        risk: f64,
    },
    /// It may run once the current run of the same content has ended.
    RunningElsewhere,
    /// It may not run until its latest crashes are confirmed or ruled out.
    Held,
    /// It may not run while it is quarantined.
    Quarantined {
        /// When the quarantine ends.
        until: Instant,
    },
}

impl Verdict {
    /// Returns the order of verdicts from the least to the most strict.
    pub(crate) fn strictness(&self) -> u8 {
        match self {
            Self::Allowed => 0,
            Self::Suspected { .. } => 1,
            Self::RunningElsewhere => 2,
            Self::Held => 3,
            Self::Quarantined { .. } => 4,
        }
    }
}

/// The verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestVerdict {
    /// The verdict.
    pub verdict: Verdict,
    /// The content or part that it is based on.
    pub subject: Fingerprint,
}

/// A content or part that was just quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineDeclared {
    /// The quarantined content or part.
    pub content: Fingerprint,
    /// Which of the two it is.
    pub kind: SubjectKind,
    /// Number of parts with the same evidence that are quarantined together; 1 for a content.
    pub parts: usize,
    /// The crashes for which it is quarantined, as known to this node.
    pub crashes: Vec<Crash>,
    /// The duration of the quarantine.
    pub duration: Duration,
    /// Number of quarantines so far, including this one.
    pub quarantine_count: u32,
    /// Whether this node declared it; otherwise it was received from a peer or restored.
    pub declared_locally: bool,
}

/// A new finding, to be logged, counted in metrics and persisted in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineFinding {
    /// A server appears to have crashed while running a request of this node.
    Crashed {
        /// The request's content, or a part of its prompt.
        content: Fingerprint,
        /// Which of the two it is.
        kind: SubjectKind,
        /// The crash.
        crash: Crash,
        /// Number of incidents of this content so far.
        incidents: u32,
    },
    /// A content was quarantined.
    Quarantined(QuarantineDeclared),
    /// A quarantine ended.
    Ended {
        /// The content or part.
        content: Fingerprint,
        /// Which of the two it was.
        kind: SubjectKind,
        /// Why it ended.
        reason: EndReason,
    },
}

/// Why a quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It expired.
    Lapsed,
    /// A run on this node succeeded.
    Succeeded,
    /// An operator released it on this node.
    Released,
    /// A peer reported a successful run or a release.
    Told,
}

/// The state of a suspect, for operators.
#[derive(Clone, Debug)]
pub struct SuspectView<'a> {
    /// The content or part.
    pub content: Fingerprint,
    /// Which of the two it is.
    pub kind: SubjectKind,
    /// Number of parts with the same evidence; 1 for a content.
    pub parts: usize,
    /// The crashes attributed to it.
    pub crashes: &'a [Crash],
    /// The current verdict.
    pub verdict: Verdict,
    /// Number of quarantines so far.
    pub quarantine_count: u32,
}
