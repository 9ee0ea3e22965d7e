//! The names that users of bundles need.

pub use crate::{
    Bundle, BundleError, Manifest, ModelKey, Part, PartName, PolicyKind, ServiceKey, WorkspaceKey,
};
