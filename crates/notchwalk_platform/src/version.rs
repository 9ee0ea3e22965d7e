//! Versions of a store that may come back from an older copy, and how far a table of
//! it is known.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// A version of the store. Each time the store comes back from an older copy it
/// begins a new era and gives revisions out again: they compare within an era only.
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
    /// How often the store came back from a copy. Compared first.
    pub era: u64,
    /// Rises with each transaction of the era.
    pub rev: u64,
}

impl StoreVersion {
    /// Builds a version.
    pub fn new(era: u64, rev: u64) -> Self {
        Self { era, rev }
    }
}

/// What an answer of the store is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Its rows count.
    Rows,
    /// It is of an era that is over, as from a connection that lags: it says nothing.
    FormerEra,
    /// An era began since the question: the table must be read whole.
    NewEra,
}

/// How far one table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableCursor {
    /// The version up to which changes were seen; `None` asks for the whole table.
    seen: Option<StoreVersion>,
    /// The newest era of any answer about the table.
    era: u64,
}

impl TableCursor {
    /// Returns the version up to which the table is known; `None` before it was read,
    /// and while a question is open.
    pub fn seen(&self) -> Option<StoreVersion> {
        self.seen
    }

    /// Has the table read whole next.
    pub fn forget(&mut self) {
        self.seen = None;
    }

    /// Takes the version after which changes are to be asked for; `None` for the
    /// whole table. A question without an answer is never repeated: what comes next
    /// is read whole.
    pub fn ask(&mut self) -> Option<StoreVersion> {
        self.seen.take()
    }

    /// Takes the answer to the question for changes after a version. Only rows of the
    /// same era may count: a change of a new era may have a revision that was asked
    /// for as known, and is not among them.
    pub fn take_changes(&mut self, after: StoreVersion, version: StoreVersion) -> Taken {
        let taken = self.judge(after.era, version.era);
        if taken == Taken::Rows {
            self.seen = Some(version.max(after));
        }
        taken
    }

    /// Takes the answer to the question for the whole table, whose first page was of
    /// version `first` and whose last one of `last`.
    pub fn take_whole(&mut self, first: StoreVersion, last: StoreVersion) -> Taken {
        let taken = self.judge(first.era, last.era);
        if taken == Taken::Rows {
            // Pages read later may be newer; their changes are seen once more.
            self.seen = Some(first);
        }
        taken
    }

    /// Judges an answer of an era to a question that was asked in another one.
    fn judge(&mut self, asked: u64, answered: u64) -> Taken {
        if answered < self.era {
            return Taken::FormerEra;
        }
        self.era = answered;
        match answered == asked {
            true => Taken::Rows,
            false => Taken::NewEra,
        }
    }
}
