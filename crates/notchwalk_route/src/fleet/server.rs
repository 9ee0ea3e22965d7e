//! One backend server, and what is believed of it.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;

use super::limit::ServerLimit;
use crate::{shares::tag_of, RateLimit, ServerWord};

/// Failures in a row after which a server gets no work for a while.
const FAILURES_TO_OPEN: u32 = 2;
/// The shortest time without work after failures. A crashed server is back
/// after three to four seconds on the deployments known.
const SHORTEST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time without work after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// A server that answered within this time is alive: an engine that has work
/// passes events on several times a second.
const HEARD_LATELY: Duration = Duration::from_millis(1_200);
/// Weight of a new observation in the failure rate.
const FAILURE_WEIGHT: f64 = 0.12;
/// In this time the failure rate halves if nothing is observed: a server that is
/// avoided for its failures has no answers that could speak for it.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Without observation for this long the rate counts no more, as long as the longest
/// pause: what is left of it outweighs any difference in use at light load.
const FAILURE_RATE_LASTS: Duration = LONGEST_PAUSE;
/// How often a server that failed repeatedly gets a request after its pause, until one
/// ends well: one that hangs costs one request at a time then.
const TRIED_EVERY: Duration = Duration::from_millis(300);

/// Failures this long ago are not in a row with a new one.
const FAILURES_FORGOTTEN: Duration = Duration::from_secs(20);

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStage {
    /// It takes requests.
    Ready,
    /// It leaves and takes no new requests.
    Leaving,
}

/// A server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its id, which it may keep when it starts again.
    pub instance: String,
    /// When this life of it began, in milliseconds since 1970, if it says so: all
    /// that is believed of a server belongs to one life.
    pub born: Option<u64>,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub stage: ServerStage,
}

impl ServerRecord {
    /// Derives the short id of this life of the server.
    pub(super) fn life_tag(&self) -> u32 {
        match self.born {
            Some(born) => tag_of(&format!("{}/{born}", self.instance)),
            None => tag_of(&self.instance),
        }
    }
}

/// How it became known that a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leaving {
    /// It did not: the server stays.
    No,
    /// A peer told it, or it was known of this life before its record came back.
    Told,
    /// The server said so to this entry, by its record or in an answer.
    Said,
}

/// A server and what is known of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its record.
    pub record: ServerRecord,
    /// A short id that all entries derive alike.
    pub tag: u32,
    /// Requests in a row that failed.
    failures: u32,
    /// Running mean of failures, 0 to 1, as it was at `failures_at`.
    mean_failures: f64,
    failures_at: Instant,
    /// No work before this time, for its failures.
    closed_until: Instant,
    /// When it was last tried after it had failed repeatedly.
    tried_at: Instant,
    /// When it last answered a request as it should.
    heard_at: Instant,
    /// Whether it leaves, whoever said so. It ends with this life, never with a time:
    /// a record that says otherwise was written before.
    leaving: Leaving,
    /// Until when it wants no requests of this entry, as it said in an answer.
    wants_nothing_until: Instant,
    /// What it takes from all entries together.
    pub(super) limit: ServerLimit,
    /// Requests, parts of them and orders that this entry has sent to it.
    pub(super) sent: u32,
    /// From when on it is told again that its limit is used up.
    pub(super) tells_used_up_from: Instant,
}

impl Server {
    pub(super) fn new(record: ServerRecord) -> Self {
        let leaving = leaving_by(&record);
        Self {
            tag: record.life_tag(),
            record,
            failures: 0,
            mean_failures: 0.0,
            failures_at: Instant::ZERO,
            closed_until: Instant::ZERO,
            tried_at: Instant::ZERO,
            heard_at: Instant::ZERO,
            leaving,
            wants_nothing_until: Instant::ZERO,
            limit: ServerLimit::default(),
            sent: 0,
            tells_used_up_from: Instant::ZERO,
        }
    }

