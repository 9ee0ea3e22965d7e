//! A bundle as it is passed on.

use notchwalk_bundle::{Manifest, Part};
use serde::{Deserialize, Serialize};

/// A bundle's manifest and the texts of its parts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundleTexts {
    /// The manifest.
    pub manifest: Manifest,
    /// The parts.
    pub parts: Vec<Part>,
}
