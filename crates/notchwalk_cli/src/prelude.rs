//! The names that a program around the commands needs.

pub use crate::{arguments, run, CliError, Proposal};
