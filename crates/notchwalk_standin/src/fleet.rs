//! A whole fleet in one process: stand-in platform, engines and services, and real nodes,
//! all on ephemeral loopback ports.

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
    node::NodeHandle,
    operators::{BundleSpec, Operators, WorkspaceSpec},
    platform::{serve_platform, PlatformConfig, PlatformFault},
    service::{serve_service, ServiceFault},
    thread::{block_on, ServingThread},
    workload::{self, MeasuredCall, PlannedCall},
};

/// VM id of the first engine.
const FIRST_ENGINE_ID: u32 = 1_000;
/// VM id of the first service server.
const FIRST_SERVICE_ID: u32 = 2_000;
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of servers of the plain service.
    pub services: usize,
    /// Failure domains, assigned round-robin.
    pub failure_domains: Vec<String>,
    /// Speed-up of the engines over real time.
    pub time_scale: f64,
    /// KV memory of each engine, in tokens.
    pub capacity_tokens: u64,
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of engines per thread of this process.
    pub engines_per_thread: usize,
    /// Content of the bundle.
    pub bundle: BundleSpec,
    /// How nodes reserve engine memory.
    pub reserve: ReserveMode,
    /// Configuration of the stand-in platform.
    pub platform: PlatformConfig,
    /// How long callers cache the list of nodes.
    pub node_list_ttl: Duration,
    /// The program (`notchwalk-standin`) that runs each node as a separate process. If `None`,
    /// nodes are threads of this process.
    pub node_program: Option<PathBuf>,
    /// The `[limits]` of nodes that run as processes, as INI lines.
    pub node_limits: String,
}

impl FleetConfig {
    /// Returns the default fleet: six nodes, twenty engines and three servers of a plain
    /// service.
    pub fn new(workspaces: Vec<WorkspaceSpec>) -> Self {
        Self {
            nodes: 6,
            engines: 20,
            services: 3,
            failure_domains: ["ruwi", "ghala", "seeb"].map(str::to_owned).to_vec(),
            time_scale: 4.0,
            capacity_tokens: 400_000,
            slots: 64,
            engines_per_thread: 1,
            bundle: BundleSpec {
                model: "lampwise".to_owned(),
                context_tokens: 1_100_000,
                versions: vec!["v1".to_owned()],
                checks_fencing_token: true,
                service: "bookdesk".to_owned(),
                workspaces,
                policy: "kind = fair\n".to_owned(),
            },
            reserve: ReserveMode::TopUp,
            platform: PlatformConfig::default(),
            node_list_ttl: Duration::from_secs(2),
            node_program: None,
            node_limits: String::new(),
        }
    }

    /// Sets the numbers of nodes, engines and service servers.
    pub fn with_sizes(mut self, nodes: usize, engines: usize, services: usize) -> Self {
        self.nodes = nodes;
        self.engines = engines;
        self.services = services;
        self
    }

    /// Sets the speed-up of the engines over real time.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Runs each node as a separate process of `program`.
    pub fn with_node_program(mut self, program: impl Into<PathBuf>) -> Self {
        self.node_program = Some(program.into());
        self
    }

    /// Sets the `[limits]` of nodes that run as processes, as INI lines.
    pub fn with_node_limits(mut self, limits: &str) -> Self {
        self.node_limits = limits.to_owned();
        self
    }

    /// Sets the policy settings, as INI lines.
    pub fn with_policy(mut self, policy: &str) -> Self {
        self.bundle.policy = policy.to_owned();
        self
    }
}

/// A backend server of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetServer {
    /// VM id.
    pub id: u32,
    /// Listen address.
    pub addr: SocketAddr,
}

/// A handle to calls in flight.
pub struct SendHandle(JoinHandle<Vec<MeasuredCall>>);

