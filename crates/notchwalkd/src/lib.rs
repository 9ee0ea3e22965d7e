//! The entry daemon: drivers that turn sockets and timers into events of the
//! reducer, and its effects into I/O. No decision stands here.

mod answer_template;
mod api_error;
mod auth;
mod bundle_texts;
mod bundle_watch;
mod caller_api;
mod channel;
mod claim_writer;
mod claims;
mod completion_request;
mod completions;
mod daemon;
mod effects;
mod engine_driver;
mod engine_poll;
mod metrics;
mod operator_api;
mod order_driver;
mod peer_link;
mod peer_links;
pub mod peer_proof;
mod request_options;
mod service_proxy;
mod settings;
mod shell;
pub mod sse;
mod vm_watch;

pub mod prelude;

pub use daemon::{run_until_stopped, start_in_thread, BoundAddresses, Listeners, RunningDaemon};
pub use peer_proof::{PeerKey, PeerKeys};
pub use settings::{DaemonSettings, ListenAddresses};
