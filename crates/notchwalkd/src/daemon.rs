//! Starting and ending a daemon.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::atomic::Ordering,
    thread::JoinHandle,
    time::Duration,
};

use monoio::net::TcpListener;
use notchwalk_core::{BootNumber, LogEvent, LogEventKind};
use notchwalk_daemon::{bind, block_on, boot_number, log_sink, DaemonError, Signals};
use notchwalk_decide::Event;
use notchwalk_http::{serve, Client, ServerLimits, Service};
use notchwalk_platform::HttpPlatform;

use crate::{
    bundle_watch, caller_api::CallerApi, effects::Effects, operator_api::OperatorApi, peer_link,
    settings::DaemonSettings, shell::Shell, vm_watch,
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

impl Listeners {
    /// Binds all addresses of the settings.
    ///
    /// # Errors
    ///
    /// Fails if one can't be bound.
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

/// Runs a daemon on this thread until a signal stops it and its drain is over.
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
        connections: settings.max_connections,
        ..ServerLimits::default()
    };
    let shell = Shell::new(
        settings,
        BootNumber(boot_number()),
        client,
        platform,
        Box::new(Effects),
    );
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
    tick_until_stopped(&shell, &signals).await;
    notchwalk_http::end_all().await;
    LogEvent::new(LogEventKind::DaemonStopped, format!("vm={}", shell.vm().0)).emit();
    log_sink::flush();
    Ok(())
}

async fn tick_until_stopped(shell: &Rc<Shell>, signals: &Signals) {
    let mut draining = false;
    while !shell.is_stopped() && !signals.kills() {
        if !draining && signals.stops() {
            draining = true;
            shell.step(Event::Drain);
        }
        shell.notice_suspension();
        shell.step(Event::Tick);
        log_sink::flush();
        monoio::time::sleep(TICK).await;
    }
}

/// A daemon that runs in a thread of this process, for demos and tests.
pub struct RunningDaemon {
    /// Where it listens.
    pub addresses: BoundAddresses,
    signals: Signals,
    thread: Option<JoinHandle<Result<(), DaemonError>>>,
}

impl RunningDaemon {
    /// Tells it to drain and end.
    pub fn stop(&self) {
        self.signals.stop.store(true, Ordering::Relaxed);
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&self) {
        self.signals.kill.store(true, Ordering::Relaxed);
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
    let signals = Signals::default();
    let seen = signals.clone();
    let builder = std::thread::Builder::new().name(format!("entry-{}", settings.vm.0));
    let thread = builder
        .spawn(move || run_until_stopped(settings, listeners, seen))
        .map_err(DaemonError::Runtime)?;
    Ok(RunningDaemon {
        addresses,
        signals,
        thread: Some(thread),
    })
}
