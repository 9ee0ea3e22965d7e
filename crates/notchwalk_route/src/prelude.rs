//! The names that users of this crate nearly always need.

pub use crate::{
    AttemptEnd, Effect, Event, RequestFacts, RequestKey, Router, RouterConfig, ServerChange,
    ServerKey, ServerRecord, SiteConfig,
};
