//! Starting and ending a daemon.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::{Duration, SystemTime},
};

use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_core::{BootNumber, LogEvent, LogEventKind};
use notchwalk_decide::Event;
use notchwalk_http::{serve, Client, ServerLimits, Service};
use notchwalk_platform::HttpPlatform;

use crate::{
    bundle_watch, caller_api::CallerApi, effects::Effects, error::DaemonError,
    operator_api::OperatorApi, peer_link, settings::DaemonSettings, shell::Shell, vm_watch,
};

/// How often the reducer hears that time passed.
const TICK: Duration = Duration::from_millis(5);

/// The addresses a daemon listens on, ports included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A daemon's listening sockets, bound before it starts.
pub struct Listeners {
    caller: StdListener,
    peer: StdListener,
    operator: StdListener,
}

fn bind(addr: SocketAddr) -> Result<StdListener, DaemonError> {
    let listen = |source| DaemonError::Listen { addr, source };
    let listener = StdListener::bind(addr).map_err(listen)?;
    listener.set_nonblocking(true).map_err(listen)?;
    Ok(listener)
}

impl Listeners {
    /// Binds all addresses of the settings.
    ///
    /// # Errors
    ///
    /// Fails if one can't be bound.
    pub fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        Ok(Self {
            caller: bind(settings.listen.caller)?,
            peer: bind(settings.listen.peer)?,
            operator: bind(settings.listen.operator)?,
        })
    }

    /// Returns the bound addresses.
    ///
    /// # Errors
    ///
    /// Fails if the system can't tell them.
    pub fn addresses(&self) -> Result<BoundAddresses, DaemonError> {
        let addr = |listener: &StdListener| listener.local_addr().map_err(DaemonError::Runtime);
        Ok(BoundAddresses {
            caller: addr(&self.caller)?,
            peer: addr(&self.peer)?,
            operator: addr(&self.operator)?,
        })
    }
}

/// Runs a daemon on this thread until `stop` is set and its drain is over.
/// `kill` ends it at once, as a crash would.
///
/// # Errors
///
/// Fails if the runtime can't start.
pub fn run_until_stopped(
    settings: DaemonSettings,
    listeners: Listeners,
    stop: Arc<AtomicBool>,
    kill: Arc<AtomicBool>,
) -> Result<(), DaemonError> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(DaemonError::Runtime)?;
    runtime.block_on(run(settings, listeners, stop, kill))
}

/// The boot number: microseconds since 1970, which rise from boot to boot
/// without a disk.
fn boot_number() -> BootNumber {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    BootNumber(since.map_or(1, |d| d.as_micros() as u64))
}

async fn run(
    settings: DaemonSettings,
    listeners: Listeners,
    stop: Arc<AtomicBool>,
    kill: Arc<AtomicBool>,
) -> Result<(), DaemonError> {
    let addresses = listeners.addresses()?;
    let client = Client::new();
    let platform = Rc::new(HttpPlatform::new(client.clone(), settings.platform));
    let limits = ServerLimits {
        connections: settings.max_connections,
        ..ServerLimits::default()
    };
    let shell = Shell::new(settings, boot_number(), client, platform, Box::new(Effects));
    let listener = |std| TcpListener::from_std(std).map_err(DaemonError::Runtime);
    let serve_on = |std, service: Rc<dyn Service>| -> Result<(), DaemonError> {
        notchwalk_http::spawn(serve(listener(std)?, limits, service));
        Ok(())
    };
    serve_on(listeners.caller, Rc::new(CallerApi::new(shell.clone())))?;
    serve_on(listeners.operator, Rc::new(OperatorApi::new(shell.clone())))?;
    notchwalk_http::spawn(peer_link::accept(shell.clone(), listener(listeners.peer)?));
    notchwalk_http::spawn(vm_watch::watch(shell.clone()));
    notchwalk_http::spawn(bundle_watch::watch(shell.clone()));
    let facts = format!(
        "vm={} caller={} peer={} operator={}",
        shell.vm().0,
        addresses.caller,
        addresses.peer,
        addresses.operator
    );
    LogEvent::new(LogEventKind::DaemonStarted, facts).emit();
    tick_until_stopped(&shell, &stop, &kill).await;
    notchwalk_http::end_all().await;
    LogEvent::new(LogEventKind::DaemonStopped, format!("vm={}", shell.vm().0)).emit();
    Ok(())
}

async fn tick_until_stopped(shell: &Rc<Shell>, stop: &AtomicBool, kill: &AtomicBool) {
    let mut draining = false;
    while !shell.is_stopped() && !kill.load(Ordering::Relaxed) {
        if !draining && stop.load(Ordering::Relaxed) {
            draining = true;
            shell.step(Event::Drain);
        }
        shell.step(Event::Tick);
        monoio::time::sleep(TICK).await;
    }
}

/// A daemon that runs in a thread of this process, for demos and tests.
pub struct RunningDaemon {
    /// Where it listens.
    pub addresses: BoundAddresses,
    stop: Arc<AtomicBool>,
    kill: Arc<AtomicBool>,
    thread: Option<JoinHandle<Result<(), DaemonError>>>,
}

impl RunningDaemon {
    /// Tells it to drain and end.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&self) {
        self.kill.store(true, Ordering::Relaxed);
    }

    /// Tells whether it has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the daemon's own error.
    ///
    /// # Panics
    ///
    /// Panics if the daemon's thread panicked.
    pub fn join(mut self) -> Result<(), DaemonError> {
        match self.thread.take() {
            Some(thread) => thread.join().expect("the daemon's thread panicked"),
            None => Ok(()),
        }
    }
}

/// Starts a daemon in a thread of its own.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub fn start_in_thread(settings: DaemonSettings) -> Result<RunningDaemon, DaemonError> {
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses()?;
    let (stop, kill) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (stop_flag, kill_flag) = (stop.clone(), kill.clone());
    let builder = std::thread::Builder::new().name(format!("entry-{}", settings.vm.0));
    let thread = builder
        .spawn(move || run_until_stopped(settings, listeners, stop_flag, kill_flag))
        .map_err(DaemonError::Runtime)?;
    Ok(RunningDaemon {
        addresses,
        stop,
        kill,
        thread: Some(thread),
    })
}
