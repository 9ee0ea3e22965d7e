//! The names that programs speaking HTTP need.

pub use crate::{
    serve, Client, Exchange, HttpError, LocalBoxFuture, OutgoingRequest, Reuse, ServerLimits,
    Service, StreamedResponse, WholeResponse,
};
