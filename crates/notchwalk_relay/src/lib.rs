//! I/O drivers around [`notchwalk_route::Router`]: input from sockets, timers and the
//! platform's store is passed to the router as events, and the router's effects are
//! executed. The router makes all decisions about requests.
//!
//! [`Dialect`] translates the formats of callers, backend servers and the platform;
//! [`notchwalk_platform::RowStore`] gives access to the store.

mod active_request;
mod attempt;
mod config_watch;
mod daemon;
mod dialect;
mod directory;
mod effects;
mod engine_orders;
mod forwarding;
mod front;
mod links;
mod metrics;
mod operator;
mod peer_link;
mod peers;
mod presence;
mod presence_record;
mod quarantine;
mod relay_response;
mod response;
mod server_notices;
mod server_wait;
mod server_watch;
mod settings;
mod shell;
mod shutdown;
mod store_repair;
mod stream_events;
mod table_watch;

pub mod prelude;

pub use daemon::{run, Environment};
pub use dialect::{BackendRequest, CallerFacts, DecodedConfig, Dialect, DirectoryResponse};
pub use response::{AnnouncedLimit, ResponseFacts, ResponseKind, RetryAfter};
pub use settings::RelaySettings;
pub use stream_events::EventSplitter;
