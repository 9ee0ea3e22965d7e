//! Startup and shutdown of a daemon.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::atomic::Ordering,
    thread::JoinHandle,
    time::Duration,
};

use monoio::net::TcpListener;
use notchwalk_core::{BootNumber, LogEvent, LogEventKind};
use notchwalk_daemon::{
    bind, block_on, boot_number, log_sink, DaemonError, EvictionLog, Signals, StallWatch,
};
use notchwalk_decide::Event;
use notchwalk_http::{Client, OpenExchanges, Server, ServerLimits, Service};
use notchwalk_platform::HttpPlatform;

use crate::{
    bundle_watch, caller_api::CallerApi, effects::DaemonEffects, operator_api::OperatorApi,
    peer_link, settings::DaemonSettings, shell::Shell, vm_watch,
};

/// Interval between `Event::Tick`s.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum time that a drained daemon waits for callers that send or read slowly. Longer than
/// the timeouts of the parts of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// The addresses a daemon listens on, with the ports actually bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Callers' interface.
    pub caller: SocketAddr,
    /// Links from peers.
    pub peer: SocketAddr,
    /// Operators' interface.
    pub operator: SocketAddr,
}

/// The listening sockets of a daemon, bound before it starts.
pub struct Listeners {
    caller: StdListener,
    peer: StdListener,
    operator: StdListener,
}

impl Listeners {
    /// Binds all addresses given in the settings.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let mut listen = settings.listen;
        Ok(Self {
            caller: bind(&mut listen.caller)?,
            peer: bind(&mut listen.peer)?,
            operator: bind(&mut listen.operator)?,
        })
    }

    /// Returns the bound addresses.
    ///
    /// # Errors
    ///
    /// Fails if the local address of a socket can't be read.
    pub fn addresses(&self) -> Result<BoundAddresses, DaemonError> {
        let addr = |listener: &StdListener| listener.local_addr().map_err(DaemonError::Runtime);
        Ok(BoundAddresses {
            caller: addr(&self.caller)?,
            peer: addr(&self.peer)?,
            operator: addr(&self.operator)?,
        })
    }
}

/// Runs a daemon on this thread until it has drained after a stop signal, or
/// until it is killed.
///
/// # Errors
///
/// Fails if the runtime can't start.
pub fn run_until_stopped(
    settings: DaemonSettings,
    listeners: Listeners,
    signals: Signals,
) -> Result<(), DaemonError> {
    block_on(run(settings, listeners, signals))
}

async fn run(
    settings: DaemonSettings,
    listeners: Listeners,
    signals: Signals,
) -> Result<(), DaemonError> {
    let addresses = listeners.addresses()?;
    let client = Client::new();
    let platform = Rc::new(HttpPlatform::new(client.clone(), settings.platform));
    let limits = ServerLimits {
        max_connections: settings.max_connections,
        ..ServerLimits::default()
    };
    let shell = Shell::new(
        settings,
        BootNumber(boot_number()),
        client,
        platform,
        Box::new(DaemonEffects),
    );
    let listener = |std| TcpListener::from_std(std).map_err(DaemonError::Runtime);
    let serve_on = |std, service: Rc<dyn Service>| -> Result<(), DaemonError> {
        let server = Server::new(limits, service).with_clients(shell.clients.clone());
        notchwalk_http::spawn(server.serve(listener(std)?));
        Ok(())
    };
    let open = OpenExchanges::default();
    let callers = Rc::new(CallerApi::new(shell.clone()));
    let caller_listener = listener(listeners.caller)?;
    let callers = Server::new(limits, callers)
        .with_clients(shell.clients.clone())
        .with_open_exchanges(open.clone());
    notchwalk_http::spawn(callers.serve(caller_listener));
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
    tick_until_stopped(&shell, &signals).await;
    if !signals.kill_requested() {
        finish_responses(&shell, &open).await;
    }
    let facts = format!("vm={} unfinished_requests={}", shell.vm().0, open.count());
    notchwalk_http::abort_all().await;
    LogEvent::new(LogEventKind::DaemonStopped, facts).emit();
    log_sink::flush();
    Ok(())
}

async fn tick_until_stopped(shell: &Rc<Shell>, signals: &Signals) {
    let mut draining = false;
    let evictions = EvictionLog::default();
    while !shell.is_stopped() && !signals.kill_requested() {
        if !draining && signals.stop_requested() {
            draining = true;
            shell.step(Event::Drain);
        }
        shell.check_suspension();
        shell.step(Event::Tick);
        evictions.report(shell.clients.evictions(), shell.now());
        log_sink::flush();
        let stall = StallWatch::start(&shell.clock);
        monoio::time::sleep(TICK_INTERVAL).await;
        stall.finish(&shell.clock, TICK_INTERVAL);
    }
}

/// Waits until all requests that were received have their response. By now, no request is
/// running, and new ones are refused.
async fn finish_responses(shell: &Rc<Shell>, open: &OpenExchanges) {
    let deadline = shell.now().after(RESPONSE_TIMEOUT);
    while open.count() > 0 && shell.now() < deadline {
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

/// A daemon running in a thread of this process, for demos and tests.
pub struct RunningDaemon {
    /// The addresses it listens on.
    pub addresses: BoundAddresses,
    signals: Signals,
    thread: Option<JoinHandle<Result<(), DaemonError>>>,
}

impl RunningDaemon {
    /// Starts the drain; the daemon stops once it is done.
    pub fn drain(&self) {
        self.signals.stop.store(true, Ordering::Relaxed);
    }

    /// Stops the daemon without a drain, as a crash would.
    pub fn kill(&self) {
        self.signals.kill.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon's thread has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the daemon has stopped.
    ///
    /// # Errors
    ///
    /// Returns the error the daemon ended with.
    ///
    /// # Panics
    ///
    /// Panics if the daemon's thread panicked.
    pub fn join(mut self) -> Result<(), DaemonError> {
        match self.thread.take() {
            Some(thread) => thread.join().expect("daemon thread panicked"),
            None => Ok(()),
        }
    }
}

/// Starts a daemon in its own thread.
///
/// # Errors
///
/// Fails if an address can't be bound or the thread can't be spawned.
pub fn start_in_thread(settings: DaemonSettings) -> Result<RunningDaemon, DaemonError> {
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses()?;
    let signals = Signals::default();
    let thread_signals = signals.clone();
    let builder = std::thread::Builder::new().name(format!("entry-{}", settings.vm.0));
    let thread = builder
        .spawn(move || run_until_stopped(settings, listeners, thread_signals))
        .map_err(DaemonError::Runtime)?;
    Ok(RunningDaemon {
        addresses,
        signals,
        thread: Some(thread),
    })
}
