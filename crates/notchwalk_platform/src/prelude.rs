//! The names that users of the platform need.

pub use crate::{HttpPlatform, ObjectStore, Platform, PlatformError, TableStore, VmList};
