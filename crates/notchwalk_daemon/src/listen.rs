//! Listening sockets.

use std::net::{SocketAddr, TcpListener};

use crate::DaemonError;

/// Binds a non-blocking listener; port 0 in `addr` is replaced by the assigned one.
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
