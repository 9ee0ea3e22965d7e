//! What entries tell each other of servers that name limits.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{shares::tag_of, RateLimit};

/// Who shares what a server allows to all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// This entry's id.
    pub(super) own: u32,
    /// Entries on record in its group, it included.
    pub(super) on_record: u32,
    /// Those of them that are heard, it included.
    pub(super) heard: u32,
}

impl Sharing {
    /// Builds the sharing of the entry with this name.
    pub fn new(name: &str, on_record: u32, heard: u32) -> Self {
        Self {
            own: tag_of(name),
            on_record,
            heard: heard.min(on_record),
        }
    }
}

/// What an entry tells of a server that names a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ToldLimit {
    /// The server's short id.
    pub server: u32,
    /// What answers to the teller said, if any did.
    pub said: Option<ToldLimitWord>,
    /// Requests that the teller has sent to it.
    pub sent: u32,
    /// Whether the teller has requests for it.
    pub wants: bool,
}

/// What a server said of its limit, as peers are told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ToldLimitWord {
    /// The limit; `None` if it names none any more.
    pub limit: Option<RateLimit>,
    /// Time since the request was sent whose answer said so, in milliseconds.
    pub age_ms: u32,
}

/// Which knowledge of limits is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// What answers to this entry said. What peers told is not told on: its age would
    /// grow with each telling, and it would never be older than an answer.
    FirstHand,
    /// All of it, to an entry that starts: the only one that had answers may be the one
    /// that starts.
    All,
}
