//! The retry budget over several nodes that restart, as the servers see it.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_route::{AttemptEnd, Effect, Event, RequestKey};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::common::{TestRouter, ENGINES, PLAIN_SERVICE};

const NODES: usize = 6;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(50);
/// Time until a server responds.
const RESPONSE_TICKS: u32 = 2;

/// Ticks between two heartbeats of a node.
const HEARTBEAT_TICKS: u32 = 5;

/// The ways in which the tests' servers fail a request that reached them.
const SERVER_ERROR: AttemptEnd = AttemptEnd::ServerError;
const REJECTED: AttemptEnd = AttemptEnd::NotRun {
    faulty_server: None,
    address_reused: false,
};

/// A service, its load and its failures.
#[derive(Clone, Copy, Debug)]
struct Load {
    service: &'static str,
    path: &'static str,
    prompt_tokens: u32,
    /// Requests per second of each node.
    rate: f64,
    /// How attempts end from `fails_from` on.
    failure: Option<AttemptEnd>,
    fails_from: Duration,
}

impl Load {
    fn new(service: &'static str, rate: f64) -> Self {
        let (path, prompt_tokens) = match service {
            ENGINES => ("/short/", 3_000),
            _ => ("/again/", 0),
        };
        Self {
            service,
            path,
            prompt_tokens,
            rate,
            failure: None,
            fails_from: Duration::ZERO,
        }
    }

    fn failing(self, fails_from: Duration, failure: AttemptEnd) -> Self {
        Self {
            failure: Some(failure),
            fails_from,
            ..self
        }
    }
}

/// An attempt at a server that has not responded yet.
struct OpenAttempt {
    request: RequestKey,
    load: usize,
    ticks_left: u32,
}

/// One process of a node.
struct Process {
    name: String,
    boot: u64,
    router: TestRouter,
    open: Vec<OpenAttempt>,
    /// The load that each known request belongs to, and whether it has reached a server.
    requests: Vec<(RequestKey, usize, bool)>,
    /// Fractions of requests that are due, by load.
    due: Vec<f64>,
    /// Until when it knows of this many nodes only.
    undercount: Option<(Instant, u32)>,
}

/// Nodes with servers of which some fail all requests.
struct Cluster {
    now: Instant,
    loads: Vec<Load>,
    processes: Vec<Process>,
    starts: u64,
    ticks: u32,
    /// Whether nodes receive each other's messages.
    is_connected: bool,
    /// Requests of callers, by load.
    requests: Vec<Vec<Instant>>,
    /// Arrivals at servers beyond the first of their request, by load.
    retries: Vec<Vec<Instant>>,
}

impl Cluster {
    fn new(loads: &[Load]) -> Self {
        let mut cluster = Self {
            now: Instant::from_millis(1_000),
            loads: loads.to_vec(),
            processes: Vec::new(),
            starts: 0,
            ticks: 0,
            is_connected: false,
            requests: vec![Vec::new(); loads.len()],
            retries: vec![Vec::new(); loads.len()],
        };
        for node in 0..NODES {
            let process = cluster.start_process(node, None);
            cluster.processes.push(process);
        }
        cluster
    }

    fn connected(mut self) -> Self {
        self.is_connected = true;
        self
    }

    fn start_process(&mut self, node: usize, undercount: Option<(Duration, u32)>) -> Process {
        self.starts += 1;
        let (boot, now) = (self.starts, self.now);
        let name = format!("entry-{node}");
        let mut router = TestRouter::just_started_at(&name, boot, 18, now);
        let count = undercount.map_or(NODES as u32, |(_, count)| count);
        router.step(Event::NodeCount { count });
        Process {
            name,
            boot,
            router,
            open: Vec::new(),
            requests: Vec::new(),
            due: vec![0.0; self.loads.len()],
            undercount: undercount.map(|(time, count)| (now.after(time), count)),
        }
    }

