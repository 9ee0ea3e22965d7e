//! Detects requests that crash the servers that run them ("queries of death") and decides
//! which ones may no longer run.
//!
//! A retry limit does not bound the number of crashes, since callers send such a request
//! again, to any node. Evidence is therefore collected by subject over all attempts, and nodes
//! exchange it. A subject is the content of a request (its workspace, method, destination and
//! body), or a part of its prompt that other requests share; a suspect is a subject with
//! evidence against it.
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
//!   subjects that did not run on all of them;
//! - a crash attributed to a quarantined subject does not count against others;
//! - servers that are lost in the same period without running the subject raise the required
//!   evidence by up to two incidents.
//!
//! For parts of prompts besides:
//!
//! - a stream that goes on for [`SURVIVAL_TIME`] after its first event clears its parts, and
//!   is no evidence against them if its server ends later;
//! - a part that survived a short time ago needs two further incidents and is not held back;
//! - a part needs crashes of several contents, since one content may be the cause itself;
//! - a part is not quarantined while one or two other parts explain its crashes, and requests
//!   that lack the others may still run, one at a time;
//! - unconfirmed crashes hold a part for a short time only;
//! - a quarantined part that survived before has trial runs, until a few of them crash servers;
//! - callers name the parts, so evidence from one workspace affects its own requests only.
//!
//! Limitations: two contents that were running in the same three crashes are both
//! quarantined; so is a sound part that never survived and that three fatal ones explain; a
//! subject that crashes only some servers is cleared by each successful run; a body that is
//! forwarded without being read has no fingerprint.
//!
//! | file | contents |
//! |---|---|
//! | `fingerprint` | the identity of a content or part |
//! | `subjects` | the content and the parts of a request |
//! | `suspect` | the evidence against one subject, or against parts that ran together |
//! | `suspects` | all suspects, by subject |
//! | `quarantine/` | all suspects of a node, and the rules above |
//! | `verdict` | verdicts on requests, and findings |
//! | `update` | updates exchanged between nodes |
//! | `recent` | subjects that succeeded a short time ago |

mod error;
mod fingerprint;
mod quarantine;
mod recent;
mod subjects;
mod suspect;
mod suspects;
mod update;
mod verdict;

pub mod prelude;

pub use error::FingerprintError;
pub use fingerprint::{Fingerprint, FingerprintBuilder, RequestHead};
pub use quarantine::{Quarantine, SURVIVAL_TIME};
pub use subjects::{CrashOrigin, PromptPart, RequestSubjects, SubjectKind};
pub use suspect::{Crash, MAX_RECORDED_PARTS};
pub use update::QuarantineUpdate;
pub use verdict::{
    EndReason, QuarantineDeclared, QuarantineFinding, RequestVerdict, SuspectView, Verdict,
};
