//! The decisions of an entry daemon: one reducer over all events, with effects
//! as data. No I/O, no clock, no thread; random numbers come from a given
//! seed, so a recorded stream of events replays to the same effects.
//!
//! [`Node::step`] is the whole interface. Each concern is a part in a file of
//! its own; `node.rs` shows which event goes to which part.

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
pub use effect::{Completion, Dispatch, Effect, Failure, FailureCode, SegmentOrder};
pub use event::{
    Arrival, AttemptEnd, CallWork, ClaimAnswer, ClaimRow, Event, GenerateWork, PeerRecord,
    ServerKind, ServerRecord, Work,
};
pub use lane::{Lane, LANES};
pub use membership::LiveEntry;
pub use node::{Counters, Node};
pub use orders::LeaseRow;
pub use prefix::{block_hashes, BLOCK_TOKENS};
pub use request::{CallerKey, RequestKey};
