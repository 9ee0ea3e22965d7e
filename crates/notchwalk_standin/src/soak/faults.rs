//! Random fault injection.

use rand::Rng;

use super::simulation::Simulation;

const MAX_FAULT_DURATION_US: u64 = 6_000_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// One node crashes and restarts later.
    NodeCrash,
    /// One node is suspended and resumes later.
    NodeSuspension,
    /// All nodes crash at once and restart later.
    AllNodesCrash,
    /// An engine crashes, loses its work and restarts later.
    EngineCrash,
    /// An engine stops responding temporarily.
    EngineHang,
    /// An engine temporarily inserts frames of other requests and attempts.
    EngineMismatchedFrames,
    /// An engine starts to drain and never stops draining.
    EngineDrain,
    /// The claim table is temporarily unavailable.
    StoreOutage,
    /// One node temporarily cannot exchange messages with its peers.
    Partition,
}

/// Faults other than the rare [`Fault::AllNodesCrash`] and [`Fault::EngineDrain`].
const COMMON_FAULTS: [Fault; 8] = [
    Fault::NodeCrash,
    Fault::NodeSuspension,
    Fault::EngineCrash,
    Fault::EngineHang,
    Fault::EngineMismatchedFrames,
    Fault::StoreOutage,
    Fault::Partition,
    Fault::NodeSuspension,
];

impl Simulation {
    /// Injects one random fault.
    pub(super) fn inject_fault(&mut self) {
        let fault = match self.rng.random_range(0..40) {
            0 => Fault::AllNodesCrash,
            1 => Fault::EngineDrain,
            n => COMMON_FAULTS[n % COMMON_FAULTS.len()],
        };
        let duration_us = self.rng.random_range(100_000..MAX_FAULT_DURATION_US);
        let node = self.rng.random_range(0..self.nodes.len());
        let engine = self.rng.random_range(0..self.engines.len());
        self.report.faults += 1;
        match fault {
            Fault::NodeCrash => self.crash_node(node, duration_us),
            Fault::NodeSuspension => self.suspend_node(node, duration_us * 2),
            Fault::AllNodesCrash => {
                for node in 0..self.nodes.len() {
                    self.crash_node(node, duration_us);
                }
            }
            Fault::EngineCrash => {
                self.engines[engine].crash();
                self.clear_fault_after(duration_us, move |sim| sim.engines[engine].crashed = false);
            }
            Fault::EngineHang => {
                self.engines[engine].hung = true;
                self.clear_fault_after(duration_us * 2, move |sim| {
                    sim.engines[engine].hung = false
                });
            }
            Fault::EngineMismatchedFrames => {
                self.engines[engine].sends_mismatched_frames = true;
                self.clear_fault_after(duration_us, move |sim| {
                    sim.engines[engine].sends_mismatched_frames = false
                });
            }
            Fault::EngineDrain => {
                let active = self
                    .engines
                    .iter()
                    .filter(|e| e.draining_since_us.is_none());
                if active.count() > self.engines.len() / 2 {
                    self.engines[engine].draining_since_us = Some(self.now_us);
                }
            }
            Fault::StoreOutage => {
                self.claims.unavailable = true;
                self.clear_fault_after(duration_us, |sim| sim.claims.unavailable = false);
            }
            Fault::Partition => {
                self.isolated_node = Some(node);
                self.clear_fault_after(duration_us, |sim| sim.isolated_node = None);
            }
        }
    }
}
