//! Errors of commands and their exit codes.

use std::{io, path::Path};

use derive_more::{Display, Error, From};
use notchwalk_bundle::BundleError;
use notchwalk_core::Findings;
use notchwalk_daemon::DaemonError;
use notchwalk_http::HttpError;
use notchwalk_platform::{PlatformError, SubmitError};

/// A failed command.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The input is invalid.
    #[display("{_0}")]
    Findings(Findings),
    /// A bundle is invalid or lacks signatures.
    #[display("{_0}")]
    Bundle(BundleError),
    /// A settings file is invalid.
    #[display("{_0}")]
    Settings(DaemonError),
    /// A bundle was not accepted.
    #[display("{_0}")]
    Submit(SubmitError),
    /// A call to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A call to a daemon failed.
    #[display("daemon {address}: {source}")]
    #[from(ignore)]
    Daemon {
        /// The daemon's operator address.
        address: String,
        /// The cause.
        source: HttpError,
    },
    /// A file can't be read or written.
    #[display("{path}: {source}")]
    #[from(ignore)]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// An argument, a file or a response is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Input(#[error(not(source))] String),
}

impl CliError {
    /// Returns a function that wraps the I/O error of `path`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.display().to_string();
        move |source| Self::File { path, source }
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Bundle(_) | Self::Settings(_) | Self::Input(_) => 2,
            Self::Submit(SubmitError::Conflict { .. }) => 3,
            Self::Submit(SubmitError::Bundle(_)) => 2,
            Self::Submit(_) | Self::Platform(_) | Self::Daemon { .. } => 4,
            Self::File { .. } => 1,
        }
    }
}
