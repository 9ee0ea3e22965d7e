//! The commonly used types of this crate.

pub use crate::{
    Fingerprint, FingerprintBuilder, Quarantine, QuarantineUpdate, RequestHead, Verdict,
};
