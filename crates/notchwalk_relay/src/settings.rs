//! Settings of the process.

use std::{net::SocketAddr, path::Path, time::Duration};

use notchwalk_bundle::IniFile;
use notchwalk_core::Findings;
use notchwalk_daemon::{settings, DaemonError};

/// Memory of the VM if the settings name none, in megabytes.
const DEFAULT_MEMORY_MB: usize = 160;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// The name of the VM.
    pub name: String,
    /// The failure domain of the VM.
    pub failure_domain: String,
    /// Listening address for callers' requests.
    pub caller_addr: SocketAddr,
    /// Listening address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Listening address for directory queries.
    pub directory_addr: SocketAddr,
    /// Listening address for messages from peers.
    pub peer_addr: SocketAddr,
    /// Listening address for metrics and the state dump.
    pub operator_addr: SocketAddr,
    /// The address of the platform's store.
    pub store_addr: SocketAddr,
    /// How long callers may cache the directory's response.
    pub directory_ttl: Duration,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries allowed in addition, across all nodes.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// The memory of the VM, in bytes. A part of it may hold messages of clients.
    pub memory_bytes: usize,
}

impl RelaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with all findings in it.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        settings::load(path, read)
    }

    /// Parses the text of a settings file; findings refer to it as `name`.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        settings::parse(name, text, read)
    }
}

fn read(ini: &IniFile) -> Option<RelaySettings> {
    let entry = ini.section("entry");
    let name = entry.required::<String>("name");
    let failure_domain = entry.required::<String>("failure_domain");
    let caller_addr = entry.required::<SocketAddr>("caller_address");
    let ready_addr = entry.required::<SocketAddr>("ready_address");
    let directory_addr = entry.required::<SocketAddr>("directory_address");
    let peer_addr = entry.required::<SocketAddr>("peer_address");
    let operator_addr = entry.required::<SocketAddr>("operator_address");
    let directory_ttl_ms = entry.in_range("directory_ttl_ms", 2_000, 100, 600_000);
    let stop_grace_s = entry.in_range("stop_grace_s", 8.0, 1.0, 600.0);
    let max_descriptors = entry.in_range("max_descriptors", 4_200, 64, 1_000_000);
    let memory_mb = entry.in_range("memory_mb", DEFAULT_MEMORY_MB, 32, 1_000_000);
    let store = ini.section("store");
    let store_addr = store.required::<SocketAddr>("address");
    let retries = ini.section("retries");
    let retry_ratio = retries.in_range("ratio", 0.2, 0.0, 10.0);
    let retry_slack = retries.in_range("slack", 100.0, 0.0, 1e6);
    let retry_window_s = retries.in_range("window_s", 10.0, 0.1, 3_600.0);
    Some(RelaySettings {
        name: name?,
        failure_domain: failure_domain?,
        caller_addr: caller_addr?,
        ready_addr: ready_addr?,
        directory_addr: directory_addr?,
        peer_addr: peer_addr?,
        operator_addr: operator_addr?,
        store_addr: store_addr?,
        directory_ttl: Duration::from_millis(directory_ttl_ms),
        retry_ratio,
        retry_slack,
        retry_window: Duration::from_secs_f64(retry_window_s),
        stop_grace: Duration::from_secs_f64(stop_grace_s),
        max_descriptors,
        memory_bytes: memory_mb * 1_000_000,
    })
}
