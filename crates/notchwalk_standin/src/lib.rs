//! Stand-ins of the systems that notchwalk serves and uses: model engines,
//! plain services and the platform, with a load tool, a demo and benches. For
//! development only; never shipped with the daemon.

pub mod answer;
pub mod bench;
pub mod caller;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod entry;
pub mod fleet;
pub mod operators;
pub mod platform;
pub mod processes;
pub mod report;
pub mod routed;
pub mod service;
pub mod soak;
pub mod thread;
pub mod workload;
