//! Starts, runs and stops the process.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use monoio::net::{udp::UdpSocket, TcpListener};
use notchwalk_core::{Clock, LogEvent, LogEventKind};
use notchwalk_daemon::{
    bind, block_on, boot_number, log_sink, DaemonError, EvictionLog, Signals, StallWatch,
};
use notchwalk_http::{Client, Server, ServerLimits, Service};
use notchwalk_platform::RowStore;
use notchwalk_route::{Event, Router, RouterConfig};

use crate::{
    config_watch::ConfigReader, directory::Directory, effects::EffectDispatcher, front::Front,
    operator::Operator, peer_link, presence, server_watch::ServerReader, shell::Shell, shutdown,
    store_repair, table_watch::follow, Dialect, RelaySettings,
};

/// Interval at which the router's timers run, signals are polled and logs are flushed.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Connect timeout of backend servers, which are in the same region. Connections are
/// established within a few milliseconds, unless the server is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The environment that a daemon runs in.
pub struct Environment {
    /// The settings file.
    pub settings_file: PathBuf,
    /// Translates the formats of callers, servers and rows.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn RowStore>,
    /// The machine's clock.
    pub clock: Clock,
    /// Signals that stop or reload the process.
    pub signals: Signals,
}

/// Runs the daemon until a signal stops it. `environment` is called on the daemon's
/// thread; `bound` receives the effective settings, in which ports that were 0 are
/// replaced by those the system assigned.
///
/// # Errors
///
/// Fails if the process can't start.
pub fn run(
    settings: RelaySettings,
    environment: impl FnOnce(&RelaySettings) -> Environment,
    bound: impl FnOnce(&RelaySettings),
) -> Result<(), DaemonError> {
    block_on(async {
        let environment = environment(&settings);
        let signals = environment.signals.clone();
        let daemon = Daemon::start(settings, environment)?;
        bound(&daemon.shell.settings);
        daemon.run(signals).await;
        Ok(())
    })
}

/// The bound sockets of a daemon.
struct Listeners {
    caller: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    operator: TcpListener,
    peer: UdpSocket,
    /// Listens for forwarded requests at the TCP port with the number of the peer port.
    forwarded: TcpListener,
}

fn listen(addr: &mut SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::from_std(bind(addr)?).map_err(DaemonError::Runtime)
}

impl Listeners {
    /// Binds all addresses and updates `settings` with the assigned ports.
    fn bind(settings: &mut RelaySettings) -> Result<Self, DaemonError> {
        let (peer, forwarded) = bind_peer_ports(&mut settings.peer_addr)?;
        Ok(Self {
            caller: listen(&mut settings.caller_addr)?,
            ready: listen(&mut settings.ready_addr)?,
            directory: listen(&mut settings.directory_addr)?,
            operator: listen(&mut settings.operator_addr)?,
            peer,
            forwarded,
        })
    }

    /// Serves all listeners; returns the socket for messages of peers. The connections that the
    /// listeners leave over are for servers, peers and the store.
    fn serve(self, shell: &Rc<Shell>) -> UdpSocket {
        const CALLERS_PART: usize = 2;
        const PEERS_PART: usize = 8;
        const DIRECTORY_PART: usize = 32;
        // Few clients connect to the others, and only for short queries.
        const QUERIES_PART: usize = 64;
        let sockets = socket_descriptors(shell.settings.max_descriptors);
        let server = |part, service: Rc<dyn Service>| {
            Server::new(server_limits(sockets, part), service).with_clients(shell.clients.clone())
        };
        let open = &shell.open_exchanges;
        let callers = server(CALLERS_PART, Rc::new(Front::for_callers(shell.clone())));
        let callers = callers.with_open_exchanges(open.clone());
        monoio::spawn(callers.serve(self.caller));
        let forward_limits = ServerLimits {
            // Longer than connections stay in the pool of the peer that opened them.
            idle_timeout: Duration::from_secs(60),
            ..server_limits(sockets, PEERS_PART)
        };
        let for_peers = Rc::new(Front::for_peers(shell.clone()));
        let peers = Server::new(forward_limits, for_peers)
            .with_clients(shell.clients.clone())
            .with_open_exchanges(open.clone());
        monoio::spawn(peers.serve(self.forwarded));
        let directory = Rc::new(Directory::new(shell.clone()));
        monoio::spawn(server(QUERIES_PART, directory.clone()).serve(self.ready));
        monoio::spawn(server(DIRECTORY_PART, directory).serve(self.directory));
        let operator = server(QUERIES_PART, Rc::new(Operator::new(shell.clone())));
        monoio::spawn(operator.serve(self.operator));
        self.peer
    }
}

/// Limits of the connections to one listener. `descriptors` are those of the process for sockets;
/// the listener's part of them is given as a divisor.
fn server_limits(descriptors: usize, part: usize) -> ServerLimits {
    /// Enough to serve clients in turn on a machine with few descriptors.
    const MIN_CONNECTIONS: usize = 4;
    ServerLimits {
        max_connections: (descriptors / part).max(MIN_CONNECTIONS),
        max_head_bytes: notchwalk_http::MAX_HEAD_BYTES,
        idle_timeout: Duration::from_secs(20),
        head_timeout: Duration::from_secs(3),
        body_read_timeout: Duration::from_secs(5),
        write_timeout: Duration::from_secs(10),
    }
}

