//! Versions of a store that can be restored from a snapshot, and the position of a reader in
//! the changes of a table.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// A version of the store. A restore from a snapshot starts a new epoch, in which revision
/// numbers are assigned again: revisions are comparable only within an epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize_tuple,
    Deserialize_tuple,
)]
pub struct StoreVersion {
    /// The epoch: the number of restores from a snapshot. Compared first.
    pub epoch: u64,
    /// The revision, which increases with each transaction of the epoch.
    pub rev: u64,
}

impl StoreVersion {
    /// Creates a version.
    pub fn new(epoch: u64, rev: u64) -> Self {
        Self { epoch, rev }
    }
}

/// Whether a response of the store can be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseValidity {
    /// The response's rows are valid.
    Valid,
    /// The response is from a former epoch, for example because it was delayed, and must be
    /// ignored.
    FormerEpoch,
    /// A new epoch began after the query was sent; the whole table must be read.
    NewEpoch,
}

/// The position of a reader in the changes of one table.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableCursor {
    /// The version up to which changes were applied; `None` if the whole table must be read.
    position: Option<StoreVersion>,
    /// The newest epoch of any response about the table.
    epoch: u64,
}

impl TableCursor {
    /// Returns the version up to which changes were applied; `None` before the table was
    /// read and while a query is pending.
    pub fn position(&self) -> Option<StoreVersion> {
        self.position
    }

    /// Resets the position, so that the whole table is read next.
    pub fn reset(&mut self) {
        self.position = None;
    }

    /// Starts a query: returns the version after which to read changes, or `None` to read the
    /// whole table. Resets the position until the response is recorded, so that the whole
    /// table is read next if no response arrives.
    pub fn start_query(&mut self) -> Option<StoreVersion> {
        self.position.take()
    }

    /// Records the response to a query for the changes after `after`. Its rows are valid only
    /// in the same epoch: after a restore, a change can have a revision below `after`, and the
    /// response then omits it.
    pub fn record_changes(
        &mut self,
        after: StoreVersion,
        version: StoreVersion,
    ) -> ResponseValidity {
        let validity = self.check_epoch(after.epoch, version.epoch);
        if validity == ResponseValidity::Valid {
            self.position = Some(version.max(after));
        }
        validity
    }

    /// Records the responses to a read of the whole table, whose first page had version
    /// `first` and whose last page had version `last`.
    pub fn record_full_read(
        &mut self,
        first: StoreVersion,
        last: StoreVersion,
    ) -> ResponseValidity {
        let validity = self.check_epoch(first.epoch, last.epoch);
        if validity == ResponseValidity::Valid {
            // Later pages can be newer; their changes are read again.
            self.position = Some(first);
        }
        validity
    }

    /// Compares the epoch of a response with that of its query and with the newest one.
    fn check_epoch(&mut self, queried: u64, responded: u64) -> ResponseValidity {
        if responded < self.epoch {
            return ResponseValidity::FormerEpoch;
        }
        self.epoch = responded;
        match responded == queried {
            true => ResponseValidity::Valid,
            false => ResponseValidity::NewEpoch,
        }
    }
}