    /// Replaces the process of a node. Its requests are lost.
    fn restart(&mut self, node: usize, undercount: Option<(Duration, u32)>) {
        self.processes[node] = self.start_process(node, undercount);
        if self.is_connected {
            self.send_history_to(node);
        }
    }

    /// Sends the peers' history of retries to a node that has just started.
    fn send_history_to(&mut self, node: usize) {
        for peer in 0..self.processes.len() {
            let history = self.processes[peer].router.router.retry_history(self.now);
            let Some(processes) = history.filter(|_| peer != node) else {
                continue;
            };
            let router = &mut self.processes[node].router;
            router.step(Event::RetryHistory { processes });
        }
    }

    fn send_heartbeats(&mut self) {
        for node in 0..self.processes.len() {
            let from = &self.processes[node];
            let heartbeat = Event::PeerRetries {
                name: from.name.clone(),
                boot: from.boot,
                services: from.router.router.own_retries(self.now),
            };
            for (peer, to) in self.processes.iter_mut().enumerate() {
                if peer != node {
                    to.router.step(heartbeat.clone());
                }
            }
        }
    }

    fn restart_all(&mut self) {
        (0..NODES).for_each(|node| self.restart(node, None));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.ticks += 1;
        if self.is_connected && self.ticks % HEARTBEAT_TICKS == 0 {
            self.send_heartbeats();
        }
        for node in 0..self.processes.len() {
            self.update_node_count(node);
            self.processes[node].router.advance(TICK);
            self.end_attempts(node);
            self.send_requests(node);
            self.collect_sends(node);
        }
    }

    fn update_node_count(&mut self, node: usize) {
        let process = &mut self.processes[node];
        if process.undercount.is_some_and(|(end, _)| self.now >= end) {
            process.undercount = None;
            let count = NODES as u32;
            process.router.step(Event::NodeCount { count });
        }
    }

    fn end_attempts(&mut self, node: usize) {
        let age = self.now.since(Instant::from_millis(1_000));
        let loads = &self.loads;
        let process = &mut self.processes[node];
        for attempt in &mut process.open {
            attempt.ticks_left -= 1;
        }
        let (ended, open) = std::mem::take(&mut process.open)
            .into_iter()
            .partition(|attempt| attempt.ticks_left == 0);
        process.open = open;
        for attempt in ended {
            let load = loads[attempt.load];
            let failure = load.failure.filter(|_| age >= load.fails_from);
            let end = failure.unwrap_or(AttemptEnd::Delivered { is_success: true });
            process.router.end_attempt(attempt.request, end);
        }
    }

    fn send_requests(&mut self, node: usize) {
        let process = &mut self.processes[node];
        for (index, load) in self.loads.iter().enumerate() {
            process.due[index] += load.rate * TICK.as_secs_f64();
            while process.due[index] >= 1.0 {
                process.due[index] -= 1.0;
                self.requests[index].push(self.now);
                let request = process.router.arrive(load.path, load.prompt_tokens);
                process.requests.push((request, index, false));
            }
        }
    }

    fn collect_sends(&mut self, node: usize) {
        let process = &mut self.processes[node];
        for effect in std::mem::take(&mut process.router.effects) {
            let Effect::Send { request, .. } = effect else {
                continue;
            };
            let mut requests = process.requests.iter_mut();
            let known = requests.find(|(key, _, _)| *key == request);
            let (_, load, reached) = known.expect("the request arrived");
            if std::mem::replace(reached, true) {
                self.retries[*load].push(self.now);
            }
            process.open.push(OpenAttempt {
                request,
                load: *load,
                ticks_left: RESPONSE_TICKS,
            });
        }
    }

