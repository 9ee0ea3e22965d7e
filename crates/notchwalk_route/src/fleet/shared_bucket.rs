//! What all entries together may send to one server, as one of them knows it.
//!
//! Every entry keeps the same bucket: it fills at the server's rate, and each send is
//! taken from it, a peer's as soon as it is told. Nobody is asked before a send. Three
//! things keep the entries from spending the same allowance several times:
//!
//! - Of those that wait for it, each stands at a place in an order that changes with
//!   every send, and waits [`TURN`] longer than the one before, whose send it hears of
//!   meanwhile.
//! - Two that send at once all the same leave a debt, which all wait for.
//! - Entries on record that are not heard keep their part, whether they are gone or
//!   cut off: the owner of the bucket fills it by the part of those it hears.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;

use crate::groups::mixed;

/// How much longer than the one before it an entry leaves what is allowed to others:
/// longer than telling takes, and than the pause between two looks at what waits.
const TURN: Duration = Duration::from_millis(25);
/// The longest time that the last of them leaves it to others.
const LAST_TURN: Duration = Duration::from_millis(300);
/// Entries that use a server in need, at most: with more, turns would be too short for
/// a low limit, and as many send at once before they hear of each other.
const FEWEST_USERS: usize = 12;
/// The same for each request a second: among many entries few ask for the server at any
/// moment, and at a high rate what is sent at once is soon made up for.
const USERS_PER_RATE: f64 = 4.0;
/// How long a peer's demand counts after it was told.
const DEMAND_LASTS: Duration = Duration::from_secs(2);
/// A peer's count that falls by more than this began anew; by less, sends were taken
/// back that reached nobody.
const MOST_TAKEN_BACK: i32 = 8;

/// What a peer told of its sends.
#[derive(Clone, Copy, Debug)]
struct PeerSends {
    /// The peer's id, which all entries derive alike.
    id: u32,
    sent: u32,
    wants_until: Instant,
}

/// See the module's page.
#[derive(Clone, Debug)]
pub(super) struct SharedBucket {
    /// The server's short id.
    server: u32,
    /// The id of the entry that keeps it.
    own: u32,
    /// Requests a second that it fills by.
    rate: f64,
    /// Requests that may be sent, as of `at`; below 0 for a debt.
    level: f64,
    at: Instant,
    peers: HashMap<u32, PeerSends>,
}

impl SharedBucket {
    /// Builds an empty bucket: entries that hear of a limit together would spend a
    /// full one together.
    pub fn new(server: u32, now: Instant) -> Self {
        Self {
            server,
            own: 0,
            rate: 0.0,
            level: 0.0,
            at: now,
            peers: HashMap::new(),
        }
    }

    /// Sets who keeps the bucket, and the requests a second that it fills by.
    pub fn set_rate(&mut self, own: u32, rate: f64, now: Instant) {
        self.level = self.level(now);
        self.at = now;
        (self.own, self.rate) = (own, rate);
    }

    /// Returns the requests that may be sent now, by any entry that is heard.
    pub fn level(&self, now: Instant) -> f64 {
        let filled = self.level + self.rate * now.since(self.at).as_secs_f64();
        let users = self.users(now);
        let most = 1.0 + users as f64 * self.turn_level(users);
        filled.min(most)
    }

    /// Returns what the bucket fills by in one of the turns of so many users.
    fn turn_level(&self, users: usize) -> f64 {
        self.rate * TURN.min(LAST_TURN / users as u32).as_secs_f64()
    }

    fn most_users(&self) -> usize {
        FEWEST_USERS.max((self.rate * USERS_PER_RATE) as usize)
    }

    /// Returns the peers that have demand for the server.
    fn wanting(&self, now: Instant) -> impl Iterator<Item = &PeerSends> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.wants_until > now)
    }

    /// Returns how many entries with demand use the server, this one included.
    pub fn users(&self, now: Instant) -> usize {
        (self.wanting(now).count() + 1).min(self.most_users())
    }

    /// Returns the requests a second that are this entry's, if all that have demand
    /// send alike.
    pub fn own_rate(&self, now: Instant) -> f64 {
        self.rate / self.users(now) as f64
    }

    /// Returns how many entries with demand come before this one, in the order that
    /// holds for `round`.
    fn rank(&self, round: u32, now: Instant) -> usize {
        let key = |id: u32| mixed(self.server ^ mixed(id ^ round));
        let own = key(self.own);
        self.wanting(now).filter(|peer| key(peer.id) < own).count()
    }

    /// Returns this entry's turn at the next request; `None` if it leaves the server
    /// to others.
    fn turn(&self, own_sent: u32, now: Instant) -> Option<usize> {
        if self.rank(0, now) >= self.most_users() {
            return None;
        }
        let peers = self.peers.values();
        let sent = peers.fold(own_sent, |sent, peer| sent.wrapping_add(peer.sent));
        Some(self.rank(sent, now).min(self.users(now) - 1))
    }

    /// Returns how long this entry, which has sent `own_sent` requests to the server,
    /// has to wait until it may send one; `None` while it may send none at all.
    pub fn may_send_in(&self, own_sent: u32, now: Instant) -> Option<Duration> {
        let turn = self.turn(own_sent, now)?;
        let turn_level = self.turn_level(self.users(now));
        let missing = 1.0 + turn as f64 * turn_level - self.level(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        (self.rate > 0.0).then(|| Duration::from_secs_f64(missing / self.rate))
    }

    /// Takes requests that were sent, or gives back what reached nobody (below 0).
    pub fn take(&mut self, requests: i32, now: Instant) {
        self.level = self.level(now) - f64::from(requests);
        self.at = now;
    }

    /// Hears how many requests a peer has sent to the server so far. The first count is
    /// where counting starts: what was sent before is over.
    pub fn hear(&mut self, peer: u32, id: u32, sent: u32, wants: bool, now: Instant) {
        let known = self.peers.get(&peer).copied();
        let wants_until = match wants {
            true => now.after(DEMAND_LASTS),
            false => known.map_or(now, |known| known.wants_until),
        };
        let news = known.map_or(0, |known| sent.wrapping_sub(known.sent) as i32);
        if news >= -MOST_TAKEN_BACK {
            self.take(news, now);
        }
        let sends = PeerSends {
            id,
            sent,
            wants_until,
        };
        self.peers.insert(peer, sends);
    }

    /// Forgets a peer that fell silent: what it sends from now on is its own part.
    pub fn forget(&mut self, peer: u32) {
        self.peers.remove(&peer);
    }
}
