//! HTTP/1.1 over monoio for all notchwalk programs: a connection with bounds
//! and timeouts, a client with a pool, and a server loop.
//!
//! Heads and bodies are decoded by `monoio-http`. Its encoder flushes a
//! streamed body only past 8 KiB, which would hold tokens back, so heads and
//! chunks are framed here, in a few lines.

mod body;
mod client;
mod connection;
mod error;
mod head;
mod server;
mod tasks;

pub mod prelude;

pub use body::BodyReader;
pub use client::{Client, OutgoingRequest, Reuse, StreamedResponse, WholeResponse};
pub use connection::{Connection, MAX_HEAD_BYTES};
pub use error::HttpError;
pub use head::{chunk_into, request_head, response_head, CHUNK_END};
pub use server::{serve, Exchange, ServerLimits, Service};
pub use tasks::{end_all, spawn};

/// A future that stays on its thread, as monoio tasks do.
pub type LocalBoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + 'a>>;
