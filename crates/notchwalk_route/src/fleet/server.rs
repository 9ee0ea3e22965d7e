//! One backend server, its availability and its observed failures.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;

use super::limit::ServerLimit;
use crate::{shares::short_id_of, RateLimit, ServerNotice};

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Duration of the first ejection; it doubles with each further failure. On the known
/// deployments a crashed server returns after three to four seconds.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// A server that responded within this time counts as alive. A busy engine emits events
/// several times per second.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_200);
/// Weight of a new observation in the failure rate.
const FAILURE_WEIGHT: f64 = 0.12;
/// Half-life of the failure rate without observations. A server that is avoided because of
/// its failures gets no requests that could succeed and lower its rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time without observations after which the failure rate counts as zero: at light load even
/// a small rate would outweigh differences in load.
const FAILURE_RATE_TTL: Duration = MAX_EJECTION;
/// Minimum interval between requests to a server after its ejection, until a request
/// succeeds. A server that hangs then delays one request at a time.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time without observations after which the count of consecutive failures expires.
const FAILURE_COUNT_TTL: Duration = Duration::from_secs(20);

/// The stage that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStage {
    /// It accepts requests.
    Ready,
    /// It is draining and accepts no new requests.
    Leaving,
}

/// A server's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// The instance id, which may stay the same across restarts.
    pub instance: String,
    /// Start time of this incarnation in milliseconds since the Unix epoch, if announced.
    /// State about a server never outlives its incarnation.
    pub started_ms: Option<u64>,
    /// The service that it serves.
    pub service: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// The stage that it announces.
    pub stage: ServerStage,
}

impl ServerRecord {
    /// Derives the short id of this incarnation.
    pub(super) fn incarnation_short_id(&self) -> u32 {
        match self.started_ms {
            Some(started_ms) => short_id_of(&format!("{}/{started_ms}", self.instance)),
            None => short_id_of(&self.instance),
        }
    }
}

/// Whether a server is draining, and who reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Draining {
    /// It is not draining.
    No,
    /// A peer reported it, or this incarnation was draining before it registered again.
    Reported,
    /// The server announced it to this node, in its registration or in a response.
    Announced,
}

/// A server and its observed state.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its registration; changes only with the indexes of the table.
    record: ServerRecord,
    /// The short id of its incarnation, the same on all nodes.
    pub short_id: u32,
    /// Consecutive failed requests.
    failures: u32,
    /// Moving average of failures, 0 to 1, as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Instant,
    /// Until when it is ejected for its failures.
    ejected_until: Instant,
    /// When it was last probed after an ejection.
    probed_at: Instant,
    /// When it last responded successfully.
    responded_at: Instant,
    /// Whether it is draining. A server drains until its incarnation ends; a registration with
    /// another stage is older.
    draining: Draining,
    /// End of the backoff that it requested with `Retry-After`.
    pub(super) backoff_until: Instant,
    /// Its rate limit for all nodes together.
    pub(super) limit: ServerLimit,
    /// Number of requests, prompt segments and reservation orders that this node has sent to
    /// it.
    pub(super) sent: u32,
    /// Earliest time of the next report that its limit is exhausted.
    pub(super) next_exhausted_report: Instant,
}

impl Server {
    pub(super) fn new(record: ServerRecord) -> Self {
        let draining = draining_from(&record);
        Self {
            short_id: record.incarnation_short_id(),
            record,
            failures: 0,
            failure_rate: 0.0,
            failure_rate_at: Instant::ZERO,
            ejected_until: Instant::ZERO,
            probed_at: Instant::ZERO,
            responded_at: Instant::ZERO,
            draining,
            backoff_until: Instant::ZERO,
            limit: ServerLimit::default(),
            sent: 0,
            next_exhausted_report: Instant::ZERO,
        }
    }

    /// Returns its registration.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// Returns whether this node may send new work to the server.
    pub fn is_available(&self, now: Instant) -> bool {
        self.time_until_available(now) == Some(Duration::ZERO)
            && self.time_until_allowed(now) == Some(Duration::ZERO)
    }

    /// Returns whether a probe was recently sent to the server after an ejection.
    fn is_being_probed(&self, now: Instant) -> bool {
        self.failures >= FAILURES_TO_EJECT && now < self.probed_at.after(PROBE_INTERVAL)
    }

    /// Records that a request is sent to the server.
    pub(super) fn record_send(&mut self, now: Instant) {
        if self.failures >= FAILURES_TO_EJECT {
            self.probed_at = now;
        }
    }

