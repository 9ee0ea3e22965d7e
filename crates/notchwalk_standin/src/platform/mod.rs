//! A stand-in platform with a transactional table, objects, the VM list and the weight store.
//! Outages and lost responses can be injected.

mod api;
mod table;

pub use api::{serve_platform, PlatformConfig, PlatformCounts, PlatformFault};
pub use table::Table;
