//! The faults of a randomised run, by chance.

use rand::Rng;

use super::world::World;

/// How long a fault lasts at the most, in microseconds.
const MAX_FAULT_US: u64 = 6_000_000;

/// What can go wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node crashes and starts anew later.
    NodeCrash,
    /// A node is paused and wakes later.
    NodePause,
    /// All nodes crash at once.
    AllCrash,
    /// An engine crashes and comes back empty.
    EngineCrash,
    /// An engine hangs for a while.
    EngineHang,
    /// An engine mixes up frames for a while.
    EngineCrossed,
    /// An engine leaves for good.
    EngineLeaves,
    /// The store is down for a while.
    StoreDown,
    /// Two groups of nodes don't hear each other for a while.
    Partition,
}

const USUAL: [Fault; 8] = [
    Fault::NodeCrash,
    Fault::NodePause,
    Fault::EngineCrash,
    Fault::EngineHang,
    Fault::EngineCrossed,
    Fault::StoreDown,
    Fault::Partition,
    Fault::NodePause,
];

impl World {
    /// Lets one fault begin.
    pub(super) fn begin_fault(&mut self) {
        let fault = match self.rng.random_range(0..40) {
            0 => Fault::AllCrash,
            1 => Fault::EngineLeaves,
            n => USUAL[n % USUAL.len()],
        };
        let lasts_us = self.rng.random_range(100_000..MAX_FAULT_US);
        let node = self.rng.random_range(0..self.nodes.len());
        let engine = self.rng.random_range(0..self.engines.len());
        self.report.faults += 1;
        match fault {
            Fault::NodeCrash => self.crash_node(node, lasts_us),
            Fault::NodePause => self.pause_node(node, lasts_us * 2),
            Fault::AllCrash => {
                for node in 0..self.nodes.len() {
                    self.crash_node(node, lasts_us);
                }
            }
            Fault::EngineCrash => {
                self.engines[engine].crash();
                self.heal_later(lasts_us, move |w| w.engines[engine].dead = false);
            }
            Fault::EngineHang => {
                self.engines[engine].hung = true;
                self.heal_later(lasts_us * 2, move |w| w.engines[engine].hung = false);
            }
            Fault::EngineCrossed => {
                self.engines[engine].crossed = true;
                self.heal_later(lasts_us, move |w| w.engines[engine].crossed = false);
            }
            Fault::EngineLeaves => {
                let left = self.engines.iter().filter(|e| e.leaving_since_us.is_none());
                if left.count() > self.engines.len() / 2 {
                    self.engines[engine].leaving_since_us = Some(self.now_us);
                }
            }
            Fault::StoreDown => {
                self.table.down = true;
                self.heal_later(lasts_us, |w| w.table.down = false);
            }
            Fault::Partition => {
                self.partition_at = Some(node);
                self.heal_later(lasts_us, |w| w.partition_at = None);
            }
        }
    }
}
