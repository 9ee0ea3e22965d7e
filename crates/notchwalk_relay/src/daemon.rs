//! Starts, runs and ends the process.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    path::PathBuf,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, SystemTime},
};

use monoio::{
    net::{udp::UdpSocket, TcpListener},
    LegacyDriver, RuntimeBuilder,
};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::{serve, Client, ServerLimits, Service};
use notchwalk_platform::RowStore;
use notchwalk_route::{Event, Router, RouterConfig};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{
    config_watch::ConfigReader,
    directory::Directory,
    front::Front,
    log_sink,
    operator::Operator,
    peer_link, presence,
    server_watch::{EntryReader, ServerReader},
    shell::{Shell, Stopping},
    table_watch::follow,
    Dialect, RelayError, RelaySettings,
};

/// How often changes are told to peers, signals looked at and logs written.
const TICK: Duration = Duration::from_millis(15);
/// How long connecting to a backend server may take: connections within a
/// region are up within a few milliseconds, unless the server is dark.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an entry that stops still takes requests: callers keep the
/// directory's answer for a while, some of them longer than they should.
const TAKES_REQUESTS_FOR: Duration = Duration::from_millis(3_000);
/// Time before the process is killed at which it ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a process that stops stays reachable at least, so that
/// callers that were sent here find it.
const STAYS_FOR: Duration = Duration::from_millis(3_200);

/// What ended or changed the process from outside.
#[derive(Clone)]
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn register() -> Result<Self, RelayError> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        for signal in [SIGTERM, SIGINT] {
            let registered = signal_hook::flag::register(signal, signals.stop.clone());
            registered.map_err(RelayError::Runtime)?;
        }
        let registered = signal_hook::flag::register(SIGHUP, signals.reload.clone());
        registered.map_err(RelayError::Runtime)?;
        Ok(signals)
    }
}

/// Runs the daemon until a signal stops it. `settings_file` is read again on
/// SIGHUP. `store` builds the platform's client.
///
/// # Errors
///
/// Fails if the process can't start.
pub fn run(
    settings: RelaySettings,
    settings_file: PathBuf,
    dialect: Rc<dyn Dialect>,
    store: impl FnOnce(&RelaySettings) -> Rc<dyn RowStore>,
) -> Result<(), RelayError> {
    let signals = Signals::register()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(RelayError::Runtime)?;
    runtime.block_on(async {
        let store = store(&settings);
        let daemon = Daemon::start(settings, settings_file, dialect, store)?;
        daemon.run(signals).await;
        Ok(())
    })
}

struct Daemon {
    shell: Rc<Shell>,
    socket: Rc<UdpSocket>,
    settings_file: PathBuf,
}

fn listen(addr: SocketAddr) -> Result<TcpListener, RelayError> {
    let failed = |source| RelayError::Listen { addr, source };
    let listener = StdListener::bind(addr).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    TcpListener::from_std(listener).map_err(failed)
}

fn serve_at(
    addr: SocketAddr,
    limits: ServerLimits,
    service: impl Service,
) -> Result<(), RelayError> {
    let listener = listen(addr)?;
    monoio::spawn(serve(listener, limits, Rc::new(service)));
    Ok(())
}

/// The boot number: microseconds since 1970, which rise from start to start
/// without a disk.
fn boot_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

impl Daemon {
    fn start(
        settings: RelaySettings,
        settings_file: PathBuf,
        dialect: Rc<dyn Dialect>,
        store: Rc<dyn RowStore>,
    ) -> Result<Self, RelayError> {
        let boot = boot_number();
        let router = Router::new(RouterConfig {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            retry_ratio: settings.retry_ratio,
            retry_slack: settings.retry_slack,
            retry_window: settings.retry_window,
            seed: boot,
        });
        let client = Client::new().with_connect_timeout(CONNECT_TIMEOUT);
        let shell = Rc::new(Shell::new(settings, boot, router, dialect, store, client));
        let settings = &shell.settings;
        let limits = ServerLimits {
            connections: settings.max_descriptors / 2,
            idle: Duration::from_secs(20),
            head: Duration::from_secs(3),
            body_piece: Duration::from_secs(5),
            write: Duration::from_secs(10),
        };
        serve_at(settings.caller, limits, Front::new(shell.clone()))?;
        serve_at(settings.ready, limits, Directory::new(shell.clone()))?;
        serve_at(settings.directory, limits, Directory::new(shell.clone()))?;
        serve_at(settings.operator, limits, Operator::new(shell.clone()))?;
        let addr = settings.peer;
        let socket = UdpSocket::bind(addr);
        let socket = Rc::new(socket.map_err(|source| RelayError::Listen { addr, source })?);
        Ok(Self {
            shell,
            socket,
            settings_file,
        })
    }

    async fn run(self, signals: Signals) {
        let shell = &self.shell;
        let facts = format!(
            "name={} boot={} caller={} peer={}",
            shell.settings.name, shell.boot, shell.settings.caller, shell.settings.peer
        );
        LogEvent::new(LogEventKind::DaemonStarted, facts).emit();
        let config = ConfigReader {
            shell: shell.clone(),
        };
        monoio::spawn(follow(shell.clone(), config));
        monoio::spawn(follow(shell.clone(), ServerReader::new(shell.clone())));
        let entries = EntryReader {
            shell: shell.clone(),
        };
        monoio::spawn(follow(shell.clone(), entries));
        monoio::spawn(presence::announce(shell.clone()));
        monoio::spawn(peer_link::hear(shell.clone(), self.socket.clone()));
        monoio::spawn(peer_link::heartbeats(shell.clone(), self.socket.clone()));
        loop {
            monoio::time::sleep(TICK).await;
            shell.step(Event::Tick);
            peer_link::tell_changes(shell, &self.socket).await;
            log_sink::flush();
            if signals.reload.swap(false, Ordering::Relaxed) {
                self.reload();
            }
            if signals.stop.load(Ordering::Relaxed) && self.stop_step().await {
                break;
            }
        }
        presence::withdraw(shell).await;
        LogEvent::new(
            LogEventKind::DaemonStopped,
            format!("name={}", shell.settings.name),
        )
        .emit();
        log_sink::flush();
    }

    /// Reads the settings file again. Addresses can't change in a running
    /// process; what differs is logged.
    fn reload(&self) {
        let facts = match RelaySettings::load(&self.settings_file) {
            Ok(settings) => format!("changed={}", settings != self.shell.settings),
            Err(e) => format!("error={:?}", e.to_string()),
        };
        LogEvent::new(LogEventKind::SettingsReloaded, facts).emit();
    }

    /// Takes one step towards the end; returns whether it is reached.
    async fn stop_step(&self) -> bool {
        let shell = &self.shell;
        let now = shell.now();
        let Stopping::Since(since) = shell.stopping.get() else {
            shell.stopping.set(Stopping::Since(now));
            let after = TAKES_REQUESTS_FOR;
            shell.step(Event::Draining { after });
            peer_link::tell_stopping(shell, &self.socket).await;
            let open = shell.router.borrow().open_requests();
            let facts = format!("open_requests={open}");
            LogEvent::new(LogEventKind::DrainStarted, facts).emit();
            return false;
        };
        let stopping_for = now.since(since);
        let idle = shell.router.borrow().open_requests() == 0;
        let last = shell.settings.stop_grace.saturating_sub(END_MARGIN);
        (idle && stopping_for >= STAYS_FOR) || stopping_for >= last
    }
}
