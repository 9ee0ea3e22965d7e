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

/// Parts with the same evidence, as an explanation of the crashes of another one.
pub(super) struct OtherParts<'a> {
    pub suspect: &'a Suspect,
    /// Their fingerprints in common, at most one more than [`MAX_EXPLAINING_PARTS`].
    ids: Vec<Option<Fingerprint>>,
}

impl<'a> OtherParts<'a> {
    /// Selects the members that are evidence of another part than `id` and that `is_included`
    /// selects; `None` if there are none.
    fn of(
        suspect: &'a Suspect,
        id: Option<Fingerprint>,
        is_included: impl Fn(Fingerprint) -> bool,
    ) -> Option<Self> {
        let mut ids = Vec::new();
        for member in suspect.members() {
            let is_other = member.part != id && is_included(member.subject);
            if is_other && !ids.contains(&member.part) {
                ids.push(member.part);
            }
            if ids.len() > MAX_EXPLAINING_PARTS {
                break;
            }
        }
        (!ids.is_empty()).then_some(Self { suspect, ids })
    }
}

impl Quarantine {
    /// Returns the suspected parts other than the one with the fingerprint in common `id` which
    /// did not survive a short time ago, of the subjects that `is_included` selects.
    pub(super) fn other_parts<'a>(
        &'a self,
        id: Option<Fingerprint>,
        is_included: impl Fn(Fingerprint) -> bool + Copy + 'a,
        now: Instant,
    ) -> impl Iterator<Item = OtherParts<'a>> {
        let others = self.suspects.values().filter(move |other| {
            other.part.is_some() && other.applies() && !self.has_survived(other, now)
        });
        others.filter_map(move |other| OtherParts::of(other, id, is_included))
    }

    /// Returns how the crashes of a part are explained by some of the other parts.
    pub(super) fn explanation_by<'a>(
        &self,
        suspect: &Suspect,
        others: impl Iterator<Item = OtherParts<'a>>,
    ) -> Explanation {
        let mut explaining = Vec::new();
        let mut is_covered = false;
        for other in others {
            match explained_crashes(suspect, other.suspect) {
                n if n > 0 && n == suspect.crashes().len() => {
                    if other.suspect.crashes().len() > n {
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
            let other = other.suspect;
            suspect.covers(other) && other.incidents().confirmed_score() >= base_threshold(other)
        });
        let causes: Vec<&OtherParts<'_>> = causes.collect();
        if !is_covered && part_count(&causes) > 1 && explain_most(suspect, &causes) {
            return Explanation::Composed;
        }
        // A part that never survived is more likely to be the cause than two others.
        let has_survived = suspect.last_survival.is_some();
        let explaining: Vec<&OtherParts<'_>> = explaining.iter().collect();
        if is_covered || (has_survived && explain_most(suspect, &explaining)) {
            return Explanation::Contested;
        }
        Explanation::None
    }

    /// Returns whether a part that another one dominates may be the cause after all: each
    /// dominating part is composed of several.
    pub(super) fn is_dominated_by_composed(&self, suspect: &Suspect, now: Instant) -> bool {
        let others = self.other_parts(suspect.part_id(), |_| true, now);
        let mut dominating = others
            .map(|other| other.suspect)
            .filter(|other| other.covers(suspect) && !suspect.covers(other));
        dominating.all(|other| {
            let others = self.other_parts(other.part_id(), |_| true, now);
            self.explanation_by(other, others) == Explanation::Composed
        })
    }
}

/// Counts the crashes of a part on servers that another one ran on.
fn explained_crashes(suspect: &Suspect, other: &Suspect) -> usize {
    let crashes = suspect.crashes().iter();
    crashes.filter(|crash| other.ran_on(crash.server)).count()
}

/// Returns whether a few parts explain nearly all crashes of another one.
fn explain_most(suspect: &Suspect, others: &[&OtherParts<'_>]) -> bool {
    let is_few = (1..=MAX_EXPLAINING_PARTS).contains(&part_count(others));
    let others: Vec<&Suspect> = others.iter().map(|other| other.suspect).collect();
    is_few && own_incidents(suspect, &others, |_| true) < MIN_OWN_INCIDENTS
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
fn part_count(others: &[&OtherParts<'_>]) -> usize {
    let ids: HashSet<Option<Fingerprint>> = others
        .iter()
        .flat_map(|other| other.ids.iter().copied())
        .collect();
    ids.len()
}
