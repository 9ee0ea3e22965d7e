//! What is known of one content under which servers seem to have crashed.

use std::time::Duration;

use notchwalk_core::Instant;

/// Crashes within this time count as one: a rack that is lost, or an entry's
/// connections that are reset, strike at one moment, and entries notice it within
/// 15 ms of each other.
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Servers lost within this time may have one cause: entries notice a loss within
/// 15 ms of each other. Longer, and two requests that crash servers would often be
/// taken for a common cause.
const LOST_TOGETHER: Duration = Duration::from_millis(25);
/// Reports of one crash, told again or by several entries, differ by less.
const SAME_REPORT: Duration = Duration::from_millis(60);
/// Crashes kept of one content: those of a prompt that 17 engines read, any of
/// which may be the one that ended, and some more.
const MAX_CRASHES: usize = 24;
/// How long after a crash it is checked whether the server still listens: at once,
/// since it may soon be back, and again, since its port may close late.
const CHECKED_AFTER: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
];
/// How long a run of a peer is believed in at most: word of its end can get lost.
const RUN_LASTS: Duration = Duration::from_secs(3);

/// A server that seems to have ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The short id of that life of the server.
    pub server: u32,
    /// When its connection broke.
    pub at: Instant,
    /// Requests that ran there besides.
    pub others: u16,
    /// Whether something else shows that the server ended.
    pub confirmed: bool,
    /// Whether this entry saw it itself.
    pub own: bool,
    /// Whether other servers were lost at the same moment on which the content did
    /// not run: then something else struck them all.
    pub shared: bool,
    /// How often it was checked whether the server still listens.
    pub checks: u8,
    /// Whether the server only fell silent: that says nothing unless its end is
    /// confirmed, since servers that are busy do so far more often.
    pub silent: bool,
}

/// Who has a run in flight: this entry, or a peer by its number here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Runner {
    Own,
    Peer(u32),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    runner: Runner,
    since: Instant,
}

/// A quarantine in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Term {
    pub since: Instant,
    pub until: Instant,
}

/// One content.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    /// Ordered by time.
    crashes: Vec<Crash>,
    /// Crashes up to this time count no more.
    pub cleared_at: Instant,
    pub term: Option<Term>,
    /// How often it was quarantined.
    pub times: u32,
    /// Until when that counts.
    pub times_until: Instant,
    runs: Vec<Run>,
}

/// Tells whether two crashes may have one cause.
fn is_same_moment(a: Instant, b: Instant) -> bool {
    a.since(b).max(b.since(a)) < LOST_TOGETHER
}

/// Moments at which servers were lost under a content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Moments {
    /// Those at which no other server was lost.
    pub alone: u32,
    /// Those at which others were lost too.
    pub shared: u32,
    /// Those of the first at which a server's end is confirmed.
    pub alone_confirmed: u32,
    /// The same of the second.
    pub shared_confirmed: u32,
}

impl Moments {
    /// Returns how much speaks against the content, in halves of a moment. One at which
    /// others were lost too counts half: a request and its returns are not caught by that
    /// many losses, but two that crash servers often enough do so at one moment.
    pub fn halves(self) -> u32 {
        2 * self.alone + self.shared
    }

    /// Returns the same of what is confirmed.
    pub fn confirmed_halves(self) -> u32 {
        2 * self.alone_confirmed + self.shared_confirmed
    }

    /// Returns all moments.
    pub fn count(self) -> u32 {
        self.alone + self.shared
    }
}

impl Suspect {
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Adds a crash; returns whether it was not known.
    pub fn add(&mut self, crash: Crash) -> bool {
        if crash.at <= self.cleared_at {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.server == crash.server) {
            // A life ends once; connections that break later were to a dead server.
            // One that was thought to have ended, as it read a part for another
            // engine, and then crashed, did so now.
            let is_later = !known.confirmed && crash.at.since(known.at) >= SAME_REPORT;
            if is_later {
                known.at = crash.at;
            }
            known.confirmed |= crash.confirmed;
            known.own |= crash.own;
            self.crashes.sort_by_key(|crash| crash.at);
            return is_later;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_one();
        }
        true
    }

