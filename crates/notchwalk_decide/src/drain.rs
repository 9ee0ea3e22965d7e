//! Graceful shutdown: the node leaves the list of nodes, serves while callers
//! may still have it cached, then refuses new requests, finishes those in
//! flight and stops.

use notchwalk_core::{Instant, LogEventKind};

use crate::{
    effect::Effect,
    node::{Cx, Node},
};

/// The state of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// When cached lists that name this node have expired.
    refuse_from: Option<Instant>,
    stopped: bool,
}

impl Drain {
    /// Returns whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.refuse_from.is_some()
    }

    /// Returns whether new requests are refused.
    pub fn refuses(&self, now: Instant) -> bool {
        self.refuse_from.is_some_and(|from| now >= from)
    }
}

/// Starts draining. Repeated events change nothing.
pub(crate) fn on_drain(node: &mut Node, cx: &mut Cx<'_>) {
    if node.drain.is_draining() {
        return;
    }
    node.drain.refuse_from = Some(cx.now.after(node.cfg.node_list_ttl));
    node.membership.start_draining();
    let facts = format!("open_requests={}", node.requests.len());
    cx.log(LogEventKind::DrainStarted, facts);
}

/// Stops the daemon once no work is left.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    let done = node.drain.refuses(cx.now)
        && node.requests.is_empty()
        && node.cancels.len() == 0
        && node.claim_releases.len() == 0;
    if done && !node.drain.stopped {
        node.drain.stopped = true;
        cx.emit(Effect::Stop);
    }
}
