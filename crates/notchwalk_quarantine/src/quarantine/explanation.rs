//! How the crashes of a part are explained by other parts.
//!
//! Sound prompts run on the servers that fatal ones crash, and all prompts may share a part. Such
//! a part has the crashes of every fatal one, and is not the cause of any. Other parts explain
//! the crashes of the servers that they ran on.

use std::collections::HashSet;

use notchwalk_core::Instant;

use super::{policy::base_threshold, Quarantine};
use crate::{
    suspect::{Crash, Suspect},
    Fingerprint,
};

/// Minimum number of crashes of a part that one of several others explains: each prompt has some
/// part that explains its own crash.
const MIN_EXPLAINED_CRASHES: usize = 2;
/// Maximum number of parts that explain the crashes of another one together. Each prompt has
/// several parts, so that many of them explain anything.
const MAX_EXPLAINING_PARTS: usize = 2;
/// Minimum number of incidents that only the part explains. One may have another cause.
const MIN_OWN_INCIDENTS: u32 = 2;

/// How the crashes of a part are explained by other parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Explanation {
    /// Several of its incidents are not explained.
    None,
    /// The part or others may be the cause: a run without the others tells them apart.
    Contested,
    /// Several other parts, each with enough crashes for a quarantine, have nearly all of its
    /// crashes: they are probably the causes.
    Composed,
    /// Another part has all of its crashes and further ones: it is probably the cause.
    Dominated,
}

impl Quarantine {
    /// Returns the suspected parts other than that of `suspect` which did not survive a short
    /// time ago.
    pub(super) fn other_parts<'a>(
        &'a self,
        suspect: &'a Suspect,
        now: Instant,
    ) -> impl Iterator<Item = (Fingerprint, &'a Suspect)> {
        let others = self.suspects.iter();
        let others = others.map(|(&subject, other)| (subject, other));
        others.filter(move |&(subject, other)| {
            other.part.is_some()
                && other.part_id != suspect.part_id
                && other.applies()
                && !self.survivors.contains(subject, now)
        })
    }

    /// Returns how the crashes of a part are explained by some of the other parts.
    pub(super) fn explanation_by<'a>(
        &self,
        subject: Fingerprint,
        suspect: &Suspect,
        others: impl Iterator<Item = &'a Suspect>,
    ) -> Explanation {
        let mut explaining = Vec::new();
        let mut is_covered = false;
        for other in others {
            match explained_crashes(suspect, other) {
                n if n > 0 && n == suspect.crashes().len() => {
                    if other.crashes().len() > n {
                        return Explanation::Dominated;
                    }
                    is_covered = true;
                }
                n if n < MIN_EXPLAINED_CRASHES => continue,
                _ => {}
            }
            explaining.push(other);
        }
        let causes = explaining.iter().filter(|other| {
            suspect.covers(other) && other.incidents().confirmed_score() >= base_threshold(other)
        });
        let causes: Vec<&Suspect> = causes.copied().collect();
        if !is_covered && part_count(&causes) > 1 && explain_most(suspect, &causes) {
            return Explanation::Composed;
        }
        // A part that never survived is more likely to be the cause than two others.
        let has_survived = self.survivors.last_success(subject).is_some();
        if is_covered || (has_survived && explain_most(suspect, &explaining)) {
            return Explanation::Contested;
        }
        Explanation::None
    }

    /// Returns whether a part that another one dominates may be the cause after all: each
    /// dominating part is composed of several.
    pub(super) fn is_dominated_by_composed(&self, suspect: &Suspect, now: Instant) -> bool {
        let mut dominating = self
            .other_parts(suspect, now)
            .filter(|(_, other)| other.covers(suspect) && !suspect.covers(other));
        dominating.all(|(subject, other)| {
            let others = self.other_parts(other, now).map(|(_, other)| other);
            self.explanation_by(subject, other, others) == Explanation::Composed
        })
    }
}

/// Counts the crashes of a part on servers that another one ran on.
fn explained_crashes(suspect: &Suspect, other: &Suspect) -> usize {
    let crashes = suspect.crashes().iter();
    crashes.filter(|crash| other.ran_on(crash.server)).count()
}

/// Returns whether a few parts explain nearly all crashes of another one.
fn explain_most(suspect: &Suspect, others: &[&Suspect]) -> bool {
    let is_few = (1..=MAX_EXPLAINING_PARTS).contains(&part_count(others));
    is_few && own_incidents(suspect, others, |_| true) < MIN_OWN_INCIDENTS
}

/// Counts the incidents of a part, of the crashes that `is_included` selects, which no part that
/// lost several servers explains.
pub(super) fn own_incidents(
    suspect: &Suspect,
    others: &[&Suspect],
    is_included: impl Fn(&Crash) -> bool,
) -> u32 {
    let explains = |other: &Suspect, crash: &Crash| {
        other.crashes().len() >= MIN_EXPLAINED_CRASHES && other.ran_on(crash.server)
    };
    let own = suspect.incidents_of(|crash| {
        is_included(crash) && !others.iter().any(|other| explains(other, crash))
    });
    own.count()
}

/// Counts parts, of which each may have evidence in several workspaces and in common.
fn part_count(suspects: &[&Suspect]) -> usize {
    let ids: HashSet<Option<Fingerprint>> = suspects.iter().map(|s| s.part_id).collect();
    ids.len()
}
