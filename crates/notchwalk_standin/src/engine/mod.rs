//! A stand-in model engine with continuous batching, a token budget per step, chunked prefill,
//! limited KV memory, a prefix cache, request priorities and delayed load reports.

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
