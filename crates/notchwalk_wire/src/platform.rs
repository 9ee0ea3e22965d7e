//! The API of the platform: a transactional table, objects and the VM list.

use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value; JSON in our use.
    pub value: String,
    /// Counts the row's changes.
    pub version: u64,
}

/// What must hold of a row for an operation to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Nothing.
    Any,
    /// There is no such row.
    Absent,
    /// The row is at this version.
    Version(u64),
    /// The row's value is exactly this.
    Value(String),
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableOp {
    /// The row's key.
    pub key: String,
    /// What must hold.
    pub condition: Condition,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
    /// The time after which the row lapses, in seconds.
    #[serde(default)]
    pub ttl_s: Option<u64>,
}

/// `POST /table/transaction`. With `all_or_none`, one failed condition stops
/// all; without, each operation stands alone and only shares the write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// The operations.
    pub ops: Vec<TableOp>,
    /// Whether one failed condition stops all.
    pub all_or_none: bool,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransactionAnswer {
    /// Whether each operation took effect.
    pub applied: Vec<bool>,
    /// The rows as they are now, in the operations' order.
    pub rows: Vec<Option<Row>>,
}

/// `POST /table/read`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRead {
    /// The rows wanted.
    pub keys: Vec<String>,
}

/// The rows, in the order asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReadAnswer {
    /// The rows; `None` where there is none.
    pub rows: Vec<Option<Row>>,
}

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry VM, with its daemon's address for peers.
    Entry {
        /// Where peers connect.
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

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// A line of `GET /vms`. The list lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's number.
    pub id: u32,
    /// What it is for.
    pub kind: VmKind,
    /// Where it listens for its main use.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it stays.
    pub state: VmState,
}
