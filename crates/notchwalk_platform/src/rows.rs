//! A store of versioned rows whose changes can be followed.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};

use crate::{PlatformError, PlatformFuture, StoreVersion};

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; `None` says that the row was removed.
    pub value: Option<Bytes>,
    /// The version of the row, in the era of the answer that brought it.
    pub version: StoreVersion,
}

/// Rows and the store's version when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's newest version.
    pub version: StoreVersion,
    /// Whether rows follow after the last one.
    pub more: bool,
    /// The store's clock in milliseconds, if it said so.
    pub now_ms: Option<u64>,
}

/// A change of one row under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The value; `None` removes the row.
    pub value: Option<Bytes>,
    /// The version the row must have, 0 for none; `None` writes in any case.
    pub expected: Option<u64>,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// The row had another version.
    Conflict,
}

/// Why changes could not be had.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum FeedError {
    /// The history that was asked for is gone; the table must be read whole.
    #[display("the history that was asked for is gone")]
    HistoryGone,
    /// The store failed.
    Platform(PlatformError),
}

/// A transactional store of versioned rows.
pub trait RowStore {
    /// Reads the rows of a table with keys from `from` on.
    ///
    /// # Errors
    ///
    /// Fails while the store is down.
    fn read(&self, table: &str, from: &str) -> PlatformFuture<'_, RowPage>;

    /// Returns the changes of a table after a version, waiting up to `wait`
    /// for the first.
    ///
    /// # Errors
    ///
    /// Fails while the store is down and when the history is gone.
    fn changes(
        &self,
        table: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> crate::LocalFuture<'_, Result<RowPage, FeedError>>;

    /// Returns how many bytes of answers arrived so far, those of answers that
    /// were not waited for to the end as well.
    fn received_bytes(&self) -> u64;

    /// Closes kept connections, so that the next call goes out on a new one. To
    /// be called when an answer got lost: connections can fall silent all at once.
    fn renew_connections(&self);

    /// Writes one row.
    ///
    /// # Errors
    ///
    /// Fails while the store is down; then
    /// [`PlatformError::may_have_taken_effect`] tells more.
    fn write(&self, write: RowWrite) -> PlatformFuture<'_, WriteOutcome>;
}
