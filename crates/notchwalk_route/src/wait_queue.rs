//! The queue of requests that wait for engines.
//!
//! Long prompts occupy engines for seconds. Assigned on arrival, they would run first in,
//! first out, and all be late near saturation. They are queued here instead and dispatched,
//! cheapest first, when engines have headroom. Those that can no longer meet their objective
//! are sent late or refused. Late short requests also wait here, for spare capacity.

use crate::{shares::Shares, RequestKey, WorkspaceShortId};

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub request: RequestKey,
    pub workspace: WorkspaceShortId,
    /// Prefill time of its prompt, in milliseconds; 0 for a short one.
    pub prefill_ms: f64,
}

/// The queued requests.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    pub fn push(&mut self, queued: QueuedRequest) {
        self.requests.push(queued);
    }

    pub fn remove(&mut self, request: RequestKey) {
        self.requests.retain(|queued| queued.request != request);
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the total prefill time of the queued requests, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.requests.iter().map(|queued| queued.prefill_ms).sum()
    }

    /// Returns the queued requests in dispatch order: workspaces within their share first,
    /// then by prefill time.
    pub fn dispatch_order(&self, shares: &Shares) -> Vec<RequestKey> {
        let mut queued = self.requests.clone();
        queued.sort_by(|a, b| {
            let is_over = |queued: &QueuedRequest| shares.is_over(queued.workspace);
            let order = is_over(a).cmp(&is_over(b));
            order.then(a.prefill_ms.total_cmp(&b.prefill_ms))
        });
        queued.iter().map(|queued| queued.request).collect()
    }
}
