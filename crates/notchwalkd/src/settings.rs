//! The daemon's settings: one INI file, validated as a whole.

use std::{net::SocketAddr, path::Path, time::Duration};

use notchwalk_bundle::IniFile;
use notchwalk_core::{Findings, VmId};
use notchwalk_daemon::{settings, DaemonError};
use notchwalk_decide::ReserveMode;

use crate::peer_auth::PeerKeys;

/// Memory of the VM if the settings name none, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;

/// The addresses a daemon is to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers' interface.
    pub caller: SocketAddr,
    /// Links from peers.
    pub peer: SocketAddr,
    /// Operators' interface.
    pub operator: SocketAddr,
}

/// The settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The VM the daemon runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// The addresses to listen on.
    pub listen: ListenAddresses,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Shared keys that authenticate peers.
    pub peer_keys: PeerKeys,
    /// How long callers may cache the list of nodes.
    pub node_list_ttl: Duration,
    /// Maximum size of a completion request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of concurrent connections of each HTTP listener.
    pub max_connections: usize,
    /// The memory of the VM, in bytes. A part of it may hold messages of clients.
    pub memory_bytes: usize,
    /// Maximum bytes of a response buffered for a slow caller.
    pub max_unread_bytes: usize,
    /// How engine memory is reserved. Not read from the settings file.
    pub reserve: ReserveMode,
}

impl DaemonSettings {
    /// Creates settings with default limits.
    pub fn new(
        vm: VmId,
        failure_domain: impl Into<String>,
        listen: ListenAddresses,
        platform: SocketAddr,
        peer_keys: PeerKeys,
    ) -> Self {
        Self {
            vm,
            failure_domain: failure_domain.into(),
            listen,
            platform,
            peer_keys,
            node_list_ttl: Duration::from_secs(5),
            max_body_bytes: 64 << 20,
            max_connections: 20_000,
            memory_bytes: DEFAULT_MEMORY_MB * 1_000_000,
            max_unread_bytes: 1 << 20,
            reserve: ReserveMode::TopUp,
        }
    }

    /// Sets how engine memory is reserved.
    pub fn with_reserve(mut self, reserve: ReserveMode) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets how long callers may cache the list of nodes.
    pub fn with_node_list_ttl(mut self, ttl: Duration) -> Self {
        self.node_list_ttl = ttl;
        self
    }

    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and returns all findings if it is invalid.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        settings::load(path, from_ini)
    }

    /// Parses the text of a settings file. Findings refer to the file as `name`.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        settings::parse(name, text, from_ini)
    }
}

fn from_ini(ini: &IniFile) -> Option<DaemonSettings> {
    let daemon = ini.section("daemon");
    let vm = daemon.required::<u32>("vm");
    let failure_domain = daemon.required::<String>("failure_domain");
    let caller = daemon.required::<SocketAddr>("caller_address");
    let peer = daemon.required::<SocketAddr>("peer_address");
    let operator = daemon.required::<SocketAddr>("operator_address");
    let node_list_ttl_ms = daemon.in_range("entries_ttl_ms", 5_000, 100, 600_000);
    let platform = ini.section("platform").required::<SocketAddr>("address");
    let peers = ini.section("peers");
    let keys = peers.list("keys");
    let peer_keys = PeerKeys::parse(&keys);
    if let Err(reason) = &peer_keys {
        peers.report("keys", *reason);
    }
    let limits = ini.section("limits");
    let max_body_bytes = limits.in_range("max_body_bytes", 64 << 20, 1_024, 1 << 30);
    let max_connections = limits.in_range("max_connections", 20_000, 1, 1_000_000);
    let memory_mb = limits.in_range("memory_mb", DEFAULT_MEMORY_MB, 32, 1_000_000);
    let max_unread_bytes = limits.in_range("max_unread_bytes", 1 << 20, 4_096, 1 << 30);
    if limits.exists() && max_unread_bytes > max_body_bytes {
        limits.report("max_unread_bytes", "is more than max_body_bytes");
    }
    let listen = ListenAddresses {
        caller: caller?,
        peer: peer?,
        operator: operator?,
    };
    let mut settings = DaemonSettings::new(
        VmId(vm?),
        failure_domain?,
        listen,
        platform?,
        peer_keys.ok()?,
    );
    settings.node_list_ttl = Duration::from_millis(node_list_ttl_ms);
    settings.max_body_bytes = max_body_bytes;
    settings.max_connections = max_connections;
    settings.memory_bytes = memory_mb * 1_000_000;
    settings.max_unread_bytes = max_unread_bytes;
    Some(settings)
}
