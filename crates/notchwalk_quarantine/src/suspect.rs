//! Crash evidence against one request content, or against parts of prompts that ran together.

use std::time::Duration;

use notchwalk_core::Instant;

use crate::{
    subjects::{PartEvidence, PartRun},
    Fingerprint, SubjectKind,
};

/// Crashes within this time belong to one incident. The loss of a rack or a reset of many
/// connections is observed at slightly different times.
const INCIDENT_WINDOW: Duration = Duration::from_millis(50);
/// Servers lost within this time may have a common cause. A longer window would merge
/// independent crashes caused by two different requests. Nodes observe a loss within 15 ms
/// of each other.
const CORRELATION_WINDOW: Duration = Duration::from_millis(25);
/// Repeated or duplicate reports of one crash differ by less than this time.
const DUPLICATE_REPORT_WINDOW: Duration = Duration::from_millis(60);
/// Maximum number of crashes retained for one content. A prompt may be split over 17 engines,
/// any of which may have ended.
const MAX_CRASHES: usize = 24;
/// Maximum number of parts with the same evidence that are logged, persisted and shown one by
/// one. Evidence against more has not singled out a cause.
pub const MAX_RECORDED_PARTS: usize = 16;
/// Delays after a crash at which the server's port is probed. A restarted server may listen
/// again soon, and the port of a terminating server may close late.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
];
/// Time after which a run reported by a peer expires: the update that ends it may be lost.
const PEER_RUN_TIMEOUT: Duration = Duration::from_secs(3);

/// A suspected crash of a server that was running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The short id of the server's incarnation.
    pub server: u32,
    /// When the connection broke.
    pub at: Instant,
    /// Number of other requests running on the server.
    pub other_requests: u16,
    /// Whether independent evidence shows that the server ended.
    pub confirmed: bool,
    /// Whether this node observed the crash itself.
    pub observed_locally: bool,
    /// Whether servers that did not run the content were lost at the same time, which
    /// indicates a common cause.
    pub correlated: bool,
    /// Number of probes of the server's port so far.
    pub probes: u8,
    /// Whether the server stopped responding while its connection stayed open. Busy
    /// servers do so too, so such a crash counts only once it is confirmed.
    pub silent: bool,
}

impl Crash {
    /// Creates an unconfirmed crash that this node observes.
    pub(crate) fn observed(server: u32, other_requests: u16, silent: bool, now: Instant) -> Self {
        Self {
            server,
            at: now,
            other_requests,
            confirmed: false,
            observed_locally: true,
            correlated: false,
            probes: 0,
            silent,
        }
    }
}

/// The node that has a run in flight: this one, or a peer by its local number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Runner {
    Local,
    Peer(u32),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    runner: Runner,
    since: Instant,
}

/// The period of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuarantinePeriod {
    pub since: Instant,
    pub until: Instant,
}

/// A content, or a part of prompts, in a class of subjects with the same evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub subject: Fingerprint,
    /// The fingerprint of a part in common, the same for its evidence in each workspace; `None`
    /// if it is not known.
    pub part: Option<Fingerprint>,
}

/// The crash evidence against one content or a class of parts, its quarantine and its runs in
/// flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub kind: SubjectKind,
    members: Vec<Member>,
    /// When a part of the class survived last; current while there are crashes.
    pub last_survival: Option<Instant>,
    /// What the crashes of a part have in common; `None` for contents.
    pub part: Option<PartEvidence>,
    /// Ordered by time.
    crashes: Vec<Crash>,
    /// Crashes up to this time are ignored.
    pub cleared_at: Instant,
    pub period: Option<QuarantinePeriod>,
    /// Number of quarantines so far.
    pub quarantine_count: u32,
    /// When `quarantine_count` expires.
    pub count_expires_at: Instant,
    runs: Vec<Run>,
    /// Number of crashes since the quarantine began that show that the part is fatal.
    pub failed_trials: u32,
    /// When a run began last, on any node.
    last_run: Instant,
}

/// Returns whether two crashes are close enough in time to have a common cause.
fn may_be_correlated(a: Instant, b: Instant) -> bool {
    a.since(b).max(b.since(a)) < CORRELATION_WINDOW
}

/// Counts the incidents in which a content lost servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Incidents {
    /// Incidents in which no unrelated server was lost.
    pub isolated: u32,
    /// Incidents in which unrelated servers were lost too.
    pub correlated: u32,
    /// Isolated incidents with a confirmed crash.
    pub isolated_confirmed: u32,
    /// Correlated incidents with a confirmed crash.
    pub correlated_confirmed: u32,
}

