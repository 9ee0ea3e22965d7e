//! Findings: faults of an input, collected with their place and reported
//! together.

use std::fmt;

use derive_more::Error;
use serde::{Deserialize, Serialize};

/// One fault of an input and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The file or part.
    pub file: String,
    /// The section, empty for the whole file.
    pub section: String,
    /// The key, empty for the whole section.
    pub key: String,
    /// The reason, in a sentence a reader can act on.
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

/// All faults of an input; an error only if there is at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Findings(#[error(not(source))] pub Vec<Finding>);

impl Findings {
    /// Adds a fault.
    pub fn add(&mut self, file: &str, section: &str, key: &str, reason: impl Into<String>) {
        self.0.push(Finding {
            file: file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.into(),
        });
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
    pub fn or_ok<T>(self, value: T) -> Result<T, Self> {
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
