//! Traits of the platform's services, which tests implement with fakes.

use bytes::Bytes;
use notchwalk_wire::{
    TableRead, TableReadResponse, TableTransaction, TableTransactionResponse, VmRecord,
};

use crate::{LocalFuture, PlatformError};

/// The future of a call to the platform.
pub type PlatformFuture<'a, T> = LocalFuture<'a, Result<T, PlatformError>>;

/// The transactional table.
pub trait TableStore {
    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the table is unavailable; [`PlatformError::may_have_taken_effect`] returns
    /// whether the transaction may have taken effect.
    fn transact(&self, tx: TableTransaction) -> PlatformFuture<'_, TableTransactionResponse>;

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Fails if the table is unavailable.
    fn read(&self, read: TableRead) -> PlatformFuture<'_, TableReadResponse>;
}

/// The object store.
pub trait ObjectStore {
    /// Stores an object. Idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    fn put(&self, key: String, data: Bytes) -> PlatformFuture<'_, ()>;

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    fn get(&self, key: String) -> PlatformFuture<'_, Option<Bytes>>;
}

/// The list of VMs, which is eventually consistent.
pub trait VmList {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// Fails if the list is unavailable.
    fn vms(&self) -> PlatformFuture<'_, Vec<VmRecord>>;
}

/// The store of model weights, which is rate-limited.
pub trait WeightStore {
    /// Reserves the read of `bytes` bytes; returns the seconds to wait before reading.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    fn reserve(&self, bytes: u64) -> PlatformFuture<'_, f64>;
}

/// All services of the platform.
pub trait Platform: TableStore + ObjectStore + VmList + WeightStore {}

impl<T: TableStore + ObjectStore + VmList + WeightStore> Platform for T {}
