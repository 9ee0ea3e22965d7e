//! The outputs of a router, which its driver carries out.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, QuarantineFinding, SubjectKind};

use crate::{
    AttemptEnd, ForwardedSend, RequestKey, RetryUsage, ServerKey, ServerNotice, ServiceStatus,
};

/// A prefill worker: an engine that prefills a segment of a prompt for the decoding engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillWorker {
    /// Its address.
    pub addr: SocketAddr,
    /// The id of the memory reservation there, if any.
    pub reservation: Option<String>,
}

/// The reason for a placement, for logs. A loss is the expected value of requests that
/// become late because of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// The server has the lowest expected loss.
    LeastLoss,
    /// The engines have free capacity, so no other request misses its objective.
    Room,
    /// The request cannot wait any longer, and its value exceeds the loss that it causes to
    /// other requests.
    Urgent,
    /// The request misses its objective but meets its caller's timeout.
    Late,
}

/// The assignment of a request to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The server.
    pub server: ServerKey,
    /// Its address.
    pub addr: SocketAddr,
    /// The instance id that is expected at the address.
    pub instance: String,
    /// Engines that prefill segments of the prompt.
    pub prefill_workers: Vec<PrefillWorker>,
    /// The priority on the server; 0 is the highest.
    pub priority: u8,
    /// The deadline from the timeouts of the caller and the route.
    pub deadline: Instant,
    /// The reason for the placement.
    pub reason: PlacementReason,
    /// Number of earlier sends of the request.
    pub previous_sends: u32,
    /// Predicted time to the first event.
    pub predicted_first_event: Duration,
    /// Time from the caller's first attempt to the arrival of this one.
    pub since_first_attempt: Duration,
    /// Timeout for the first output of the server; `None` waits until the deadline.
    pub first_output_timeout: Option<Duration>,
    /// Timeout between two events; `None` waits until the deadline.
    pub inter_token_timeout: Option<Duration>,
}

/// The forwarding of a request to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarding {
    /// The name of the peer.
    pub peer: String,
    /// The address at which the peer accepts forwarded requests.
    pub addr: SocketAddr,
    /// How the peer counts its send to a server against the retry budget.
    pub counts_as: ForwardedSend,
    /// The version of this node's configuration. A peer with an older one refuses.
    pub config_version: u64,
    /// The short ids of the servers that requested a backoff from this node. The peer must not
    /// send the request there either.
    pub excluded_servers: Vec<u32>,
    /// Timeout for the first output; `None` waits until the deadline.
    pub first_output_timeout: Option<Duration>,
    /// Timeout between two events; `None` waits until the deadline.
    pub inter_token_timeout: Option<Duration>,
}

/// Why this node refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration has been received yet.
    NotReady,
    /// This node is shutting down.
    Draining,
    /// No server of the service is available.
    NoServer,
    /// The request cannot meet its objective or its deadline.
    Overloaded,
    /// The rate limits of its servers do not allow it in time.
    Limited,
    /// The servers did not run the request, and no further attempt is allowed.
    NotRun,
    /// The request may have run; its outcome is unknown.
    Unknown,
    /// The request exceeded its deadline.
    TimedOut,
    /// Servers crashed during requests with the same content; the cause is not yet known.
    Suspected,
    /// Requests with the same content crash their servers and are refused for some time.
    Quarantined,
    /// This node serves as many requests forwarded by peers as it may.
    PeerBusy,
}

impl Refusal {
    /// Returns whether the refusal guarantees that the request has not run.
    pub fn has_not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::TimedOut | Self::Quarantined)
    }
}

/// An order to reserve memory on an engine, or to release it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationOrder {
    /// The engine's address.
    pub addr: SocketAddr,
    /// The reservation's id.
    pub id: String,
    /// Number of tokens to reserve; `None` releases the memory.
    pub tokens: Option<u32>,
    /// Lifetime of the reservation without renewal.
    pub ttl: Duration,
}

/// An output of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to a server.
    Send {
        /// The request.
        request: RequestKey,
        /// The assignment.
        to: Assignment,
    },
    /// Forward a request to a peer that reaches its service.
    Forward {
        /// The request.
        request: RequestKey,
        /// Where and how it is forwarded.
        to: Forwarding,
    },
    /// Refuse a request; the router drops its state.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The reason.
        reason: Refusal,
        /// Time after which the caller may retry; for a quarantined request, the remaining
        /// time of the quarantine.
        retry_after: Option<Duration>,
    },
    /// Report whether the retry budget allowed a retry.
    RetryDecided {
        /// The request.
        request: RequestKey,
        /// Its service.
        service: String,
        /// How its last attempt ended.
        end: AttemptEnd,
        /// Whether the retry was allowed.
        allowed: bool,
        /// The usage of the budget before.
        usage: RetryUsage,
    },
    /// Report why no server is available for a request.
    NoServer {
        /// The request.
        request: RequestKey,
        /// Its service.
        service: String,
        /// The servers of the service.
        status: ServiceStatus,
        /// How many of them are excluded for this request by its earlier attempts.
        excluded: usize,
    },
    /// Report which suspect a request is refused for.
    Blocked {
        /// The request.
        request: RequestKey,
        /// The fingerprint of its content, or of a part of its prompt.
        subject: Fingerprint,
        /// Which of the two it is.
        kind: SubjectKind,
    },
    /// Deliver the retained error of the server; the router drops the request's state.
    DeliverFailure {
        /// The request.
        request: RequestKey,
    },
    /// Reserve memory for a request; the outcome is reported as [`Event::Reserved`].
    ///
    /// [`Event::Reserved`]: crate::Event::Reserved
    Reserve {
        /// The request.
        request: RequestKey,
        /// The orders, which succeed or fail together.
        orders: Vec<ReservationOrder>,
    },
    /// Send an order that renews or releases a reservation.
    SendReservationOrder(ReservationOrder),
    /// Probe whether a process listens at a server's address.
    ProbePort {
        /// The short id of the server's incarnation.
        server: u32,
        /// Its address.
        addr: SocketAddr,
    },
    /// Open connections to servers of a service until one accepts; the result is reported as
    /// [`Event::LinksChecked`].
    ///
    /// [`Event::LinksChecked`]: crate::Event::LinksChecked
    CheckLinks {
        /// The service.
        service: String,
        /// The addresses of the servers; those that are more probably up come first.
        servers: Vec<SocketAddr>,
    },
    /// Report that this node lost or regained its links to a service, and publish it.
    ReachabilityChanged {
        /// The service.
        service: String,
        /// Whether it is reachable now.
        is_reachable: bool,
    },
    /// Report a finding on requests during which servers crashed.
    Finding(QuarantineFinding),
    /// Report a new notice from a server.
    NewNotice {
        /// The server.
        server: ServerKey,
        /// The notice.
        notice: ServerNotice,
        /// Whether a peer published it; otherwise this node received it.
        reported_by_peer: bool,
    },
    /// Report that a server's limit is exhausted: requests for its service wait or go to other
    /// servers.
    LimitExhausted {
        /// The server.
        server: ServerKey,
    },
    /// Report that a server was ejected.
    Ejected {
        /// The server.
        server: ServerKey,
        /// Duration of the ejection.
        duration: Duration,
    },
}
