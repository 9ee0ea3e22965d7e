//! Re-exports for HTTP clients and servers.

pub use crate::{
    serve, BufferedResponse, Client, ConnectionReuse, Exchange, HttpError, LocalBoxFuture,
    OutgoingRequest, ServerLimits, Service, StreamedResponse,
};
