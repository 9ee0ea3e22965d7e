//! The daemon's drivers for routed requests: they turn sockets, timers and the
//! platform's rows into events of [`notchwalk_route::Router`], and its effects
//! into I/O. No decision about a request stands here.
//!
//! How callers, backend servers and the platform spell things is behind the
//! trait object [`Dialect`]; where rows lie is behind
//! [`notchwalk_platform::RowStore`].

mod answer;
mod attempt;
mod config_watch;
mod daemon;
mod dialect;
mod directory;
mod effects;
mod engine_orders;
mod front;
mod metrics;
mod operator;
mod peer_link;
mod peers;
mod presence;
mod presence_record;
mod quarantine;
mod served;
mod server_watch;
mod server_words;
mod settings;
mod shell;
mod stream_events;
mod table_watch;
mod written_again;

pub mod prelude;

pub use answer::{AnswerFacts, AnswerWord, ComeBack, SaidLimit};
pub use daemon::{run, Surroundings};
pub use dialect::{BackendRequest, CallerFacts, Dialect, DirectoryAnswer};
pub use settings::RelaySettings;
pub use stream_events::EventSplitter;
