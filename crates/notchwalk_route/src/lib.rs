//! Decisions about routed requests: requests whose bodies are opaque and that
//! are forwarded to a backend server of the service their route names.
//!
//! [`Router::step`] takes one [`Event`] and appends [`Effect`]s. It has no
//! clock, no I/O and no thread, and draws its random numbers from a seed, so
//! that a recorded stream of events replays to the same effects.
//!
//! | file | what it decides |
//! |---|---|
//! | `site` | what an operator configures: routes, services, workspaces, limits |
//! | `routes` | which route a request takes, and whose key it carries |
//! | `first_try` | since when a caller has been asking |
//! | `fleet` | which backend servers exist and which may be used |
//! | `server_notice` | what servers say of themselves in their answers |
//! | `groups` | which servers an entry uses among many entries |
//! | `board` | what runs on each server, by this entry and by its peers |
//! | `engine_cost` | what work costs on a model engine |
//! | `shares` | which workspaces use more than their share of the engines |
//! | `wait_queue` | which waiting request is sent next |
//! | `placement/` | which server, and which helpers, a request goes to |
//! | `reservations` | memory set aside on engines for the longest prompts |
//! | `retry_budget` | how many repeated sends an entry may make |
//! | `router/` | the reducer |

mod board;
mod effect;
mod engine_cost;
mod event;
mod first_try;
mod fleet;
mod groups;
mod placement;
mod request;
mod reservations;
mod retry_budget;
mod router;
mod routes;
mod server_notice;
mod shares;
mod site;
mod wait_queue;

pub mod prelude;

pub use board::{Board, PeerWork, WorkPhase};
pub use effect::{Assignment, Effect, Grounds, Helper, Refusal, ReservationOrder};
pub use engine_cost::EngineCost;
pub use event::{AttemptEnd, Event, FailedReservation};
pub use fleet::{
    Availability, Fleet, Server, ServerChange, ServerKey, ServerRecord, ServerStage, Sharing, Told,
    ToldLimit, ToldLimitWord,
};
pub use groups::{entry_order, Group};
pub use request::{RequestFacts, RequestKey};
pub use retry_budget::RetryBudget;
pub use router::{Router, RouterConfig};
pub use routes::{host_name, RouteLookup, RouteTable};
pub use server_notice::{RateLimit, ServerWord};
pub use shares::WorkspaceTag;
pub use site::{
    Backend, ClientLimits, EngineParameters, Repeatability, Route, Service, SiteConfig, Workspace,
};
