//! Routing decisions: which backend server a request is sent to, and when. Request bodies
//! are opaque, and a route names the services that a request may be sent to.
//!
//! [`Router::step`] takes one [`Event`] and appends [`Effect`]s. It has no clock, I/O or
//! threads, and its random numbers come from a seed, so a recorded stream of events replays
//! to the same effects.
//!
//! | module | responsibility |
//! |---|---|
//! | `site` | configuration: routes, services, workspaces and limits |
//! | `routes` | lookup of the route and the workspace of a request |
//! | `first_attempt` | time since a caller's first attempt |
//! | `fleet` | backend servers and their availability |
//! | `links` | which services this node reaches |
//! | `forward_peers` | peers that requests are forwarded to |
//! | `server_notice` | notices from servers in response headers |
//! | `groups` | the subset of servers that a node uses in a large deployment |
//! | `load_view` | load of each server from this node and its peers |
//! | `engine_cost` | cost model of an engine |
//! | `shares` | fair shares of the engines between workspaces |
//! | `wait_queue` | order of waiting requests |
//! | `placement/` | choice of a server and of prefill workers |
//! | `reservations` | memory reservations on engines for the longest prompts |
//! | `retry_budget` | budgets for retries |
//! | `retry_history` | retries of processes that ended, kept by their peers |
//! | `drain_schedule` | when a node that shuts down stops its work |
//! | `router/` | the reducer |

mod drain_schedule;
mod effect;
mod engine_cost;
mod event;
mod first_attempt;
mod fleet;
mod forward_peers;
mod groups;
mod links;
mod load_view;
mod placement;
mod request;
mod reservations;
mod retry_budget;
mod retry_history;
mod router;
mod routes;
mod server_notice;
mod shares;
mod site;
mod wait_queue;

pub mod prelude;

pub use drain_schedule::DrainSchedule;
pub use effect::{
    Assignment, Effect, Forwarding, PlacementReason, PrefillWorker, Refusal, ReservationOrder,
};
pub use engine_cost::EngineCost;
pub use event::{AttemptEnd, Event, FailedReservation};
pub use fleet::{
    Availability, Fleet, LimitScope, LimitSharing, LimitUpdate, ObservedLimit, Server,
    ServerChange, ServerKey, ServerRecord, ServerStage, ServiceStatus,
};
pub use forward_peers::PeerStatus;
pub use groups::{node_order, Group};
pub use load_view::{LoadView, PeerWork, WorkPhase};
pub use request::{ForwardedSend, RequestFacts, RequestKey};
pub use retry_budget::{RetryBudget, RetryShare, RetryUsage};
pub use retry_history::{ProcessRetries, ServiceRetries};
pub use router::{Router, RouterConfig};
pub use routes::{host_name, RouteLookup, RouteTable};
pub use server_notice::{RateLimit, ServerNotice};
pub use shares::WorkspaceShortId;
pub use site::{
    Backend, CallerLimits, EngineParameters, Repeatability, Route, Service, SiteConfig, Workspace,
};
