//! Requests that nodes forward to each other: the headers of the hop, and the service that
//! receives them.
//!
//! The hop is HTTP at the TCP port with the number of the peer port. It carries the caller's
//! request, key included, so that the receiving node checks it like a request of its own.

use std::{cell::Cell, rc::Rc};

use http::{HeaderMap, HeaderName, HeaderValue};
use notchwalk_route::{ForwardedSend, Forwarding, Refusal};

/// The name of the node that forwards the request.
const FORWARDED_BY: HeaderName = HeaderName::from_static("notchwalk-forwarded-by");
/// How the send to a server counts; see [`ForwardedSend`].
const COUNTS_AS: HeaderName = HeaderName::from_static("notchwalk-counts-as");
/// The version of the configuration of the node that forwards the request.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("notchwalk-config-version");
/// The short ids of the servers that the peer must not use, separated by commas. Absent if
/// there are none.
const EXCLUDED_SERVERS: HeaderName = HeaderName::from_static("notchwalk-excluded-servers");
/// Set on a response of the node itself: why it refused the request.
const REFUSED: HeaderName = HeaderName::from_static("notchwalk-refused");

/// Maximum number of forwarded requests that a node serves at a time. It bounds the memory
/// and the processor time that they take from the node's own callers.
const MAX_OPEN_REQUESTS: usize = 256;

/// Reasons that a node gives for refusing a forwarded request.
const REASONS: [(&str, Refusal); 12] = [
    ("not_ready", Refusal::NotReady),
    ("draining", Refusal::Draining),
    ("no_server", Refusal::NoServer),
    ("overloaded", Refusal::Overloaded),
    ("limited", Refusal::Limited),
    ("not_run", Refusal::NotRun),
    ("unknown", Refusal::Unknown),
    ("timed_out", Refusal::TimedOut),
    ("suspected", Refusal::Suspected),
    ("quarantined", Refusal::Quarantined),
    ("peer_busy", Refusal::PeerBusy),
    // A request that the receiving node rejects before routing, by its configuration.
    ("rejected", Refusal::NotReady),
];

/// What the headers of the hop say about a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardedHead {
    /// The name of the node that forwards it.
    pub from: String,
    pub counts_as: ForwardedSend,
    pub config_version: u64,
    pub excluded_servers: Vec<u32>,
}

impl ForwardedHead {
    /// Removes the headers of the hop; `None` if they are missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut take = |name| headers.remove(name);
        let (from, counts_as, version) =
            (take(FORWARDED_BY), take(COUNTS_AS), take(CONFIG_VERSION));
        let excluded_servers = match take(EXCLUDED_SERVERS) {
            Some(value) => parse_short_ids(value.to_str().ok()?)?,
            None => Vec::new(),
        };
        let counts_as = match counts_as?.as_bytes() {
            b"first" => ForwardedSend::FirstAttempt,
            b"retry" => ForwardedSend::Retry,
            b"counted" => ForwardedSend::Counted,
            _ => return None,
        };
        Some(Self {
            from: from?.to_str().ok()?.to_owned(),
            counts_as,
            config_version: version?.to_str().ok()?.parse().ok()?,
            excluded_servers,
        })
    }
}

/// Adds the headers of the hop to a request that the node `own_name` forwards.
pub(crate) fn add_head(headers: &mut HeaderMap, own_name: &str, to: &Forwarding) {
    let counts_as = match to.counts_as {
        ForwardedSend::FirstAttempt => "first",
        ForwardedSend::Retry => "retry",
        ForwardedSend::Counted => "counted",
    };
    // Names of nodes come from the settings file and are valid.
    let name = HeaderValue::from_str(own_name).unwrap_or(HeaderValue::from_static("unknown"));
    headers.insert(FORWARDED_BY, name);
    headers.insert(COUNTS_AS, HeaderValue::from_static(counts_as));
    headers.insert(CONFIG_VERSION, HeaderValue::from(to.config_version));
    if to.excluded_servers.is_empty() {
        return;
    }
    let ids: Vec<String> = to.excluded_servers.iter().map(u32::to_string).collect();
    if let Ok(value) = HeaderValue::from_str(&ids.join(",")) {
        headers.insert(EXCLUDED_SERVERS, value);
    }
}

/// Parses short ids that are separated by commas; `None` if one is invalid.
fn parse_short_ids(text: &str) -> Option<Vec<u32>> {
    text.split(',').map(|id| id.parse().ok()).collect()
}

/// Marks a response as this node's refusal of a forwarded request.
pub(crate) fn mark_refused(headers: &mut HeaderMap, label: &str) {
    if let Ok(label) = HeaderValue::from_str(label) {
        headers.insert(REFUSED, label);
    }
}

/// Returns why the peer refused the request, if the response is its refusal.
pub(crate) fn refusal(headers: &HeaderMap) -> Option<Refusal> {
    let label = headers.get(REFUSED)?.to_str().unwrap_or("");
    let known = REASONS.iter().find(|(name, _)| *name == label);
    // An unknown reason does not say whether the request ran.
    Some(known.map_or(Refusal::Unknown, |(_, reason)| *reason))
}

/// Counts a forwarded request as open until dropped.
pub(crate) struct OpenForwardedGuard(Rc<Cell<usize>>);

impl OpenForwardedGuard {
    /// Counts a request; `None` if as many as allowed are open.
    pub fn try_new(open: &Rc<Cell<usize>>) -> Option<Self> {
        if open.get() >= MAX_OPEN_REQUESTS {
            return None;
        }
        open.set(open.get() + 1);
        Some(Self(open.clone()))
    }
}

impl Drop for OpenForwardedGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
