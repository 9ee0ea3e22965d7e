//! Runtime, boot number and signals of the process.

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::SystemTime,
};

use monoio::{LegacyDriver, RuntimeBuilder};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::DaemonError;

/// Runs a daemon on this thread until its future completes. Uses epoll, as the machines
/// lack io_uring.
///
/// # Errors
///
/// Fails if the runtime can't start, or with the daemon's error.
pub fn block_on<T>(daemon: impl Future<Output = Result<T, DaemonError>>) -> Result<T, DaemonError> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(DaemonError::Runtime)?;
    runtime.block_on(daemon)
}

/// Returns a boot number that increases with each start without persistent state:
/// microseconds since 1970.
pub fn boot_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

/// Flags that request a stop of the daemon or a reload of its settings.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Requests a graceful shutdown.
    pub stop: Arc<AtomicBool>,
    /// Requests a reload of the settings file.
    pub reload: Arc<AtomicBool>,
    /// Requests an immediate exit without cleanup, as in a crash; for tests.
    pub kill: Arc<AtomicBool>,
}

impl Signals {
    /// Installs signal handlers: SIGTERM and SIGINT request a shutdown, SIGHUP a
    /// reload.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be installed.
    pub fn from_process() -> Result<Self, DaemonError> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            let registered = signal_hook::flag::register(signal, signals.stop.clone());
            registered.map_err(DaemonError::Runtime)?;
        }
        let registered = signal_hook::flag::register(SIGHUP, signals.reload.clone());
        registered.map_err(DaemonError::Runtime)?;
        Ok(signals)
    }

    /// Returns whether a graceful shutdown was requested.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether the daemon is to stop immediately.
    pub fn kill_requested(&self) -> bool {
        self.kill.load(Ordering::Relaxed)
    }

    /// Takes a pending reload request.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
