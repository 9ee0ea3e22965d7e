//! The rate limit that a server announces for all nodes together.

use std::time::Duration;

use notchwalk_core::Instant;

use super::shared_bucket::SharedBucket;
use crate::RateLimit;

/// Minimum rate of requests to a limited server, in requests per second over all nodes. Only
/// a response can lift a limit of zero.
const MIN_RATE: f64 = 0.2;
/// Fraction of a limit that is used. It keeps all nodes within the limit while their views
/// differ.
const USED_LIMIT_FRACTION: f64 = 0.95;
/// A limit from a peer is ignored unless its request was sent this much later than the newest
/// one whose response announced no limit. The age in an update excludes the time in transit.
const PEER_AGE_MARGIN: Duration = Duration::from_millis(50);
/// How long the end of a limit is published to peers.
const END_PUBLISH_TIME: Duration = Duration::from_secs(3);

/// The limit that one response announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LimitObservation {
    /// The limit; `None` if the response announced none.
    pub limit: Option<RateLimit>,
    /// When the request of that response was sent.
    pub requested_at: Instant,
    /// Whether this node received the response; otherwise a peer reported it.
    pub is_direct: bool,
}

/// A limit that currently applies.
#[derive(Clone, Debug)]
pub(super) struct ActiveLimit {
    pub limit: RateLimit,
    /// Send time of the newest request whose response announced this limit.
    requested_at: Instant,
    /// Whether this node received a response that announced a limit. Only then is the limit
    /// published to peers.
    is_direct: bool,
    pub bucket: SharedBucket,
}

/// The limit of one server, and when it was last lifted.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLimit {
    active: Option<ActiveLimit>,
    /// Send time of the newest request whose response announced no limit.
    unlimited_at: Instant,
    /// Until when the end of the limit is published to peers.
    end_published_until: Instant,
}

impl ServerLimit {
    pub fn active(&self) -> Option<&ActiveLimit> {
        self.active.as_ref()
    }

    pub fn active_mut(&mut self) -> Option<&mut ActiveLimit> {
        self.active.as_mut()
    }

    /// Applies an observation; returns whether it changes the limit.
    ///
    /// Responses may arrive out of order, so the one with the newer request wins. If no
    /// limit applies, or a higher one does, a limit from an older response to this node
    /// applies too: exceeding a server's limit is worse than applying an outdated limit until
    /// the next response.
    pub fn apply(&mut self, observed: LimitObservation, server: u32, now: Instant) -> bool {
        match (&mut self.active, observed.limit) {
            (None, None) => {
                self.unlimited_at = self.unlimited_at.max(observed.requested_at);
                false
            }
            (None, Some(limit)) => {
                let is_outdated = self.unlimited_at > Instant::ZERO
                    && observed.requested_at <= self.unlimited_at.after(PEER_AGE_MARGIN);
                if is_outdated && !observed.is_direct {
                    return false;
                }
                self.active = Some(ActiveLimit {
                    limit,
                    requested_at: observed.requested_at,
                    is_direct: observed.is_direct,
                    bucket: SharedBucket::new(server, now),
                });
                true
            }
            (Some(active), None) => {
                if observed.requested_at < active.requested_at {
                    return false;
                }
                self.active = None;
                self.unlimited_at = observed.requested_at;
                if observed.is_direct {
                    self.end_published_until = now.after(END_PUBLISH_TIME);
                }
                true
            }
            (Some(active), Some(limit)) => active.apply(limit, observed),
        }
    }

    /// Returns the current limit, observed by this node or a peer, or its recent end.
    pub fn latest(&self, now: Instant) -> Option<LimitObservation> {
        match &self.active {
            Some(active) => Some(LimitObservation {
                limit: Some(active.limit),
                requested_at: active.requested_at,
                is_direct: active.is_direct,
            }),
            None => self.publishes_end(now).then_some(LimitObservation {
                limit: None,
                requested_at: self.unlimited_at,
                is_direct: true,
            }),
        }
    }

    /// Returns whether the end of the limit is still published to peers.
    pub fn publishes_end(&self, now: Instant) -> bool {
        now < self.end_published_until
    }
}

impl ActiveLimit {
    fn apply(&mut self, limit: RateLimit, observed: LimitObservation) -> bool {
        let is_newer = observed.requested_at >= self.requested_at;
        let is_stricter = limit < self.limit && observed.is_direct;
        self.is_direct |= observed.is_direct;
        self.requested_at = self.requested_at.max(observed.requested_at);
        if limit == self.limit || !(is_newer || is_stricter) {
            return false;
        }
        self.limit = limit;
        true
    }

    /// Sets the share of the limit that the reachable nodes of this group may use.
    pub fn set_share(&mut self, own_id: u32, share: f64, now: Instant) {
        let rate = self.limit.rate().max(MIN_RATE);
        self.bucket
            .set_rate(own_id, rate * USED_LIMIT_FRACTION * share, now);
    }
}
