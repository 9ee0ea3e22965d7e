//! All suspects of one entry, and what follows for their requests.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::{
    news::{age_ms, time_of, told_ms, News},
    recent::RecentSuccesses,
    suspect::{Crash, Moments, Runner, Suspect, Term},
    Fingerprint,
};

/// Separate moments at which servers ended under a content, from which it is sent
/// to no more of them. The users' bound is three; with two, requests that were
/// twice beside one that crashes servers would be turned away with it.
const MOMENTS_TO_QUARANTINE: u32 = 3;
/// The same once a content was quarantined before.
const MOMENTS_AFTER_QUARANTINE: u32 = 1;
/// How long the first quarantine lasts; each further one twice as long. Long
/// against the seconds that a server takes to come back, so that what it costs
/// to learn it again, three servers, is rare; short enough that a request which
/// was turned away wrongly, or whose cause was mended, comes through the same hour.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a crash is remembered.
const REMEMBERED: Duration = Duration::from_secs(600);
/// How long a crash may stay without confirmation. Records of servers that ended
/// are gone after three heartbeats of silence, 3.5 s on the deployments known.
const SETTLES: Duration = Duration::from_secs(6);
/// How long after the last crash a quarantine is declared: by then it is known whether
/// other servers ended at the same moment. Meanwhile the content is held.
const DECLARED_AFTER: Duration = Duration::from_millis(150);
/// How long after the last crash an entry that saw none of them itself declares a
/// quarantine: those that did may be gone.
const OTHERS_DECLARE: Duration = Duration::from_secs(2);
/// How long the end of a server is remembered, for crashes that are told later.
const ENDS_REMEMBERED: Duration = Duration::from_secs(8);
/// How much sooner than the crash under a request its server's end may be seen.
const END_BEFORE_CRASH: Duration = Duration::from_millis(100);
/// By how much entries' times of one thing differ, as datagrams take.
const TIMES_DIFFER: Duration = Duration::from_millis(20);
/// How much later than a crash an answer must be taken to show that there was none:
/// a busy entry reads an answer that came before the crash after it.
const READ_LATE: Duration = Duration::from_millis(100);
/// How often time is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Contents kept: fifty lost servers with ten requests each. About 100 KB.
const MAX_SUSPECTS: usize = 512;
/// Ends of servers kept.
const MAX_ENDS: usize = 256;
/// Facts told again at once, so that a datagram carries them.
const MAX_RETOLD: usize = 24;
/// How long a crash that was seen here is told again with each heartbeat: a lost
/// datagram costs one heartbeat.
const RETOLD_FOR: Duration = Duration::from_millis(1_200);
/// How likely a server's end is the work of one of its requests at all. Most ends
/// have other causes; the figure only orders suspects against certain harm.
const BY_A_REQUEST: f64 = 0.5;

/// What follows for a request of a content.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It may run, where it does least harm.
    Suspected {
        /// How likely it crashes its server, 0 to 1.
        risk: f64,
    },
    /// It may run once another run of the same content has ended.
    Busy,
    /// It may not run until it is known whether servers ended under it.
    Held,
    /// It may not run before this time.
    Quarantined {
        /// When the quarantine ends.
        until: Instant,
    },
}

/// A content that was just quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// The content.
    pub content: Fingerprint,
    /// The crashes that speak against it, as far as they are known here.
    pub crashes: Vec<Crash>,
    /// How long it lasts.
    pub lasts: Duration,
    /// How often it was quarantined, this time included.
    pub times: u32,
    /// Whether this entry declared it; otherwise a peer did.
    pub own: bool,
}

/// What became known, for logs, figures and the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A server seems to have crashed under a request of this entry.
    Crashed {
        /// The request's content.
        content: Fingerprint,
        /// The crash.
        crash: Crash,
        /// Separate moments so far.
        moments: u32,
    },
    /// A content is sent to no server for a while.
    Quarantined(Quarantined),
    /// Nothing is held any more against a content that was quarantined.
    Ended {
        /// The content.
        content: Fingerprint,
        /// Why.
        reason: EndReason,
    },
}

/// Why a quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its time was over.
    Lapsed,
    /// A run ended well, here.
    Succeeded,
    /// An operator said so, here.
    Released,
    /// A peer told of one of the two.
    Told,
}