impl SendHandle {
    /// Waits for all calls and returns their results.
    ///
    /// # Panics
    ///
    /// Panics if the sending thread panicked.
    pub fn wait(self) -> Vec<MeasuredCall> {
        self.0.join().expect("sending thread panicked")
    }
}

/// A running fleet. Dropping it stops all its nodes and stand-ins.
pub struct Fleet {
    /// Configuration of the fleet.
    pub config: FleetConfig,
    /// The nodes by index; `None` for a killed node.
    pub nodes: Vec<Option<NodeHandle>>,
    /// Engines by index.
    pub engines: Vec<FleetServer>,
    /// Servers of the plain service.
    pub services: Vec<FleetServer>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Operators that sign the bundles.
    pub operators: Operators,
    records: Vec<VmRecord>,
    peer_key: PeerKey,
    // Dropped after the nodes, in this order.
    _threads: Vec<ServingThread>,
}

fn bind_ephemeral() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port")
}

fn ephemeral_addr() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid socket address")
}

impl Fleet {
    /// Starts a fleet and waits until every node is ready.
    ///
    /// # Panics
    ///
    /// Panics if a component can't start or the nodes aren't ready within the timeout.
    pub fn start(config: FleetConfig) -> Self {
        let mut threads = Vec::new();
        let mut records = Vec::new();
        let engines = start_engines(&config, &mut threads, &mut records);
        let services = start_services(&config, &mut threads, &mut records);
        let listener = bind_ephemeral();
        let platform = listener.local_addr().expect("listener has no address");
        let platform_config = config.platform;
        let vms = records.clone();
        threads.push(ServingThread::start("platform", move || async move {
            serve_platform(listener, platform_config, vms).expect("failed to start the platform");
        }));
        let mut fleet = Self {
            nodes: Vec::new(),
            engines,
            services,
            platform,
            operators: Operators::new(7),
            records,
            peer_key: PeerKey::random(),
            config,
            _threads: threads,
        };
        for i in 0..fleet.config.nodes {
            fleet.nodes.push(None);
            fleet.start_node(i);
        }
        fleet.submit_first_bundle();
        fleet.wait_until_ready();
        fleet
    }

    /// Starts or restarts node `i`.
    ///
    /// # Panics
    ///
    /// Panics if the node can't start.
    pub fn start_node(&mut self, i: usize) {
        let vm = i as u32 + 1;
        let failure_domain =
            self.config.failure_domains[i % self.config.failure_domains.len()].clone();
        let node = match self.config.node_program.clone() {
            Some(program) => {
                let text = self.settings_text(vm, &failure_domain);
                NodeHandle::in_process(&program, &text).expect("failed to start a node process")
            }
            None => NodeHandle::in_thread(self.settings(vm, &failure_domain))
                .expect("failed to start a node"),
        };
        let record = VmRecord {
            id: vm,
            kind: VmKind::Entry {
                peer_address: node.addresses.peer.to_string(),
            },
            address: node.addresses.caller.to_string(),
            failure_domain,
            state: VmState::Live,
        };
        self.records.retain(|r| r.id != vm);
        self.records.push(record);
        self.nodes[i] = Some(node);
        self.publish_vms();
    }

    fn settings(&self, vm: u32, failure_domain: &str) -> DaemonSettings {
        let listen = ListenAddresses {
            caller: ephemeral_addr(),
            peer: ephemeral_addr(),
            operator: ephemeral_addr(),
        };
        let keys = PeerKeys::single(self.peer_key);
        DaemonSettings::new(VmId(vm), failure_domain, listen, self.platform, keys)
            .with_reserve(self.config.reserve)
            .with_node_list_ttl(self.config.node_list_ttl)
    }

    fn settings_text(&self, vm: u32, failure_domain: &str) -> String {
        format!(
            "[daemon]\nvm = {vm}\nfailure_domain = {failure_domain}\ncaller_address = 127.0.0.1:0\n\
             peer_address = 127.0.0.1:0\noperator_address = 127.0.0.1:0\n\
             entries_ttl_ms = {}\n[platform]\naddress = {}\n[peers]\nkeys = {}\n[limits]\n{}",
            self.config.node_list_ttl.as_millis(),
            self.platform,
            self.peer_key.to_hex(),
            self.config.node_limits
        )
    }

