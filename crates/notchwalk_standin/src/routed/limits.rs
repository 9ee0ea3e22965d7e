//! Routers that share the rate limits of servers, in simulated time, with message latency
//! and loss, and with nodes that crash, are suspended or are partitioned from their peers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use notchwalk_core::Instant;
use notchwalk_quarantine::{FingerprintBuilder, RequestHead};
use notchwalk_route::{
    AttemptEnd, Backend, Effect, Event, LimitScope, LimitSharing, LimitUpdate, RateLimit,
    Repeatability, RequestFacts, RequestKey, Route, RouteLookup, Router, RouterConfig,
    ServerChange, ServerNotice, ServerRecord, ServerStage, Service, SiteConfig, WorkspaceShortId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::limits_plan::{Demand, LimitsOutcome, LimitsPlan, NodeFault};

const SERVICE: &str = "desk";
/// Interval of a router's ticks, as in a real node.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Interval of heartbeats in a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeat intervals without a message after which a peer no longer counts as reachable.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Range of the one-way latency between a node and a server or a peer.
const LATENCY_MS: std::ops::Range<f64> = 0.3..3.0;
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Timeout of a request, including its time in the queue.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of servers without a limit if [`LimitsPlan::has_unlimited_servers`] is set.
pub const UNLIMITED_SERVERS: usize = 2;

/// A scheduled event. Requests and responses hold the node, its incarnation, the request, the
/// server and the time of sending.
#[derive(Debug)]
enum Scheduled {
    Tick(usize),
    Heartbeat(usize),
    RequestArrives,
    Message {
        to: usize,
        from: usize,
        limits: Vec<LimitUpdate>,
        is_heartbeat: bool,
    },
    RequestReachesServer(usize, u64, RequestKey, usize, Instant),
    ResponseArrives(usize, u64, RequestKey, usize, Instant, Option<RateLimit>),
    FaultBegins(usize, NodeFault),
    Restart(usize),
    SendKnownLimits(usize),
}

struct Node {
    router: Router,
    /// Increases with each crash and restart. Responses to an earlier incarnation are ignored.
    incarnation: u64,
    is_running: bool,
    suspended_until: Instant,
    partitioned_until: Instant,
    /// Time of the last message from each node, or zero for an unreachable peer.
    last_received: Vec<Instant>,
    arrived_at: BTreeMap<RequestKey, Instant>,
}

/// A simulation of nodes that share servers with rate limits.
pub struct LimitsSimulation {
    plan: LimitsPlan,
    now: Instant,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Scheduled>,
    sequence: u64,
    rng: Pcg64Mcg,
    outcome: LimitsOutcome,
}

/// Start time of a run. It is not zero, so that earlier times can be represented.
pub const START: Instant = Instant::from_millis(10_000);

fn node_name(node: usize) -> String {
    format!("entry-{node}")
}

fn site() -> SiteConfig {
    let route = Route {
        name: SERVICE.to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        streaming: false,
        repeatability: Repeatability::Idempotent,
        timeout: REQUEST_TIMEOUT,
        objective: Duration::from_millis(300),
        inter_token_objective: None,
        priority: 1,
        max_attempts: 2,
        is_public: true,
        backends: vec![Backend {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
    };
    SiteConfig {
        version: 1,
        routes: vec![route],
        services: vec![Service {
            name: SERVICE.to_owned(),
            max_connections: 100,
            engine: None,
        }],
        ..SiteConfig::default()
    }
}

fn server_record(server: usize) -> ServerRecord {
    ServerRecord {
        instance: format!("i-{server}"),
        started_ms: None,
        service: SERVICE.to_owned(),
        addr: format!("10.0.{}.{}:80", server / 250, server % 250 + 1)
            .parse()
            .expect("the address is valid"),
        failure_domain: "a".to_owned(),
        slots: 200,
        stage: ServerStage::Ready,
    }
}

impl LimitsSimulation {
    /// Creates a simulation at its start.
    pub fn new(plan: LimitsPlan) -> Self {
        let servers = plan.limits.len();
        let mut simulation = Self {
            now: START,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            outcome: LimitsOutcome {
                requests: vec![Vec::new(); servers],
                limit_end_received: vec![None; plan.nodes],
                ..LimitsOutcome::default()
            },
            plan,
        };
        for node in 0..simulation.plan.nodes {
            let state = simulation.start_node(node, 0);
            simulation.nodes.push(state);
            let phase = TICK_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.schedule(phase, Scheduled::Tick(node));
            let phase = HEARTBEAT_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.schedule(phase, Scheduled::Heartbeat(node));
        }
        for (at, node, fault) in simulation.plan.faults.clone() {
            simulation.schedule(at, Scheduled::FaultBegins(node, fault));
        }
        simulation.schedule(Duration::ZERO, Scheduled::RequestArrives);
        simulation
    }

    fn start_node(&self, node: usize, incarnation: u64) -> Node {
        let mut router = Router::new(RouterConfig {
            name: node_name(node),
            failure_domain: "a".to_owned(),
            retry_ratio: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
            boot: 1,
            seed: self.plan.seed + node as u64,
        });
        let unlimited = if self.plan.has_unlimited_servers {
            UNLIMITED_SERVERS
        } else {
            0
        };
        let servers = (0..self.plan.limits.len() + unlimited)
            .map(server_record)
            .collect();
        let count = self.plan.nodes as u32;
        let mut out = Vec::new();
        for event in [
            Event::NodeCount { count },
            Event::Configured(site()),
            Event::Servers(ServerChange::All(servers)),
            Event::LimitSharing(LimitSharing::new(&node_name(node), count, 1)),
        ] {
            router.step(self.now, event, &mut out);
        }
        // At the start of a run all peers are reachable. A restarted node has received nothing.
        let last_received = match incarnation {
            0 => self.now,
            _ => Instant::ZERO,
        };
        Node {
            router,
            incarnation,
            is_running: true,
            suspended_until: Instant::ZERO,
            partitioned_until: Instant::ZERO,
            last_received: vec![last_received; self.plan.nodes],
            arrived_at: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Scheduled) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        let at = self.now.after(after);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn sample_latency(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(LATENCY_MS) / 1e3)
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> LimitsOutcome {
        let end = START.after(self.plan.duration);
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.outcome
    }

    /// Handles an event. Events at a suspended node are deferred until it resumes.
    fn handle(&mut self, event: Scheduled) {
        let target = match event {
            Scheduled::Tick(node) | Scheduled::Heartbeat(node) => Some(node),
            Scheduled::Message { to, .. } => Some(to),
            Scheduled::ResponseArrives(node, ..) => Some(node),
            _ => None,
        };
        if let Some(node) = target {
            let suspended_until = self.nodes[node].suspended_until;
            if suspended_until > self.now {
                return self.schedule(suspended_until.since(self.now), event);
            }
        }
        match event {
            Scheduled::Tick(node) => {
                self.schedule(TICK_INTERVAL, Scheduled::Tick(node));
                self.step(node, Event::Tick);
            }
            Scheduled::Heartbeat(node) => self.send_heartbeat(node),
            Scheduled::RequestArrives => self.handle_arrival(),
            Scheduled::Message {
                to,
                from,
                limits,
                is_heartbeat,
            } => self.receive(to, from, limits, is_heartbeat),
            Scheduled::RequestReachesServer(node, incarnation, key, server, sent_at) => {
                self.handle_request_at_server(node, incarnation, key, server, sent_at);
            }
            Scheduled::ResponseArrives(node, incarnation, key, server, sent_at, limit) => {
                self.handle_response(node, incarnation, key, server, sent_at, limit);
            }
            Scheduled::FaultBegins(node, fault) => self.inject_fault(node, fault),
            Scheduled::Restart(node) => self.restart(node),
            Scheduled::SendKnownLimits(node) => self.send_known_limits(node),
        }
    }

    fn inject_fault(&mut self, node: usize, fault: NodeFault) {
        let now = self.now;
        let node_state = &mut self.nodes[node];
        match fault {
            NodeFault::Crash(duration) => {
                node_state.is_running = false;
                node_state.incarnation += 1;
                self.schedule(duration, Scheduled::Restart(node));
            }
            NodeFault::Suspend(duration) => node_state.suspended_until = now.after(duration),
            NodeFault::Isolate(duration) => node_state.partitioned_until = now.after(duration),
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self.start_node(node, incarnation);
        self.outcome.restarts.push((node, self.now));
        // The node announces itself immediately. Its peers then send their limits three times,
        // because messages can get lost.
        self.send(node, None, Vec::new(), true);
        for round in 0..3 {
            self.schedule(HEARTBEAT_INTERVAL * round, Scheduled::SendKnownLimits(node));
        }
    }

    fn send_known_limits(&mut self, node: usize) {
        for peer in 0..self.plan.nodes {
            if peer != node && self.nodes[peer].is_running {
                let limits = self.known_limits(peer, LimitScope::All);
                self.send(peer, Some(node), limits, true);
            }
        }
    }

    fn known_limits(&self, node: usize, scope: LimitScope) -> Vec<LimitUpdate> {
        const MAX_LIMITS: usize = 48;
        let fleet = self.nodes[node].router.fleet();
        fleet.limit_updates(scope, MAX_LIMITS, self.now)
    }

    fn send_heartbeat(&mut self, node: usize) {
        // Larger fleets send heartbeats less often.
        let slowdown = (self.plan.nodes as f64 / 12.0).clamp(1.0, 4.0);
        self.schedule(
            HEARTBEAT_INTERVAL.mul_f64(slowdown),
            Scheduled::Heartbeat(node),
        );
        if !self.nodes[node].is_running {
            return;
        }
        let limits = self.known_limits(node, LimitScope::Direct);
        self.send(node, None, limits, true);
        let since = self
            .now
            .before(HEARTBEAT_INTERVAL.mul_f64(slowdown) * MAX_MISSED_HEARTBEATS);
        let last_received = self.nodes[node].last_received.iter();
        let last_received = last_received.enumerate();
        let reachable = last_received.filter(|(peer, at)| *peer != node && **at >= since);
        let count = reachable.count() as u32 + 1;
        let unreachable: Vec<usize> = (0..self.plan.nodes)
            .filter(|&peer| {
                let at = self.nodes[node].last_received[peer];
                at > Instant::ZERO && at < self.now.before(Duration::from_secs(3))
            })
            .collect();
        for peer in unreachable {
            self.nodes[node].last_received[peer] = Instant::ZERO;
            self.step(node, Event::PeerExpired { peer: peer as u32 });
        }
        let sharing = LimitSharing::new(&node_name(node), self.plan.nodes as u32, count);
        self.step(node, Event::LimitSharing(sharing));
    }

    fn send(
        &mut self,
        from: usize,
        to: Option<usize>,
        limits: Vec<LimitUpdate>,
        is_heartbeat: bool,
    ) {
        if self.plan.equal_shares {
            return;
        }
        let nodes = 0..self.plan.nodes;
        let targets: Vec<usize> = match to {
            Some(to) => vec![to],
            None => nodes.filter(|&to| to != from).collect(),
        };
        for to in targets {
            self.outcome.messages += 1;
            let is_partitioned = |node: usize| self.nodes[node].partitioned_until > self.now;
            if is_partitioned(from)
                || is_partitioned(to)
                || self.rng.random_bool(self.plan.message_loss)
            {
                continue;
            }
            let latency = self.sample_latency();
            let limits = limits.clone();
            self.schedule(
                latency,
                Scheduled::Message {
                    to,
                    from,
                    limits,
                    is_heartbeat,
                },
            );
        }
    }

    fn receive(&mut self, to: usize, from: usize, limits: Vec<LimitUpdate>, is_heartbeat: bool) {
        if !self.nodes[to].is_running {
            return;
        }
        if is_heartbeat || !limits.is_empty() {
            self.nodes[to].last_received[from] = self.now;
        }
        if !limits.is_empty() {
            let peer = from as u32;
            let name = node_name(from);
            let is_in_group = true;
            let event = Event::LimitUpdates {
                peer,
                name,
                is_in_group,
                updates: limits,
            };
            self.step(to, event);
        }
    }

    fn handle_arrival(&mut self) {
        let gap = -self.rng.random_range(1e-9f64..1.0).ln() / self.plan.requests_per_s;
        self.schedule(Duration::from_secs_f64(gap), Scheduled::RequestArrives);
        let node = match self.plan.demand {
            Demand::Even => self.rng.random_range(0..self.plan.nodes),
            Demand::One => 0,
        };
        if !self.nodes[node].is_running || self.nodes[node].suspended_until > self.now {
            return;
        }
        let router = &mut self.nodes[node].router;
        let RouteLookup::Found { route, .. } = router.routes().lookup("a.example", "/", None)
        else {
            panic!("the site has one route");
        };
        let route: Arc<Route> = route;
        self.sequence += 1;
        let target = self.sequence.to_string();
        let content = FingerprintBuilder::new(&RequestHead {
            workspace: None,
            method: "POST",
            host: "a.example",
            target: &target,
        });
        let facts = RequestFacts {
            forwarded: None,
            excluded_servers: Vec::new(),
            route,
            shared_parts: Vec::new(),
            content: content.finish(),
            workspace: WorkspaceShortId::default(),
            workspace_priority: 0,
            arrived_at: self.now,
            caller_timeout: REQUEST_TIMEOUT,
            deadline: self.now.after(REQUEST_TIMEOUT),
            prompt_tokens: 0,
            output_tokens: 0,
        };
        let request = router.new_request();
        self.nodes[node].arrived_at.insert(request, self.now);
        self.step(node, Event::Arrived { request, facts });
    }

    fn step(&mut self, node: usize, event: Event) {
        if !self.nodes[node].is_running {
            return;
        }
        let mut out = Vec::new();
        let router = &mut self.nodes[node].router;
        router.step(self.now, event, &mut out);
        let updates = match router.fleet().has_limit_updates() {
            true => router.take_limit_updates(self.now),
            false => Vec::new(),
        };
        if !updates.is_empty() {
            self.send(node, None, updates, false);
        }
        for effect in out {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { request, to } => {
                let waited = self.nodes[node].arrived_at.get(&request);
                let waited = waited.map(|&at| self.now.since(at)).unwrap_or_default();
                self.outcome.delayed += usize::from(waited >= Duration::from_millis(20));
                let server = to.instance.trim_start_matches("i-").parse();
                let server = server.expect("instance names end in a server index");
                let (incarnation, latency) = (self.nodes[node].incarnation, self.sample_latency());
                let event =
                    Scheduled::RequestReachesServer(node, incarnation, request, server, self.now);
                self.schedule(latency, event);
            }
            Effect::Refuse { request, .. } => {
                self.nodes[node].arrived_at.remove(&request);
                self.outcome.refused += 1;
            }
            Effect::NewNotice {
                notice: ServerNotice::Limit { limit: None, .. },
                ..
            } => {
                self.outcome.limit_end_received[node].get_or_insert(self.now);
            }
            _ => {}
        }
    }

    fn handle_request_at_server(
        &mut self,
        node: usize,
        incarnation: u64,
        key: RequestKey,
        server: usize,
        sent_at: Instant,
    ) {
        let limits = &self.plan.limits;
        if let Some(requests) = self.outcome.requests.get_mut(server) {
            requests.push((self.now, node));
        }
        let limits_end_after = self.plan.limits_end_after;
        let ended =
            limits_end_after.is_some_and(|at| self.now.after(SERVICE_TIME) >= START.after(at));
        let limit = limits.get(server).filter(|_| !ended);
        let limit = limit.and_then(|&limit| RateLimit::per_second(limit));
        let delay = SERVICE_TIME + self.sample_latency();
        let event = Scheduled::ResponseArrives(node, incarnation, key, server, sent_at, limit);
        self.schedule(delay, event);
    }

    fn handle_response(
        &mut self,
        node: usize,
        incarnation: u64,
        request: RequestKey,
        server: usize,
        sent_at: Instant,
        limit: Option<RateLimit>,
    ) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let fleet = self.nodes[node].router.fleet();
        let server = fleet.by_instance(&format!("i-{server}"));
        if let Some(server) = server {
            let notice = ServerNotice::Limit {
                limit,
                requested_at: sent_at,
            };
            self.step(node, Event::NoticeReceived { server, notice });
        }
        self.nodes[node].arrived_at.remove(&request);
        self.outcome.served += 1;
        let end = AttemptEnd::Delivered { is_success: true };
        self.step(node, Event::AttemptEnded { request, end });
    }
}
