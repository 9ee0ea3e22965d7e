//! The peers that this node may forward requests to while it can't reach a service itself.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use notchwalk_core::Instant;

use crate::{shares::short_id_of, AttemptEnd};

/// How long a peer is avoided after it could not be connected to.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// The status that a peer publishes with its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// The address at which it accepts forwarded requests.
    pub addr: SocketAddr,
    /// Whether it is in this node's group, and so uses the same servers.
    pub is_in_group: bool,
    /// Whether it accepts requests. A peer that is stopping does so for some time only.
    pub accepts_requests: bool,
    /// The version of its configuration.
    pub config_version: u64,
    /// The short ids of the services that it can't reach.
    pub unreachable_services: Vec<u32>,
    /// Time after which it counts as unreachable without another heartbeat.
    pub ttl: Duration,
}

#[derive(Debug)]
struct ForwardPeer {
    status: PeerStatus,
    seen_at: Instant,
    avoid_until: Instant,
    /// Number of requests that are forwarded to it now.
    open_requests: u32,
}

/// What a request requires of the peer that it is forwarded to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WantedPeer<'a> {
    /// Its service.
    pub service: &'a str,
    /// The peers that refused it.
    pub refused_by: &'a [u32],
    /// The peers that it was forwarded to.
    pub tried: &'a [u32],
    /// The version of this node's configuration.
    pub config_version: u64,
    /// Orders peers that are equal otherwise.
    pub salt: u32,
}

/// The known peers by their numbers on this node.
#[derive(Debug, Default)]
pub(crate) struct ForwardPeers {
    // Ordered, so that replays are deterministic.
    by_number: BTreeMap<u32, ForwardPeer>,
}

impl ForwardPeers {
    /// Records the status of a peer.
    pub fn record_status(&mut self, peer: u32, status: PeerStatus, now: Instant) {
        match self.by_number.get_mut(&peer) {
            Some(known) => (known.status, known.seen_at) = (status, now),
            None => {
                let known = ForwardPeer {
                    status,
                    seen_at: now,
                    avoid_until: Instant::ZERO,
                    open_requests: 0,
                };
                self.by_number.insert(peer, known);
            }
        }
    }

    /// Removes a peer that expired or restarted.
    pub fn remove(&mut self, peer: u32) {
        self.by_number.remove(&peer);
    }

    /// Returns the status of a peer.
    pub fn status(&self, peer: u32) -> Option<&PeerStatus> {
        self.by_number.get(&peer).map(|known| &known.status)
    }

    /// Chooses the peer that a request is forwarded to: of those that reach its service, the
    /// one with the fewest requests forwarded by this node. Peers that are stopping, that
    /// failed, that have an older configuration or that are in another group go last.
    pub fn choose(&self, wanted: &WantedPeer<'_>, now: Instant) -> Option<u32> {
        let service = short_id_of(wanted.service);
        let peers = self.by_number.iter();
        let eligible = peers.filter(|(number, peer)| {
            peer.status.config_version > 0
                && !peer.status.unreachable_services.contains(&service)
                && now <= peer.seen_at.after(peer.status.ttl)
                && !wanted.refused_by.contains(number)
        });
        let chosen = eligible.min_by_key(|(number, peer)| {
            let status = &peer.status;
            (
                !status.accepts_requests,
                now < peer.avoid_until,
                wanted.tried.contains(number),
                status.config_version < wanted.config_version,
                !status.is_in_group,
                peer.open_requests,
                short_id_of(&format!("{}/{}", status.name, wanted.salt)),
            )
        });
        chosen.map(|(&number, _)| number)
    }

    /// Records that a request is forwarded to a peer.
    pub fn record_forwarded(&mut self, peer: u32) {
        if let Some(known) = self.by_number.get_mut(&peer) {
            known.open_requests += 1;
        }
    }

    /// Records that a forwarded request ended; `end` is `None` if its caller left.
    pub fn record_end(&mut self, peer: u32, end: Option<AttemptEnd>, now: Instant) {
        let Some(known) = self.by_number.get_mut(&peer) else {
            return;
        };
        known.open_requests = known.open_requests.saturating_sub(1);
        if end == Some(AttemptEnd::NotConnected) {
            known.avoid_until = now.after(AVOID_TIME);
        }
    }
}
