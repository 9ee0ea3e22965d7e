//! The times at which a node that shuts down stops its work.

use notchwalk_core::Instant;

/// When a node that shuts down refuses requests, ends the open ones and exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// When the shutdown was requested.
    pub started_at: Instant,
    /// When the directory's responses that list this node have expired.
    pub unlisted_at: Instant,
    /// From when requests of callers are refused.
    pub refuses_callers_from: Instant,
    /// From when requests that peers forward are refused.
    pub refuses_peers_from: Instant,
    /// By when responses must end. A request without a response gets a final one then.
    pub responses_end_at: Instant,
    /// When the process exits although requests are open.
    pub exits_at: Instant,
}
