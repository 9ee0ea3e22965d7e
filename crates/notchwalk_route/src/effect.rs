//! Everything a router can ask its driver to do.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::Finding;

use crate::{RequestKey, ServerKey, ServerWord};

/// Another engine that reads a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its address.
    pub addr: SocketAddr,
    /// The memory set aside there, if any.
    pub reservation: Option<String>,
}

/// Why a request goes where it goes, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grounds {
    /// The least expected loss among all servers.
    LeastLoss,
    /// Engines have room, nobody else becomes late.
    Room,
    /// It can't wait any longer and stands for more than others lose by it.
    Urgent,
    /// It will be late, within the time that its caller waits.
    Late,
}

/// A request's way to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The server.
    pub server: ServerKey,
    /// Its address.
    pub addr: SocketAddr,
    /// The instance that must answer there.
    pub instance: String,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<Helper>,
    /// The rank on the server, 0 first.
    pub priority: u8,
    /// When the caller or the route stops waiting.
    pub deadline: Instant,
    /// Why it goes there.
    pub grounds: Grounds,
    /// How often the request was sent before.
    pub resent: u32,
    /// When the first event was predicted to come, from now.
    pub predicted_first: Duration,
    /// Time from the caller's first try to this one's arrival.
    pub since_first: Duration,
    /// How long nothing at all may come before the server is given up; `None`
    /// waits to the deadline.
    pub first_silence: Option<Duration>,
    /// The same between two events.
    pub pause_silence: Option<Duration>,
}

/// Why a request is answered by the entry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration is in force yet.
    NotReady,
    /// The entry stops.
    Draining,
    /// No server of the service may be given work.
    NoServer,
    /// Its objective and its deadline can't be met.
    Overloaded,
    /// Its servers name limits, and what they allow is gone before its turn.
    Limited,
    /// The servers did not run it and no further try is allowed.
    NotRun,
    /// It may have run; the outcome is unknown.
    Unknown,
    /// Its time is over.
    TimedOut,
    /// Servers ended under requests of its content; whether by its fault is not
    /// known yet.
    Suspected,
    /// Requests of its content crash their servers: it is sent to none for a while.
    Quarantined,
}

impl Refusal {
    /// Tells whether the refusal proves that the request has not run.
    pub fn has_not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::TimedOut | Self::Quarantined)
    }
}

/// Sets memory aside on an engine, or gives it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationOrder {
    /// The engine's address.
    pub addr: SocketAddr,
    /// The reservation's id.
    pub id: String,
    /// Tokens to set aside; `None` gives the memory back.
    pub tokens: Option<u32>,
    /// How long it holds without renewal.
    pub hold: Duration,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to a server.
    Send {
        /// The request.
        request: RequestKey,
        /// Where and how.
        to: Assignment,
    },
    /// Answer a request; the router forgets it.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why.
        reason: Refusal,
        /// When the caller may come back; for a quarantined request, when that
        /// ends.
        retry_after: Option<Duration>,
    },
    /// Deliver the server's own error that was kept; the router forgets the
    /// request.
    DeliverFailure {
        /// The request.
        request: RequestKey,
    },
    /// Place or end a reservation; `request` hears of the outcome of placing.
    Reserve {
        /// The request.
        request: RequestKey,
        /// The orders, all or none.
        orders: Vec<ReservationOrder>,
    },
    /// Renew a reservation or give its memory back.
    Order(ReservationOrder),
    /// Find out whether anybody listens at a server's address.
    Check {
        /// The short id of the server's life.
        server: u32,
        /// Its address.
        addr: SocketAddr,
    },
    /// Something became known of requests under which servers ended.
    Found(Finding),
    /// Something that a server said of itself is new here.
    Heard {
        /// The server.
        server: ServerKey,
        /// What it said.
        word: ServerWord,
        /// Whether it said so to a peer, which told it.
        by_peer: bool,
    },
    /// A server's limit leaves requests for its service to other servers, or lets them
    /// wait.
    LimitUsedUp {
        /// The server.
        server: ServerKey,
    },
    /// A server gets no work for a while.
    Closed {
        /// The server.
        server: ServerKey,
        /// For how long.
        pause: Duration,
    },
}
