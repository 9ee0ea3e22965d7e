//! Why a daemon can't start.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error};
use notchwalk_core::Findings;

/// A daemon that can't start.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// The settings have faults.
    #[display("{_0}")]
    Settings(Findings),
    /// A file can't be read.
    #[display("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// An address can't be listened on.
    #[display("can't listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The runtime can't be had.
    #[display("the runtime can't start: {_0}")]
    Runtime(io::Error),
}
