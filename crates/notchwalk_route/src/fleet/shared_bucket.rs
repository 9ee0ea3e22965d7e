//! A token bucket per limited server, replicated on every node.
//!
//! The bucket fills at the server's rate. Every send is deducted from it, a peer's as soon
//! as its update arrives. Sends need no coordination. Three rules prevent several nodes from
//! using the same token:
//!
//! - Nodes with demand are ranked in an order that changes with every send. Each node waits
//!   [`TURN_TIME`] longer than the preceding one, whose update arrives in that time.
//! - Nodes that send at the same moment overdraw the bucket. All nodes then wait until it
//!   has refilled.
//! - The bucket fills only at the share of the reachable nodes. The share of registered nodes
//!   that are unreachable is not used: they may be partitioned and still sending.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;

use crate::groups::mix_bits;

/// Additional wait of a node per preceding node. It is longer than the delivery of an update
/// and the interval at which waiting requests are checked.
const TURN_TIME: Duration = Duration::from_millis(25);
/// Maximum wait of the last node in the order.
const MAX_TURN_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of nodes that use a server with a low rate. With more nodes, turns would be
/// too short, and several nodes would send before they receive each other's updates.
const BASE_MAX_USERS: usize = 12;
/// Maximum number of nodes that use a server, per request per second of its rate. At a high
/// rate an overdrawn bucket refills quickly.
const MAX_USERS_PER_RPS: f64 = 4.0;
/// How long a peer's demand counts after its last update that reported demand.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(2);
/// Maximum decrease of a peer's counter that counts as a rollback of sends that reached no
/// server. A larger decrease means that the counter has been reset.
const MAX_ROLLBACK: i32 = 8;

/// The sends of a peer to the server, from its last update.
#[derive(Clone, Copy, Debug)]
struct PeerSends {
    /// The peer's id, the same on all nodes.
    id: u32,
    sent: u32,
    demand_until: Instant,
}

/// One node's replica of a server's token bucket. See the module documentation.
#[derive(Clone, Debug)]
pub(super) struct SharedBucket {
    /// The server's short id.
    server: u32,
    /// The id of this node.
    own_id: u32,
    /// Fill rate, in requests per second.
    rate: f64,
    /// Available tokens as of `level_at`, one per request; negative if overdrawn.
    level: f64,
    level_at: Instant,
    peers: HashMap<u32, PeerSends>,
}

impl SharedBucket {
    /// Creates an empty bucket. With full buckets, all nodes would send at once when they
    /// receive a new limit.
    pub fn new(server: u32, now: Instant) -> Self {
        Self {
            server,
            own_id: 0,
            rate: 0.0,
            level: 0.0,
            level_at: now,
            peers: HashMap::new(),
        }
    }

    /// Sets the id of this node and the fill rate in requests per second.
    pub fn set_rate(&mut self, own_id: u32, rate: f64, now: Instant) {
        self.level = self.level(now);
        self.level_at = now;
        (self.own_id, self.rate) = (own_id, rate);
    }

    /// Returns the number of requests that the reachable nodes may send now.
    pub fn level(&self, now: Instant) -> f64 {
        let filled = self.level + self.rate * now.since(self.level_at).as_secs_f64();
        let users = self.users(now);
        let capacity = 1.0 + users as f64 * self.tokens_per_turn(users);
        filled.min(capacity)
    }

    /// Returns the tokens added during one turn if there are `users` users.
    fn tokens_per_turn(&self, users: usize) -> f64 {
        self.rate * TURN_TIME.min(MAX_TURN_WAIT / users as u32).as_secs_f64()
    }

    fn max_users(&self) -> usize {
        BASE_MAX_USERS.max((self.rate * MAX_USERS_PER_RPS) as usize)
    }

    /// Returns the peers with demand for the server.
    fn peers_with_demand(&self, now: Instant) -> impl Iterator<Item = &PeerSends> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.demand_until > now)
    }

    /// Returns how many nodes use the server, this one included.
    pub fn users(&self, now: Instant) -> usize {
        (self.peers_with_demand(now).count() + 1).min(self.max_users())
    }

    /// Returns this node's share in requests per second, if all users send at the same
    /// rate.
    pub fn own_rate(&self, now: Instant) -> f64 {
        self.rate / self.users(now) as f64
    }

    /// Returns how many nodes with demand precede this one in the order of `round`.
    fn rank(&self, round: u32, now: Instant) -> usize {
        let key = |id: u32| mix_bits(self.server ^ mix_bits(id ^ round));
        let own = key(self.own_id);
        self.peers_with_demand(now)
            .filter(|peer| key(peer.id) < own)
            .count()
    }

    /// Returns how many turns this node waits before the next request; `None` if it does not
    /// use the server because enough other nodes do.
    fn turn(&self, own_sent: u32, now: Instant) -> Option<usize> {
        if self.rank(0, now) >= self.max_users() {
            return None;
        }
        let peers = self.peers.values();
        let sent = peers.fold(own_sent, |sent, peer| sent.wrapping_add(peer.sent));
        Some(self.rank(sent, now).min(self.users(now) - 1))
    }

    /// Returns the time until this node, which has sent `own_sent` requests to the server,
    /// may send another; `None` if it may send none.
    pub fn time_until_send(&self, own_sent: u32, now: Instant) -> Option<Duration> {
        let turn = self.turn(own_sent, now)?;
        let tokens_per_turn = self.tokens_per_turn(self.users(now));
        let missing = 1.0 + turn as f64 * tokens_per_turn - self.level(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        (self.rate > 0.0).then(|| Duration::from_secs_f64(missing / self.rate))
    }

    /// Takes a token per request sent, or returns tokens (negative) of requests that
    /// reached no server.
    pub fn take(&mut self, requests: i32, now: Instant) {
        self.level = self.level(now) - f64::from(requests);
        self.level_at = now;
    }

    /// Applies a peer's send counter. The first counter only sets the baseline.
    pub fn apply_peer(&mut self, peer: u32, id: u32, sent: u32, has_demand: bool, now: Instant) {
        let known = self.peers.get(&peer).copied();
        let demand_until = match has_demand {
            true => now.after(PEER_DEMAND_TTL),
            false => known.map_or(now, |known| known.demand_until),
        };
        let added = known.map_or(0, |known| sent.wrapping_sub(known.sent) as i32);
        if added >= -MAX_ROLLBACK {
            self.take(added, now);
        }
        let sends = PeerSends {
            id,
            sent,
            demand_until,
        };
        self.peers.insert(peer, sends);
    }

    /// Removes a peer that became unreachable. Its further sends count against its own share.
    pub fn remove_peer(&mut self, peer: u32) {
        self.peers.remove(&peer);
    }
}