    /// Returns the first window in which a service received more retries than allowed.
    fn violation(&self) -> Option<String> {
        for (index, load) in self.loads.iter().enumerate() {
            for &from in &self.retries[index] {
                let within = |times: &[Instant], from: Instant| {
                    let end = from.after(WINDOW);
                    times.iter().filter(|&&at| from <= at && at < end).count()
                };
                let retries = within(&self.retries[index], from);
                let windows = [from, from.before(WINDOW / 2), from.before(WINDOW)];
                let requests = windows.map(|from| within(&self.requests[index], from));
                let requests = requests.into_iter().max().unwrap_or(0);
                let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK;
                if retries as f64 > allowed {
                    return Some(format!(
                        "{}: {retries} retries for {requests} requests, {allowed:.0} allowed",
                        load.service
                    ));
                }
            }
        }
        None
    }

    fn total_retries(&self, load: usize) -> usize {
        self.retries[load].len()
    }
}

#[test]
fn restarts_do_not_renew_the_retry_budget() {
    let failing = Load::new(ENGINES, 20.0).failing(Duration::from_secs(12), SERVER_ERROR);
    let mut cluster = Cluster::new(&[failing]);
    cluster.run(Duration::from_secs(16));
    for _ in 0..3 {
        cluster.restart_all();
        cluster.run(Duration::from_secs(3));
    }
    cluster.run(Duration::from_secs(10));
    assert!(cluster.total_retries(0) > 0);
    assert_eq!(cluster.violation(), None);
}

#[test]
fn restarted_nodes_that_miss_their_peers_do_not_exceed_the_retry_budget() {
    let failing = Load::new(PLAIN_SERVICE, 8.0).failing(Duration::from_secs(12), SERVER_ERROR);
    let mut cluster = Cluster::new(&[failing]);
    cluster.run(Duration::from_secs(16));
    for node in 0..NODES {
        cluster.restart(node, Some((Duration::from_secs(1), 1 + node as u32 / 2)));
    }
    cluster.run(Duration::from_secs(12));
    assert!(cluster.total_retries(0) > 0);
    assert_eq!(cluster.violation(), None);
}

#[test]
fn requests_of_one_service_allow_no_retries_of_another() {
    let busy = Load::new(ENGINES, 40.0);
    let failing = Load::new(PLAIN_SERVICE, 6.0).failing(Duration::from_secs(12), REJECTED);
    let mut cluster = Cluster::new(&[busy, failing]);
    cluster.run(Duration::from_secs(26));
    assert!(cluster.total_retries(1) > 0);
    assert_eq!(cluster.violation(), None);
}

#[test]
fn restarted_node_keeps_the_retries_of_its_previous_process() {
    let failing = Load::new(ENGINES, 20.0).failing(Duration::from_secs(12), SERVER_ERROR);
    let mut cluster = Cluster::new(&[failing]).connected();
    cluster.run(Duration::from_secs(16));
    let usage = |cluster: &Cluster| {
        let router = &cluster.processes[0].router.router;
        router.retry_usages(cluster.now)[0].1
    };
    let before = usage(&cluster);
    cluster.restart(0, None);
    cluster.run(TICK);
    let after = usage(&cluster);
    assert!(after.knows_previous);
    assert!(after.retries > 0 && after.retries >= before.retries - 1);
    cluster.run(Duration::from_secs(8));
    assert_eq!(cluster.violation(), None);
}

#[test]
fn history_that_arrives_late_is_used() {
    let mut cluster = Cluster::new(&[Load::new(ENGINES, 20.0)]).connected();
    cluster.run(Duration::from_secs(11));
    cluster.is_connected = false;
    cluster.restart(0, None);
    cluster.run(Duration::from_secs(5));
    cluster.send_history_to(0);
    let router = &cluster.processes[0].router.router;
    assert!(router.knows_own_retries(cluster.now));
}

