//! The names that drivers of the reducer need.

pub use crate::{
    Arrival, AttemptEnd, CallWork, CallerKey, Effect, Event, Failure, FailureCode, GenerateWork,
    Node, NodeConfig, RequestKey, Work,
};
