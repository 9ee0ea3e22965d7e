//! Finds requests that crash the servers that run them ("queries of death") and
//! keeps them from further servers.
//!
//! A limit on the retries of one try bounds nothing here: such a request comes
//! again, as a new try, at any entry. So what counts is kept by content, over
//! all tries, and entries tell each other.
//!
//! The difficulty is the other error, to turn away a request that is not at
//! fault. Others run on a server when it ends; links are cut, connections reset,
//! racks lost. What tells them apart:
//!
//! - a run that ends in success clears its content, wherever it ran;
//! - a server that answers a request sent before the supposed crash has not
//!   crashed;
//! - a crash counts for a quarantine only once something else shows that the
//!   server ended: its record is gone or of a new life, or it can't be reached;
//! - servers lost at the same moment count as one, and half for who ran on some of them
//!   only;
//! - a crash that a quarantined request explains counts for nobody else;
//! - servers lost meanwhile without the content ask for up to two moments more.
//!
//! Limitations: two requests that were at all three of each other's crashes are both
//! quarantined; one that crashes only some servers is cleared by each good end; a body
//! that is passed on unread has no fingerprint.
//!
//! | file | what it holds |
//! |---|---|
//! | `fingerprint` | which tries are the same request |
//! | `suspect` | what is known of one content |
//! | `quarantine/` | all suspects of an entry, and the rules above |
//! | `verdict` | what follows for a request, and what became known |
//! | `news` | what entries tell each other of them |
//! | `recent` | contents that lately ran to a good end |

mod error;
mod fingerprint;
mod news;
mod quarantine;
mod recent;
mod suspect;
mod verdict;

pub mod prelude;

pub use error::FingerprintError;
pub use fingerprint::{Content, Fingerprint, Fingerprinting};
pub use news::News;
pub use quarantine::Quarantine;
pub use suspect::Crash;
pub use verdict::{EndReason, Finding, Quarantined, SuspectView, Verdict};
