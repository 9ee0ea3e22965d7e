//! Re-exports for users of the platform.

pub use crate::{HttpPlatform, ObjectStore, Platform, PlatformError, TableStore, VmList};
