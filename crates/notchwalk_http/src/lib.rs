//! HTTP/1.1 over monoio for all notchwalk programs: a connection with bounds and timeouts,
//! a client with a connection pool, and a server.
//!
//! Heads and bodies are decoded by `monoio-http`. Its encoder buffers 8 KiB of a streamed
//! body before it flushes, which would delay tokens, so this crate encodes heads and chunks
//! itself.

mod body;
mod body_buffer;
mod client;
mod clients;
mod connection;
mod error;
mod event_scanner;
mod head;
mod head_reader;
mod open_exchanges;
mod server;
mod tasks;

pub mod prelude;

pub use body::{BodyFraming, BodyReader, ChunkedBody};
pub use body_buffer::Body;
pub use client::{BufferedResponse, Client, ConnectionReuse, OutgoingRequest, StreamedResponse};
pub use clients::{ClientSlot, ClientTable, Reservation, ServerId, WaitKind};
pub use connection::{Connection, MAX_HEAD_BYTES};
pub use error::HttpError;
pub use event_scanner::EventScanner;
pub use head::{encode_chunk, encode_request_head, encode_response_head, CHUNK_END};
pub use open_exchanges::OpenExchanges;
pub use server::{serve, serve_counted, Exchange, Server, ServerLimits, Service};
pub use tasks::{abort_all, spawn};

/// A boxed future that is not `Send`, for monoio tasks.
pub type LocalBoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + 'a>>;
