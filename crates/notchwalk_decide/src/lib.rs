//! The decisions of a node: one reducer over all events, with effects as data.
//! It does no I/O, reads no clock and starts no threads. Random numbers come
//! from a given seed, so replaying a recorded stream of events gives the same
//! effects.
//!
//! [`Node::step`] is the main entry point. Each concern has a module of its
//! own; `node.rs` routes events to them.

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
