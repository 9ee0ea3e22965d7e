//! The process: its runtime, its boot number, its signals.

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

/// Runs a daemon on this thread until its future ends. The driver is epoll's: the
/// machines have no io_uring.
///
/// # Errors
///
/// Fails if the runtime can't start, or as the daemon does.
pub fn block_on<T>(daemon: impl Future<Output = Result<T, DaemonError>>) -> Result<T, DaemonError> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(DaemonError::Runtime)?;
    runtime.block_on(daemon)
}

/// Returns this boot's number: microseconds since 1970, which rise from boot to boot
/// without a disk.
pub fn boot_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

/// What stops or changes the process from outside.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Asks for a drain and the end.
    pub stop: Arc<AtomicBool>,
    /// Says that the settings file changed.
    pub reload: Arc<AtomicBool>,
    /// Ends the daemon at once, as a crash would; for tests.
    pub kill: Arc<AtomicBool>,
}

impl Signals {
    /// Has SIGTERM and SIGINT stop the process and SIGHUP reload its settings.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be set up.
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

    /// Tells whether the process is to drain and end.
    pub fn stops(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Tells whether the daemon is to end at once.
    pub fn kills(&self) -> bool {
        self.kill.load(Ordering::Relaxed)
    }

    /// Takes the word that the settings file changed.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
