//! The simulation: virtual time, scheduled actions, nodes and their effects.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use notchwalk_bundle::Bundle;
use notchwalk_core::{Attempt, BootNumber, Instant, RequestId, ServerId, VmId};
use notchwalk_decide::{Event, Node, NodeConfig, PeerRecord, ServerKind, ServerRecord};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    callers::{OpenRequests, RequestKind},
    fakes::{FakeClaimTable, FakeEngine},
};
use crate::operators::{BundleSpec, Operators, WorkspaceSpec};

const TICK_INTERVAL_US: u64 = 20_000;
const LOAD_REPORT_INTERVAL_US: u64 = 200_000;
const VM_LIST_INTERVAL_US: u64 = 1_000_000;
/// The delay until the VM list reflects a change.
const VM_LIST_LAG_US: u64 = 1_500_000;
/// Allowed lateness of deadlines; covers ticks and the backlog of a resumed node.
pub(super) const DEADLINE_SLACK_US: u64 = 200_000;
/// The time after the last request by which all work must have ended.
const SETTLE_TIME_US: u64 = 90_000_000;
/// The ID of the first service server.
const FIRST_SERVICE_ID: u32 = 500;
const SERVICE_COUNT: u32 = 2;

/// Options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The random seed. Equal options give identical runs.
    pub seed: u64,
    /// How long requests are submitted, in seconds of virtual time.
    pub virtual_seconds: u64,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of engines.
    pub engines: usize,
    /// Whether faults are injected.
    pub faults: bool,
    /// A mechanism to disable, to check that the simulation detects its absence.
    pub disabled: Option<Mechanism>,
}

/// A safety mechanism of the nodes that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Cancels do not reach engines but are confirmed.
    Cancels,
    /// Every claim is granted, even if another request holds the key.
    Claims,
}

impl SoakOptions {
    /// Creates options for three nodes and six engines, with faults.
    pub fn new(seed: u64, virtual_seconds: u64) -> Self {
        Self {
            seed,
            virtual_seconds,
            nodes: 3,
            engines: 6,
            faults: true,
            disabled: None,
        }
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Events processed by nodes.
    pub events: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Faults injected.
    pub faults: u64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

type Action = Box<dyn FnOnce(&mut Simulation)>;

/// A node across its incarnations.
pub(super) struct NodeSlot {
    pub(super) node: Option<Node>,
    pub(super) boot: u64,
    pub(super) suspended_until_us: u64,
    down_since_us: Option<u64>,
    pub(super) requests: OpenRequests,
    /// The kind and deadline of the request that is being submitted.
    pub(super) pending_arrival: Option<(RequestKind, u64)>,
}

/// A simulation of nodes, fake engines, services and a claim table.
pub struct Simulation {
    pub(super) now_us: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) nodes: Vec<NodeSlot>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) claims: FakeClaimTable,
    pub(super) isolated_node: Option<usize>,
    /// The results so far.
    pub report: SoakReport,
    options: SoakOptions,
    /// How often each call ran, by idempotency key or request ID.
    pub(super) call_runs: HashMap<String, u32>,
    pub(super) reported_not_run: HashSet<RequestId>,
    /// Requests whose connections to backend servers are closed, as
    /// `(id, Attempt(u16::MAX))`.
    pub(super) closed: HashSet<(RequestId, Attempt)>,
    pub(super) latest_attempts: HashMap<RequestId, Attempt>,
    /// Scheduled actions by time and sequence number.
    actions: BTreeMap<(u64, u64), Action>,
    next_action: u64,
    pub(super) next_caller: u64,
    bundle: Arc<Bundle>,
}

fn soak_bundle() -> Bundle {
    let workspaces = (0..4).map(|i| WorkspaceSpec::new(&format!("w{i}"), 1.0 + f64::from(i)));
    let spec = BundleSpec {
        model: "m".to_owned(),
        context_tokens: 200_000,
        versions: vec!["v1".to_owned()],
        checks_fencing_token: true,
        service: "s".to_owned(),
        workspaces: workspaces.collect(),
        policy: "retry_percent = 100\n".to_owned(),
    };
    Bundle::parse(1, &Operators::new(1).parts(&spec)).expect("invalid bundle")
}

