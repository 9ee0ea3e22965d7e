//! The node daemon: drivers that turn socket and timer activity into reducer
//! events, and execute the reducer's effects as I/O. All decisions are made by
//! the reducer in `notchwalk_decide`.

mod api_error;
mod auth;
mod bundle_source;
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
mod limited_stream;
mod metrics;
mod operator_api;
mod order_driver;
pub mod peer_auth;
mod peer_link;
mod peer_links;
mod request_options;
mod response_template;
mod service_proxy;
mod settings;
mod shell;
pub mod sse;
mod vm_watch;

pub mod prelude;

pub use daemon::{run_until_stopped, start_in_thread, BoundAddresses, Listeners, RunningDaemon};
pub use peer_auth::{PeerKey, PeerKeys};
pub use settings::{DaemonSettings, ListenAddresses};
