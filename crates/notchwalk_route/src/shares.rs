//! Fair shares of the engines between workspaces.
//!
//! Only the current load of a workspace over all nodes counts: unused shares do not
//! accumulate. Shares apply only while the engines cannot serve all requests in time. Until
//! then a workspace may use all free capacity.

use std::collections::HashMap;

/// Multiple of an equal share that a workspace may use. Equal shares divide the total load
/// by the number of workspaces with work on any server.
/// With a lower multiple, large workspaces are refused in every burst.
const MAX_SHARE_MULTIPLE: f64 = 2.0;
/// Fraction of the total load that a workspace may always use.
const ALWAYS_ALLOWED_FRACTION: f64 = 1.0 / 3.0;

/// A workspace's short id, derived from its name and the same on all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorkspaceShortId(u32);

impl WorkspaceShortId {
    /// Derives the id of a workspace.
    pub fn of(name: &str) -> Self {
        Self(short_id_of(name))
    }

    /// Creates an id from its number in a peer's update.
    pub fn from_number(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number of the id, as published to peers.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Derives a short id from a name (FNV-1a, 32 bits). It must be the same on all nodes and
/// differ between the names of one deployment.
pub(crate) fn short_id_of(name: &str) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}

/// The load of each workspace, in engines.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    total: f64,
    by_workspace: HashMap<WorkspaceShortId, f64>,
}

impl Shares {
    /// Adds the load of a request.
    pub fn add(&mut self, workspace: WorkspaceShortId, engines: f64) {
        self.total += engines;
        *self.by_workspace.entry(workspace).or_default() += engines;
    }

    /// Returns whether a workspace exceeds its share. Requests without a key belong to no
    /// workspace.
    pub fn is_over(&self, workspace: WorkspaceShortId) -> bool {
        if workspace == WorkspaceShortId::default() {
            return false;
        }
        let Some(&own) = self.by_workspace.get(&workspace) else {
            return false;
        };
        let equal_share = self.total / self.by_workspace.len() as f64;
        own > (MAX_SHARE_MULTIPLE * equal_share).max(ALWAYS_ALLOWED_FRACTION * self.total)
    }
}
