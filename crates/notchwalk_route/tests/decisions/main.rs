//! Tests of the router's decisions, without I/O.

mod common;
mod draining;
mod engine_cost;
mod forwarding;
mod groups;
mod limit_sharing;
mod limits;
mod placement;
mod random_runs;
mod registrations;
mod reservations;
mod retries;
mod retry_budget;
mod routes;
mod server_notices;
mod shares;
mod shutdown;
mod suspects;
mod waiting;
