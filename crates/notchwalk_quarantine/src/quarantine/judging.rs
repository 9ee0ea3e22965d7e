//! Who is quarantined, for how long, and what is forgotten.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{
    evidence::{is_same, REMEMBERED},
    Quarantine,
};
use crate::{
    news::{age_ms, told_ms, News},
    suspect::{Moments, Suspect, Term},
    EndReason, Finding, Fingerprint, Quarantined,
};

/// Separate moments at which servers ended under a content, in halves, from which it is
/// sent to no more of them. The users' bound is three; with two, requests that were
/// twice beside one that crashes servers would be turned away with it.
const HALVES_TO_QUARANTINE: u32 = 2 * 3;
/// How long a content is held after each further run that a doubt allows: a good end of
/// another run is known by then, and servers that end under it end one after another.
pub(super) const RESTS_BETWEEN_FURTHER_RUNS: Duration = Duration::from_millis(1_200);
/// The same once a content was quarantined before.
const HALVES_AFTER_QUARANTINE: u32 = 2;
/// How long the first quarantine lasts; each further one twice as long. Long
/// against the seconds that a server takes to come back, so that what it costs
/// to learn it again, three servers, is rare; short enough that a request which
/// was turned away wrongly, or whose cause was mended, comes through the same hour.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
pub(super) const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a crash may stay without confirmation. Records of servers that ended
/// are gone after three heartbeats of silence, 3.5 s on the deployments known.
const SETTLES: Duration = Duration::from_secs(6);
/// How long after the last crash a quarantine is declared: by then it is known whether
/// other servers ended at the same moment. Meanwhile the content is held.
const DECLARED_AFTER: Duration = Duration::from_millis(150);
/// How long after the last crash an entry that saw none of them itself declares a
/// quarantine: those that did may be gone.
const OTHERS_DECLARE: Duration = Duration::from_secs(2);
/// How long the end of a server is remembered, for crashes that are told later, and
/// as what speaks for contents that were on others lost meanwhile.
const ENDS_REMEMBERED: Duration = Duration::from_secs(30);
/// How often time is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How likely a server's end is the work of one of its requests at all. Most ends
/// have other causes; the figure only orders suspects against certain harm.
const BY_A_REQUEST: f64 = 0.5;

impl Quarantine {
    /// Lets time pass: what stayed without confirmation counts no more, what is
    /// old is forgotten, quarantines lapse.
    pub fn pass_time(&mut self, now: Instant) {
        if now.since(self.looked_at) < LOOK_EVERY {
            return;
        }
        self.looked_at = now;
        self.knows_since.get_or_insert(now);
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

    /// Quarantines the contents against which enough is known. Those that stand alike
    /// are judged alike; only then do their crashes explain what happened to the rest.
    pub(super) fn judge(&mut self, now: Instant) {
        let due = |suspect: &Suspect| {
            let seen_here = suspect.crashes().iter().any(|crash| crash.own);
            let wait = match seen_here {
                true => DECLARED_AFTER,
                false => OTHERS_DECLARE,
            };
            let is_proved = suspect.moments().confirmed_halves() >= self.halves_needed(suspect);
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

    pub(super) fn put_in_quarantine(
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
            let is_spoken_for = suspect.moments().halves() >= halves_allowed(suspect);
            if other == content || suspect.is_quarantined(now) || is_spoken_for {
                continue;
            }
            suspect.retain(|crash| !crashes.iter().any(|known| is_same(known, crash)));
        }
        for crash in &crashes {
            self.compare_losses(crash.at, now);
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

/// A content that was quarantined before needs no further proof: those that had as
/// much against them were judged with it.
pub(super) fn halves_allowed(suspect: &Suspect) -> u32 {
    match suspect.times {
        0 => HALVES_TO_QUARANTINE,
        _ => HALVES_AFTER_QUARANTINE,
    }
}

/// Returns how likely the next run crashes its server: after one crash, any of
/// those that ran there may be the cause, if a request is it at all; being there
/// twice is hardly chance.
pub(super) fn risk(suspect: &Suspect, moments: Moments) -> f64 {
    if moments.count() > 1 {
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