impl Incidents {
    /// Returns the score against the content: 2 for each isolated incident and 1 for each
    /// correlated one. A correlated incident is weak evidence, but two contents that crash
    /// servers often do so at the same time.
    pub fn score(self) -> u32 {
        2 * self.isolated + self.correlated
    }

    /// Returns the score of the confirmed incidents.
    pub fn confirmed_score(self) -> u32 {
        2 * self.isolated_confirmed + self.correlated_confirmed
    }

    /// Returns the number of incidents.
    pub fn count(self) -> u32 {
        self.isolated + self.correlated
    }
}

impl Suspect {
    /// Creates a suspect without evidence.
    pub fn new(kind: SubjectKind, members: Vec<Member>) -> Self {
        Self {
            kind,
            members,
            ..Self::default()
        }
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn subjects(&self) -> impl Iterator<Item = Fingerprint> + use<'_> {
        self.members.iter().map(|member| member.subject)
    }

    /// Returns the members that are logged, persisted and shown one by one: all of a small
    /// class, one of a large one.
    pub fn reported_members(&self) -> &[Member] {
        match self.members.len() {
            0..=MAX_RECORDED_PARTS => &self.members,
            _ => &self.members[..1],
        }
    }

    /// Removes the members that `is_removed` selects and returns them as a suspect with the
    /// same evidence.
    pub fn split_off(&mut self, is_removed: impl Fn(&Member) -> bool) -> Self {
        let (removed, kept) = self.members.iter().partition(|member| is_removed(member));
        self.members = kept;
        Self {
            members: removed,
            ..self.clone()
        }
    }

    /// Sets the fingerprints in common of members that are not known yet.
    pub fn set_parts(&mut self, part_of: impl Fn(Fingerprint) -> Option<Fingerprint>) {
        for member in &mut self.members {
            member.part = part_of(member.subject).or(member.part);
        }
    }

    /// Returns the fingerprint in common of one of the parts.
    pub fn part_id(&self) -> Option<Fingerprint> {
        self.members.first()?.part
    }

    /// Returns whether both are the evidence of one and the same part, in different workspaces
    /// or in common.
    pub fn is_same_part(&self, other: &Self) -> bool {
        match (self.members.as_slice(), other.members.as_slice()) {
            ([own], [other]) => own.part == other.part,
            _ => false,
        }
    }

    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Adds a crash, or merges it with the known crash of the same incarnation. Returns whether
    /// it counts as a new one.
    pub fn add(&mut self, crash: Crash) -> bool {
        if crash.at <= self.cleared_at {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.server == crash.server) {
            // An incarnation ends once, so later broken connections are not further crashes.
            // An unconfirmed crash may have been a false alarm, for example on a prefill
            // worker; then the later broken connection is the crash.
            let is_later = !known.confirmed && crash.at.since(known.at) >= DUPLICATE_REPORT_WINDOW;
            if is_later {
                known.at = crash.at;
            }
            known.confirmed |= crash.confirmed;
            known.observed_locally |= crash.observed_locally;
            self.crashes.sort_by_key(|crash| crash.at);
            return is_later;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.evict_one();
        }
        true
    }

    /// Records a run of a part on a server that crashed.
    pub fn record_run(&mut self, run: PartRun) {
        let evidence = self.part.get_or_insert(PartEvidence::new(run.is_common));
        evidence.record(run.origin);
    }

    /// Returns whether the evidence affects requests.
    pub fn applies(&self) -> bool {
        self.part.is_none_or(|part| part.applies())
    }

    /// Returns whether the content or part may be at fault for its crashes.
    pub fn may_be_cause(&self) -> bool {
        self.part.is_none_or(|part| part.may_be_cause())
    }

    /// Returns whether this one ran on each server that crashed under another suspect.
    pub fn covers(&self, other: &Self) -> bool {
        let is_known = |crash: &Crash| self.ran_on(crash.server);
        !other.crashes.is_empty() && other.crashes.iter().all(is_known)
    }

    /// Returns whether this one ran on a server that crashed. An incarnation ends once, so
    /// connections to it that broke at different times belong to the same crash.
    pub fn ran_on(&self, server: u32) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Evicts the oldest unconfirmed crash, or the oldest if all are confirmed.
    fn evict_one(&mut self) {
        let unconfirmed = self.crashes.iter().position(|crash| !crash.confirmed);
        self.crashes.remove(unconfirmed.unwrap_or(0));
    }