    /// Drops the oldest crash without confirmation, or else the oldest.
    fn drop_one(&mut self) {
        let unconfirmed = self.crashes.iter().position(|crash| !crash.confirmed);
        self.crashes.remove(unconfirmed.unwrap_or(0));
    }

    /// Marks the crash of a server as confirmed that lies before `seen`; returns when
    /// it was.
    pub fn confirm(&mut self, server: u32, seen: Instant) -> Option<Instant> {
        let mut crashes = self.crashes.iter_mut();
        let crash = crashes.find(|crash| crash.server == server && crash.at <= seen)?;
        crash.confirmed = true;
        Some(crash.at)
    }

    /// Sets whether other servers were lost at the moment of a crash.
    pub fn set_shared(&mut self, at: Instant, shared: bool) {
        for crash in &mut self.crashes {
            if is_same_moment(crash.at, at) {
                crash.shared = shared;
            }
        }
    }

    /// Returns the crashes at one moment.
    pub fn crashes_at(&self, at: Instant) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| is_same_moment(crash.at, at))
    }

    /// Returns servers to be checked now, whether they still listen.
    pub fn take_checks(&mut self, now: Instant) -> Vec<u32> {
        let mut due = Vec::new();
        for crash in &mut self.crashes {
            let next = CHECKED_AFTER.get(usize::from(crash.checks));
            let is_due = next.is_some_and(|&after| now.since(crash.at) >= after);
            if crash.own && !crash.confirmed && is_due {
                crash.checks += 1;
                due.push(crash.server);
            }
        }
        due
    }

    /// Keeps the crashes that `keep` says; returns whether any was dropped.
    pub fn retain(&mut self, keep: impl Fn(&Crash) -> bool) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(keep);
        self.crashes.len() < before
    }

    /// Forgets what lies before a run that ended well, or an operator's release.
    pub fn clear(&mut self, at: Instant) {
        self.cleared_at = self.cleared_at.max(at);
        self.crashes.retain(|crash| crash.at > at);
        if self.term.is_some_and(|term| term.since <= at) {
            self.term = None;
            self.times = 0;
        }
    }

    pub fn moments(&self) -> Moments {
        let mut moments = Moments::default();
        let mut began: Option<Instant> = None;
        let mut is_confirmed = false;
        for crash in &self.crashes {
            if crash.silent && !crash.confirmed {
                continue;
            }
            let (all, confirmed) = match crash.shared {
                true => (&mut moments.shared, &mut moments.shared_confirmed),
                false => (&mut moments.alone, &mut moments.alone_confirmed),
            };
            let same = began.is_some_and(|began| crash.at.since(began) < SAME_MOMENT);
            if !same {
                began = Some(crash.at);
                is_confirmed = false;
                *all += 1;
            }
            if crash.confirmed && !is_confirmed {
                is_confirmed = true;
                *confirmed += 1;
            }
        }
        moments
    }

    pub fn last_crash(&self) -> Instant {
        self.crashes.last().map_or(Instant::ZERO, |crash| crash.at)
    }

    pub fn begin_run(&mut self, runner: Runner, now: Instant) {
        self.end_run(runner);
        self.runs.push(Run { runner, since: now });
    }

    pub fn end_run(&mut self, runner: Runner) {
        self.runs.retain(|run| run.runner != runner);
    }

    /// Tells whether a request of this content is running somewhere.
    pub fn is_running(&self, now: Instant) -> bool {
        let lasts = |run: &Run| run.runner == Runner::Own || now.since(run.since) < RUN_LASTS;
        self.runs.iter().any(lasts)
    }

    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.term.is_some_and(|term| now < term.until)
    }
}
