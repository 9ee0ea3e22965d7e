//! A simulation of routers and engines, and the outcome of each arrival.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};
use notchwalk_route::{
    Assignment, AttemptEnd, Effect, Event, FailedReservation, PeerWork, RequestFacts, RequestKey,
    Route, RouteLookup, Router, RouterConfig, ServerChange, WorkspaceShortId,
};

use super::{
    engine::{Progress, RequestIndex, Segment, SimulatedEngine},
    policy::{parameters, server_record, site, Policy, ENGINES, NETWORK_LATENCY},
    traffic::{Arrival, KINDS, TOKENS_PER_EVENT},
};

/// One-way latency between a caller and a node.
const CALLER_LATENCY: Duration = Duration::from_millis(3);
/// Interval of a router's ticks, as in a real node.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Ticks of all nodes between two full updates to peers. With six nodes, each publishes one
/// about every second.
const FULL_UPDATE_TICKS: u64 = 67;

/// The outcome of an arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Not finished.
    #[default]
    Pending,
    /// Complete and within its objectives.
    InTime,
    /// Complete, but the first event was late.
    LateFirstEvent,
    /// Complete, but a gap between two events was too long.
    LongGap,
    /// Refused, also on a retry if the caller made one.
    Refused,
    /// Abandoned by its caller.
    Abandoned,
}

/// A scheduled event.
#[derive(Debug)]
enum Scheduled {
    RequestArrives(RequestIndex),
    Tick(usize),
    PeerUpdate {
        to: usize,
        from: usize,
        servers: Vec<u32>,
        work: Vec<PeerWork>,
    },
    RequestReachesEngine(RequestIndex, Box<Assignment>),
    ReservationResponse(RequestIndex, Vec<FailedReservation>),
    StepEnds(usize),
    CallerTimeout(RequestIndex),
}

/// The state of a request.
#[derive(Debug, Default)]
struct Request {
    node: usize,
    key: RequestKey,
    has_retried: bool,
    /// Engines that work on the request; after its assignment, the decoding engine is first.
    engines: Vec<usize>,
    /// Whether memory is reserved on all its engines.
    reserved: bool,
    segments_left: usize,
    events_left: u32,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    outcome: Outcome,
}

/// A simulated run of one policy.
pub struct Simulation {
    policy: Policy,
    arrivals: Vec<Arrival>,
    requests: Vec<Request>,
    by_key: HashMap<(usize, RequestKey), RequestIndex>,
    routers: Vec<Router>,
    routes: Vec<Arc<Route>>,
    engines: Vec<SimulatedEngine>,
    by_addr: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Scheduled>,
    sequence: u64,
    now: Instant,
    ticks: u64,
}

impl Simulation {
    /// Creates a simulation of these arrivals under a policy.
    ///
    /// # Panics
    ///
    /// Panics if a route of the site configuration is not found.
    pub fn new(policy: Policy, arrivals: Vec<Arrival>) -> Self {
        /// Time from the start of the routers to the first event. After this time they treat
        /// the updates of their peers as complete.
        const ROUTER_UPTIME: Duration = Duration::from_secs(5);
        let start = Instant::from_millis(10_000);
        let routers = (0..policy.nodes).map(|node| {
            let mut router = Router::new(RouterConfig {
                name: format!("entry-{node}"),
                failure_domain: "a".to_owned(),
                retry_ratio: 0.2,
                retry_slack: 100.0,
                retry_window: Duration::from_secs(10),
                boot: 1,
                seed: 7,
            });
            let mut out = Vec::new();
            let router_start = start.before(ROUTER_UPTIME);
            router.step(router_start, Event::Configured(site()), &mut out);
            let servers = (0..ENGINES).map(server_record).collect();
            let change = Event::Servers(ServerChange::All(servers));
            router.step(router_start, change, &mut out);
            router
        });
        let routers: Vec<Router> = routers.collect();
        let route = |kind: &super::traffic::Kind| {
            let path = format!("/{}/x", kind.name);
            match routers[0].routes().lookup("a.example", &path, None) {
                RouteLookup::Found { route, .. } => route,
                other => panic!("{path}: {other:?}"),
            }
        };
        let routes = KINDS.iter().map(route).collect();
        let engines = (0..ENGINES).map(|_| SimulatedEngine::new(parameters()));
        let by_addr = (0..ENGINES).map(|engine| (server_record(engine).addr, engine));
        let mut simulation = Self {
            requests: (0..arrivals.len()).map(|_| Request::default()).collect(),
            engines: engines.collect(),
            by_addr: by_addr.collect(),
            by_key: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            now: start,
            ticks: 0,
            policy,
            arrivals,
            routers,
            routes,
        };
        for index in 0..simulation.arrivals.len() {
            let at = simulation.arrivals[index].at.since(Instant::ZERO) + CALLER_LATENCY;
            simulation.schedule(at, Scheduled::RequestArrives(index));
        }
        for node in 0..policy.nodes {
            let offset = TICK_INTERVAL / policy.nodes as u32 * node as u32;
            simulation.schedule(offset, Scheduled::Tick(node));
        }
        simulation
    }