/// A suspect, for operators.
#[derive(Clone, Debug)]
pub struct SuspectView<'a> {
    /// Its content.
    pub content: Fingerprint,
    /// The crashes that speak against it.
    pub crashes: &'a [Crash],
    /// What follows for it.
    pub verdict: Verdict,
    /// How often it was quarantined.
    pub times: u32,
}

/// The suspects of one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    recent: RecentSuccesses,
    /// When servers were seen to have ended.
    ends: HashMap<u32, Instant>,
    news: Vec<News>,
    findings: Vec<Finding>,
    /// When time was last looked at.
    looked_at: Instant,
}

impl Quarantine {
    /// Returns what follows for a request of this content.
    pub fn verdict(&self, content: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&content) else {
            return Verdict::Free;
        };
        if let Some(term) = suspect.term.filter(|term| now < term.until) {
            return Verdict::Quarantined { until: term.until };
        }
        let moments = suspect.moments();
        if moments.all == 0 {
            return Verdict::Free;
        }
        if moments.all >= moments_allowed(suspect) {
            return Verdict::Held;
        }
        if suspect.is_running(now) && !self.recent.contains(content, now) {
            return Verdict::Busy;
        }
        Verdict::Suspected {
            risk: risk(suspect, moments),
        }
    }

    /// Notes that a request was sent to a server.
    pub fn note_sent(&mut self, content: Fingerprint, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        suspect.begin_run(Runner::Own, now);
        self.news.push(News::Running { content });
    }

    /// Notes that a request left its server in a way that says nothing of it.
    pub fn note_idle(&mut self, content: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        suspect.end_run(Runner::Own);
        self.news.push(News::Idle { content });
    }

    /// Notes that the connection to a server broke under a request. `servers` are
    /// the one that it was sent to and those that read parts of it: any of them
    /// may have ended. `others` is how many requests the first had besides;
    /// `silent` that it said nothing, rather than that the connection ended.
    pub fn note_broken(
        &mut self,
        content: Fingerprint,
        servers: &[u32],
        others: u16,
        silent: bool,
        now: Instant,
    ) {
        self.note_idle(content);
        for &server in servers {
            let crash = Crash {
                server,
                at: now,
                others,
                confirmed: false,
                own: true,
                shared: false,
                checks: 0,
                silent,
            };
            self.add(content, crash, now);
            self.news.push(News::Crashed {
                content,
                server,
                age_ms: 0,
                others,
                silent,
            });
        }
    }

    /// Notes that a request ran to a good end: its content crashes no servers.
    pub fn note_succeeded(&mut self, content: Fingerprint, now: Instant) {
        self.recent.note(content, now);
        if !self.suspects.contains_key(&content) {
            return;
        }
        self.clear(content, now, EndReason::Succeeded);
        self.news.push(News::Succeeded { content, age_ms: 0 });
    }

    /// Notes that a server's end was seen. `told` says that peers may not see it
    /// by themselves.
    pub fn note_server_ended(&mut self, server: u32, told: bool, now: Instant) {
        let matters = self.confirm(server, now);
        if matters && told {
            self.news.push(News::ServerEnded { server, age_ms: 0 });
        }
    }

    /// Notes that a server answered now what it was sent at `since`, on the same
    /// connection: it has not crashed meanwhile.
    pub fn note_server_lived(&mut self, server: u32, since: Instant, now: Instant) {
        if !self.void(server, since, now) {
            return;
        }
        self.news.push(News::ServerLived {
            server,
            since_ms: age_ms(since, now),
            age_ms: 0,
        });
    }

    /// Ends a quarantine at an operator's word; returns whether there was one.
    pub fn release(&mut self, content: Fingerprint, now: Instant) -> bool {
        let is_known = self.suspects.contains_key(&content);
        if is_known {
            self.clear(content, now, EndReason::Released);
            self.news.push(News::Released { content, age_ms: 0 });
        }
        is_known
    }

    /// Takes a quarantine as the store kept it.
    pub fn restore(&mut self, content: Fingerprint, left: Duration, times: u32, now: Instant) {
        let term = Term {
            since: now,
            until: now.after(left.min(LONGEST_QUARANTINE)),
        };
        self.put_in_quarantine(content, term, times, false, now);
    }

    /// Takes what a peer told.
    pub fn hear(&mut self, peer: u32, news: &[News], now: Instant) {
        for &item in news {
            self.hear_one(peer, item, now);
        }
    }

    fn hear_one(&mut self, peer: u32, item: News, now: Instant) {
        match item {
            News::Crashed {
                content,
                server,
                age_ms,
                others,
                silent,
            } => {
                let at = time_of(age_ms, now);
                let crash = Crash {
                    server,
                    at,
                    others,
                    confirmed: false,
                    own: false,
                    shared: false,
                    checks: 0,
                    silent,
                };
                self.add(content, crash, now);
            }
            News::ServerEnded { server, age_ms } => {
                self.confirm(server, time_of(age_ms, now));
            }
            News::ServerLived {
                server,
                since_ms,
                age_ms,
            } => {
                self.void(server, time_of(since_ms, now), time_of(age_ms, now));
            }
            News::Succeeded { content, age_ms } | News::Released { content, age_ms } => {
                self.clear(content, time_of(age_ms, now), EndReason::Told);
            }
            News::Running { content } => {
                if let Some(suspect) = self.suspects.get_mut(&content) {
                    suspect.begin_run(Runner::Peer(peer), now);
                }
            }
            News::Idle { content } => {
                if let Some(suspect) = self.suspects.get_mut(&content) {
                    suspect.end_run(Runner::Peer(peer));
                }
            }
            News::Quarantined {
                content,
                age_ms,
                left_ms,
                times,
            } => {
                let left = Duration::from_millis(left_ms.into());
                let term = Term {
                    since: time_of(age_ms, now),
                    until: now.after(left.min(LONGEST_QUARANTINE)),
                };
                self.put_in_quarantine(content, term, times, false, now);
            }
        }
    }

    /// Forgets what a peer that is gone has running.
    pub fn forget_peer(&mut self, peer: u32) {
        for suspect in self.suspects.values_mut() {
            suspect.end_run(Runner::Peer(peer));
        }
    }

    /// Lets time pass: what stayed without confirmation counts no more, what is
    /// old is forgotten, quarantines lapse.
    pub fn pass_time(&mut self, now: Instant) {
        if now.since(self.looked_at) < LOOK_EVERY {
            return;
        }
        self.looked_at = now;
        let ends = now.before(ENDS_REMEMBERED);
        self.ends.retain(|_, &mut at| at > ends);
        let settled = now.before(SETTLES);
        let forgotten = now.before(REMEMBERED);
        let contents: Vec<Fingerprint> = self.suspects.keys().copied().collect();
        for content in contents {
            let Some(suspect) = self.suspects.get_mut(&content) else {
                continue;
            };
            suspect.retain(|crash| crash.at > forgotten && (crash.confirmed || crash.at > settled));
            if suspect.term.is_some_and(|term| now >= term.until) {
                suspect.term = None;
                suspect.retain(|_| false);
                let reason = EndReason::Lapsed;
                self.findings.push(Finding::Ended { content, reason });
            }
        }
        self.judge(now);
        self.suspects
            .retain(|_, suspect| !is_forgettable(suspect, now));
    }

    /// Takes the servers of which it has to be checked now whether they still listen.
    /// Without it a crash stays without confirmation while the store is away and
    /// nothing else is sent to the server; then it was dropped, and a fourth server
    /// crashed.
    pub fn take_checks(&mut self, now: Instant) -> Vec<u32> {
        let suspects = self.suspects.values_mut();
        let mut due: Vec<u32> = suspects.flat_map(|s| s.take_checks(now)).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Takes what peers are to be told at once.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Tells whether there is anything to tell at once.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Takes what became known.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Returns what is told again: quarantines, and crashes that were just seen
    /// here. `whole` adds older crashes of suspects that may soon be quarantined,
    /// for entries that just started.
    pub fn retold(&self, whole: bool, now: Instant) -> Vec<News> {
        let mut retold = Vec::new();
        for (&content, suspect) in &self.suspects {
            if !whole {
                break;
            }
            let Some(term) = suspect.term.filter(|term| now < term.until) else {
                continue;
            };
            retold.push(News::Quarantined {
                content,
                age_ms: age_ms(term.since, now),
                left_ms: told_ms(term.until.since(now)),
                times: suspect.times,
            });
        }
        for (&content, suspect) in &self.suspects {
            if suspect.is_quarantined(now) {
                continue;
            }
            let many = whole && suspect.moments().all > 1;
            for crash in suspect.crashes() {
                let fresh = crash.own && now.since(crash.at) < RETOLD_FOR;
                if !fresh && !many {
                    continue;
                }
                retold.push(News::Crashed {
                    content,
                    server: crash.server,
                    age_ms: age_ms(crash.at, now),
                    others: crash.others,
                    silent: crash.silent,
                });
            }
        }
        retold.truncate(MAX_RETOLD);
        retold
    }

    /// Returns all suspects, for operators.
    pub fn suspects(&self, now: Instant) -> Vec<SuspectView<'_>> {
        let views = self.suspects.iter().map(|(&content, suspect)| SuspectView {
            content,
            crashes: suspect.crashes(),
            verdict: self.verdict(content, now),
            times: suspect.times,
        });
        views.collect()
    }

    /// Returns how many contents are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|s| s.is_quarantined(now)).count()
    }

    /// Tells whether a content has crashes to its name.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        self.suspects.contains_key(&content)
    }

    fn add(&mut self, content: Fingerprint, mut crash: Crash, now: Instant) {
        if now.since(crash.at) > REMEMBERED || self.is_explained(content, &crash, now) {
            return;
        }
        let end = self.ends.get(&crash.server);
        crash.confirmed |= end.is_some_and(|&end| end.after(END_BEFORE_CRASH) >= crash.at);
        self.make_room(content, now);
        let suspect = self.suspects.entry(content).or_default();
        let is_new = suspect.add(crash);
        self.compare_losses(crash.at);
        if is_new && crash.own {
            let moments = self.suspects.get(&content).map_or(0, |s| s.moments().all);
            self.findings.push(Finding::Crashed {
                content,
                crash,
                moments,
            });
        }
    }

    /// Compares which servers were lost at one moment with those that each content ran
    /// on. One that lacks some of them is not the cause: three losses of many servers
    /// at once turned prompts away that many engines read.
    fn compare_losses(&mut self, at: Instant) {
        let suspects = self.suspects.values();
        let crashes = suspects.flat_map(|suspect| suspect.crashes_at(at));
        let ended: HashSet<u32> = crashes
            .filter(|crash| crash.confirmed)
            .map(|crash| crash.server)
            .collect();
        for suspect in self.suspects.values_mut() {
            let ran_on: HashSet<u32> = suspect.crashes_at(at).map(|c| c.server).collect();
            if !ran_on.is_empty() {
                suspect.set_shared(at, !ended.is_subset(&ran_on));
            }
        }
    }

    /// Tells whether a content that is quarantined explains a crash.
    fn is_explained(&self, content: Fingerprint, crash: &Crash, now: Instant) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(&other, suspect)| {
            other != content && suspect.is_quarantined(now) && is_on(suspect, crash)
        })
    }

    /// Keeps the table within its bound: the oldest that is not quarantined goes,
    /// or else the quarantine that ends first.
    fn make_room(&mut self, content: Fingerprint, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&content) {
            return;
        }
        let rank = |suspect: &Suspect| match suspect.term.filter(|term| now < term.until) {
            Some(term) => (1, term.until),
            None => (0, suspect.last_crash()),
        };
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        if let Some(least) = least.map(|(&content, _)| content) {
            self.suspects.remove(&least);
        }
    }

    /// Marks crashes of a server that ended; returns whether there are any.
    fn confirm(&mut self, server: u32, seen: Instant) -> bool {
        if self.ends.len() < MAX_ENDS {
            self.ends.insert(server, seen);
        }
        let mut moments = Vec::new();
        for suspect in self.suspects.values_mut() {
            moments.extend(suspect.confirm(server, seen.after(END_BEFORE_CRASH)));
        }
        moments.dedup();
        for &at in &moments {
            self.compare_losses(at);
        }
        !moments.is_empty()
    }

    /// Drops crashes of a server at times when it lived; returns whether there
    /// were any.
    fn void(&mut self, server: u32, since: Instant, until: Instant) -> bool {
        let (since, until) = (since.after(TIMES_DIFFER), until.before(READ_LATE));
        let mut any = false;
        for suspect in self.suspects.values_mut() {
            any |= suspect
                .retain(|crash| crash.server != server || crash.at <= since || crash.at >= until);
        }
        any
    }

    fn clear(&mut self, content: Fingerprint, at: Instant, reason: EndReason) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        let was_quarantined = suspect.term.is_some();
        suspect.clear(at);
        suspect.end_run(Runner::Own);
        if was_quarantined && suspect.term.is_none() {
            self.findings.push(Finding::Ended { content, reason });
        }
    }

    /// Quarantines the contents against which enough is known. Those that stand alike
    /// are judged alike; only then do their crashes explain what happened to the rest.
    fn judge(&mut self, now: Instant) {
        let due = |suspect: &Suspect| {
            let seen_here = suspect.crashes().iter().any(|crash| crash.own);
            let wait = match seen_here {
                true => DECLARED_AFTER,
                false => OTHERS_DECLARE,
            };
            let is_proved = suspect.moments().confirmed >= moments_allowed(suspect);
            is_proved && suspect.term.is_none() && now.since(suspect.last_crash()) >= wait
        };
        let suspects = self.suspects.iter();
        let found = suspects.filter(|(_, suspect)| due(suspect));
        let found: Vec<Fingerprint> = found.map(|(&content, _)| content).collect();
        for content in found {
            let times = self.suspects.get(&content).map_or(0, |s| s.times) + 1;
            let doublings = (times - 1).min(u32::BITS / 2);
            let lasts = FIRST_QUARANTINE.saturating_mul(1 << doublings);
            let term = Term {
                since: now,
                until: now.after(lasts.min(LONGEST_QUARANTINE)),
            };
            self.put_in_quarantine(content, term, times, true, now);
        }
    }

    fn put_in_quarantine(
        &mut self,
        content: Fingerprint,
        term: Term,
        times: u32,
        own: bool,
        now: Instant,
    ) {
        if now >= term.until {
            return;
        }
        self.make_room(content, now);
        let suspect = self.suspects.entry(content).or_default();
        // What a peer tells of a quarantine that was ended meanwhile comes late.
        if suspect.is_quarantined(now) || term.since <= suspect.cleared_at {
            return;
        }
        suspect.term = Some(term);
        suspect.times = suspect.times.max(times);
        suspect.times_until = term.until.after(term.until.since(term.since));
        let crashes = suspect.crashes().to_vec();
        if own {
            self.news.push(News::Quarantined {
                content,
                age_ms: age_ms(term.since, now),
                left_ms: told_ms(term.until.since(now)),
                times,
            });
        }
        for (&other, suspect) in &mut self.suspects {
            let is_spoken_for = suspect.moments().all >= moments_allowed(suspect);
            if other == content || suspect.is_quarantined(now) || is_spoken_for {
                continue;
            }
            suspect.retain(|crash| !crashes.iter().any(|known| is_same(known, crash)));
        }
        self.findings.push(Finding::Quarantined(Quarantined {
            content,
            crashes,
            lasts: term.until.since(now),
            times,
            own,
        }));
    }
}