    /// Kills node `i` without draining. The VM list still contains it.
    pub fn kill_node(&mut self, i: usize) {
        if let Some(mut node) = self.nodes[i].take() {
            node.kill();
            let _ = node.join();
        }
    }

    /// Removes a VM from the VM list.
    pub fn remove_vm(&mut self, id: u32) {
        self.records.retain(|r| r.id != id);
        self.publish_vms();
    }

    /// Marks a VM as draining in the VM list.
    pub fn mark_draining(&mut self, id: u32) {
        for record in self.records.iter_mut().filter(|r| r.id == id) {
            record.state = VmState::Draining;
        }
        self.publish_vms();
    }

    fn publish_vms(&self) {
        self.post_control(self.platform, "/standin/vms", &self.records);
    }

    /// Posts JSON to a control path of a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in doesn't respond with success.
    pub fn post_control<T: Serialize>(&self, addr: SocketAddr, path: &str, value: &T) {
        let req = OutgoingRequest::new(Method::POST, path).with_json(value);
        let response = block_on(Client::new().send(addr, req, Duration::from_secs(5), 1 << 20));
        let response = response.expect("no response from the stand-in");
        assert!(response.status.is_success(), "{path}: {}", response.status);
    }

    /// Sends a GET request to a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no response.
    fn get(&self, addr: SocketAddr, path: &str) -> BufferedResponse {
        let req = OutgoingRequest::new(Method::GET, path);
        let client = Client::new();
        let response = block_on(client.send(addr, req, Duration::from_secs(5), 64 << 20));
        response.expect("no response")
    }

    /// Gets JSON from a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no response or its body is not of type `T`.
    pub fn get_json<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> T {
        self.get(addr, path)
            .json()
            .expect("unexpected response body")
    }

    /// Gets text from a stand-in or an operator address.
    ///
    /// # Panics
    ///
    /// Panics if there is no response.
    pub fn get_text(&self, addr: SocketAddr, path: &str) -> String {
        String::from_utf8_lossy(&self.get(addr, path).body).into_owned()
    }

    /// Injects a fault into an engine.
    pub fn set_engine_fault(&self, i: usize, fault: Fault) {
        self.post_control(self.engines[i].addr, "/standin/fault", &fault);
    }

    /// Injects a fault into a server of the plain service.
    pub fn set_service_fault(&self, i: usize, fault: ServiceFault) {
        self.post_control(self.services[i].addr, "/standin/fault", &fault);
    }

    /// Injects a fault into the platform.
    pub fn set_platform_fault(&self, fault: PlatformFault) {
        self.post_control(self.platform, "/standin/fault", &fault);
    }

    /// Returns the counters of an engine.
    pub fn engine_counts(&self, i: usize) -> EngineCounts {
        self.get_json(self.engines[i].addr, "/standin/counts")
    }

