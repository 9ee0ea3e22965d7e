//! How callers, backend servers and the platform's rows spell things.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use notchwalk_platform::Row;
use notchwalk_route::{Assignment, ReservationOrder, ServerRecord, SiteConfig};

use crate::AnswerFacts;

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerFacts {
    /// The request's id, exactly as it came.
    pub id: HeaderValue,
    /// How long the caller waits, if it says.
    pub patience: Option<Duration>,
    /// The key it shows.
    pub key: Option<String>,
    /// Tokens of its prompt; 0 if it says none.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most; 0 if it says none.
    pub max_answer_tokens: u32,
    /// Tokens of the answer, as the caller guesses.
    pub guessed_answer_tokens: Option<u32>,
    /// The last event it has of a stream that broke off.
    pub last_event: Option<u64>,
}

/// What the head of a request to a backend server is made of.
#[derive(Clone, Debug)]
pub struct BackendRequest<'a> {
    /// The caller's headers.
    pub caller: &'a HeaderMap,
    /// Where it goes and how.
    pub assignment: &'a Assignment,
    /// The workspace of the caller's key.
    pub workspace: Option<&'a str>,
    /// How long the caller still waits.
    pub patience: Duration,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What callers that ask where to go are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// Addresses for requests.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Duration,
}

/// A published way of speaking. Implementations only translate.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn caller_request(&self, headers: &HeaderMap) -> Result<CallerFacts, &'static str>;

    /// Writes the head of a request to a backend server.
    fn backend_request(&self, req: &BackendRequest<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer to the request `id`.
    fn backend_answer(
        &self,
        id: &HeaderValue,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerFacts;

    /// Returns the header that tells a caller when to come back, and its value.
    fn retry_after(&self, after: Duration) -> (HeaderName, HeaderValue);

    /// Tells whether a request asks whether this entry is ready.
    fn asks_readiness(&self, path: &str) -> bool;

    /// Reads the failure domain out of a caller's question where to go; `None`
    /// if it is another question.
    fn directory_question(&self, uri: &Uri) -> Option<String>;

    /// Writes the answer to the question where to go.
    fn directory_answer(&self, answer: &DirectoryAnswer) -> Bytes;

    /// Writes the path and the body of an order for memory.
    fn reservation_order(&self, order: &ReservationOrder) -> (&'static str, Bytes);

    /// Names the table and the key of the operator's configuration.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Reads the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn config(&self, value: &[u8]) -> Result<SiteConfig, String>;

    /// Names the table of backend servers.
    fn server_table(&self) -> &'static str;

    /// Reads the record of a backend server.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn server(&self, row: &Row) -> Result<ServerRecord, String>;
}
