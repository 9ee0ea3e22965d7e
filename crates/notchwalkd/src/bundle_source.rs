//! A bundle in the form that peers exchange.

use notchwalk_bundle::{Manifest, Part};
use serde::{Deserialize, Serialize};

/// The signed manifest of a bundle and the texts of its parts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundleSource {
    pub manifest: Manifest,
    pub parts: Vec<Part>,
}
