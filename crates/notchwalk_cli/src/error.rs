//! What a command can fail with, and the exit code of each.

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
    /// The input has faults.
    #[display("{_0}")]
    Findings(Findings),
    /// A bundle has faults or lacks signatures.
    #[display("{_0}")]
    Bundle(BundleError),
    /// A settings file can't be used.
    #[display("{_0}")]
    Settings(DaemonError),
    /// A bundle was not accepted.
    #[display("{_0}")]
    Submit(SubmitError),
    /// The platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A daemon did not answer.
    #[display("{address}: {source}")]
    #[from(ignore)]
    Daemon {
        /// The daemon's operator address.
        address: String,
        /// Why.
        source: HttpError,
    },
    /// A file can't be read or written.
    #[display("{path}: {source}")]
    #[from(ignore)]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Something given doesn't make sense.
    #[display("{_0}")]
    #[from(ignore)]
    Input(#[error(not(source))] String),
}

impl CliError {
    /// Wraps a file's error.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.display().to_string();
        move |source| Self::File { path, source }
    }

    /// Returns the process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Bundle(_) | Self::Settings(_) | Self::Input(_) => 2,
            Self::Submit(SubmitError::Raced { .. }) => 3,
            Self::Submit(SubmitError::Bundle(_)) => 2,
            Self::Submit(_) | Self::Platform(_) | Self::Daemon { .. } => 4,
            Self::File { .. } => 1,
        }
    }
}
