//! The commonly used types of this crate.

pub use crate::{Content, Fingerprint, Fingerprinting, News, Quarantine, Verdict};
