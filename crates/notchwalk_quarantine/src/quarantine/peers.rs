//! Updates received from peers, and updates rebroadcast to them.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{
    policy::{NewQuarantine, MAX_QUARANTINE},
    Quarantine,
};
use crate::{
    suspect::{Crash, QuarantinePeriod, Runner},
    update::{age_ms, saturating_ms, time_of, QuarantineUpdate},
    EndReason, Fingerprint, PromptPart, SubjectKind,
};

/// Maximum number of updates in one rebroadcast, so that they fit into a datagram.
const MAX_REBROADCAST: usize = 24;
/// How long heartbeats repeat a crash that this node observed, since datagrams may be lost.
const REBROADCAST_PERIOD: Duration = Duration::from_millis(1_200);

impl Quarantine {
    /// Applies the updates of a peer.
    pub fn apply_updates(&mut self, peer: u32, updates: &[QuarantineUpdate], now: Instant) {
        let together = updates.iter().filter_map(|update| match *update {
            QuarantineUpdate::Quarantined { content, .. } => Some(content),
            _ => None,
        });
        let together: Vec<Fingerprint> = together.collect();
        for &update in updates {
            self.apply_update(peer, update, &together, now);
        }
    }

    /// Applies an update of a peer. `together` are all subjects that its updates quarantine.
    fn apply_update(
        &mut self,
        peer: u32,
        update: QuarantineUpdate,
        together: &[Fingerprint],
        now: Instant,
    ) {
        match update {
            QuarantineUpdate::Crashed {
                content,
                server,
                age_ms,
                others,
                silent,
                origin,
            } => {
                let crash = Crash {
                    at: time_of(age_ms, now),
                    observed_locally: false,
                    ..Crash::observed(server, others, silent, now)
                };
                let Some(origin) = origin else {
                    self.add_crash(content, crash, None, now);
                    return;
                };
                let part = PromptPart::from_common(content, origin.workspace);
                let is_new = self.add_part_crash(part, crash, origin, now);
                self.publish_survival(part, crash.at, is_new, now);
            }
            QuarantineUpdate::ServerEnded { server, age_ms } => {
                self.confirm_crashes(server, time_of(age_ms, now));
            }
            QuarantineUpdate::ServerAlive {
                server,
                since_ms,
                age_ms,
            } => {
                self.refute_crashes(server, time_of(since_ms, now), time_of(age_ms, now));
            }
            QuarantineUpdate::Succeeded { content, age_ms } => {
                let at = time_of(age_ms, now);
                let suspect = self.suspects.get(&content);
                if suspect.is_some_and(|suspect| suspect.kind == SubjectKind::Part) {
                    self.survivors.refresh(content, at);
                }
                self.clear(content, at, EndReason::Told);
            }
            QuarantineUpdate::Released { content, age_ms } => {
                self.clear(content, time_of(age_ms, now), EndReason::Told);
            }
            QuarantineUpdate::Running { content } => {
                if let Some(suspect) = self.suspects.get_mut(&content) {
                    suspect.begin_run(Runner::Peer(peer), now);
                }
            }
            QuarantineUpdate::Idle { content } => {
                if let Some(suspect) = self.suspects.get_mut(&content) {
                    suspect.end_run(Runner::Peer(peer));
                }
            }
            QuarantineUpdate::Quarantined {
                content,
                age_ms,
                left_ms,
                times,
                kind,
            } => {
                let left = Duration::from_millis(left_ms.into());
                let period = QuarantinePeriod {
                    since: time_of(age_ms, now),
                    until: now.after(left.min(MAX_QUARANTINE)),
                };
                let quarantine = NewQuarantine {
                    content,
                    kind,
                    period,
                    times,
                    declared_locally: false,
                };
                self.put_in_quarantine(quarantine, together, now);
            }
        }
    }

    /// Ends the runs of a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: u32) {
        for suspect in self.suspects.values_mut() {
            suspect.end_run(Runner::Peer(peer));
        }
    }

    /// Restores a quarantine from the store. `times` counts the quarantines so far, including
    /// this one.
    pub fn restore(
        &mut self,
        content: Fingerprint,
        kind: SubjectKind,
        left: Duration,
        times: u32,
        now: Instant,
    ) {
        let period = QuarantinePeriod {
            since: now,
            until: now.after(left.min(MAX_QUARANTINE)),
        };
        let quarantine = NewQuarantine {
            content,
            kind,
            period,
            times,
            declared_locally: false,
        };
        self.put_in_quarantine(quarantine, &[], now);
    }

    /// Returns the updates to rebroadcast: crashes that this node observed a short time ago.
    /// With `full`, the result also contains the quarantines and the older crashes of
    /// suspects with several incidents, for nodes that have just started.
    pub fn updates_to_rebroadcast(&self, full: bool, now: Instant) -> Vec<QuarantineUpdate> {
        let mut updates = Vec::new();
        for (&content, suspect) in &self.suspects {
            if !full {
                break;
            }
            let Some(period) = suspect.period.filter(|period| now < period.until) else {
                continue;
            };
            updates.push(QuarantineUpdate::Quarantined {
                content,
                age_ms: age_ms(period.since, now),
                left_ms: saturating_ms(period.until.since(now)),
                times: suspect.quarantine_count,
                kind: suspect.kind,
            });
        }
        for (&content, suspect) in &self.suspects {
            if suspect.is_quarantined(now) {
                continue;
            }
            let is_repeated = full && suspect.incidents().count() > 1;
            for crash in suspect.crashes() {
                let is_recent = crash.observed_locally && now.since(crash.at) < REBROADCAST_PERIOD;
                if !is_recent && !is_repeated {
                    continue;
                }
                // The evidence in common is derived from that in the workspaces.
                let (subject, origin) = match (suspect.part_id, suspect.part) {
                    (Some(part), Some(evidence)) => match evidence.origin() {
                        Some(origin) => (part, Some(origin)),
                        None => continue,
                    },
                    _ => (content, None),
                };
                updates.push(QuarantineUpdate::Crashed {
                    content: subject,
                    server: crash.server,
                    age_ms: age_ms(crash.at, now),
                    others: crash.other_requests,
                    silent: crash.silent,
                    origin,
                });
            }
        }
        updates.truncate(MAX_REBROADCAST);
        updates
    }
}
