//! A request while it is served.

use std::rc::Rc;

use bytes::Bytes;
use notchwalk_core::Instant;
use notchwalk_quarantine::Fingerprint;
use notchwalk_route::RequestKey;

use crate::CallerFacts;

/// See the module's page.
pub(crate) struct Served {
    /// Its key in the router.
    pub key: RequestKey,
    /// What its head says.
    pub caller: CallerFacts,
    /// Identifies its content, alike for all its tries.
    pub content: Fingerprint,
    /// The workspace of its key.
    pub workspace: Option<Rc<str>>,
    /// Its route's name, for logs and metrics.
    pub route: Rc<str>,
    /// When its first byte came.
    pub arrived: Instant,
    /// When nobody waits any more.
    pub deadline: Instant,
    /// Its body.
    pub body: Bytes,
    /// Whether its answer is a stream.
    pub streaming: bool,
}

impl Served {
    /// Returns the request's id as text, for logs.
    pub fn id(&self) -> &str {
        self.caller.id.to_str().unwrap_or("unreadable")
    }
}
