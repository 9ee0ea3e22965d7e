//! Long randomised runs of several reducers against small fakes of engines,
//! services, the store and the network, in virtual time: loss, delay,
//! reordering, duplication, pauses, crashes, lost answers. What must always
//! hold is checked at the fakes, besides the reducer's own invariants.

mod arrivals;
mod callers;
mod delivery;
mod fakes;
mod faults;
mod world;

pub use world::{Mechanism, SoakOptions, SoakReport, World};
