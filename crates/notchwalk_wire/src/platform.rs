//! The API of the platform: a transactional table, objects and the VM list.

use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, usually JSON.
    pub value: String,
    /// The version, which increases with each change of the row.
    pub version: u64,
}

/// The condition on a row under which an operation takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// The row has exactly this value.
    Value(String),
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableOp {
    /// The row's key.
    pub key: String,
    /// The condition.
    pub condition: Condition,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
    /// The time after which the row expires, in seconds.
    #[serde(default)]
    pub ttl_s: Option<u64>,
}

/// `POST /table/transaction`. With `all_or_none`, a failed condition aborts the whole
/// transaction; otherwise each operation takes effect independently, in a single write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// The operations.
    pub ops: Vec<TableOp>,
    /// Whether a failed condition aborts the whole transaction.
    pub all_or_none: bool,
}

/// The response to a [`TableTransaction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransactionResponse {
    /// Whether each operation took effect.
    pub applied: Vec<bool>,
    /// The rows after the transaction, in the order of the operations.
    pub rows: Vec<Option<Row>>,
}

/// `POST /table/read`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRead {
    /// The keys of the rows to read.
    pub keys: Vec<String>,
}

/// The response to a [`TableRead`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReadResponse {
    /// The rows in the order of the keys; `None` for a row that does not exist.
    pub rows: Vec<Option<Row>>,
}

/// The role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry VM.
    Entry {
        /// The address of its node for peers.
        peer_address: String,
    },
    /// A backend server with a model engine.
    Engine,
    /// A backend server of a plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    #[serde(rename = "leaving")]
    Draining,
}

/// An item of `GET /vms`, a list that is eventually consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's number.
    pub id: u32,
    /// The role.
    pub kind: VmKind,
    /// The address of its main service.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The state.
    pub state: VmState,
}
