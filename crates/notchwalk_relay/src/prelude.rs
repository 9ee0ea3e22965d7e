//! Commonly used names of this crate.

pub use crate::{
    run, BackendRequest, CallerFacts, Dialect, DirectoryResponse, Environment, RelaySettings,
    ResponseFacts, ResponseKind, RetryAfter,
};