    fn schedule(&mut self, after: Duration, event: Scheduled) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now.after(after), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Runs until no request is open. Returns each arrival with its outcome.
    pub fn run(mut self) -> Vec<(Arrival, Outcome)> {
        let mut open = self.arrivals.len();
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            self.now = at;
            let Some(event) = self.events.remove(&sequence) else {
                continue;
            };
            let is_tick = matches!(event, Scheduled::Tick(_));
            self.handle(event);
            if is_tick {
                continue;
            }
            let requests = self.requests.iter();
            open = match open {
                0 => 0,
                _ => requests
                    .filter(|request| request.outcome == Outcome::Pending)
                    .count(),
            };
            if open == 0 {
                break;
            }
        }
        let outcomes = self.requests.iter().map(|request| request.outcome);
        self.arrivals.iter().copied().zip(outcomes).collect()
    }

    fn handle(&mut self, event: Scheduled) {
        match event {
            Scheduled::RequestArrives(index) => self.handle_arrival(index),
            Scheduled::Tick(node) => self.tick(node),
            Scheduled::PeerUpdate {
                to,
                from,
                servers,
                work,
            } => {
                let peer = from as u32;
                let event = Event::PeerWork {
                    peer,
                    servers,
                    work,
                };
                self.step(to, event);
            }
            Scheduled::RequestReachesEngine(index, to) => self.handle_assignment(index, &to),
            Scheduled::ReservationResponse(index, failed) => {
                let request = &self.requests[index];
                let (node, key) = (request.node, request.key);
                let event = Event::Reserved {
                    request: key,
                    failed,
                };
                self.step(node, event);
            }
            Scheduled::StepEnds(engine) => self.end_step(engine),
            Scheduled::CallerTimeout(index) => self.handle_caller_timeout(index),
        }
    }

    fn handle_arrival(&mut self, index: RequestIndex) {
        let arrival = self.arrivals[index];
        let node = index % self.policy.nodes;
        let key = self.routers[node].new_request();
        let kind = &KINDS[arrival.kind];
        let request = &mut self.requests[index];
        (request.node, request.key) = (node, key);
        request.events_left = arrival.events.max(1);
        self.by_key.insert((node, key), index);
        let facts = RequestFacts {
            forwarded: None,
            excluded_servers: Vec::new(),
            route: self.routes[arrival.kind].clone(),
            shared_parts: Vec::new(),
            content: content_of(index),
            workspace: WorkspaceShortId::default(),
            workspace_priority: 0,
            arrived_at: self.now,
            caller_timeout: kind.caller_timeout,
            deadline: self.now.after(kind.caller_timeout),
            prompt_tokens: arrival.prompt as u32,
            output_tokens: (f64::from(arrival.events) * TOKENS_PER_EVENT) as u32,
        };
        let event = Event::Arrived {
            request: key,
            facts,
        };
        // Callers wait for the first event for two seconds, four latency objectives or eight
        // inter-token objectives, whichever is longest.
        let abort_after = (kind.objective * 4).max(kind.inter_token_objective * 8);
        let abort_after = abort_after.max(Duration::from_secs(2));
        self.schedule(abort_after, Scheduled::CallerTimeout(index));
        self.step(node, event);
    }

    fn tick(&mut self, node: usize) {
        self.step(node, Event::Tick);
        self.ticks += 1;
        let work = match self.ticks % FULL_UPDATE_TICKS {
            0 => self.routers[node].all_own_work(self.now),
            _ => self.routers[node].take_changed_work(self.now),
        };
        self.publish(node, work);
        self.schedule(TICK_INTERVAL, Scheduled::Tick(node));
    }

    fn publish(&mut self, node: usize, (servers, work): (Vec<u32>, Vec<PeerWork>)) {
        let Some(updates) = self.policy.updates.filter(|_| !servers.is_empty()) else {
            return;
        };
        for to in (0..self.policy.nodes).filter(|&to| to != node) {
            let event = Scheduled::PeerUpdate {
                to,
                from: node,
                servers: servers.clone(),
                work: work.clone(),
            };
            self.schedule(updates.latency, event);
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut effects = Vec::new();
        self.routers[node].step(self.now, event, &mut effects);
        for effect in effects {
            self.apply_effect(node, effect);
        }
        if self.policy.updates.is_some_and(|updates| updates.immediate) {
            let work = self.routers[node].take_changed_work(self.now);
            self.publish(node, work);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        let index_of = |key| self.by_key.get(&(node, key)).copied();
        match effect {
            Effect::Send { request, to } => {
                if let Some(index) = index_of(request) {
                    self.schedule(
                        NETWORK_LATENCY,
                        Scheduled::RequestReachesEngine(index, Box::new(to)),
                    );
                }
            }
            Effect::Refuse {
                request,
                retry_after,
                ..
            } => {
                if let Some(index) = index_of(request) {
                    self.handle_refusal(index, retry_after);
                }
            }
            Effect::Reserve { request, orders } => {
                let Some(index) = index_of(request) else {
                    return;
                };
                let mut failed = Vec::new();
                for order in &orders {
                    let engine = self.by_addr[&order.addr];
                    let tokens = f64::from(order.tokens.unwrap_or(0));
                    if !self.engines[engine].reserve(index, tokens) {
                        failed.push(FailedReservation {
                            addr: order.addr,
                            unreachable: false,
                        });
                    }
                    self.requests[index].engines.push(engine);
                }
                self.requests[index].reserved = failed.is_empty();
                if !failed.is_empty() {
                    self.drop_request(index);
                }
                self.schedule(
                    NETWORK_LATENCY * 2,
                    Scheduled::ReservationResponse(index, failed),
                );
            }
            // `drop_request` releases the memory.
            Effect::SendReservationOrder(_)
            | Effect::Ejected { .. }
            | Effect::NewNotice { .. }
            | Effect::DeliverFailure { .. }
            | Effect::ProbePort { .. }
            | Effect::LimitExhausted { .. }
            | Effect::RetryDecided { .. }
            | Effect::NoServer { .. }
            | Effect::Blocked { .. }
            // Links are never lost, and no peer publishes its status.
            | Effect::CheckLinks { .. }
            | Effect::ReachabilityChanged { .. }
            | Effect::Forward { .. }
            | Effect::Finding(_) => {}
        }
    }

    fn handle_refusal(&mut self, index: RequestIndex, retry_after: Option<Duration>) {
        let request = &mut self.requests[index];
        self.by_key.remove(&(request.node, request.key));
        let caller_timeout = KINDS[self.arrivals[index].kind].caller_timeout;
        match retry_after.filter(|after| !request.has_retried && *after < caller_timeout / 3) {
            Some(after) => {
                request.has_retried = true;
                self.schedule(after, Scheduled::RequestArrives(index));
            }
            None => request.outcome = Outcome::Refused,
        }
    }

    fn handle_assignment(&mut self, index: RequestIndex, to: &Assignment) {
        let arrival = self.arrivals[index];
        let decoding_engine = self.by_addr[&to.addr];
        let workers = to
            .prefill_workers
            .iter()
            .map(|worker| self.by_addr[&worker.addr]);
        let workers: Vec<usize> = workers
            .filter(|&engine| engine != decoding_engine)
            .collect();
        let segments = workers.len() + 1;
        let segment = Segment {
            request: index,
            remaining_tokens: arrival.prompt / segments as f64,
            prompt_tokens: arrival.prompt,
            is_remote: false,
        };
        let request = &mut self.requests[index];
        request.segments_left = segments;
        let memory = match request.reserved {
            true => 0.0,
            false => arrival.prompt + f64::from(arrival.events) * TOKENS_PER_EVENT,
        };
        request.engines = std::iter::once(decoding_engine)
            .chain(workers.clone())
            .collect();
        self.engines[decoding_engine].enqueue_prompt(segment, memory);
        for engine in workers {
            self.engines[engine].enqueue_remote_segment(Segment {
                is_remote: true,
                ..segment
            });
            self.begin_step(engine);
        }
        self.begin_step(decoding_engine);
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].begin_step() {
            let after = Duration::from_secs_f64(ms / 1e3);
            self.schedule(after, Scheduled::StepEnds(engine));
        }
    }

    fn end_step(&mut self, engine: usize) {
        for progress in self.engines[engine].end_step() {
            match progress {
                Progress::Prefilled(index) => self.segment_prefilled(index, engine),
                Progress::Decoded(index) => self.event_decoded(index),
            }
        }
        self.begin_step(engine);
    }

    fn segment_prefilled(&mut self, index: RequestIndex, engine: usize) {
        let prompt = self.arrivals[index].prompt;
        let request = &mut self.requests[index];
        if request.engines.is_empty() || request.outcome != Outcome::Pending {
            return;
        }
        request.segments_left -= 1;
        if request.segments_left > 0 {
            return;
        }
        let decoding_engine = request.engines[0];
        let context = prompt / request.engines.len() as f64;
        self.engines[decoding_engine].begin_decode(index, context);
        match decoding_engine == engine {
            // The step that completes the prefill also yields the first event.
            true => self.event_decoded(index),
            false => self.begin_step(decoding_engine),
        }
    }

    fn event_decoded(&mut self, index: RequestIndex) {
        let now = self.now.after(NETWORK_LATENCY + CALLER_LATENCY);
        let request = &mut self.requests[index];
        if request.outcome != Outcome::Pending {
            return;
        }
        if let Some(last) = request.last_event_at {
            request.longest_gap = request.longest_gap.max(now.since(last));
        }
        request.last_event_at = Some(now);
        request.events_left -= 1;
        let (node, key, finished) = (request.node, request.key, request.events_left == 0);
        if request.first_event_at.is_none() {
            request.first_event_at = Some(now);
            self.step(node, Event::Started { request: key });
        }
        if finished {
            self.finish(index);
        }
    }

    fn finish(&mut self, index: RequestIndex) {
        let arrival = &self.arrivals[index];
        let kind = &KINDS[arrival.kind];
        let request = &mut self.requests[index];
        let sent_at = Instant::from_millis(10_000).after(arrival.at.since(Instant::ZERO));
        let first = request
            .first_event_at
            .map_or(Duration::MAX, |at| at.since(sent_at));
        request.outcome = match (
            first <= kind.objective,
            request.longest_gap <= kind.inter_token_objective,
        ) {
            (false, _) => Outcome::LateFirstEvent,
            (true, false) => Outcome::LongGap,
            (true, true) => Outcome::InTime,
        };
        let (node, key) = (request.node, request.key);
        self.drop_request(index);
        let end = AttemptEnd::Delivered { is_success: true };
        self.step(node, Event::AttemptEnded { request: key, end });
        self.by_key.remove(&(node, key));
    }

    fn handle_caller_timeout(&mut self, index: RequestIndex) {
        let request = &mut self.requests[index];
        let is_waiting = request.outcome == Outcome::Pending && request.first_event_at.is_none();
        let is_registered = self.by_key.contains_key(&(request.node, request.key));
        if !is_waiting || !is_registered {
            return;
        }
        request.outcome = Outcome::Abandoned;
        let (node, key) = (request.node, request.key);
        self.drop_request(index);
        self.step(node, Event::Abandoned { request: key });
        self.by_key.remove(&(node, key));
    }

    fn drop_request(&mut self, index: RequestIndex) {
        for engine in std::mem::take(&mut self.requests[index].engines) {
            self.engines[engine].drop_request(index);
            self.begin_step(engine);
        }
    }
}

/// Returns the fingerprint of a request, unique for each index.
fn content_of(index: RequestIndex) -> Fingerprint {
    let target = index.to_string();
    let content = RequestHead {
        workspace: None,
        method: "POST",
        host: "",
        target: &target,
    };
    FingerprintBuilder::new(&content).finish()
}
