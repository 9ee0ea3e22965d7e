//! What else was lost while servers ended under a content: servers that fall without it
//! speak for it.
//!
//! Losses by themselves come in series: a rack whose power fails in parts, a release
//! that goes wrong. A request that comes back some times and is on one of the lost
//! servers each time looks like one at fault. So each server that was lost meanwhile,
//! and that no content at fault explains, asks for half a moment more of proof.

use std::{collections::HashSet, time::Duration};

use super::{judging::halves_allowed, Quarantine};
use crate::suspect::Suspect;

/// The most that a doubt asks for, in halves of a moment. A content at fault costs two
/// servers more among losses by themselves, five in all; the users' bound on sends
/// after the third crash is three.
const MOST_FURTHER_HALVES: u32 = 4;
/// Servers lost without a content for each one lost under it, from which on chance may
/// explain the latter. Fewer are the work of a second content at fault: two that came in
/// crowds, each speaking for the other, cost 16 servers in place of 9.
const OTHERS_FOR_ONE: usize = 2;
/// How long before the first crash under a content other losses speak for it: records
/// of servers that ran nothing lapse 3.5 s after their end.
const SPEAK_BEFORE: Duration = Duration::from_secs(4);

impl Quarantine {
    /// Returns the halves of a moment that prove a content's fault.
    pub(super) fn halves_needed(&self, suspect: &Suspect) -> u32 {
        halves_allowed(suspect) + self.further_halves(suspect)
    }

    fn further_halves(&self, suspect: &Suspect) -> u32 {
        let Some(first) = suspect.crashes().first() else {
            return 0;
        };
        // An entry that started since doesn't know what was lost before.
        if self.knows_since.is_none_or(|since| first.at < since) {
            return MOST_FURTHER_HALVES;
        }
        let from = first.at.before(SPEAK_BEFORE);
        let ended = self.ends.iter().filter(|(_, &at)| at >= from);
        let explained = self.explained_servers();
        let is_on = |server: u32| suspect.crashes().iter().any(|c| c.server == server);
        let others = ended.filter(|(&server, _)| !is_on(server) && !explained.contains(&server));
        let others = others.count();
        // What else went with the newest loss is known seconds later.
        let own = suspect.crashes().iter().filter(|c| c.confirmed).count();
        if others < OTHERS_FOR_ONE * own.saturating_sub(1) {
            return 0;
        }
        u32::try_from(others).map_or(MOST_FURTHER_HALVES, |n| n.min(MOST_FURTHER_HALVES))
    }

    /// Returns the servers that ended under contents that were there at two moments or
    /// more: they may be the work of these.
    fn explained_servers(&self) -> HashSet<u32> {
        let suspects = self.suspects.values();
        let at_fault =
            suspects.filter(|suspect| suspect.term.is_some() || suspect.moments().count() > 1);
        let crashes = at_fault.flat_map(|suspect| suspect.crashes());
        crashes.map(|crash| crash.server).collect()
    }
}
