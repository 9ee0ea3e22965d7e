//! The decisions of a node: admission, queueing, placement and retries of
//! requests to model engines and plain services.
//!
//! [`Node::step`] takes one [`Event`] and appends [`Effect`]s. It does no I/O,
//! reads no clock and starts no threads. Random numbers come from a given seed,
//! so replaying a recorded stream of events gives the same effects.
//!
//! | module | responsibility |
//! |---|---|
//! | `node` | state of a node, and dispatch of events to the other modules |
//! | `admission` | refusal of requests that cannot be served |
//! | `claim` | claims of calls with an idempotency key |
//! | `queue`, `lane` | weighted fair queueing between workspaces, by length class |
//! | `schedule`, `placement` | dispatch of queued requests and choice of a server |
//! | `attempt`, `retry` | attempts, frames, retries and their budget |
//! | `long_work`, `long_home` | reservations for long prompts |
//! | `credit` | shares of the servers between nodes |
//! | `server`, `prefix` | backend servers and their prefix caches |
//! | `membership` | peers and heartbeats |
//! | `suspects` | requests that crash the servers that run them |
//! | `sweep` | cancels and reclaimed engine memory |
//! | `orders` | models and adapters that engines load, under a lease |
//! | `drain` | graceful shutdown |
//! | `cost` | cost estimates per model |
//! | `catalog` | the active bundle and keys of its names |
//! | `dump` | state dump for operators |

mod admission;
mod attempt;
mod catalog;
mod claim;
mod config;
mod cost;
mod credit;
mod drain;
mod dump;
mod effect;
mod event;
mod invariant;
mod lane;
mod long_home;
mod long_work;
mod membership;
mod node;
mod orders;
mod placement;
mod prefix;
mod queue;
mod request;
mod retry;
mod schedule;
mod server;
mod suspects;
mod sweep;
mod timer;

pub mod prelude;

pub use catalog::{name_hash, GroupKey, WorkspaceSlot};
pub use claim::claim_key;
pub use config::{NodeConfig, ReserveMode};
pub use dump::{LaneDump, NodeDump, PeerDump, ServerDump, WorkspaceDump};
pub use effect::{Completion, Dispatch, Effect, Failure, FailureCode, SegmentPrefill};
pub use event::{
    Arrival, AttemptEnd, CallWork, ClaimResponse, ClaimRow, Event, GenerateWork, PeerRecord,
    ServerKind, ServerRecord, Work,
};
pub use lane::{Lane, LANES};
pub use membership::LiveNode;
pub use node::{Counters, Node};
pub use orders::LeaseRow;
pub use prefix::{block_hashes, BLOCK_TOKENS};
pub use request::{CallerKey, RequestKey};
