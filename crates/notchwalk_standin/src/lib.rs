//! Stand-ins of the systems around notchwalk (model engines, plain services and the
//! platform), with a load tool, a demo and benches. For development only, not part of a
//! release.

pub mod bench;
pub mod caller;
pub mod completion;
pub mod crowd;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod node;
pub mod operators;
pub mod platform;
pub mod processes;
pub mod report;
pub mod routed;
pub mod service;
pub mod soak;
pub mod thread;
pub mod workload;
