//! What the head of a backend server's answer says.

use std::net::SocketAddr;

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerWord {
    /// The answer to the request.
    Success,
    /// An error of the server's own; the request counts as run.
    Failure,
    /// The server did not run the request.
    NotRun,
    /// Another instance has the address; the request was not run.
    Moved,
    /// Bytes that belong to another request.
    Foreign,
    /// Not an answer of the server: it lacks what every answer has.
    Unusable,
}

/// The head of an answer, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What it is.
    pub word: AnswerWord,
    /// The server that is to blame, where it is another one.
    pub at_fault: Option<SocketAddr>,
}