/// Returns how many of a process's descriptors are for sockets.
fn socket_descriptors(max_descriptors: usize) -> usize {
    /// Descriptors that are left to files.
    const FILE_DESCRIPTORS: usize = 200;
    max_descriptors - FILE_DESCRIPTORS.min(max_descriptors / 2)
}

/// Binds the UDP and the TCP port of the peer address, which have the same number. If the
/// system chooses it, another program may have the TCP port: then further ones are tried.
fn bind_peer_ports(addr: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), DaemonError> {
    const MAX_ATTEMPTS: u32 = 32;
    let configured = *addr;
    let failed = |source| DaemonError::Listen {
        addr: configured,
        source,
    };
    let mut attempts = 0;
    loop {
        attempts += 1;
        let peer = UdpSocket::bind(configured).map_err(failed)?;
        *addr = peer.local_addr().map_err(failed)?;
        match listen(addr) {
            Ok(forwarded) => return Ok((peer, forwarded)),
            Err(_) if configured.port() == 0 && attempts < MAX_ATTEMPTS => continue,
            Err(e) => return Err(e),
        }
    }
}

struct Daemon {
    shell: Rc<Shell>,
    socket: Rc<UdpSocket>,
    settings_file: PathBuf,
}

impl Daemon {
    fn start(mut settings: RelaySettings, environment: Environment) -> Result<Self, DaemonError> {
        let listeners = Listeners::bind(&mut settings)?;
        let boot = boot_number();
        let router = Router::new(RouterConfig {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            retry_ratio: settings.retry_ratio,
            retry_slack: settings.retry_slack,
            retry_window: settings.retry_window,
            boot,
            seed: boot,
        });
        let client = Client::new().with_connect_timeout(CONNECT_TIMEOUT);
        let (dialect, store) = (environment.dialect, environment.store);
        let shell = Shell::new(
            settings,
            boot,
            router,
            dialect,
            store,
            client,
            Box::new(EffectDispatcher),
        );
        let shell = Rc::new(shell.with_clock(environment.clock));
        let socket = listeners.serve(&shell);
        Ok(Self {
            shell,
            socket: Rc::new(socket),
            settings_file: environment.settings_file,
        })
    }

    async fn run(self, signals: Signals) {
        let shell = &self.shell;
        let settings = &shell.settings;
        let facts = format!(
            "name={} boot={} caller={} ready={} directory={} peer={} operator={}",
            settings.name,
            shell.boot,
            settings.caller_addr,
            settings.ready_addr,
            settings.directory_addr,
            settings.peer_addr,
            settings.operator_addr
        );
        LogEvent::new(LogEventKind::DaemonStarted, facts).emit();
        let config = ConfigReader::new(shell.clone());
        monoio::spawn(follow(shell.clone(), config));
        monoio::spawn(follow(shell.clone(), ServerReader::new(shell.clone())));
        monoio::spawn(presence::announce(shell.clone()));
        monoio::spawn(store_repair::rewrite_lost_rows(shell.clone()));
        monoio::spawn(peer_link::receive_messages(
            shell.clone(),
            self.socket.clone(),
        ));
        monoio::spawn(peer_link::publish_changes(
            shell.clone(),
            self.socket.clone(),
        ));
        monoio::spawn(peer_link::send_heartbeats(
            shell.clone(),
            self.socket.clone(),
        ));
        let evictions = EvictionLog::default();
        loop {
            let stall = StallWatch::start(&shell.clock);
            monoio::time::sleep(TICK_INTERVAL).await;
            stall.finish(&shell.clock, TICK_INTERVAL);
            shell.check_suspension();
            shell.step(Event::Tick);
            evictions.report(shell.clients.evictions(), shell.now());
            log_sink::flush();
            if signals.take_reload_request() {
                self.reload();
            }
            if signals.stop_requested() && self.advance_shutdown().await {
                break;
            }
        }
        presence::withdraw(shell).await;
        shutdown::finish(shell).await;
        log_sink::flush();
    }

    /// Reads the settings file again and logs whether it differs. Settings don't change
    /// in a running process.
    fn reload(&self) {
        let facts = match RelaySettings::load(&self.settings_file) {
            Ok(settings) => format!("changed={}", settings != self.shell.settings),
            Err(e) => format!("error={:?}", e.to_string()),
        };
        LogEvent::new(LogEventKind::SettingsReloaded, facts).emit();
    }

    /// Advances the shutdown by one step; returns whether the process may exit.
    async fn advance_shutdown(&self) -> bool {
        let shell = &self.shell;
        if let Some(schedule) = shell.draining.get() {
            return shutdown::may_exit(shell, &schedule);
        }
        let schedule = shutdown::schedule(&shell.settings, shell.now());
        shell.draining.set(Some(schedule));
        shell.step(Event::NodeDraining(schedule));
        peer_link::publish_stopping(shell, &self.socket).await;
        let open = shell.router.borrow().open_requests();
        let facts = format!("open_requests={open}");
        LogEvent::new(LogEventKind::DrainStarted, facts).emit();
        false
    }
}
