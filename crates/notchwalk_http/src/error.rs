//! Errors of HTTP connections.

use std::io;

use derive_more::{Display, Error, From};

/// A failed exchange.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// A socket operation failed.
    #[display("socket: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the message was complete.
    #[display("the connection closed before the message was whole")]
    Closed,
    /// The body ended inside an event, or an unframed event stream ended without one: the
    /// sender broke it off.
    #[display("the event stream ended inside an event")]
    TruncatedEvent,
    /// The head is malformed.
    #[display("malformed head: {_0}")]
    #[from(ignore)]
    Head(#[error(not(source))] String),
    /// The head is larger than allowed.
    #[display("the head is larger than {_0} bytes")]
    #[from(ignore)]
    HeadTooLarge(#[error(not(source))] usize),
    /// The body's framing is malformed.
    #[display("malformed body framing")]
    Framing,
    /// The body is larger than allowed.
    #[display("the body is larger than {_0} bytes")]
    #[from(ignore)]
    BodyTooLarge(#[error(not(source))] usize),
    /// The message, or the client's connection, had to give way to those of others.
    #[display("too much memory or too many connections are in use")]
    Overloaded,
    /// A timeout expired.
    #[display("timed out")]
    TimedOut,
    /// No connection could be made, so no byte was sent.
    #[display("connect: {_0}")]
    #[from(ignore)]
    Connect(io::Error),
}

impl HttpError {
    /// Returns whether the error proves that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
