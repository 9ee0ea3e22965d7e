//! Validation findings. All faults of an input are collected and reported together.

use std::fmt;

use derive_more::Error;
use serde::{Deserialize, Serialize};

/// A fault of an input and its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The file, or the part of a bundle, that contains the fault.
    pub file: String,
    /// The section; empty if the fault concerns the whole file.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// What is wrong, in a sentence that lets the reader correct it.
    pub reason: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.reason)
    }
}

/// The faults of an input. It is an error only if it is not empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Findings(#[error(not(source))] pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, file: &str, section: &str, key: &str, reason: impl Into<String>) {
        self.0.push(Finding {
            file: file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.into(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