impl Simulation {
    /// Creates a simulation and starts its nodes.
    pub fn new(options: SoakOptions) -> Self {
        let mut simulation = Self {
            now_us: 10_000_000,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            nodes: Vec::new(),
            engines: (0..options.engines)
                .map(|_| FakeEngine::default())
                .collect(),
            claims: FakeClaimTable::default(),
            isolated_node: None,
            report: SoakReport::default(),
            options,
            actions: BTreeMap::new(),
            next_action: 0,
            next_caller: 1,
            bundle: Arc::new(soak_bundle()),
            call_runs: HashMap::new(),
            reported_not_run: HashSet::new(),
            closed: HashSet::new(),
            latest_attempts: HashMap::new(),
        };
        for i in 0..options.nodes {
            simulation.nodes.push(NodeSlot {
                node: None,
                boot: 0,
                suspended_until_us: 0,
                down_since_us: None,
                requests: OpenRequests::default(),
                pending_arrival: None,
            });
            simulation.start_node(i);
        }
        simulation
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> SoakReport {
        let end_us = self.now_us + self.options.virtual_seconds * 1_000_000;
        self.schedule_arrivals(end_us);
        if self.options.faults {
            self.schedule_faults(end_us);
        }
        self.run_until(end_us + SETTLE_TIME_US);
        self.check_settled();
        self.report
    }

    fn run_until(&mut self, end_us: u64) {
        while let Some(((at, _), action)) = self.actions.pop_first() {
            if at > end_us {
                return;
            }
            self.now_us = at;
            action(self);
            if self.report.violations.len() > 10 {
                return;
            }
        }
    }

    pub(super) fn schedule_at(
        &mut self,
        at_us: u64,
        action: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.next_action += 1;
        let key = (at_us.max(self.now_us), self.next_action);
        self.actions.insert(key, Box::new(action));
    }

    pub(super) fn schedule_after(
        &mut self,
        us: u64,
        action: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.schedule_at(self.now_us + us, action);
    }

    /// Schedules the end of a fault.
    pub(super) fn clear_fault_after(
        &mut self,
        us: u64,
        clear: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.schedule_after(us, clear);
    }

    pub(super) fn is_disabled(&self, mechanism: Mechanism) -> bool {
        self.options.disabled == Some(mechanism)
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn random_delay_us(&mut self) -> u64 {
        match self.rng.random_range(0..50) {
            0 => self.rng.random_range(50_000..800_000),
            _ => self.rng.random_range(200..6_000),
        }
    }

    pub(super) fn record_violation(&mut self, violation: String) {
        let at_ms = self.now_us / 1_000;
        self.report
            .violations
            .push(format!("at {at_ms} ms: {violation}"));
    }

    pub(super) fn start_node(&mut self, i: usize) {
        let seed = self.rng.random();
        let slot = &mut self.nodes[i];
        slot.boot += 1;
        slot.down_since_us = None;
        let boot = slot.boot;
        let domain = format!("d{}", i % 3);
        let cfg = NodeConfig::new(VmId(i as u32), BootNumber(boot), domain, seed);
        slot.node = Some(Node::new(cfg));
        let bundle = self.bundle.clone();
        self.feed(i, boot, Event::Bundle(bundle));
        self.run_every(i, boot, TICK_INTERVAL_US, |sim, i, boot| {
            sim.feed(i, boot, Event::Tick)
        });
        self.run_every(i, boot, VM_LIST_INTERVAL_US, |sim, i, boot| {
            sim.send_vm_list(i, boot)
        });
        self.run_every(i, boot, LOAD_REPORT_INTERVAL_US, |sim, i, boot| {
            sim.send_load_reports(i, boot)
        });
    }

    fn run_every(&mut self, i: usize, boot: u64, us: u64, f: fn(&mut Simulation, usize, u64)) {
        if self.nodes[i].boot != boot || self.nodes[i].node.is_none() {
            return;
        }
        f(self, i, boot);
        self.schedule_after(us, move |sim| sim.run_every(i, boot, us, f));
    }

    /// Crashes a node and schedules its restart.
    pub(super) fn crash_node(&mut self, i: usize, down_us: u64) {
        if self.nodes[i].node.take().is_none() {
            return;
        }
        let interrupted = std::mem::take(&mut self.nodes[i].requests);
        for open in interrupted.open.values() {
            self.closed.insert((open.id, Attempt(u16::MAX)));
        }
        self.nodes[i].down_since_us = Some(self.now_us);
        self.schedule_after(down_us, move |sim| sim.start_node(i));
    }

    /// Suspends a node. Events are queued until it resumes.
    pub(super) fn suspend_node(&mut self, i: usize, us: u64) {
        let until = self.now_us + us;
        let slot = &mut self.nodes[i];
        slot.suspended_until_us = slot.suspended_until_us.max(until);
    }

    fn send_vm_list(&mut self, i: usize, boot: u64) {
        let now = self.now_us;
        let lagged = |since: Option<u64>| since.is_some_and(|at| now > at + VM_LIST_LAG_US);
        let mut servers = Vec::new();
        for (id, engine) in self.engines.iter().enumerate() {
            servers.push(ServerRecord {
                id: ServerId(id as u32),
                kind: ServerKind::Engine,
                failure_domain: format!("d{}", id % 3),
                draining: lagged(engine.draining_since_us),
            });
        }
        for id in 0..SERVICE_COUNT {
            servers.push(ServerRecord {
                id: ServerId(FIRST_SERVICE_ID + id),
                kind: ServerKind::Service("s".to_owned()),
                failure_domain: "d0".to_owned(),
                draining: false,
            });
        }
        let live = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, slot)| !lagged(slot.down_since_us));
        let nodes = live.map(|(id, _)| PeerRecord {
            vm: VmId(id as u32),
            caller_address: format!("entry-{id}"),
            failure_domain: format!("d{}", id % 3),
            draining: false,
        });
        let nodes = nodes.collect();
        self.feed(i, boot, Event::VmList { servers, nodes });
    }

