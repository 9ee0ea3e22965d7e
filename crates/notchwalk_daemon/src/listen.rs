//! Listening sockets.

use std::net::{SocketAddr, TcpListener};

use crate::DaemonError;

/// Binds an address for listening; if its port is 0, the one that the system chose is
/// written into it.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(addr: &mut SocketAddr) -> Result<TcpListener, DaemonError> {
    let failed = |source| DaemonError::Listen {
        addr: *addr,
        source,
    };
    let listener = TcpListener::bind(*addr).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    *addr = bound;
    Ok(listener)
}
