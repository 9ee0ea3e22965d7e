//! A stand-in model engine: batches continuously with a token budget a step,
//! prefills in chunks, has limited memory and a prefix cache, honours
//! priorities, and reports late.

mod api;
mod cache;
mod config;
mod fault;
mod sequence;
mod simulation;

pub use api::{serve_engine, EngineCounts, EngineHandle};
pub use config::EngineConfig;
pub use fault::Fault;
pub use simulation::Simulation;