/// Guards against failing callers for retries that nobody has sent.
#[test]
fn nodes_that_restart_in_turn_keep_their_retry_budget() {
    let retries = |restarts: bool| {
        let failing = Load::new(ENGINES, 20.0).failing(Duration::from_secs(18), SERVER_ERROR);
        let mut cluster = Cluster::new(&[failing]).connected();
        cluster.run(Duration::from_secs(12));
        for node in 0..NODES {
            if restarts {
                cluster.restart(node, None);
            }
            cluster.run(Duration::from_secs(1));
        }
        cluster.run(Duration::from_secs(4));
        assert_eq!(cluster.violation(), None);
        cluster.total_retries(0) as f64
    };
    let (without, with) = (retries(false), retries(true));
    assert!(with >= 0.75 * without, "{with} of {without}");
}

/// Guards against failing callers in the first seconds of a deployment.
#[test]
fn first_process_of_a_node_uses_its_whole_share_at_once() {
    let failing = Load::new(ENGINES, 20.0).failing(Duration::ZERO, SERVER_ERROR);
    let mut cluster = Cluster::new(&[failing]);
    for process in &mut cluster.processes {
        process.router.step(Event::NoPreviousProcess);
    }
    cluster.run(Duration::from_secs(2));
    assert!(cluster.total_retries(0) as f64 >= 0.5 * RETRY_SLACK);
    cluster.run(Duration::from_secs(10));
    assert_eq!(cluster.violation(), None);
}

#[test]
fn retries_of_an_unreachable_previous_process_are_unknown() {
    let mut cluster = Cluster::new(&[Load::new(ENGINES, 20.0)]).connected();
    cluster.run(Duration::from_secs(11));
    cluster.is_connected = false;
    cluster.run(Duration::from_secs(4));
    cluster.is_connected = true;
    cluster.restart(0, None);
    cluster.run(TICK);
    let router = &cluster.processes[0].router.router;
    assert!(!router.retry_usages(cluster.now)[0].1.knows_previous);
}

#[derive(Clone, Debug)]
struct Plan {
    /// Whether nodes receive each other's messages.
    is_connected: bool,
    loads: [(u8, u8); 2],
    /// Tick, node (or all of them), and the node count known at first.
    restarts: Vec<(u16, Option<u8>, u8)>,
}

fn plan() -> impl Strategy<Value = Plan> {
    let restart = (
        0..600u16,
        prop::option::weighted(0.7, 0..NODES as u8),
        1..=NODES as u8,
    );
    let loads = [(1..40u8, 0..3u8), (1..40u8, 0..3u8)];
    let restarts = prop::collection::vec(restart, 0..30);
    (any::<bool>(), loads, restarts).prop_map(|(is_connected, loads, restarts)| Plan {
        is_connected,
        loads,
        restarts,
    })
}

fn run_plan(plan: &Plan) -> Option<String> {
    let load = |service, (rate, failure): (u8, u8)| {
        let load = Load::new(service, f64::from(rate));
        match failure {
            0 => load,
            1 => load.failing(Duration::from_secs(8), SERVER_ERROR),
            _ => load.failing(Duration::from_secs(5), REJECTED),
        }
    };
    let loads = [
        load(ENGINES, plan.loads[0]),
        load(PLAIN_SERVICE, plan.loads[1]),
    ];
    let mut cluster = Cluster::new(&loads);
    cluster.is_connected = plan.is_connected;
    for tick in 0..600u16 {
        for &(at, node, count) in &plan.restarts {
            let undercount = Some((Duration::from_millis(300), count.into()));
            match node {
                _ if at != tick => {}
                Some(node) => cluster.restart(node.into(), undercount),
                None => (0..NODES).for_each(|node| cluster.restart(node, undercount)),
            }
        }
        cluster.tick();
    }
    cluster.violation()
}

fn check_plans(cases: u32, seed: u8) {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 50,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&plan(), |plan| {
        prop_assert_eq!(run_plan(&plan), None);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn retry_budget_holds_over_random_restarts() {
    check_plans(12, 5);
}

/// Simulates hundreds of schedules. Run with `--ignored`.
#[test]
#[ignore = "takes minutes"]
fn retry_budget_holds_over_many_random_restarts() {
    for seed in 0..20 {
        check_plans(40, seed);
    }
}
