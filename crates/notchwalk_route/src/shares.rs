//! Which workspaces use more than their share of the engines.
//!
//! What counts is what a workspace has on the engines now, over all entries, so
//! that idleness banks nothing. A share matters only while engines can't serve
//! everybody in time: until then a workspace may use what others leave.

use std::collections::HashMap;

/// How many times an equal share a workspace may have before it yields; equal
/// among those that have work on any server now, calls included. With less, large
/// workspaces are refused in every wave.
const TOLERANCE: f64 = 2.0;
/// Part of all that is used below which a workspace never yields: a large one is
/// no flood.
const LEAST_FLOOD: f64 = 1.0 / 3.0;

/// A workspace's short id, which all entries derive alike from its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorkspaceTag(u32);

impl WorkspaceTag {
    /// Derives the id of a workspace.
    pub fn of(name: &str) -> Self {
        Self(tag_of(name))
    }

    /// Takes an id as a peer told it.
    pub fn from_number(number: u32) -> Self {
        Self(number)
    }

    /// Returns the id as peers are told it.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Derives a short id from a name (FNV-1a, 32 bits): it only has to agree
/// between entries and to differ between the names of one deployment.
pub(crate) fn tag_of(name: &str) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}

/// What each workspace has on the engines, in engines.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    total: f64,
    of: HashMap<WorkspaceTag, f64>,
}

impl Shares {
    /// Adds what a request keeps busy.
    pub fn add(&mut self, workspace: WorkspaceTag, engines: f64) {
        self.total += engines;
        *self.of.entry(workspace).or_default() += engines;
    }

    /// Tells whether a workspace has more than its share. Requests of routes that
    /// ask for no key belong to none.
    pub fn is_over(&self, workspace: WorkspaceTag) -> bool {
        if workspace == WorkspaceTag::default() {
            return false;
        }
        let Some(&own) = self.of.get(&workspace) else {
            return false;
        };
        let equal = self.total / self.of.len() as f64;
        own > (TOLERANCE * equal).max(LEAST_FLOOD * self.total)
    }
}
