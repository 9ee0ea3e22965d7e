//! A request in progress.

use std::rc::Rc;

use notchwalk_core::Instant;
use notchwalk_http::Body;
use notchwalk_quarantine::Fingerprint;
use notchwalk_route::RequestKey;

use crate::CallerFacts;

pub(crate) struct ActiveRequest {
    /// The request's key in the router.
    pub key: RequestKey,
    /// The decoded request head.
    pub caller: CallerFacts,
    /// Fingerprint of the request, the same for all attempts of the caller.
    pub content: Fingerprint,
    /// The workspace of the API key.
    pub workspace: Option<Rc<str>>,
    /// The name of the route.
    pub route: Rc<str>,
    /// When the first byte arrived.
    pub arrived_at: Instant,
    /// When the timeout of the caller or of the route ends, whichever is first.
    pub deadline: Instant,
    pub body: Body,
    /// Whether the response is a stream.
    pub streaming: bool,
    /// The name of the peer that forwarded the request, if any.
    pub forwarded_by: Option<String>,
}

impl ActiveRequest {
    /// Returns the peer that forwarded the request as a further fact of a log line; empty if
    /// the request came from its caller.
    pub fn forwarded_by_fact(&self) -> String {
        let name = self.forwarded_by.as_ref();
        name.map_or_else(String::new, |name| format!(" forwarded_by={name}"))
    }

    /// Returns the parts of its prompt that other requests may share as text, for logs.
    pub fn parts(&self) -> String {
        /// Maximum number of parts in a line.
        const MAX_LOGGED: usize = 8;
        let parts = self.caller.shared_parts.iter().take(MAX_LOGGED);
        let parts: Vec<String> = parts.map(|part| part.short()).collect();
        parts.join(",")
    }

    /// Returns the request id as text, for logs.
    pub fn id(&self) -> &str {
        self.caller.id.to_str().unwrap_or("unreadable")
    }
}
