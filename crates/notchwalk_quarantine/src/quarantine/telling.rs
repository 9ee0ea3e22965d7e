//! What peers are told of suspects, and what they tell.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{judging::LONGEST_QUARANTINE, Quarantine};
use crate::{
    news::{age_ms, time_of, told_ms, News},
    suspect::{Crash, Runner, Term},
    EndReason, Fingerprint,
};

/// Facts told again at once, so that a datagram carries them.
const MAX_RETOLD: usize = 24;
/// How long a crash that was seen here is told again with each heartbeat: a lost
/// datagram costs one heartbeat.
const RETOLD_FOR: Duration = Duration::from_millis(1_200);

impl Quarantine {
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

    /// Takes a quarantine as the store kept it.
    pub fn restore(&mut self, content: Fingerprint, left: Duration, times: u32, now: Instant) {
        let term = Term {
            since: now,
            until: now.after(left.min(LONGEST_QUARANTINE)),
        };
        self.put_in_quarantine(content, term, times, false, now);
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
            let many = whole && suspect.moments().count() > 1;
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
}
