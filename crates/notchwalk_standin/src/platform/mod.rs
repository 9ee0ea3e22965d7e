//! A stand-in platform: a transactional table, objects, the VM list and the
//! weight store, with outages and lost answers on request.

mod api;
mod table;

pub use api::{serve_platform, PlatformConfig, PlatformCounts, PlatformFault};
pub use table::Table;
