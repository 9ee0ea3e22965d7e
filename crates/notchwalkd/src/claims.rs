//! Claims of idempotency keys: the stored form, and writes waiting for the table.

use std::cell::{Cell, RefCell};

use notchwalk_decide::RequestKey;
use notchwalk_wire::TableOp;
use serde::{Deserialize, Serialize};

/// The value of a claim's row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Identifies the request that owns the claim.
    pub token: String,
    /// Digest of the call.
    pub fingerprint: String,
    /// The outcome, once the call has completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<StoredOutcome>,
}

/// A stored response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    pub status: u16,
    pub content_type: String,
    /// `None` if the body was too large to store.
    pub body: Option<Vec<u8>>,
}

impl ClaimValue {
    /// Returns the value as JSON.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What to do after a write.
pub enum AfterWrite {
    /// Report the claim to the reducer.
    ReportClaim(RequestKey),
    /// Retry the write of an outcome if it failed.
    RetryOutcome { attempts_left: u32 },
}

/// A write that waits for a transaction.
pub struct PendingWrite {
    pub op: TableOp,
    pub after: AfterWrite,
}

/// Writes of claims and outcomes that wait for a transaction.
#[derive(Default)]
pub struct ClaimQueue {
    pub pending: RefCell<Vec<PendingWrite>>,
    /// Whether a task that writes the pending operations is running.
    pub is_flushing: Cell<bool>,
}
