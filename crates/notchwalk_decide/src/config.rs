//! What a node is told about itself when it starts.

use std::time::Duration;

use notchwalk_core::{BootNumber, VmId};

/// How memory on engines is counted before work is sent. The two plain ways
/// are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReserveMode {
    /// Holds prompt plus the 95th percentile of answers, tops up at 80%, and
    /// settles at the end.
    #[default]
    TopUp,
    /// Only looks at what engines report as used.
    CheckThenAct,
    /// Holds prompt plus the longest answer allowed.
    Maximum,
}

/// The settings of one node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The VM it runs on.
    pub vm: VmId,
    /// The boot of the daemon.
    pub boot: BootNumber,
    /// The VM's failure domain.
    pub failure_domain: String,
    /// The seed of its random numbers.
    pub seed: u64,
    /// How long callers may keep the list of entries.
    pub entries_ttl: Duration,
    /// How long a silent owner may be paused before its memory on engines is
    /// freed.
    pub longest_pause: Duration,
    /// How memory is counted.
    pub reserve: ReserveMode,
}

impl NodeConfig {
    /// Builds the settings of a node with the usual times.
    pub fn new(vm: VmId, boot: BootNumber, failure_domain: impl Into<String>, seed: u64) -> Self {
        Self {
            vm,
            boot,
            failure_domain: failure_domain.into(),
            seed,
            entries_ttl: Duration::from_secs(5),
            longest_pause: Duration::from_secs(120),
            reserve: ReserveMode::TopUp,
        }
    }

    /// Sets how long callers may keep the list of entries.
    pub fn with_entries_ttl(mut self, ttl: Duration) -> Self {
        self.entries_ttl = ttl;
        self
    }

    /// Sets how memory is counted.
    pub fn with_reserve(mut self, reserve: ReserveMode) -> Self {
        self.reserve = reserve;
        self
    }
}
