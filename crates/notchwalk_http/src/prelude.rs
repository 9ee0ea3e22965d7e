//! Re-exports for HTTP clients and servers.

pub use crate::{
    serve, Client, Exchange, HttpError, LocalBoxFuture, OutgoingRequest, Reuse, ServerLimits,
    Service, StreamedResponse, WholeResponse,
};
