//! The configuration bundle: operators, models, services, workspaces and policy. Parses,
//! checks, compares, signs and digests bundles; performs no I/O.

mod bundle;
mod delta;
mod error;
mod reader;
mod sign;

pub mod prelude;

pub use bundle::{
    Bundle, Model, ModelKey, Operator, Part, PartName, PlainService, Policy, PolicyKind,
    ServiceKey, Workspace, WorkspaceKey, PART_NAMES,
};
pub use delta::Delta;
pub use error::BundleError;
pub use reader::{IniFile, SectionReader};
pub use sign::{key_hash, new_signing_key, Manifest, Signature, SigningKey};
