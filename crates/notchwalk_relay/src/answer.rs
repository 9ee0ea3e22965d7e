//! What the head of a backend server's answer says.

use std::{net::SocketAddr, time::Duration};

use notchwalk_route::RateLimit;

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
    /// The id of the server that answers, where it says it.
    pub instance: Option<String>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// For how long the server wants no requests.
    pub wants_nothing_for: ComeBack,
    /// How many requests a second the server takes.
    pub limit: SaidLimit,
}

/// For how long a server that turned a request away wants no others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ComeBack {
    /// It doesn't say.
    NotSaid,
    /// For so long.
    After(Duration),
    /// What it says is no such time.
    Faulty(String),
}

/// How many requests a second a server takes from all entries together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SaidLimit {
    /// It names none.
    NotSaid,
    /// So many.
    Rate(RateLimit),
    /// What it says is no such rate, or several of them.
    Faulty {
        /// What is wrong with it.
        reason: String,
        /// What is taken in its place; `None` changes nothing that is known.
        taken: Option<RateLimit>,
    },
}
