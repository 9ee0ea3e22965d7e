//! Translation of the formats of callers, backend servers and the platform's rows.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use notchwalk_core::Findings;
use notchwalk_platform::Row;
use notchwalk_quarantine::Fingerprint;
use notchwalk_route::{Assignment, ReservationOrder, ServerRecord, SiteConfig};

use crate::ResponseFacts;

/// The decoded head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerFacts {
    /// The request id, byte for byte as received.
    pub id: HeaderValue,
    /// The caller's timeout, if given.
    pub timeout: Option<Duration>,
    /// The caller's API key, if given.
    pub api_key: Option<String>,
    /// Number of prompt tokens; 0 if not given.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; 0 if not given.
    pub max_output_tokens: u32,
    /// Number of output tokens that the caller estimates.
    pub estimated_output_tokens: Option<u32>,
    /// The id of the last event received of an interrupted stream.
    pub last_event_id: Option<u64>,
    /// The parts of the prompt that other requests may share, by their ids and in order. The size
    /// of the head bounds their number.
    pub shared_parts: Vec<Fingerprint>,
}

/// The inputs for the head of a request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest<'a> {
    /// The caller's headers.
    pub caller: &'a HeaderMap,
    /// The server and how to send to it.
    pub assignment: &'a Assignment,
    /// The workspace of the API key.
    pub workspace: Option<&'a str>,
    /// The remaining time of the caller's timeout.
    pub timeout: Duration,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// The response to a directory query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryResponse {
    /// Addresses that accept requests.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long callers may cache the response.
    pub ttl: Duration,
}

/// The operator's configuration, with its values that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedConfig {
    /// The configuration without those values.
    pub site: SiteConfig,
    /// The values that are left out, and why.
    pub findings: Findings,
}

/// The formats of callers, backend servers and rows. Implementations only translate.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns why it is invalid.
    fn caller_request(&self, headers: &HeaderMap) -> Result<CallerFacts, &'static str>;

    /// Encodes the head of a request to a backend server.
    fn backend_request(&self, req: &BackendRequest<'_>) -> HeaderMap;

    /// Encodes the head of a request that a peer serves as if its caller had sent it there:
    /// the end-to-end headers of the caller, the remaining time and the last event.
    fn forwarded_request(
        &self,
        caller: &HeaderMap,
        timeout: Duration,
        last_event_id: Option<u64>,
    ) -> HeaderMap;

    /// Decodes the head of a backend server's response to the request `id`.
    fn backend_response(
        &self,
        id: &HeaderValue,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseFacts;

    /// Returns the name and value of the header that asks a caller to retry later.
    fn retry_after(&self, after: Duration) -> (HeaderName, HeaderValue);

    /// Returns whether a path is that of the readiness check.
    fn is_readiness_check(&self, path: &str) -> bool;

    /// Returns the failure domain of a directory query; `None` if the URI is not that of
    /// a directory query.
    fn directory_query(&self, uri: &Uri) -> Option<String>;

    /// Encodes the response to a directory query.
    fn directory_response(&self, response: &DirectoryResponse) -> Bytes;

    /// Encodes the path and the body of a reservation order.
    fn reservation_order(&self, order: &ReservationOrder) -> (&'static str, Bytes);

    /// Returns the table and the key of the operator's configuration.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Decodes the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns why it can't be used at all.
    fn config(&self, value: &[u8]) -> Result<DecodedConfig, String>;

    /// Returns the name of the table of backend servers.
    fn server_table(&self) -> &'static str;

    /// Decodes the registration of a backend server.
    ///
    /// # Errors
    ///
    /// Returns why it is invalid.
    fn server(&self, row: &Row) -> Result<ServerRecord, String>;
}
