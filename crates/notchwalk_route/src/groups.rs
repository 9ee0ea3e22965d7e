//! Groups of nodes that use a subset of the servers.
//!
//! In a small deployment each node publishes its load to all others, and all nodes use all
//! servers, so this traffic grows with the square of the number of nodes. In a large
//! deployment the nodes are divided into groups: each group uses its own subset of the
//! servers, and its nodes publish their load only to each other.
//!
//! Groups need no coordination. Each node derives its group from the registered nodes and
//! servers, both in an order that is the same on all nodes. Adding a node or a server moves
//! each boundary by at most one position. While their views differ, two nodes of different
//! groups may use the same server without receiving each other's load there. This can add
//! latency but causes no errors.

use crate::shares::short_id_of;

/// Maximum number of nodes that form a single group.
const MAX_UNDIVIDED_NODES: usize = 64;
/// Maximum number of nodes per group where there are several.
const MAX_NODES_PER_GROUP: usize = 24;
/// Minimum number of servers per group for the largest service: a long prompt occupies
/// up to 17 servers, and other requests are served at the same time.
const MIN_SERVERS_PER_GROUP: usize = 48;
/// Minimum number of servers per group for any service; with fewer, neighbouring groups
/// share a subset.
const MIN_SUBSET_SIZE: usize = 8;

/// One of `count` groups, where `count` is a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    index: usize,
    count: usize,
}

impl Default for Group {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

impl Group {
    /// Returns the group of the node at `position` in the order of all `nodes` nodes, if the
    /// largest service has `servers` servers.
    pub fn for_node(position: usize, nodes: usize, servers: usize) -> Self {
        let groups = match nodes {
            0..=MAX_UNDIVIDED_NODES => 1,
            _ => nodes.div_ceil(MAX_NODES_PER_GROUP).next_power_of_two(),
        };
        let max_groups = (servers / MIN_SERVERS_PER_GROUP).max(1);
        let groups = groups.min(1 << max_groups.ilog2());
        Self {
            index: position * groups / nodes.max(1),
            count: groups,
        }
    }

    /// Returns the number of groups.
    pub fn count(self) -> usize {
        self.count
    }

    /// Returns the group's index among all groups.
    pub fn index(self) -> usize {
        self.index
    }

    /// Returns the group's subset of `servers`, which are in the same order on all nodes.
    pub fn subset<T>(self, servers: &[T]) -> &[T] {
        let Self { index, count } = self.merged(servers.len());
        let boundary = |index: usize| servers.len() * index / count;
        &servers[boundary(index)..boundary(index + 1)]
    }

    /// Returns how many groups share a subset of a service with `servers` servers.
    pub fn groups_sharing(self, servers: usize) -> usize {
        self.count / self.merged(servers).count
    }

    /// Merges this group with its neighbours until the subset has enough servers.
    fn merged(self, servers: usize) -> Self {
        let Self {
            mut index,
            mut count,
        } = self;
        while count > 1 && servers / count < MIN_SUBSET_SIZE {
            (index, count) = (index / 2, count / 2);
        }
        Self { index, count }
    }
}

/// Returns the key that orders nodes. It spreads the nodes of one failure domain, whose
/// names are similar, over all groups.
pub fn node_order(name: &str) -> (u32, &str) {
    (mix_bits(short_id_of(name)), name)
}

/// Mixes the bits of a short id (the finalizer of MurmurHash3): similar names have ids that
/// differ in few bits.
pub(crate) fn mix_bits(mut id: u32) -> u32 {
    id = (id ^ (id >> 16)).wrapping_mul(0x85eb_ca6b);
    id = (id ^ (id >> 13)).wrapping_mul(0xc2b2_ae35);
    id ^ (id >> 16)
}
