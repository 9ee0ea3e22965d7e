//! A whole fleet in this process: platform, engines, services and real
//! daemons, each on free loopback ports.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use http::Method;
use notchwalk_core::{ServerId, VmId};
use notchwalk_decide::ReserveMode;
use notchwalk_http::prelude::*;
use notchwalk_platform::{fetch_head, BundleHead, HttpPlatform};
use notchwalk_wire::{LoadedModel, VmKind, VmRecord, VmState};
use notchwalkd::{DaemonSettings, ListenAddresses, PeerKey, PeerKeys};
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    engine::{serve_engine, EngineConfig, EngineCounts, Fault},
    entry::Entry,
    operators::{BundleSpec, Operators, WorkspaceSpec},
    platform::{serve_platform, PlatformConfig, PlatformFault},
    service::serve_service,
    thread::{block_on, ServingThread},
    workload::{self, Measured, Planned},
};

/// The first number of engines in the VM list.
const FIRST_ENGINE: u32 = 1_000;
/// The first number of plain services' servers.
const FIRST_SERVICE: u32 = 2_000;
/// How long a fleet may take until it is ready.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Entry daemons.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Servers of the plain service.
    pub services: usize,
    /// Failure domains, used in turn.
    pub domains: Vec<String>,
    /// How many times faster than real the engines run.
    pub time_scale: f64,
    /// Each engine's memory, in tokens.
    pub capacity_tokens: u64,
    /// Requests an engine runs at once.
    pub slots: u32,
    /// Engines that share one thread of this process.
    pub engines_per_thread: usize,
    /// What the bundle says.
    pub bundle: BundleSpec,
    /// How daemons count memory.
    pub reserve: ReserveMode,
    /// The platform.
    pub platform: PlatformConfig,
    /// How long callers keep the list of entries.
    pub entries_ttl: Duration,
    /// The program that runs each daemon as a process of its own
    /// (`notchwalk-standin`); without it they are threads.
    pub entry_program: Option<PathBuf>,
}

impl FleetConfig {
    /// Builds the fleet of a deployment as it is today: six entries, twenty
    /// engines, three servers of a plain service.
    pub fn new(workspaces: Vec<WorkspaceSpec>) -> Self {
        Self {
            entries: 6,
            engines: 20,
            services: 3,
            domains: ["ruwi", "ghala", "seeb"].map(str::to_owned).to_vec(),
            time_scale: 4.0,
            capacity_tokens: 400_000,
            slots: 64,
            engines_per_thread: 1,
            bundle: BundleSpec {
                model: "lampwise".to_owned(),
                context_tokens: 1_100_000,
                versions: vec!["v1".to_owned()],
                checks_fence: true,
                service: "bookdesk".to_owned(),
                workspaces,
                policy: "kind = fair\n".to_owned(),
            },
            reserve: ReserveMode::TopUp,
            platform: PlatformConfig::default(),
            entries_ttl: Duration::from_secs(2),
            entry_program: None,
        }
    }

    /// Sets the sizes.
    pub fn with_sizes(mut self, entries: usize, engines: usize, services: usize) -> Self {
        self.entries = entries;
        self.engines = engines;
        self.services = services;
        self
    }

    /// Sets how many times faster than real the engines run.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Runs each daemon as a process of its own.
    pub fn with_entry_program(mut self, program: impl Into<PathBuf>) -> Self {
        self.entry_program = Some(program.into());
        self
    }

    /// Sets the policy's lines.
    pub fn with_policy(mut self, policy: &str) -> Self {
        self.bundle.policy = policy.to_owned();
        self
    }
}

/// A server of the fleet that can be spoken to directly.
#[derive(Clone, Copy, Debug)]
pub struct FleetServer {
    /// Its number in the VM list.
    pub id: u32,
    /// Its address.
    pub addr: SocketAddr,
}

/// Calls on their way.
pub struct Sending(JoinHandle<Vec<Measured>>);

