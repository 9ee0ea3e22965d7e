//! Everything a router can be told.

use std::{net::SocketAddr, time::Duration};

use notchwalk_quarantine::{Fingerprint, News};

use crate::{
    Group, PeerWork, RequestFacts, RequestKey, ReservationOrder, ServerChange, ServerKey,
    ServerWord, Sharing, SiteConfig, ToldLimit,
};

/// How sending a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was delivered. `healthy` is false for an answer that
    /// the server gave as its own error.
    Delivered {
        /// Whether the answer speaks for the server.
        healthy: bool,
    },
    /// No connection could be made, so that nothing was sent.
    NotConnected,
    /// Nothing was sent: before it could be, the server said that it leaves or wants
    /// nothing.
    NotSent,
    /// The server said that it did not run the request.
    NotRun {
        /// The server at fault, where it is another one.
        at_fault: Option<SocketAddr>,
        /// Whether the server's address belongs to another instance by now.
        moved: bool,
    },
    /// The server answered with an error of its own, which is kept and could
    /// be delivered; the request counts as run.
    Failed,
    /// The server said nothing for too long; the request may have run.
    Silent,
    /// The connection broke; the request may have run, and the server may have
    /// ended.
    Broken,
    /// The server answered and the answer could not be used; the request may have
    /// run.
    Unusable,
}

/// An engine on which memory could not be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedReservation {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it could not be reached; otherwise it had no memory free, or its
    /// answer got lost.
    pub unreachable: bool,
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configured(SiteConfig),
    /// The register of servers changed.
    Servers(ServerChange),
    /// A server said something of itself in the head of an answer.
    ServerSaid {
        /// The server.
        server: ServerKey,
        /// What it said.
        word: ServerWord,
    },
    /// A request arrived whole.
    Arrived {
        /// The request.
        request: RequestKey,
        /// What is known of it.
        facts: RequestFacts,
    },
    /// The first event of a stream was delivered.
    Started {
        /// The request.
        request: RequestKey,
    },
    /// Sending a request to a server ended.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// How.
        end: AttemptEnd,
    },
    /// The caller left, or the request's time is over: nobody waits any more.
    Abandoned {
        /// The request.
        request: RequestKey,
    },
    /// A peer told what it has at some servers; replaces what it told of them.
    PeerWork {
        /// The peer's number on this entry.
        peer: u32,
        /// The servers it tells about.
        servers: Vec<u32>,
        /// What it has there.
        work: Vec<PeerWork>,
    },
    /// A peer fell silent or started anew: what it told is void.
    PeerGone {
        /// The peer's number on this entry.
        peer: u32,
    },
    /// A peer told of servers that said to it that they leave.
    ToldLeaving {
        /// The short ids of the servers' lives.
        servers: Vec<u32>,
    },
    /// A peer told of requests under which servers ended.
    News {
        /// The peer's number on this entry.
        peer: u32,
        /// What it told.
        news: Vec<News>,
    },
    /// Nobody listens at a server's address any more.
    NotListening {
        /// The short id of the server's life.
        server: u32,
    },
    /// A quarantine was read from the store.
    Restored {
        /// The content.
        content: Fingerprint,
        /// How long it still holds.
        left: Duration,
        /// How often it was quarantined.
        times: u32,
    },
    /// An operator ends a quarantine.
    Release {
        /// The content.
        content: Fingerprint,
    },
    /// The group of entries that this one belongs to, among many.
    Group(Group),
    /// How many entries share what is allowed to all, this one included.
    Entries {
        /// The count.
        count: u32,
    },
    /// Who shares what servers allow to all entries.
    Sharing(Sharing),
    /// A peer told of servers that name limits.
    ToldLimits {
        /// The peer's number on this entry.
        peer: u32,
        /// Its name.
        name: String,
        /// Whether it is of this entry's group: only then its sends are told in time.
        near: bool,
        /// What it told.
        limits: Vec<ToldLimit>,
    },
    /// All orders to set memory aside for a request were answered, or failed.
    Reserved {
        /// The request.
        request: RequestKey,
        /// The engines on which it failed; all of the memory is set aside if
        /// there is none.
        failed: Vec<FailedReservation>,
    },
    /// An order for memory went unanswered: it may be carried out late.
    Unanswered(ReservationOrder),
    /// Time passed.
    Tick,
    /// The entry was told to stop; new requests are refused after `after`.
    Draining {
        /// How long it still takes requests.
        after: Duration,
    },
}