/// Tells whether two crashes are of the same server at the same moment.
fn is_same(a: &Crash, b: &Crash) -> bool {
    /// Connections of one server are seen to break within 15 ms.
    const APART: Duration = Duration::from_millis(100);
    a.server == b.server && a.at.since(b.at).max(b.at.since(a.at)) < APART
}

fn is_on(suspect: &Suspect, crash: &Crash) -> bool {
    suspect.crashes().iter().any(|known| is_same(known, crash))
}

/// A content that was quarantined before needs no further proof: those that had as
/// much against them were judged with it.
fn moments_allowed(suspect: &Suspect) -> u32 {
    match suspect.times {
        0 => MOMENTS_TO_QUARANTINE,
        _ => MOMENTS_AFTER_QUARANTINE,
    }
}

/// Returns how likely the next run crashes its server: after one crash, any of
/// those that ran there may be the cause, if a request is it at all; being there
/// twice is hardly chance.
fn risk(suspect: &Suspect, moments: Moments) -> f64 {
    if moments.all > 1 {
        return 1.0;
    }
    let others = suspect.crashes().iter().map(|crash| crash.others).min();
    BY_A_REQUEST / f64::from(1 + others.unwrap_or(0))
}

/// Tells whether nothing is left to remember of a suspect. One that was
/// quarantined is remembered for as long again, since its next crash counts for
/// more; one that was cleared for a while, since older news may still come.
fn is_forgettable(suspect: &Suspect, now: Instant) -> bool {
    /// Word of a crash is told again for a shorter time.
    const CLEARED_REMEMBERED: Duration = Duration::from_secs(30);
    let quiet = suspect.crashes().is_empty() && !suspect.is_quarantined(now);
    let since_clear = now.since(suspect.cleared_at);
    let counts = suspect.times > 0 && now < suspect.times_until;
    quiet && !counts && since_clear >= CLEARED_REMEMBERED
}
