//! Groups of entries that share a part of the servers.
//!
//! Among a few entries everybody tells everybody what it has on which engine, and all
//! use all engines. What that costs grows with the square of the entries: 72 KB a second
//! an entry at 30 of them, 2.1 MB at 300. So many entries fall into groups, each of
//! which has a part of the engines to itself and tells only its own members.
//!
//! Nobody forms groups: each entry finds its own from the entries on record and the
//! servers on record, both in an order that all entries share. An entry or a server more
//! moves each border by one place at most. Entries whose views differ for a moment share
//! an engine without telling each other, which costs time and no promise.

use crate::shares::tag_of;

/// Entries up to which there is one group.
const MOST_TOGETHER: usize = 64;
/// Entries of a group at most, where there are several; each has more than half as many.
const MOST_IN_GROUP: usize = 24;
/// Servers of the largest service that a group has at least: a long prompt is read by up
/// to 17, and others are served beside it.
const LEAST_SERVERS_A_GROUP: usize = 48;
/// Servers of any service that a group has at least; with fewer, neighbouring groups
/// share theirs.
const LEAST_SERVERS: usize = 8;

/// One of a number of groups, which is a power of two.
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
    /// Returns the group of the entry at a place in the order of all entries, before
    /// `servers` of the largest service.
    pub fn of_place(place: usize, entries: usize, servers: usize) -> Self {
        let groups = match entries {
            0..=MOST_TOGETHER => 1,
            _ => entries.div_ceil(MOST_IN_GROUP).next_power_of_two(),
        };
        let most = (servers / LEAST_SERVERS_A_GROUP).max(1);
        let groups = groups.min(1 << most.ilog2());
        Self {
            index: place * groups / entries.max(1),
            count: groups,
        }
    }

    /// Returns the number of groups.
    pub fn count(self) -> usize {
        self.count
    }

    /// Returns the group's place among all groups.
    pub fn index(self) -> usize {
        self.index
    }

    /// Returns the group's part of servers in an order that all entries share.
    pub fn part<T>(self, servers: &[T]) -> &[T] {
        let Self { index, count } = self.merged(servers.len());
        let border = |index: usize| servers.len() * index / count;
        &servers[border(index)..border(index + 1)]
    }

    /// Returns how many groups share a part of so many servers.
    pub fn sharing(self, servers: usize) -> usize {
        self.count / self.merged(servers).count
    }

    /// Returns this group with its neighbours, as many as it takes for enough servers.
    fn merged(self, servers: usize) -> Self {
        let Self {
            mut index,
            mut count,
        } = self;
        while count > 1 && servers / count < LEAST_SERVERS {
            (index, count) = (index / 2, count / 2);
        }
        Self { index, count }
    }
}

/// Returns what orders entries by, so that those of one failure domain, whose names
/// are alike, spread over all groups.
pub fn entry_order(name: &str) -> (u32, &str) {
    (mixed(tag_of(name)), name)
}

/// Spreads a short id over all bits: names that differ in their last letters have ids
/// that differ in few (the finalizer of MurmurHash3).
pub(crate) fn mixed(mut id: u32) -> u32 {
    id = (id ^ (id >> 16)).wrapping_mul(0x85eb_ca6b);
    id = (id ^ (id >> 13)).wrapping_mul(0xc2b2_ae35);
    id ^ (id >> 16)
}
