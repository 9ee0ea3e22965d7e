//! A planned stop: leave the list of entries first, serve on while callers may
//! still hold it, then finish what is in flight, then end.

use notchwalk_core::{Instant, LogEventKind};

use crate::{
    effect::Effect,
    node::{Cx, Node},
};

/// Where a planned stop stands.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// When callers' lists that name this entry have lapsed.
    refuse_from: Option<Instant>,
    stopped: bool,
}

impl Drain {
    /// Tells whether the node was told to stop.
    pub fn is_on(&self) -> bool {
        self.refuse_from.is_some()
    }

    /// Tells whether new requests are refused.
    pub fn refuses(&self, now: Instant) -> bool {
        self.refuse_from.is_some_and(|from| now >= from)
    }
}

/// The daemon was told to stop. A second time changes nothing.
pub(crate) fn on_drain(node: &mut Node, cx: &mut Cx<'_>) {
    if node.drain.is_on() {
        return;
    }
    node.drain.refuse_from = Some(cx.now.after(node.cfg.entries_ttl));
    node.membership.leave();
    let facts = format!("open_requests={}", node.requests.len());
    cx.log(LogEventKind::DrainStarted, facts);
}

/// Ends the daemon once nothing is left to do.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    let done = node.drain.refuses(cx.now)
        && node.requests.is_empty()
        && node.cancels.len() == 0
        && node.releases.len() == 0;
    if done && !node.drain.stopped {
        node.drain.stopped = true;
        cx.emit(Effect::Stop);
    }
}