    /// Confirms the crash of a server if it is not later than `seen`. Returns the time of the
    /// crash.
    pub fn confirm(&mut self, server: u32, seen: Instant) -> Option<Instant> {
        let mut crashes = self.crashes.iter_mut();
        let crash = crashes.find(|crash| crash.server == server && crash.at <= seen)?;
        crash.confirmed = true;
        Some(crash.at)
    }

    /// Sets whether unrelated servers were lost together with the crashes around `at`.
    pub fn set_correlated(&mut self, at: Instant, correlated: bool) {
        for crash in &mut self.crashes {
            if may_be_correlated(crash.at, at) {
                crash.correlated = correlated;
            }
        }
    }

    /// Returns the crashes around `at`.
    pub fn crashes_at(&self, at: Instant) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| may_be_correlated(crash.at, at))
    }

    /// Returns the servers whose port is due for a probe, and counts the probe.
    pub fn take_probes(&mut self, now: Instant) -> Vec<u32> {
        let mut due = Vec::new();
        for crash in &mut self.crashes {
            let next = PROBE_DELAYS.get(usize::from(crash.probes));
            let is_due = next.is_some_and(|&after| now.since(crash.at) >= after);
            if crash.observed_locally && !crash.confirmed && is_due {
                crash.probes += 1;
                due.push(crash.server);
            }
        }
        due
    }

    /// Repeats the probes of servers whose crashes are unconfirmed.
    pub fn restart_probes(&mut self) {
        for crash in self.crashes.iter_mut().filter(|crash| !crash.confirmed) {
            crash.probes = 0;
        }
    }

    /// Retains the crashes for which `keep` returns true. Returns whether any was removed.
    pub fn retain(&mut self, keep: impl Fn(&Crash) -> bool) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(keep);
        self.crashes.len() < before
    }

    /// Clears the evidence up to a successful run or an operator's release.
    pub fn clear(&mut self, at: Instant) {
        self.cleared_at = self.cleared_at.max(at);
        self.crashes.retain(|crash| crash.at > at);
        if self.crashes.is_empty() {
            self.part = None;
        }
        if self.period.is_some_and(|period| period.since <= at) {
            self.period = None;
            self.quarantine_count = 0;
        }
    }

    /// Groups the crashes into incidents. Unconfirmed crashes of silent servers don't count.
    pub fn incidents(&self) -> Incidents {
        self.incidents_of(|_| true)
    }

    /// Groups the crashes that `is_included` selects into incidents.
    pub fn incidents_of(&self, is_included: impl Fn(&Crash) -> bool) -> Incidents {
        let mut incidents = Incidents::default();
        let mut started_at: Option<Instant> = None;
        let mut is_confirmed = false;
        for crash in &self.crashes {
            if (crash.silent && !crash.confirmed) || !is_included(crash) {
                continue;
            }
            let (all, confirmed) = match crash.correlated {
                true => (
                    &mut incidents.correlated,
                    &mut incidents.correlated_confirmed,
                ),
                false => (&mut incidents.isolated, &mut incidents.isolated_confirmed),
            };
            let is_same_incident =
                started_at.is_some_and(|started_at| crash.at.since(started_at) < INCIDENT_WINDOW);
            if !is_same_incident {
                started_at = Some(crash.at);
                is_confirmed = false;
                *all += 1;
            }
            if crash.confirmed && !is_confirmed {
                is_confirmed = true;
                *confirmed += 1;
            }
        }
        incidents
    }

    /// Returns the time of the latest crash, or [`Instant::ZERO`] if there is none.
    pub fn last_crash(&self) -> Instant {
        self.crashes.last().map_or(Instant::ZERO, |crash| crash.at)
    }

    /// Returns when a run began last, or [`Instant::ZERO`].
    pub fn last_run(&self) -> Instant {
        self.last_run
    }

    pub fn begin_run(&mut self, runner: Runner, now: Instant) {
        self.end_run(runner);
        self.last_run = now;
        self.runs.push(Run { runner, since: now });
    }

    pub fn end_run(&mut self, runner: Runner) {
        self.runs.retain(|run| run.runner != runner);
    }

    /// Returns whether any node is running a request of this content.
    pub fn is_running(&self, now: Instant) -> bool {
        let is_current =
            |run: &Run| run.runner == Runner::Local || now.since(run.since) < PEER_RUN_TIMEOUT;
        self.runs.iter().any(is_current)
    }

    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.period.is_some_and(|period| now < period.until)
    }
}