    /// Tells whether the server may be given new work.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.open_in(now) == Some(Duration::ZERO) && self.allowed_in(now) == Some(Duration::ZERO)
    }

    /// Tells whether the server failed repeatedly and a request that shows whether it
    /// is well was just sent.
    fn is_being_tried(&self, now: Instant) -> bool {
        self.failures >= FAILURES_TO_OPEN && now < self.tried_at.after(TRIED_EVERY)
    }

    /// Notes that a request is sent to the server.
    pub(super) fn note_sent(&mut self, now: Instant) {
        if self.failures >= FAILURES_TO_OPEN {
            self.tried_at = now;
        }
    }

    /// Tells whether the server stays and has not said that it wants no requests now.
    pub fn wants_work(&self, now: Instant) -> bool {
        !self.leaves() && now >= self.wants_nothing_until
    }

    /// Tells whether the server leaves. Every way of a request asks here.
    pub fn leaves(&self) -> bool {
        self.leaving != Leaving::No
    }

    /// Tells whether the server itself said to this entry that it leaves.
    pub(super) fn said_that_it_leaves(&self) -> bool {
        self.leaving == Leaving::Said
    }

    /// Returns how long the server takes no work, whatever its limit, if it doesn't
    /// leave.
    pub(super) fn open_in(&self, now: Instant) -> Option<Duration> {
        let from = self.closed_until.max(self.wants_nothing_until);
        let from = match self.is_being_tried(now) {
            true => from.max(self.tried_at.after(TRIED_EVERY)),
            false => from,
        };
        (!self.leaves()).then(|| from.since(now))
    }

    /// Returns how long its limit allows this entry no request; `None` if it leaves the
    /// server to other entries.
    pub(super) fn allowed_in(&self, now: Instant) -> Option<Duration> {
        let Some(limited) = self.limit.in_force() else {
            return Some(Duration::ZERO);
        };
        limited.bucket.may_send_in(self.sent, now)
    }

    /// Counts messages that were sent to the server; below 0 those that were not sent
    /// after all. Returns whether they count against a limit.
    pub(super) fn count_sent(&mut self, messages: i32, now: Instant) -> bool {
        self.sent = self.sent.wrapping_add_signed(messages);
        let Some(limited) = self.limit.in_force_mut() else {
            return false;
        };
        limited.bucket.take(messages, now);
        true
    }

    /// Returns the requests that its limit allows to the entries heard here; `None`
    /// without a limit.
    pub fn allowance(&self, now: Instant) -> Option<f64> {
        let limited = self.limit.in_force()?;
        Some(limited.bucket.level(now))
    }

    /// Returns how many messages this entry has sent to the server.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many entries with demand share its limit, this one included; 0 without
    /// a limit.
    pub fn limit_users(&self, now: Instant) -> usize {
        let limited = self.limit.in_force();
        limited.map_or(0, |limited| limited.bucket.users(now))
    }

    /// Tells whether its limit is so low that a part of a prompt is better read
    /// elsewhere.
    pub(crate) fn is_scarce(&self) -> bool {
        /// Requests a second: a long prompt has up to seventeen parts.
        const ENOUGH_FOR_PARTS: f64 = 8.0;
        self.limit()
            .is_some_and(|limit| limit.rate() < ENOUGH_FOR_PARTS)
    }

    /// Returns how long the server still wants no requests.
    pub fn wants_nothing_for(&self, now: Instant) -> Duration {
        self.wants_nothing_until.since(now)
    }

    /// Returns the mean of its failures, 0 to 1; it fades with answers and with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.since(self.failures_at);
        if age >= FAILURE_RATE_LASTS {
            return 0.0;
        }
        let halvings = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.mean_failures * 0.5f64.powf(halvings)
    }

    /// Takes a newer record of the same life.
    pub(super) fn update(&mut self, record: ServerRecord) {
        if leaving_by(&record) == Leaving::Said {
            self.leaving = Leaving::Said;
        }
        self.record = record;
    }

    /// Notes that a peer told that the server leaves; returns whether that is new.
    pub(super) fn note_told_leaving(&mut self) -> bool {
        let is_new = !self.leaves();
        if is_new {
            self.leaving = Leaving::Told;
        }
        is_new
    }

    /// Notes what the server said of itself; returns whether that is new.
    pub(super) fn note_word(&mut self, word: ServerWord, now: Instant) -> bool {
        match word {
            ServerWord::Leaving => {
                let is_new = self.leaving != Leaving::Said;
                self.leaving = Leaving::Said;
                is_new
            }
            ServerWord::WantsNothing(time) => {
                let until = now.after(time);
                let is_new = until > self.wants_nothing_until;
                self.wants_nothing_until = self.wants_nothing_until.max(until);
                is_new
            }
            // Fleet::note_limit takes it: others share it.
            ServerWord::Limit { .. } => false,
        }
    }

    /// Returns how many requests a second the server takes from all entries together.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.in_force().map(|limited| limited.limit)
    }

    pub(super) fn was_heard_since(&self, since: Instant) -> bool {
        self.heard_at > since
    }

    pub(super) fn note_success(&mut self, now: Instant) {
        self.heard_at = now;
        self.failures = 0;
        self.observe(0.0, now);
    }

    pub(super) fn note_silence(&mut self, now: Instant) -> Option<Duration> {
        if now.since(self.heard_at) < HEARD_LATELY {
            return None;
        }
        self.note_failure(now)
    }

    pub(super) fn note_failure(&mut self, now: Instant) -> Option<Duration> {
        self.forget_old_failures(now);
        self.count_failure(now)
    }

    /// Counts a failure; returns how long the server gets no work, if it was just
    /// closed.
    fn count_failure(&mut self, now: Instant) -> Option<Duration> {
        self.failures += 1;
        self.observe(1.0, now);
        if self.failures < FAILURES_TO_OPEN || now < self.closed_until {
            return None;
        }
        let doublings = (self.failures - FAILURES_TO_OPEN).min(3);
        let pause = (SHORTEST_PAUSE * 2u32.pow(doublings)).min(LONGEST_PAUSE);
        self.closed_until = now.after(pause);
        Some(pause)
    }

    pub(super) fn note_unreachable(&mut self, now: Instant) {
        self.forget_old_failures(now);
        self.failures = self.failures.max(FAILURES_TO_OPEN);
        self.count_failure(now);
    }

    fn forget_old_failures(&mut self, now: Instant) {
        if now.since(self.failures_at) > FAILURES_FORGOTTEN {
            self.failures = 0;
        }
    }

    /// Takes an observation, 1 for a failure, into the failure rate.
    fn observe(&mut self, failed: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.mean_failures = rate + FAILURE_WEIGHT * (failed - rate);
        self.failures_at = now;
    }
}

fn leaving_by(record: &ServerRecord) -> Leaving {
    match record.stage {
        ServerStage::Ready => Leaving::No,
        ServerStage::Leaving => Leaving::Said,
    }
}