impl Sending {
    /// Waits for all calls.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub fn wait(self) -> Vec<Measured> {
        self.0.join().expect("the callers end")
    }
}

/// A running fleet. Dropping it ends everything.
pub struct Fleet {
    /// What it consists of.
    pub config: FleetConfig,
    /// The daemons; `None` where one was ended.
    pub daemons: Vec<Option<Entry>>,
    /// The engines.
    pub engines: Vec<FleetServer>,
    /// The servers of the plain service.
    pub services: Vec<FleetServer>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The operators who sign its bundles.
    pub operators: Operators,
    records: Vec<VmRecord>,
    peer_key: PeerKey,
    // Ended after the daemons, in this order.
    _threads: Vec<ServingThread>,
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics if something can't start, or takes too long.
    pub fn start(config: FleetConfig) -> Self {
        let mut threads = Vec::new();
        let mut records = Vec::new();
        let engines = start_engines(&config, &mut threads, &mut records);
        let services = start_services(&config, &mut threads, &mut records);
        let listener = free_listener();
        let platform = listener.local_addr().expect("an address");
        let platform_config = config.platform;
        let listed = records.clone();
        threads.push(ServingThread::start("platform", move || async move {
            serve_platform(listener, platform_config, listed).expect("the platform starts");
        }));
        let mut fleet = Self {
            daemons: Vec::new(),
            engines,
            services,
            platform,
            operators: Operators::new(7),
            records,
            peer_key: PeerKey::random(),
            config,
            _threads: threads,
        };
        for i in 0..fleet.config.entries {
            fleet.daemons.push(None);
            fleet.start_daemon(i);
        }
        fleet.submit_first_bundle();
        fleet.wait_until_ready();
        fleet
    }

    /// Starts a daemon in place `i`, for the first time or again.
    ///
    /// # Panics
    ///
    /// Panics if it can't start.
    pub fn start_daemon(&mut self, i: usize) {
        let vm = i as u32 + 1;
        let domain = self.config.domains[i % self.config.domains.len()].clone();
        let daemon = match self.config.entry_program.clone() {
            Some(program) => {
                let text = self.settings_text(vm, &domain);
                Entry::in_process(&program, &text).expect("a daemon's process starts")
            }
            None => Entry::in_thread(self.settings(vm, &domain)).expect("a daemon starts"),
        };
        let record = VmRecord {
            id: vm,
            kind: VmKind::Entry {
                peer_address: daemon.addresses.peer.to_string(),
            },
            address: daemon.addresses.caller.to_string(),
            failure_domain: domain,
            state: VmState::Live,
        };
        self.records.retain(|r| r.id != vm);
        self.records.push(record);
        self.daemons[i] = Some(daemon);
        self.publish_vms();
    }

    fn settings(&self, vm: u32, domain: &str) -> DaemonSettings {
        let listen = ListenAddresses {
            caller: loopback(),
            peer: loopback(),
            operator: loopback(),
        };
        let keys = PeerKeys::single(self.peer_key);
        DaemonSettings::new(VmId(vm), domain, listen, self.platform, keys)
            .with_reserve(self.config.reserve)
            .with_entries_ttl(self.config.entries_ttl)
    }

    fn settings_text(&self, vm: u32, domain: &str) -> String {
        format!(
            "[daemon]\nvm = {vm}\nfailure_domain = {domain}\ncaller_address = 127.0.0.1:0\n\
             peer_address = 127.0.0.1:0\noperator_address = 127.0.0.1:0\n\
             entries_ttl_ms = {}\n[platform]\naddress = {}\n[peers]\nkeys = {}\n",
            self.config.entries_ttl.as_millis(),
            self.platform,
            self.peer_key.to_hex()
        )
    }

    /// Ends daemon `i` at once, as a crash would. The VM list still names it.
    pub fn kill_daemon(&mut self, i: usize) {
        if let Some(mut daemon) = self.daemons[i].take() {
            daemon.kill();
            let _ = daemon.join();
        }
    }

