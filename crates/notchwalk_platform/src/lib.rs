//! Clients of the platform that notchwalk runs on: a transactional table, an object store,
//! the VM list and the weight store. Each is a trait, which [`HttpPlatform`] implements over
//! HTTP; [`RowStore`] is implemented outside this crate.

mod bundles;
mod error;
mod http_client;
mod rows;
mod traits;
mod version;

pub mod prelude;

pub use bundles::{
    fetch_bundle, fetch_head, fetch_manifest, fetch_part, submit, BundleHead, FetchedBundle,
    SubmitError, HEAD_KEY,
};
pub use error::PlatformError;
pub use http_client::HttpPlatform;
pub use rows::{FeedError, Row, RowPage, RowStore, RowWrite, WriteOutcome};
pub use traits::{ObjectStore, Platform, PlatformFuture, TableStore, VmList, WeightStore};
pub use version::{ResponseValidity, StoreVersion, TableCursor};

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + 'a>>;
