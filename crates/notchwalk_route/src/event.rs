//! The inputs of a router.

use std::{net::SocketAddr, time::Duration};

use notchwalk_quarantine::{Fingerprint, QuarantineUpdate, SubjectKind};

use crate::{
    DrainSchedule, Group, LimitSharing, LimitUpdate, PeerStatus, PeerWork, ProcessRetries, Refusal,
    RequestFacts, RequestKey, ReservationOrder, ServerChange, ServerKey, ServerNotice,
    ServiceRetries, SiteConfig,
};

/// How an attempt to send a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response was delivered.
    Delivered {
        /// Whether the response is a success; false for an error of the server itself.
        is_success: bool,
    },
    /// The connection failed, so the request was not sent.
    NotConnected,
    /// The request was not sent because the server started draining or requested a backoff.
    NotSent,
    /// The server reported that it did not run the request.
    NotRun {
        /// The faulty server, if it is another one.
        faulty_server: Option<SocketAddr>,
        /// Whether the address now belongs to another instance.
        address_reused: bool,
    },
    /// The server responded with an error of its own, which is retained and can be
    /// delivered. The request counts as run.
    ServerError,
    /// The server sent nothing within the timeout. The request may have run.
    IdleTimeout,
    /// The connection was lost. The request may have run, and the server may have stopped.
    ConnectionLost,
    /// The server's response was invalid. The request may have run.
    InvalidResponse,
    /// The peer that the request was forwarded to refused it; it has not run.
    PeerRefused {
        /// The peer's reason.
        reason: Refusal,
        /// Time after which the peer would accept it.
        retry_after: Option<Duration>,
    },
}

impl AttemptEnd {
    /// Returns the address of the faulty server that a rejection names.
    pub(crate) fn faulty_server(self) -> Option<SocketAddr> {
        match self {
            Self::NotRun { faulty_server, .. } => faulty_server,
            _ => None,
        }
    }
}

/// A failed reservation on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedReservation {
    /// The engine's address.
    pub addr: SocketAddr,
    /// Whether the engine was unreachable. Otherwise it had too little free memory, or its
    /// response was lost.
    pub unreachable: bool,
}

/// An input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration applies.
    Configured(SiteConfig),
    /// The server registry changed.
    Servers(ServerChange),
    /// A server announced a notice in a response header.
    NoticeReceived {
        /// The server.
        server: ServerKey,
        /// The notice.
        notice: ServerNotice,
    },
    /// A complete request arrived.
    Arrived {
        /// The request.
        request: RequestKey,
        /// Its properties.
        facts: RequestFacts,
    },
    /// The first event of a stream was delivered.
    Started {
        /// The request.
        request: RequestKey,
    },
    /// A stream from a server went on for [`SURVIVAL_TIME`](notchwalk_quarantine::SURVIVAL_TIME)
    /// after its first event.
    Survived {
        /// The request.
        request: RequestKey,
    },
    /// An attempt to send a request to a server ended.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The caller disconnected, or the request timed out.
    Abandoned {
        /// The request.
        request: RequestKey,
    },
    /// A peer published its work on some servers, which replaces its earlier work there.
    PeerWork {
        /// The peer's number on this node.
        peer: u32,
        /// The short ids of the servers that the update covers.
        servers: Vec<u32>,
        /// The peer's work on these servers.
        work: Vec<PeerWork>,
    },
    /// A peer expired or restarted, so its earlier updates no longer apply.
    PeerExpired {
        /// The peer's number on this node.
        peer: u32,
    },
    /// A peer published its status.
    PeerStatus {
        /// The peer's number on this node.
        peer: u32,
        /// Its status.
        status: PeerStatus,
    },
    /// No server of a service sent anything for a while, although requests wait for one.
    ServiceSilent {
        /// A server of the service.
        server: ServerKey,
    },
    /// Connections to servers of a service were opened, to check the links.
    LinksChecked {
        /// The service.
        service: String,
        /// Whether a server accepted the connection.
        passed: bool,
    },
    /// A peer published servers that announced to it that they are draining.
    DrainingReported {
        /// The short ids of the servers' incarnations.
        servers: Vec<u32>,
    },
    /// A peer published updates on requests during which servers crashed.
    QuarantineUpdates {
        /// The peer's number on this node.
        peer: u32,
        /// The updates.
        updates: Vec<QuarantineUpdate>,
    },
    /// No process listens at a server's address any more.
    PortClosed {
        /// The short id of the server's incarnation.
        server: u32,
    },
    /// A quarantine was read from the store.
    QuarantineRestored {
        /// The fingerprint of the quarantined content or part.
        content: Fingerprint,
        /// Which of the two it is.
        kind: SubjectKind,
        /// The remaining time of the quarantine.
        left: Duration,
        /// How often the content has been quarantined.
        quarantine_count: u32,
    },
    /// An operator ended a quarantine.
    QuarantineReleased {
        /// The fingerprint of the quarantined content or part.
        content: Fingerprint,
    },
    /// This node's group was derived from the registered nodes and servers.
    Group(Group),
    /// The number of nodes changed.
    NodeCount {
        /// The number of nodes, this one included.
        count: u32,
    },
    /// A peer published the recent retries of its process.
    PeerRetries {
        /// The peer's name.
        name: String,
        /// The boot number of its process.
        boot: u64,
        /// Its retries.
        services: Vec<ServiceRetries>,
    },
    /// The store had no record of an earlier process of this node.
    NoPreviousProcess,
    /// A peer that knows all recent retries published them.
    RetryHistory {
        /// The processes that it knows.
        processes: Vec<ProcessRetries>,
    },
    /// The number of nodes that share the limits of servers changed.
    LimitSharing(LimitSharing),
    /// A peer published updates on limited servers.
    LimitUpdates {
        /// The peer's number on this node.
        peer: u32,
        /// The peer's name.
        name: String,
        /// Whether it is in this node's group. The send counters of other peers are ignored,
        /// as they arrive too late.
        is_in_group: bool,
        /// The updates.
        updates: Vec<LimitUpdate>,
    },
    /// All reservation orders of a request received a response or failed.
    Reserved {
        /// The request.
        request: RequestKey,
        /// The engines on which the reservation failed; empty if all memory is reserved.
        failed: Vec<FailedReservation>,
    },
    /// A reservation order had no response: it may be carried out late.
    ReservationUnanswered(ReservationOrder),
    /// Time passed.
    Tick,
    /// The machine resumed from a suspension of this duration.
    MachineResumed {
        /// The duration.
        suspended: Duration,
    },
    /// This node is shutting down.
    NodeDraining(DrainSchedule),
}
