//! Re-exports for users of bundles.

pub use crate::{
    Bundle, BundleError, Manifest, ModelKey, Part, PartName, PolicyKind, ServiceKey, WorkspaceKey,
};
