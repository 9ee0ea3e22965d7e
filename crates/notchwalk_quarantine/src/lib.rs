//! Detects requests that crash the servers that run them ("queries of death") and decides
//! which ones may no longer run.
//!
//! A retry limit does not bound the number of crashes, since callers send such a request
//! again, to any node. Evidence is therefore collected by request content over all attempts,
//! and nodes exchange it. A content is the workspace, method, destination and body of a
//! request; a suspect is a content with evidence against it.
//!
//! Servers also fail, connections are reset and racks lose power for other reasons. Requests
//! that ran on the affected servers must not be refused. The rules:
//!
//! - a successful run clears its content, on any node;
//! - a server that responds to a request sent before the suspected crash did not crash;
//! - a crash counts towards a quarantine only once independent evidence shows that the
//!   server ended: its registration is removed or belongs to a new incarnation, or it is
//!   unreachable;
//! - servers lost at the same time count as one incident, and as half an incident for
//!   contents that did not run on all of them;
//! - a crash attributed to a quarantined content does not count against other contents;
//! - servers that are lost in the same period without running the content raise the required
//!   evidence by up to two incidents.
//!
//! Limitations: two contents that were running in the same three crashes are both
//! quarantined; a content that crashes only some servers is cleared by each successful run;
//! a body that is forwarded without being read has no fingerprint.
//!
//! | file | contents |
//! |---|---|
//! | `fingerprint` | the identity of a request's content |
//! | `suspect` | the evidence against one content |
//! | `quarantine/` | all suspects of a node, and the rules above |
//! | `verdict` | verdicts on requests, and findings |
//! | `update` | updates exchanged between nodes |
//! | `recent` | contents that completed successfully a short time ago |

mod error;
mod fingerprint;
mod quarantine;
mod recent;
mod suspect;
mod update;
mod verdict;

pub mod prelude;

pub use error::FingerprintError;
pub use fingerprint::{Fingerprint, FingerprintBuilder, RequestHead};
pub use quarantine::Quarantine;
pub use suspect::Crash;
pub use update::QuarantineUpdate;
pub use verdict::{EndReason, QuarantineDeclared, QuarantineFinding, SuspectView, Verdict};
