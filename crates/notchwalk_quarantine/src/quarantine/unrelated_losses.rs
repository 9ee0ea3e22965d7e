//! Raises the required evidence while servers are lost that did not run a content.
//!
//! A power failure or a faulty rollout can end servers one after another. A request that is
//! retried may run on one of them each time and appear to be the cause. Each other server
//! that was lost in the same period, and that is not attributed to another suspect, therefore
//! raises the threshold by half an incident.

use std::{collections::HashSet, time::Duration};

use super::{policy::base_threshold, Quarantine};
use crate::suspect::Suspect;

/// Limit on the extra score: two isolated incidents. While unrelated servers are lost, a
/// crashing content crashes at most two further servers. That makes five in all; the
/// users allow three sends after the third crash.
const MAX_EXTRA_SCORE: u32 = 4;
/// Minimum ratio of unrelated losses to confirmed crashes of a content that raises its
/// threshold. Fewer losses may be due to a second crashing content, and two such contents
/// must not raise each other's thresholds.
const UNRELATED_PER_CRASH: usize = 2;
/// How long before the first crash of a content unrelated losses count. The registration of
/// an idle server expires 3.5 s after its end.
const LOOKBACK: Duration = Duration::from_secs(4);

impl Quarantine {
    /// Returns the minimum score for a quarantine.
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
        let unrelated =
            ended.filter(|(&server, _)| !ran_on(server) && !attributed.contains(&server));
        let unrelated = unrelated.count();
        // Losses that accompany the latest crash are known only seconds later.
        let confirmed = suspect.crashes().iter().filter(|c| c.confirmed).count();
        if unrelated < UNRELATED_PER_CRASH * confirmed.saturating_sub(1) {
            return 0;
        }
        u32::try_from(unrelated).map_or(MAX_EXTRA_SCORE, |n| n.min(MAX_EXTRA_SCORE))
    }

    /// Returns the lost servers that ran a content which is quarantined or had at least two
    /// incidents, and which may be the cause.
    fn attributed_servers(&self) -> HashSet<u32> {
        let likely_causes = self.suspects.values().filter(|suspect| {
            let has_survived = self.has_survived(suspect, self.last_tick);
            let is_repeated = suspect.may_be_cause() && suspect.incidents().count() > 1;
            suspect.period.is_some() || (is_repeated && !has_survived)
        });
        let crashes = likely_causes.flat_map(|suspect| suspect.crashes());
        crashes.map(|crash| crash.server).collect()
    }
}
