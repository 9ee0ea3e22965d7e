//! Measures events per second through `Node::step`.

use std::{sync::Arc, time::Instant as WallInstant};

use notchwalk_bundle::{Bundle, WorkspaceKey};
use notchwalk_core::{BootNumber, Instant, ServerId, VmId};
use notchwalk_decide::{
    Arrival, AttemptEnd, CallerKey, Dispatch, Effect, Event, GenerateWork, Node, NodeConfig,
    ServerKind, ServerRecord, Work,
};
use notchwalk_wire::{LoadReport, LoadedModel};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{rounded, BenchOptions, Metrics};
use crate::operators::{BundleSpec, Operators, WorkspaceSpec};

const SERVERS: u32 = 20;
const FRAMES_PER_REQUEST: u32 = 8;
/// Number of open requests, so that lanes are never empty.
const OPEN_REQUESTS: usize = 2_000;

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    for workspaces in [10, 37_000] {
        let per_s = events_per_s(options, workspaces);
        metrics.insert(format!("events_per_s_{workspaces}"), rounded(per_s, 0));
    }
    metrics
}

fn bundle(workspaces: usize) -> Bundle {
    let names = (0..workspaces).map(|i| WorkspaceSpec::new(&format!("w{i}"), 1.0 + (i % 7) as f64));
    let spec = BundleSpec {
        model: "m".to_owned(),
        context_tokens: 1_100_000,
        versions: vec!["v1".to_owned()],
        checks_fencing_token: true,
        service: "s".to_owned(),
        workspaces: names.collect(),
        policy: "max_requests = 1000000\n".to_owned(),
    };
    Bundle::parse(1, &Operators::new(1).parts(&spec)).expect("invalid bundle")
}

fn report() -> LoadReport {
    LoadReport {
        capacity_tokens: 400_000,
        used_tokens: 100_000,
        running: 10,
        waiting: 0,
        slots: 64,
        backlog_tokens: 1_000,
        backlog_by_priority: vec![(120, 1_000)],
        // Minimal, so that the engines are never the bottleneck.
        prefill_token_ns: 1,
        decode_token_ns: 1,
        loaded: vec![LoadedModel {
            model: "m".to_owned(),
            versions: vec!["v1".to_owned()],
            adapters: Vec::new(),
        }],
        draining: false,
        evictions: 0,
    }
}

struct Driver {
    node: Node,
    now_us: u64,
    out: Vec<Effect>,
    rng: Pcg64Mcg,
    workspaces: u32,
    next_caller: u64,
    running: Vec<Dispatch>,
    events: u64,
}

impl Driver {
    fn new(seed: u64, workspaces: usize) -> Self {
        let cfg = NodeConfig::new(VmId(1), BootNumber(1), "d", seed);
        let mut driver = Self {
            node: Node::new(cfg),
            now_us: 1_000_000,
            out: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            workspaces: workspaces as u32,
            next_caller: 0,
            running: Vec::new(),
            events: 0,
        };
        driver.feed(Event::Bundle(Arc::new(bundle(workspaces))));
        let records = (0..SERVERS).map(|id| ServerRecord {
            id: ServerId(id),
            kind: ServerKind::Engine,
            failure_domain: "d".to_owned(),
            draining: false,
        });
        let servers = records.collect();
        driver.feed(Event::VmList {
            servers,
            nodes: Vec::new(),
        });
        driver.report_loads();
        driver
    }

    fn report_loads(&mut self) {
        for id in 0..SERVERS {
            self.feed(Event::Load {
                server: ServerId(id),
                report: Box::new(report()),
            });
        }
    }

    fn feed(&mut self, event: Event) {
        self.now_us += 2;
        self.events += 1;
        self.node
            .step(Instant::from_micros(self.now_us), event, &mut self.out);
        for effect in self.out.drain(..) {
            if let Effect::Dispatch(dispatch) = effect {
                self.running.push(dispatch);
            }
        }
    }

    fn submit_request(&mut self) {
        self.next_caller += 1;
        let arrival = Arrival {
            caller: CallerKey(self.next_caller),
            workspace: WorkspaceKey(self.rng.random_range(0..self.workspaces)),
            work: Work::Generate(GenerateWork {
                model: notchwalk_bundle::ModelKey(0),
                adapter: None,
                version: None,
                prompt_tokens: self.rng.random_range(100..4_000),
                max_tokens: FRAMES_PER_REQUEST,
                prefix: Vec::new(),
            }),
            content: None,
            priority: None,
            timeout_ms: Some(3_600_000),
        };
        self.feed(Event::Arrival(Box::new(arrival)));
    }

    /// Completes one running request.
    fn complete_request(&mut self) {
        if self.running.is_empty() {
            self.feed(Event::Tick);
            return;
        }
        let i = self.rng.random_range(0..self.running.len());
        let dispatch = self.running.swap_remove(i);
        let Some(id) = self.node.request_id(dispatch.request) else {
            return;
        };
        for offset in 0..FRAMES_PER_REQUEST {
            self.feed(Event::Frame {
                request: dispatch.request,
                id,
                attempt: dispatch.attempt,
                offset,
                count: 1,
            });
        }
        self.feed(Event::AttemptEnded {
            request: dispatch.request,
            attempt: dispatch.attempt,
            end: AttemptEnd::Complete {
                prompt_tokens: 2_000,
                cached_tokens: 0,
                completion_tokens: FRAMES_PER_REQUEST,
            },
        });
    }

    fn run_round(&mut self, i: u64) {
        const ROUNDS_PER_LOAD_REPORT: u64 = 2_000;
        const ROUNDS_PER_TICK: u64 = 100;
        if i % ROUNDS_PER_LOAD_REPORT == 0 {
            self.report_loads();
        }
        if i % ROUNDS_PER_TICK == 0 {
            self.feed(Event::Tick);
        }
        if self.node.open_requests() < OPEN_REQUESTS {
            self.submit_request();
        }
        self.complete_request();
    }
}

fn events_per_s(options: &BenchOptions, workspaces: usize) -> f64 {
    let mut driver = Driver::new(options.seed, workspaces);
    for _ in 0..OPEN_REQUESTS {
        driver.submit_request();
    }
    const WARM_UP: u64 = 20_000;
    const ROUNDS: u64 = 200_000;
    for i in 0..WARM_UP {
        driver.run_round(i);
    }
    let (started, before) = (WallInstant::now(), driver.events);
    for i in 0..ROUNDS {
        driver.run_round(i);
    }
    (driver.events - before) as f64 / started.elapsed().as_secs_f64()
}
