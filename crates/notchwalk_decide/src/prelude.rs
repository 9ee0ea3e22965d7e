//! The common imports of code that drives the reducer.

pub use crate::{
    Arrival, AttemptEnd, CallWork, CallerKey, Effect, Event, Failure, FailureCode, GenerateWork,
    Node, NodeConfig, RequestKey, Work,
};
