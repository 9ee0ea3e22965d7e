//! Claims as the table holds them, and those on their way to it.

use std::cell::{Cell, RefCell};

use notchwalk_decide::RequestKey;
use notchwalk_wire::TableOp;
use serde::{Deserialize, Serialize};

/// The value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The token of the owner.
    pub token: String,
    /// The digest of the call.
    pub fingerprint: String,
    /// The outcome, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<StoredOutcome>,
}

/// A stored answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

impl ClaimValue {
    /// Returns the text of the row.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What follows a write.
pub enum Then {
    /// The reducer hears of its claim.
    Claim(RequestKey),
    /// An outcome is stored; on failure it is tried again so often.
    Stored {
        /// Tries left.
        tries: u32,
    },
}

/// A write on its way.
pub struct Write {
    /// What is written.
    pub op: TableOp,
    /// What follows.
    pub then: Then,
}

/// Claims and outcomes on their way to the table.
#[derive(Default)]
pub struct WaitingClaims {
    /// Those that wait for the next transaction.
    pub waiting: RefCell<Vec<Write>>,
    /// Whether a transaction is being gathered.
    pub gathering: Cell<bool>,
}
