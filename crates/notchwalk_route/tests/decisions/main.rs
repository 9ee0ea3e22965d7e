//! Tests of the router's decisions, without I/O.

mod common;
mod engine_cost;
mod groups;
mod leaving;
mod limits;
mod placement;
mod random_runs;
mod reservations;
mod retries;
mod routes;
mod server_words;
mod shares;
mod suspects;
mod waiting;