    /// Returns whether the server is neither draining nor within a backoff that it
    /// requested.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_draining() && now >= self.backoff_until
    }

    /// Returns whether the server would accept requests, but this node ejected it for its
    /// failures.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.accepts_requests(now) && self.time_until_available(now) != Some(Duration::ZERO)
    }

    /// Returns whether the server is draining. Every send to a server checks this.
    pub fn is_draining(&self) -> bool {
        self.draining != Draining::No
    }

    /// Returns whether the server itself announced to this node that it is draining.
    pub(super) fn announced_draining(&self) -> bool {
        self.draining == Draining::Announced
    }

    /// Returns the time until the server accepts work, regardless of its limit; `None` if
    /// it is draining.
    pub(super) fn time_until_available(&self, now: Instant) -> Option<Duration> {
        let until = self.ejected_until.max(self.backoff_until);
        let until = match self.is_being_probed(now) {
            true => until.max(self.probed_at.after(PROBE_INTERVAL)),
            false => until,
        };
        (!self.is_draining()).then(|| until.since(now))
    }

    /// Returns the time until its limit allows this node a request; `None` if this node
    /// does not use the server because enough other nodes do.
    pub(super) fn time_until_allowed(&self, now: Instant) -> Option<Duration> {
        let Some(limited) = self.limit.active() else {
            return Some(Duration::ZERO);
        };
        limited.bucket.time_until_send(self.sent, now)
    }

    /// Counts messages sent to the server, or rolls back (negative) messages that were not
    /// sent. Returns whether they count against a limit.
    pub(super) fn count_sent(&mut self, messages: i32, now: Instant) -> bool {
        self.sent = self.sent.wrapping_add_signed(messages);
        let Some(limited) = self.limit.active_mut() else {
            return false;
        };
        limited.bucket.take(messages, now);
        true
    }

    /// Returns the number of requests that its limit allows the reachable nodes now; `None`
    /// without a limit.
    pub fn available_requests(&self, now: Instant) -> Option<f64> {
        let limited = self.limit.active()?;
        Some(limited.bucket.level(now))
    }

    /// Returns how many messages this node has sent to the server.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many nodes with demand share its limit, this one included; 0 without a
    /// limit.
    pub fn limit_users(&self, now: Instant) -> usize {
        let limited = self.limit.active();
        limited.map_or(0, |limited| limited.bucket.users(now))
    }

    /// Returns whether its rate limit is too low for prompt segments.
    pub(crate) fn has_low_limit(&self) -> bool {
        /// Minimum rate in requests per second; each segment of a prompt is a request.
        const MIN_PREFILL_WORKER_RATE: f64 = 8.0;
        self.limit()
            .is_some_and(|limit| limit.rate() < MIN_PREFILL_WORKER_RATE)
    }

    /// Returns the remaining time of the backoff that the server requested.
    pub fn backoff_remaining(&self, now: Instant) -> Duration {
        self.backoff_until.since(now)
    }

    /// Returns its failure rate, 0 to 1, which decreases with successes and with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.since(self.failure_rate_at);
        if age >= FAILURE_RATE_TTL {
            return 0.0;
        }
        let halvings = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(halvings)
    }

    /// Applies a newer registration of the same incarnation. Called by the table only, which
    /// updates its indexes.
    pub(super) fn update(&mut self, record: ServerRecord) {
        if draining_from(&record) == Draining::Announced {
            self.draining = Draining::Announced;
        }
        self.record = record;
    }

    /// Marks the server as draining on a peer's report; returns whether that is new.
    pub(super) fn apply_reported_draining(&mut self) -> bool {
        let is_new = !self.is_draining();
        if is_new {
            self.draining = Draining::Reported;
        }
        is_new
    }

    /// Applies a notice from the server; returns whether it changes anything.
    pub(super) fn apply_notice(&mut self, notice: ServerNotice, now: Instant) -> bool {
        match notice {
            ServerNotice::Draining => {
                let is_new = self.draining != Draining::Announced;
                self.draining = Draining::Announced;
                is_new
            }
            ServerNotice::Backoff(time) => {
                let until = now.after(time);
                let is_new = until > self.backoff_until;
                self.backoff_until = self.backoff_until.max(until);
                is_new
            }
            // Applied by `Fleet::record_limit`, as the limit is shared with other nodes.
            ServerNotice::Limit { .. } => false,
        }
    }

    /// Returns the server's rate limit for all nodes together.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.active().map(|limited| limited.limit)
    }

    pub(super) fn has_responded_since(&self, since: Instant) -> bool {
        self.responded_at > since
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.responded_at = now;
        self.failures = 0;
        self.record_outcome(0.0, now);
    }

    pub(super) fn record_timeout(&mut self, now: Instant) -> Option<Duration> {
        if now.since(self.responded_at) < ALIVE_WINDOW {
            return None;
        }
        self.record_failure(now)
    }

    pub(super) fn record_failure(&mut self, now: Instant) -> Option<Duration> {
        self.reset_old_failures(now);
        self.count_failure(now)
    }

    /// Counts a failure; returns the duration of the ejection if it starts one.
    fn count_failure(&mut self, now: Instant) -> Option<Duration> {
        self.failures += 1;
        self.record_outcome(1.0, now);
        if self.failures < FAILURES_TO_EJECT || now < self.ejected_until {
            return None;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(3);
        let ejection = (MIN_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until = now.after(ejection);
        Some(ejection)
    }

    pub(super) fn record_unreachable(&mut self, now: Instant) {
        self.reset_old_failures(now);
        self.failures = self.failures.max(FAILURES_TO_EJECT);
        self.count_failure(now);
    }

    fn reset_old_failures(&mut self, now: Instant) {
        if now.since(self.failure_rate_at) > FAILURE_COUNT_TTL {
            self.failures = 0;
        }
    }

    /// Adds an observation to the failure rate: 1 for a failure, 0 for a success.
    fn record_outcome(&mut self, failed: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        self.failure_rate_at = now;
    }
}

fn draining_from(record: &ServerRecord) -> Draining {
    match record.stage {
        ServerStage::Ready => Draining::No,
        ServerStage::Leaving => Draining::Announced,
    }
}
