//! The operators' command-line tool: checks settings, manages keys and bundles, and
//! shows the state of daemons.

pub mod arguments;
mod bundles;
mod error;
pub mod explain;
mod keys;
mod proposal;
mod quarantine;
mod run;
mod settings;
mod state;

pub mod prelude;

pub use error::CliError;
pub use proposal::Proposal;
pub use run::run;
