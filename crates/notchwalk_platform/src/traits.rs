//! The platform's services as trait objects, so that tests put small fakes in
//! their place.

use bytes::Bytes;
use notchwalk_wire::{
    TableRead, TableReadAnswer, TableTransaction, TableTransactionAnswer, VmRecord,
};

use crate::{LocalFuture, PlatformError};

/// The future of a call.
pub type PlatformFuture<'a, T> = LocalFuture<'a, Result<T, PlatformError>>;

/// The transactional table.
pub trait TableStore {
    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Fails while the table is down; then
    /// [`PlatformError::may_have_taken_effect`] tells more.
    fn transact(&self, tx: TableTransaction) -> PlatformFuture<'_, TableTransactionAnswer>;

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Fails while the table is down.
    fn read(&self, read: TableRead) -> PlatformFuture<'_, TableReadAnswer>;
}

/// The object store.
pub trait ObjectStore {
    /// Stores an object; storing the same one again changes nothing.
    ///
    /// # Errors
    ///
    /// Fails while the store is down.
    fn put(&self, key: String, data: Bytes) -> PlatformFuture<'_, ()>;

    /// Returns an object, `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails while the store is down.
    fn get(&self, key: String) -> PlatformFuture<'_, Option<Bytes>>;
}

/// The list of VMs, which lags.
pub trait VmList {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// Fails while the list can't be had.
    fn vms(&self) -> PlatformFuture<'_, Vec<VmRecord>>;
}

/// The store of model weights, which is rate-limited.
pub trait WeightStore {
    /// Asks for permission to read so many bytes; returns how many seconds to
    /// wait first.
    ///
    /// # Errors
    ///
    /// Fails while the store is down.
    fn reserve(&self, bytes: u64) -> PlatformFuture<'_, f64>;
}

/// All of the platform.
pub trait Platform: TableStore + ObjectStore + VmList + WeightStore {}

impl<T: TableStore + ObjectStore + VmList + WeightStore> Platform for T {}
