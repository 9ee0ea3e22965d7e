//! Raises the required evidence while servers are lost that did not run a content.
//!
//! Independent losses come in series: a rack whose power fails in parts, or a faulty
//! rollout. A request that is retried may run on one of the lost servers each time and look
//! like their cause. Each other server that was lost in the meantime, and that is not
//! attributed to another suspect, therefore raises the threshold by half an incident.

use std::{collections::HashSet, time::Duration};

use super::{policy::base_threshold, Quarantine};
use crate::suspect::Suspect;

/// Limit on the extra score: two isolated incidents. A crashing content costs at most two
/// servers more while unrelated servers are lost.
const MAX_EXTRA_SCORE: u32 = 4;
/// Ratio of unrelated losses to confirmed crashes of a content from which on chance may
/// explain the crashes. Below it, the unrelated losses may be due to a second crashing
/// content, and two such contents must not shield each other.
const UNRELATED_PER_CRASH: usize = 2;
/// How long before the first crash of a content unrelated losses count: the registration of
/// an idle server expires 3.5 s after its end.
const LOOKBACK: Duration = Duration::from_secs(4);

impl Quarantine {
    /// Returns the score from which on a content is quarantined.
    pub(super) fn threshold(&self, suspect: &Suspect) -> u32 {
        base_threshold(suspect) + self.extra_score(suspect)
    }

    fn extra_score(&self, suspect: &Suspect) -> u32 {
        let Some(first) = suspect.crashes().first() else {
            return 0;
        };
        // Losses before this node started are unknown to it.
        if self.observing_since.is_none_or(|since| first.at < since) {
            return MAX_EXTRA_SCORE;
        }
        let from = first.at.before(LOOKBACK);
        let ended = self.ended_servers.iter().filter(|(_, &at)| at >= from);
        let attributed = self.attributed_servers();
        let ran_on = |server: u32| suspect.crashes().iter().any(|c| c.server == server);
        let others = ended.filter(|(&server, _)| !ran_on(server) && !attributed.contains(&server));
        let others = others.count();
        // Losses that accompany the latest crash are known only seconds later.
        let confirmed = suspect.crashes().iter().filter(|c| c.confirmed).count();
        if others < UNRELATED_PER_CRASH * confirmed.saturating_sub(1) {
            return 0;
        }
        u32::try_from(others).map_or(MAX_EXTRA_SCORE, |n| n.min(MAX_EXTRA_SCORE))
    }

    /// Returns the lost servers that ran a content which is quarantined or had at least two
    /// incidents, and which may be the cause.
    fn attributed_servers(&self) -> HashSet<u32> {
        let suspects = self.suspects.values();
        let at_fault =
            suspects.filter(|suspect| suspect.period.is_some() || suspect.incidents().count() > 1);
        let crashes = at_fault.flat_map(|suspect| suspect.crashes());
        crashes.map(|crash| crash.server).collect()
    }
}
