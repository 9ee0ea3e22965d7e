//! A store of versioned rows with a change feed.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};

use crate::{PlatformError, PlatformFuture, StoreVersion};

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// The version of the row, with the epoch of the response that contained it.
    pub version: StoreVersion,
}

/// Rows and the store's version when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's newest version.
    pub version: StoreVersion,
    /// Whether more rows follow.
    pub more: bool,
    /// The store's clock in milliseconds, if the response contains it.
    pub now_ms: Option<u64>,
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The value; `None` removes the row.
    pub value: Option<Bytes>,
    /// The version that the row must have, 0 if it must not exist; `None` writes
    /// unconditionally.
    pub expected: Option<u64>,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The row had a different version, and the write had no effect.
    Conflict,
}

/// Errors of reading changes.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum FeedError {
    /// The store no longer has these changes; the whole table must be read.
    #[display("the store no longer has the requested history")]
    HistoryExpired,
    /// The call to the store failed.
    Platform(PlatformError),
}

/// A transactional store of versioned rows.
pub trait RowStore {
    /// Reads a page of the rows of a table whose keys are `from` or greater.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    fn read(&self, table: &str, from: &str) -> PlatformFuture<'_, RowPage>;

    /// Polls for the changes of a table after a version. Waits up to `wait` for the first
    /// change.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or no longer has the history after `after`.
    fn poll_changes(
        &self,
        table: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> crate::LocalFuture<'_, Result<RowPage, FeedError>>;

    /// Returns the number of bytes received so far, including those of responses that were
    /// abandoned.
    fn received_bytes(&self) -> u64;

    /// Closes idle connections, so that the next call makes a new one. Call this when a
    /// response is missing: a network failure can break many connections at once.
    fn reset_connections(&self);

    /// Writes one row.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable; [`PlatformError::may_have_taken_effect`] returns
    /// whether the write may have taken effect.
    fn write(&self, write: RowWrite) -> PlatformFuture<'_, WriteOutcome>;
}
