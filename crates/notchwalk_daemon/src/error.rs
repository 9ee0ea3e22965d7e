//! Errors that prevent a daemon from starting.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error};
use notchwalk_core::Findings;

/// An error that prevents a daemon from starting.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(Findings),
    /// A file could not be read.
    #[display("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The underlying error.
        source: io::Error,
    },
    /// An address could not be bound.
    #[display("can't listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The runtime could not be started.
    #[display("the runtime can't start: {_0}")]
    Runtime(io::Error),
}
