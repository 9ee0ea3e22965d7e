//! Start-up configuration of a node.

use std::time::Duration;

use notchwalk_core::{BootNumber, VmId};

/// How engine memory is reserved before work is dispatched. `CheckThenAct` and
/// `Maximum` serve as baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReserveMode {
    /// Reserves the prompt plus the 95th percentile of completion lengths,
    /// raises the reservation as the completion grows, and releases it at the
    /// end.
    #[default]
    TopUp,
    /// Reserves no memory for the completion; compares the request with the
    /// usage that the engine reports.
    CheckThenAct,
    /// Reserves the prompt plus the longest completion allowed.
    Maximum,
}

/// The configuration of one node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The VM the node runs on.
    pub vm: VmId,
    /// The boot number of the daemon.
    pub boot: BootNumber,
    /// The VM's failure domain.
    pub failure_domain: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How long callers may cache the list of nodes.
    pub node_list_ttl: Duration,
    /// How long an owner may stay silent before its memory on engines is freed.
    pub max_owner_silence: Duration,
    /// How engine memory is reserved.
    pub reserve: ReserveMode,
}

impl NodeConfig {
    /// Builds a configuration with the default durations.
    pub fn new(vm: VmId, boot: BootNumber, failure_domain: impl Into<String>, seed: u64) -> Self {
        Self {
            vm,
            boot,
            failure_domain: failure_domain.into(),
            seed,
            node_list_ttl: Duration::from_secs(5),
            max_owner_silence: Duration::from_secs(120),
            reserve: ReserveMode::TopUp,
        }
    }

    /// Sets how long callers may cache the list of nodes.
    pub fn with_node_list_ttl(mut self, ttl: Duration) -> Self {
        self.node_list_ttl = ttl;
        self
    }

    /// Sets how engine memory is reserved.
    pub fn with_reserve(mut self, reserve: ReserveMode) -> Self {
        self.reserve = reserve;
        self
    }
}
