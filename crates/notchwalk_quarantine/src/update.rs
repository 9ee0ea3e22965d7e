//! Updates about suspects that nodes exchange. Each one is self-contained and carries its
//! age, so that it may arrive late, twice or out of order.

use std::time::Duration;

use notchwalk_core::Instant;
use serde::{Deserialize, Serialize};

use crate::{CrashOrigin, Fingerprint, SubjectKind};

/// One update. Ages are in milliseconds, since nodes share no clock. A server is
/// identified by the short id of its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineUpdate {
    /// A server appears to have crashed while running a request.
    Crashed {
        /// The request's content.
        content: Fingerprint,
        /// The server.
        server: u32,
        /// Time since the crash.
        age_ms: u32,
        /// Number of other requests running on the server.
        others: u16,
        /// Whether the server stopped responding while its connection stayed open.
        silent: bool,
        /// The request that ran it, if `content` identifies a part of prompts, in the
        /// requests of all workspaces.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        origin: Option<CrashOrigin>,
    },
    /// A server was observed to have ended.
    ServerEnded {
        /// The server.
        server: u32,
        /// Time since the observation.
        age_ms: u32,
    },
    /// A server was alive throughout an interval, so that any crash reported within it is
    /// a false alarm.
    #[serde(rename = "ServerLived")]
    ServerAlive {
        /// The server.
        server: u32,
        /// Time since the start of the interval.
        since_ms: u32,
        /// Time since its end.
        age_ms: u32,
    },
    /// A request of this content completed successfully.
    Succeeded {
        /// The content.
        content: Fingerprint,
        /// Time since its completion.
        age_ms: u32,
    },
    /// The sender started to run a request of a suspect.
    Running {
        /// The suspect's content.
        content: Fingerprint,
    },
    /// The sender started to run a request with parts that have the same evidence as this one,
    /// too many to list.
    RunningClass {
        /// One of the parts.
        content: Fingerprint,
    },
    /// The sender's run of a suspect ended.
    Idle {
        /// The suspect's content.
        content: Fingerprint,
    },
    /// A content is quarantined.
    Quarantined {
        /// The content.
        content: Fingerprint,
        /// Time since the quarantine began.
        age_ms: u32,
        /// Time until it ends.
        left_ms: u32,
        /// Number of quarantines so far, including this one.
        times: u32,
        /// What is quarantined.
        #[serde(default)]
        kind: SubjectKind,
    },
    /// An operator ended a quarantine.
    Released {
        /// The content.
        content: Fingerprint,
        /// Time since the release.
        age_ms: u32,
    },
}

impl QuarantineUpdate {
    /// Returns the content or part that it is about, if it is about one.
    pub fn subject(&self) -> Option<Fingerprint> {
        match *self {
            Self::Crashed { content, .. }
            | Self::Succeeded { content, .. }
            | Self::Running { content }
            | Self::RunningClass { content }
            | Self::Idle { content }
            | Self::Quarantined { content, .. }
            | Self::Released { content, .. } => Some(content),
            Self::ServerEnded { .. } | Self::ServerAlive { .. } => None,
        }
    }

    /// Returns the same update about another content or part.
    pub fn with_subject(mut self, subject: Fingerprint) -> Self {
        match &mut self {
            Self::Crashed { content, .. }
            | Self::Succeeded { content, .. }
            | Self::Running { content }
            | Self::RunningClass { content }
            | Self::Idle { content }
            | Self::Quarantined { content, .. }
            | Self::Released { content, .. } => *content = subject,
            Self::ServerEnded { .. } | Self::ServerAlive { .. } => {}
        }
        self
    }

    /// Returns whether two updates say the same about different contents or parts.
    pub fn differs_in_subject(&self, other: &Self) -> bool {
        let (Some(subject), Some(_)) = (self.subject(), other.subject()) else {
            return false;
        };
        *self == other.with_subject(subject)
    }
}

/// Returns the age of `at` in an update, in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u32 {
    saturating_ms(now.since(at))
}

/// Returns a duration in an update, in milliseconds.
pub(crate) fn saturating_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the local time that an age in an update refers to.
pub(crate) fn time_of(age_ms: u32, now: Instant) -> Instant {
    now.before(Duration::from_millis(age_ms.into()))
}
