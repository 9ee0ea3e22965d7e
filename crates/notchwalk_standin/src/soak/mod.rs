//! Randomised fault simulation in virtual time: several nodes run against fake
//! engines, services, a claim table and a network.
//!
//! Faults include message loss, delay, reordering and duplication, suspended
//! nodes, crashes and lost responses. Invariants are checked at the fakes, in addition
//! to the reducer's own assertions.

mod arrivals;
mod callers;
mod delivery;
mod effects;
mod fakes;
mod faults;
mod simulation;

pub use simulation::{Mechanism, Simulation, SoakOptions, SoakReport};
