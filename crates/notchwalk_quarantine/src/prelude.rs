//! What most users of this crate need.

pub use crate::{Content, Fingerprint, Fingerprinting, News, Quarantine, Verdict};
