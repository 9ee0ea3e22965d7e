//! Decoded heads of backend servers' responses.

use std::{net::SocketAddr, time::Duration};

use notchwalk_route::RateLimit;

/// How a backend response is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to the request.
    Success,
    /// The server's own error; the request counts as executed.
    Failure,
    /// The server did not execute the request.
    NotRun,
    /// The address now belongs to another instance; the request was not executed.
    Misdirected,
    /// The response belongs to another request.
    Mismatched,
    /// Not a valid server response: mandatory headers are missing.
    InvalidResponse,
}

/// The decoded head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseFacts {
    /// How the response is to be treated.
    pub kind: ResponseKind,
    /// The address of the faulty server, if not the responding one.
    pub faulty_server: Option<SocketAddr>,
    /// The instance id of the responding server, if the response names it.
    pub instance: Option<String>,
    /// Whether the server announces that it is draining.
    pub draining: bool,
    /// The backoff that the server requests.
    pub retry_after: RetryAfter,
    /// The request rate that the server announces as its limit.
    pub limit: AnnouncedLimit,
}

/// The backoff that a response requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// The header is absent.
    Absent,
    /// How long to back off.
    After(Duration),
    /// The header does not hold a valid duration.
    Invalid(String),
}

/// The request rate that a server accepts from all nodes together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// The header is absent.
    Absent,
    /// The announced rate.
    Rate(RateLimit),
    /// The header is not a valid rate or holds several values.
    Invalid {
        /// Why it is invalid.
        reason: String,
        /// The rate applied instead; `None` leaves the known limit unchanged.
        applied: Option<RateLimit>,
    },
}
