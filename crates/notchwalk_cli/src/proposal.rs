//! A proposal: a manifest with its parts, in a file that the author passes to the
//! reviewer.

use std::path::Path;

use notchwalk_bundle::{Bundle, Manifest, Part, PART_NAMES};
use serde::{Deserialize, Serialize};

use crate::error::CliError;

/// A proposed bundle version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The signed manifest.
    pub manifest: Manifest,
    /// The parts that the manifest names by digest.
    pub parts: Vec<Part>,
}

impl Proposal {
    /// Builds an unsigned proposal of the version after `previous`.
    pub fn new(previous: Option<(u64, String)>, reason: &str, parts: Vec<Part>) -> Self {
        let (version, previous) = previous.unwrap_or_default();
        let manifest = Manifest {
            version: version + 1,
            previous,
            reason: reason.to_owned(),
            parts: parts.iter().map(|p| (p.name, p.digest())).collect(),
            signatures: Vec::new(),
        };
        Self { manifest, parts }
    }

    /// Reads a proposal and checks that its parts match its manifest.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, its parts don't match the signed digests, or the
    /// bundle is invalid.
    pub fn load(path: &Path) -> Result<Self, CliError> {
        let text = std::fs::read_to_string(path).map_err(CliError::file(path))?;
        let invalid = |e| CliError::Input(format!("{}: not a proposal: {e}", path.display()));
        let proposal: Self = serde_json::from_str(&text).map_err(invalid)?;
        let digests: Vec<_> = proposal
            .parts
            .iter()
            .map(|p| (p.name, p.digest()))
            .collect();
        if digests != proposal.manifest.parts {
            let message = format!(
                "{}: the parts don't match the signed digests",
                path.display()
            );
            return Err(CliError::Input(message));
        }
        Bundle::parse(proposal.manifest.version, &proposal.parts)?;
        Ok(proposal)
    }

    /// Writes the proposal.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn save(&self, path: &Path) -> Result<(), CliError> {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        std::fs::write(path, text + "\n").map_err(CliError::file(path))
    }
}

/// Reads and checks the parts in a directory.
///
/// # Errors
///
/// Fails if a part can't be read or the bundle is invalid; returns all findings.
pub fn read_parts(dir: &Path) -> Result<Vec<Part>, CliError> {
    let mut parts = Vec::new();
    for name in PART_NAMES {
        let path = dir.join(name.file_name());
        let text = std::fs::read_to_string(&path).map_err(CliError::file(&path))?;
        parts.push(Part { name, text });
    }
    Bundle::parse(1, &parts)?;
    Ok(parts)
}