    fn send_load_reports(&mut self, i: usize, boot: u64) {
        for id in 0..self.engines.len() {
            let engine = &self.engines[id];
            let server = ServerId(id as u32);
            let event = match engine.crashed || engine.hung {
                true => Event::LoadPollFailed(server),
                false => Event::Load {
                    server,
                    report: Box::new(engine.load_report()),
                },
            };
            let delay_us = self.random_delay_us();
            self.schedule_after(delay_us, move |sim| sim.feed(i, boot, event));
        }
    }

    fn schedule_faults(&mut self, end_us: u64) {
        let gap_us = self.rng.random_range(200_000..2_500_000);
        self.schedule_after(gap_us, move |sim| {
            if sim.now_us < end_us {
                sim.inject_fault();
                sim.schedule_faults(end_us);
            }
        });
    }

    pub(super) fn feed(&mut self, i: usize, boot: u64, event: Event) {
        let slot = &mut self.nodes[i];
        if slot.boot != boot {
            return;
        }
        if self.now_us < slot.suspended_until_us {
            let resumes_at_us = slot.suspended_until_us;
            self.schedule_at(resumes_at_us, move |sim| sim.feed(i, boot, event));
            return;
        }
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        let frame = match &event {
            Event::Frame {
                id, offset, count, ..
            } => Some((*id, *offset, *count)),
            _ => None,
        };
        let mut out = Vec::new();
        node.step(Instant::from_micros(self.now_us), event, &mut out);
        self.report.events += 1;
        for effect in out {
            self.apply_effect(i, boot, effect, frame);
        }
    }

    /// Checks that no requests or reservations remain after all faults have ended.
    fn check_settled(&mut self) {
        let now = Instant::from_micros(self.now_us);
        for i in 0..self.nodes.len() {
            let overdue = self.nodes[i]
                .requests
                .find_overdue(self.now_us, DEADLINE_SLACK_US);
            if let Some(id) = overdue {
                self.record_violation(format!("{id}: never finished"));
            }
            let Some(node) = self.nodes[i].node.as_mut() else {
                continue;
            };
            let dump = node.dump(now);
            let mut remaining = Vec::new();
            if dump.open_requests > 0 || dump.queued_requests > 0 {
                remaining.push(format!("node {i} has {} open requests", dump.open_requests));
            }
            for s in dump.servers {
                let sum = s.held_tokens + s.long_held_tokens + s.backlog_tokens;
                if s.running > 0 || sum > 0 {
                    remaining.push(format!(
                        "node {i} still has work registered on server {}: {s:?}",
                        s.id
                    ));
                }
            }
            for violation in remaining {
                self.record_violation(violation);
            }
        }
        for engine in 0..self.engines.len() {
            let reservations = self.engines[engine].reservations.clone();
            if let Some((id, _)) = reservations.first_key_value() {
                let n = reservations.len();
                self.record_violation(format!(
                    "engine {engine} still has {n} reservations, including {id}"
                ));
            }
        }
    }
}
