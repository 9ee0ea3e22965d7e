//! Commonly used types of this crate.

pub use crate::{
    AttemptEnd, Effect, Event, RequestFacts, RequestKey, Router, RouterConfig, ServerChange,
    ServerKey, ServerRecord, SiteConfig,
};
