//! Re-exports for programs that run the commands.

pub use crate::{arguments, run, CliError, Proposal};
