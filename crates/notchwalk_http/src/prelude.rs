//! Re-exports for HTTP clients and servers.

pub use crate::{
    serve, BodyFraming, BufferedResponse, Client, ConnectionReuse, Exchange, HttpError,
    LocalBoxFuture, OutgoingRequest, ServerLimits, Service, StreamedResponse,
};
