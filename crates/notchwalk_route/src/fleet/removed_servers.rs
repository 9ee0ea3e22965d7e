//! What outlives the registrations of servers.

use std::{collections::VecDeque, net::SocketAddr};

use notchwalk_core::Instant;

use super::{limit::ServerLimit, Server, ServerKey};

/// Maximum number of retained servers; the oldest are evicted first. Registrations of many
/// servers may expire together while the store is unavailable.
const CAPACITY: usize = 1_024;

/// Why the registration of an incarnation was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemovalReason {
    /// It is no longer in the registry.
    Deregistered,
    /// Another incarnation registered under its instance id.
    Restarted,
}

/// A server whose registration was removed. Requests may still be assigned to it, and its
/// incarnation may register again.
#[derive(Clone, Debug)]
pub(crate) struct RemovedIncarnation {
    /// Its former key.
    pub key: ServerKey,
    /// Its short id.
    pub short_id: u32,
    /// The address that it listened on.
    pub addr: SocketAddr,
    /// Why its registration was removed.
    pub reason: RemovalReason,
    /// Its rate limit.
    pub(super) limit: ServerLimit,
    /// End of the backoff that it requested.
    pub(super) backoff_until: Instant,
}

/// The servers that were removed, oldest first.
#[derive(Debug, Default)]
pub(super) struct RemovedServers(VecDeque<RemovedIncarnation>);

impl RemovedServers {
    pub fn add(&mut self, key: ServerKey, server: &Server, reason: RemovalReason) {
        self.0.push_back(RemovedIncarnation {
            key,
            short_id: server.short_id,
            addr: server.record().addr,
            reason,
            limit: server.limit.clone(),
            backoff_until: server.backoff_until,
        });
        if self.0.len() > CAPACITY {
            self.0.pop_front();
        }
    }

    pub fn get(&self, key: ServerKey) -> Option<&RemovedIncarnation> {
        self.0.iter().rev().find(|removed| removed.key == key)
    }

    /// Returns the last removal of an incarnation.
    pub fn last_of(&self, short_id: u32) -> Option<&RemovedIncarnation> {
        let mut removed = self.0.iter().rev();
        removed.find(|removed| removed.short_id == short_id)
    }

    /// Like [`Self::last_of`].
    pub fn last_of_mut(&mut self, short_id: u32) -> Option<&mut RemovedIncarnation> {
        let mut removed = self.0.iter_mut().rev();
        removed.find(|removed| removed.short_id == short_id)
    }
}
