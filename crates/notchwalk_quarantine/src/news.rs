//! What entries tell each other of suspects. Each item is a whole fact with its
//! age, so that it may come late, twice or out of order.

use std::time::Duration;

use notchwalk_core::Instant;
use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// One fact. Ages are in milliseconds: entries share no clock. Servers go by the
/// short id of one of their lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A server seems to have crashed under a request.
    Crashed {
        /// The request's content.
        content: Fingerprint,
        /// The server.
        server: u32,
        /// How long ago.
        age_ms: u32,
        /// Requests that ran there besides.
        others: u16,
        /// Whether it only fell silent.
        silent: bool,
    },
    /// A server's end was seen.
    ServerEnded {
        /// The server.
        server: u32,
        /// How long ago it was seen.
        age_ms: u32,
    },
    /// A server lived throughout a time: what seemed to be a crash was none.
    ServerLived {
        /// The server.
        server: u32,
        /// How long ago the time began.
        since_ms: u32,
        /// How long ago it ended.
        age_ms: u32,
    },
    /// A request of this content ran to a good end.
    Succeeded {
        /// The content.
        content: Fingerprint,
        /// How long ago.
        age_ms: u32,
    },
    /// The sender has a suspect running.
    Running {
        /// Its content.
        content: Fingerprint,
    },
    /// The sender has it running no more.
    Idle {
        /// Its content.
        content: Fingerprint,
    },
    /// A content is sent to no server for a while.
    Quarantined {
        /// The content.
        content: Fingerprint,
        /// How long ago that began.
        age_ms: u32,
        /// How long it still holds.
        left_ms: u32,
        /// How often it was quarantined so far.
        times: u32,
    },
    /// An operator ended a quarantine.
    Released {
        /// The content.
        content: Fingerprint,
        /// How long ago.
        age_ms: u32,
    },
}

/// Returns an age as it is told.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u32 {
    told_ms(now.since(at))
}

/// Returns a length of time as it is told.
pub(crate) fn told_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that an age was told of.
pub(crate) fn time_of(age_ms: u32, now: Instant) -> Instant {
    now.before(Duration::from_millis(age_ms.into()))
}
