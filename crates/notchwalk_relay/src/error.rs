//! Why the daemon could not start.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error};
use notchwalk_core::Findings;

/// A failed start.
#[derive(Debug, Display, Error)]
pub enum RelayError {
    /// The settings file could not be read.
    #[display("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The settings have faults.
    #[display("{_0}")]
    Settings(#[error(not(source))] Findings),
    /// An address could not be bound.
    #[display("listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The runtime or the signal handlers could not be set up.
    #[display("runtime: {_0}")]
    Runtime(io::Error),
}