    /// Returns the caller addresses of the running nodes.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.addresses.caller)
            .collect()
    }

    /// Returns the API keys of all workspaces, in order.
    pub fn keys(&self) -> Vec<String> {
        let workspaces = self.config.bundle.workspaces.iter();
        workspaces.map(|w| w.key.clone()).collect()
    }

    /// Sends planned calls to the running nodes and waits for the results.
    pub fn send(&self, planned: Vec<PlannedCall>) -> Vec<MeasuredCall> {
        self.start_send(planned).wait()
    }

    /// Starts sending planned calls to the running nodes.
    pub fn start_send(&self, planned: Vec<PlannedCall>) -> SendHandle {
        let (nodes, keys) = (self.caller_addrs(), self.keys());
        let model = self.config.bundle.model.clone();
        let send = move || workload::run_open_loop(&nodes, &keys, &model, planned);
        SendHandle(std::thread::spawn(send))
    }

    /// Returns the API key of workspace `i`.
    pub fn key(&self, i: usize) -> &str {
        &self.config.bundle.workspaces[i].key
    }

    fn submit_first_bundle(&self) {
        let parts = self.operators.parts(&self.config.bundle);
        self.submit(&parts, "first bundle")
            .expect("first bundle was rejected");
    }

    /// Signs parts and submits them as the next bundle version.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is rejected.
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
        let started = Instant::now();
        loop {
            let not_ready = self
                .nodes
                .iter()
                .flatten()
                .filter(|d| !self.is_ready(d))
                .count();
            if not_ready == 0 {
                return;
            }
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "{not_ready} nodes are not ready"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns whether a node is ready and has received reports from all peers and servers.
    fn is_ready(&self, node: &NodeHandle) -> bool {
        let dump: serde_json::Value = self.get_json(node.addresses.operator, "/dump");
        let servers = dump["servers"].as_array().map_or(0, |servers| {
            let serves = |s: &&serde_json::Value| !s["serves"].as_array().is_none_or(Vec::is_empty);
            servers.iter().filter(serves).count()
        });
        let peers = dump["peers"].as_array().map_or(0, |peers| {
            peers.iter().filter(|p| p["state"] == "alive").count()
        });
        dump["ready"] == true
            && servers >= self.engines.len() + self.services.len()
            && peers + 1 >= self.nodes.iter().flatten().count()
    }

    /// Drains all nodes and waits until they exit.
    ///
    /// # Panics
    ///
    /// Panics if a node's thread panicked.
    pub fn stop(&mut self) {
        for node in self.nodes.iter().flatten() {
            node.drain();
        }
        for node in self.nodes.iter_mut() {
            if let Some(node) = node.take() {
                let _ = node.join();
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in self.nodes.iter_mut().flatten() {
            node.kill();
        }
        for node in self.nodes.iter_mut() {
            if let Some(node) = node.take() {
                let _ = node.join();
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
    let mut pending = Vec::new();
    for i in 0..config.engines {
        let id = FIRST_ENGINE_ID + i as u32;
        let listener = bind_ephemeral();
        let addr = listener.local_addr().expect("listener has no address");
        let mut engine = EngineConfig::new(ServerId(id), loaded.clone())
            .with_time_scale(config.time_scale)
            .with_capacity(config.capacity_tokens)
            .with_checks_fencing_token(config.bundle.checks_fencing_token);
        engine.slots = config.slots;
        records.push(VmRecord {
            id,
            kind: VmKind::Engine,
            address: addr.to_string(),
            failure_domain: config.failure_domains[i % config.failure_domains.len()].clone(),
            state: VmState::Live,
        });
        servers.push(FleetServer { id, addr });
        pending.push((listener, engine));
    }
    while !pending.is_empty() {
        let rest = pending.split_off(pending.len().min(config.engines_per_thread));
        let group = std::mem::replace(&mut pending, rest);
        threads.push(ServingThread::start("engines", move || async move {
            for (listener, engine) in group {
                serve_engine(listener, engine).expect("failed to start an engine");
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
        let id = FIRST_SERVICE_ID + i as u32;
        let listener = bind_ephemeral();
        let addr = listener.local_addr().expect("listener has no address");
        let name = config.bundle.service.clone();
        records.push(VmRecord {
            id,
            kind: VmKind::Service {
                service: name.clone(),
            },
            address: addr.to_string(),
            failure_domain: config.failure_domains[i % config.failure_domains.len()].clone(),
            state: VmState::Live,
        });
        servers.push(FleetServer { id, addr });
        threads.push(ServingThread::start("service", move || async move {
            serve_service(listener, &name).expect("failed to start a service");
        }));
    }
    servers
}