    /// Takes a VM off the list.
    pub fn unlist(&mut self, id: u32) {
        self.records.retain(|r| r.id != id);
        self.publish_vms();
    }

    /// Marks a VM as leaving in the list.
    pub fn mark_leaving(&mut self, id: u32) {
        for record in self.records.iter_mut().filter(|r| r.id == id) {
            record.state = VmState::Leaving;
        }
        self.publish_vms();
    }

    fn publish_vms(&self) {
        self.control(self.platform, "/standin/vms", &self.records);
    }

    /// Posts to a stand-in's control path.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub fn control<T: Serialize>(&self, addr: SocketAddr, path: &str, value: &T) {
        let req = OutgoingRequest::new(Method::POST, path).with_json(value);
        let answer = block_on(Client::new().send(addr, req, Duration::from_secs(5), 1 << 20));
        let answer = answer.expect("the stand-in answers");
        assert!(answer.status.is_success(), "{path}: {}", answer.status);
    }

    /// Reads from a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer.
    fn get(&self, addr: SocketAddr, path: &str) -> WholeResponse {
        let req = OutgoingRequest::new(Method::GET, path);
        let client = Client::new();
        let answer = block_on(client.send(addr, req, Duration::from_secs(5), 64 << 20));
        answer.expect("an answer")
    }

    /// Reads JSON from a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer of that type.
    pub fn read<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> T {
        self.get(addr, path).json().expect("the expected type")
    }

    /// Reads text from a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer.
    pub fn read_text(&self, addr: SocketAddr, path: &str) -> String {
        String::from_utf8_lossy(&self.get(addr, path).body).into_owned()
    }

    /// Sets an engine's fault.
    pub fn set_engine_fault(&self, i: usize, fault: Fault) {
        self.control(self.engines[i].addr, "/standin/fault", &fault);
    }

    /// Sets the platform's fault.
    pub fn set_platform_fault(&self, fault: PlatformFault) {
        self.control(self.platform, "/standin/fault", &fault);
    }

    /// Returns an engine's counts.
    pub fn engine_counts(&self, i: usize) -> EngineCounts {
        self.read(self.engines[i].addr, "/standin/counts")
    }

    /// Returns the callers' addresses of the daemons that run.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .flatten()
            .map(|d| d.addresses.caller)
            .collect()
    }

    /// Returns the keys of all workspaces, in order.
    pub fn keys(&self) -> Vec<String> {
        let workspaces = self.config.bundle.workspaces.iter();
        workspaces.map(|w| w.key.clone()).collect()
    }

    /// Sends planned calls to the daemons and waits for all.
    pub fn send(&self, planned: Vec<Planned>) -> Vec<Measured> {
        self.start_sending(planned).wait()
    }

    /// Starts to send planned calls to the daemons that run now.
    pub fn start_sending(&self, planned: Vec<Planned>) -> Sending {
        let (entries, keys) = (self.entries(), self.keys());
        let model = self.config.bundle.model.clone();
        let run = move || workload::run(&entries, &keys, &model, planned);
        Sending(std::thread::spawn(run))
    }

    /// Returns the key of workspace `i`.
    pub fn key(&self, i: usize) -> &str {
        &self.config.bundle.workspaces[i].key
    }

    fn submit_first_bundle(&self) {
        let parts = self.operators.parts(&self.config.bundle);
        self.submit(&parts, "first bundle")
            .expect("the first bundle is accepted");
    }

    /// Signs and submits parts as the next version.
    ///
    /// # Errors
    ///
    /// Fails if they are not accepted.
    pub fn submit(
        &self,
        parts: &[notchwalk_bundle::Part],
        reason: &str,
    ) -> Result<BundleHead, notchwalk_platform::SubmitError> {
        block_on(async {
            let platform = HttpPlatform::new(Client::new(), self.platform);
            let head = fetch_head(&platform).await?;
            self.operators
                .submit(&platform, head.as_ref(), parts, reason)
                .await
        })
    }

    fn wait_until_ready(&self) {
        let began = Instant::now();
        loop {
            let waiting = self
                .daemons
                .iter()
                .flatten()
                .filter(|d| !self.is_ready(d))
                .count();
            if waiting == 0 {
                return;
            }
            assert!(
                began.elapsed() < READY_WITHIN,
                "{waiting} daemons are not ready"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Tells whether a daemon is ready and has heard all peers and servers.
    fn is_ready(&self, daemon: &Entry) -> bool {
        let dump: serde_json::Value = self.read(daemon.addresses.operator, "/dump");
        let servers = dump["servers"].as_array().map_or(0, |servers| {
            let serves = |s: &&serde_json::Value| !s["serves"].as_array().is_none_or(Vec::is_empty);
            servers.iter().filter(serves).count()
        });
        let peers = dump["peers"].as_array().map_or(0, |peers| {
            peers.iter().filter(|p| p["state"] == "alive").count()
        });
        dump["ready"] == true
            && servers >= self.engines.len() + self.services.len()
            && peers + 1 >= self.daemons.iter().flatten().count()
    }

    /// Tells all daemons to drain, and waits for them.
    ///
    /// # Panics
    ///
    /// Panics if a daemon's thread panicked.
    pub fn stop(&mut self) {
        for daemon in self.daemons.iter().flatten() {
            daemon.stop();
        }
        for daemon in self.daemons.iter_mut() {
            if let Some(daemon) = daemon.take() {
                let _ = daemon.join();
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in self.daemons.iter_mut().flatten() {
            daemon.kill();
        }
        for daemon in self.daemons.iter_mut() {
            if let Some(daemon) = daemon.take() {
                let _ = daemon.join();
            }
        }
    }
}

fn start_engines(
    config: &FleetConfig,
    threads: &mut Vec<ServingThread>,
    records: &mut Vec<VmRecord>,
) -> Vec<FleetServer> {
    let loaded = vec![LoadedModel {
        model: config.bundle.model.clone(),
        versions: vec!["v1".to_owned()],
        adapters: vec!["tour".to_owned()],
    }];
    let mut servers = Vec::new();
    let mut starting = Vec::new();
    for i in 0..config.engines {
        let id = FIRST_ENGINE + i as u32;
        let listener = free_listener();
        let addr = listener.local_addr().expect("an address");
        let mut engine = EngineConfig::new(ServerId(id), loaded.clone())
            .with_time_scale(config.time_scale)
            .with_capacity(config.capacity_tokens)
            .with_checks_fence(config.bundle.checks_fence);
        engine.slots = config.slots;
        records.push(VmRecord {
            id,
            kind: VmKind::Engine,
            address: addr.to_string(),
            failure_domain: config.domains[i % config.domains.len()].clone(),
            state: VmState::Live,
        });
        servers.push(FleetServer { id, addr });
        starting.push((listener, engine));
    }
    while !starting.is_empty() {
        let rest = starting.split_off(starting.len().min(config.engines_per_thread));
        let group = std::mem::replace(&mut starting, rest);
        threads.push(ServingThread::start("engines", move || async move {
            for (listener, engine) in group {
                serve_engine(listener, engine).expect("an engine starts");
            }
        }));
    }
    servers
}

fn start_services(
    config: &FleetConfig,
    threads: &mut Vec<ServingThread>,
    records: &mut Vec<VmRecord>,
) -> Vec<FleetServer> {
    let mut servers = Vec::new();
    for i in 0..config.services {
        let id = FIRST_SERVICE + i as u32;
        let listener = free_listener();
        let addr = listener.local_addr().expect("an address");
        let name = config.bundle.service.clone();
        records.push(VmRecord {
            id,
            kind: VmKind::Service {
                service: name.clone(),
            },
            address: addr.to_string(),
            failure_domain: config.domains[i % config.domains.len()].clone(),
            state: VmState::Live,
        });
        servers.push(FleetServer { id, addr });
        threads.push(ServingThread::start("service", move || async move {
            serve_service(listener, &name).expect("a service starts");
        }));
    }
    servers
}
