//! Routers and simulated engines in simulated time: what an arrival comes to.

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
    Route, RouteLookup, Router, RouterConfig, ServerChange, WorkspaceTag,
};

use super::{
    engine::{Number, Part, Progress, SimulatedEngine},
    policy::{parameters, record, site, Policy, ENGINES, TO_SERVER},
    traffic::{Arrival, KINDS, TOKENS_PER_EVENT},
};

/// One way between a caller and an entry.
const TO_CALLER: Duration = Duration::from_millis(3);
/// How often a router hears that time passed, as the daemon has it.
const TICK: Duration = Duration::from_millis(15);
/// Ticks between two whole tellings to peers, about a second.
const WHOLE_EVERY: u64 = 67;

/// What an arrival came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing yet.
    #[default]
    Open,
    /// Whole and in time.
    InTime,
    /// Whole, its first event too late.
    FirstLate,
    /// Whole, with a pause that was too long.
    Paused,
    /// Refused, twice if its caller came back.
    Refused,
    /// Its caller left.
    Left,
}

#[derive(Debug)]
enum Happening {
    Arrive(Number),
    Tick(usize),
    Told {
        to: usize,
        from: usize,
        servers: Vec<u32>,
        work: Vec<PeerWork>,
    },
    Reach(Number, Box<Assignment>),
    Reserved(Number, Vec<FailedReservation>),
    PassEnds(usize),
    GiveUp(Number),
}

/// A request on its way.
#[derive(Debug, Default)]
struct Request {
    entry: usize,
    key: RequestKey,
    came_back: bool,
    engines: Vec<usize>,
    reserved: bool,
    parts_left: usize,
    events_left: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    longest_pause: Duration,
    outcome: Outcome,
}

/// A run of one policy.
pub struct World {
    policy: Policy,
    arrivals: Vec<Arrival>,
    requests: Vec<Request>,
    by_key: HashMap<(usize, RequestKey), Number>,
    routers: Vec<Router>,
    routes: Vec<Arc<Route>>,
    engines: Vec<SimulatedEngine>,
    by_addr: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: HashMap<u64, Happening>,
    number: u64,
    now: Instant,
    ticks: u64,
}

impl World {
    /// Builds a world that plays these arrivals under a policy.
    ///
    /// # Panics
    ///
    /// Panics if the routes of its own configuration can't be found.
    pub fn new(policy: Policy, arrivals: Vec<Arrival>) -> Self {
        /// Long enough for routers to know that peers told all they have.
        const STARTED_BEFORE: Duration = Duration::from_secs(5);
        let start = Instant::from_millis(10_000);
        let routers = (0..policy.entries).map(|entry| {
            let mut router = Router::new(RouterConfig {
                name: format!("entry-{entry}"),
                failure_domain: "a".to_owned(),
                retry_ratio: 0.2,
                retry_slack: 100.0,
                retry_window: Duration::from_secs(10),
                seed: 7,
            });
            let mut out = Vec::new();
            let before = start.before(STARTED_BEFORE);
            router.step(before, Event::Configured(site()), &mut out);
            let all = (0..ENGINES).map(record).collect();
            let change = Event::Servers(ServerChange::All(all));
            router.step(before, change, &mut out);
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
        let by_addr = (0..ENGINES).map(|number| (record(number).addr, number));
        let mut world = Self {
            requests: (0..arrivals.len()).map(|_| Request::default()).collect(),
            engines: engines.collect(),
            by_addr: by_addr.collect(),
            by_key: HashMap::new(),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            number: 0,
            now: start,
            ticks: 0,
            policy,
            arrivals,
            routers,
            routes,
        };
        for number in 0..world.arrivals.len() {
            let at = world.arrivals[number].at.since(Instant::ZERO) + TO_CALLER;
            world.later(at, Happening::Arrive(number));
        }
        for entry in 0..policy.entries {
            let offset = TICK / policy.entries as u32 * entry as u32;
            world.later(offset, Happening::Tick(entry));
        }
        world
    }

    fn later(&mut self, after: Duration, happening: Happening) {
        self.number += 1;
        self.queue
            .push(Reverse((self.now.after(after), self.number)));
        self.happenings.insert(self.number, happening);
    }

    /// Plays all arrivals to their ends; returns what each came to.
    pub fn run(mut self) -> Vec<(Arrival, Outcome)> {
        let mut open = self.arrivals.len();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            let Some(happening) = self.happenings.remove(&number) else {
                continue;
            };
            let ticks = matches!(happening, Happening::Tick(_));
            self.handle(happening);
            if ticks {
                continue;
            }
            let requests = self.requests.iter();
            open = match open {
                0 => 0,
                _ => requests
                    .filter(|request| request.outcome == Outcome::Open)
                    .count(),
            };
            if open == 0 {
                break;
            }
        }
        let outcomes = self.requests.iter().map(|request| request.outcome);
        self.arrivals.iter().copied().zip(outcomes).collect()
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(number) => self.arrive(number),
            Happening::Tick(entry) => self.tick(entry),
            Happening::Told {
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
            Happening::Reach(number, to) => self.reach(number, &to),
            Happening::Reserved(number, failed) => {
                let request = &self.requests[number];
                let (entry, key) = (request.entry, request.key);
                let event = Event::Reserved {
                    request: key,
                    failed,
                };
                self.step(entry, event);
            }
            Happening::PassEnds(engine) => self.pass_ends(engine),
            Happening::GiveUp(number) => self.give_up(number),
        }
    }

    fn arrive(&mut self, number: Number) {
        let arrival = self.arrivals[number];
        let entry = number % self.policy.entries;
        let key = self.routers[entry].new_request();
        let kind = &KINDS[arrival.kind];
        let request = &mut self.requests[number];
        (request.entry, request.key) = (entry, key);
        request.events_left = arrival.events.max(1);
        self.by_key.insert((entry, key), number);
        let facts = RequestFacts {
            route: self.routes[arrival.kind].clone(),
            content: content_of(number),
            workspace: WorkspaceTag::default(),
            workspace_priority: 0,
            arrived: self.now,
            caller_timeout: kind.patience,
            deadline: self.now.after(kind.patience),
            prompt_tokens: arrival.prompt as u32,
            answer_tokens: (f64::from(arrival.events) * TOKENS_PER_EVENT) as u32,
        };
        let event = Event::Arrived {
            request: key,
            facts,
        };
        // Callers leave after two seconds, four objectives or eight pauses.
        let patience = (kind.objective * 4).max(kind.pause * 8);
        let patience = patience.max(Duration::from_secs(2));
        self.later(patience, Happening::GiveUp(number));
        self.step(entry, event);
    }

    fn tick(&mut self, entry: usize) {
        self.step(entry, Event::Tick);
        self.ticks += 1;
        let told = match self.ticks % WHOLE_EVERY {
            0 => self.routers[entry].all_own_work(self.now),
            _ => self.routers[entry].take_changed_work(self.now),
        };
        self.tell(entry, told);
        self.later(TICK, Happening::Tick(entry));
    }

    fn tell(&mut self, entry: usize, (servers, work): (Vec<u32>, Vec<PeerWork>)) {
        let Some(telling) = self.policy.telling.filter(|_| !servers.is_empty()) else {
            return;
        };
        for to in (0..self.policy.entries).filter(|&to| to != entry) {
            let told = Happening::Told {
                to,
                from: entry,
                servers: servers.clone(),
                work: work.clone(),
            };
            self.later(telling.takes, told);
        }
    }

    fn step(&mut self, entry: usize, event: Event) {
        let mut effects = Vec::new();
        self.routers[entry].step(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(entry, effect);
        }
        if self.policy.telling.is_some_and(|telling| telling.at_once) {
            let told = self.routers[entry].take_changed_work(self.now);
            self.tell(entry, told);
        }
    }

    fn carry_out(&mut self, entry: usize, effect: Effect) {
        let number = |key| self.by_key.get(&(entry, key)).copied();
        match effect {
            Effect::Send { request, to } => {
                if let Some(number) = number(request) {
                    self.later(TO_SERVER, Happening::Reach(number, Box::new(to)));
                }
            }
            Effect::Refuse {
                request,
                retry_after,
                ..
            } => {
                if let Some(number) = number(request) {
                    self.refused(number, retry_after);
                }
            }
            Effect::Reserve { request, orders } => {
                let Some(number) = number(request) else {
                    return;
                };
                let mut failed = Vec::new();
                for order in &orders {
                    let engine = self.by_addr[&order.addr];
                    let tokens = f64::from(order.tokens.unwrap_or(0));
                    if !self.engines[engine].reserve(number, tokens) {
                        failed.push(FailedReservation {
                            addr: order.addr,
                            unreachable: false,
                        });
                    }
                    self.requests[number].engines.push(engine);
                }
                self.requests[number].reserved = failed.is_empty();
                if !failed.is_empty() {
                    self.drop_request(number);
                }
                self.later(TO_SERVER * 2, Happening::Reserved(number, failed));
            }
            // Memory is given back when the request is dropped here.
            Effect::Order(_)
            | Effect::Ejected { .. }
            | Effect::NewNotice { .. }
            | Effect::DeliverFailure { .. }
            | Effect::Check { .. }
            | Effect::LimitUsedUp { .. }
            | Effect::Finding(_) => {}
        }
    }

    fn refused(&mut self, number: Number, retry_after: Option<Duration>) {
        let request = &mut self.requests[number];
        self.by_key.remove(&(request.entry, request.key));
        let patience = KINDS[self.arrivals[number].kind].patience;
        match retry_after.filter(|after| !request.came_back && *after < patience / 3) {
            Some(after) => {
                request.came_back = true;
                self.later(after, Happening::Arrive(number));
            }
            None => request.outcome = Outcome::Refused,
        }
    }

    fn reach(&mut self, number: Number, to: &Assignment) {
        let arrival = self.arrivals[number];
        let generating = self.by_addr[&to.addr];
        let others = to
            .prefill_workers
            .iter()
            .map(|helper| self.by_addr[&helper.addr]);
        let others: Vec<usize> = others.filter(|&engine| engine != generating).collect();
        let k = others.len() + 1;
        let part = Part {
            request: number,
            tokens: arrival.prompt / k as f64,
            whole: arrival.prompt,
            helps: false,
        };
        let request = &mut self.requests[number];
        request.parts_left = k;
        let memory = match request.reserved {
            true => 0.0,
            false => arrival.prompt + f64::from(arrival.events) * TOKENS_PER_EVENT,
        };
        request.engines = std::iter::once(generating).chain(others.clone()).collect();
        self.engines[generating].take(part, memory);
        for engine in others {
            self.engines[engine].help(Part {
                helps: true,
                ..part
            });
            self.begin_pass(engine);
        }
        self.begin_pass(generating);
    }

    fn begin_pass(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].begin_pass() {
            let after = Duration::from_secs_f64(ms / 1e3);
            self.later(after, Happening::PassEnds(engine));
        }
    }

    fn pass_ends(&mut self, engine: usize) {
        for progress in self.engines[engine].end_pass() {
            match progress {
                Progress::Read(number) => self.part_read(number, engine),
                Progress::Wrote(number) => self.wrote(number),
            }
        }
        self.begin_pass(engine);
    }

    fn part_read(&mut self, number: Number, engine: usize) {
        let prompt = self.arrivals[number].prompt;
        let request = &mut self.requests[number];
        if request.engines.is_empty() || request.outcome != Outcome::Open {
            return;
        }
        request.parts_left -= 1;
        if request.parts_left > 0 {
            return;
        }
        let generating = request.engines[0];
        let context = prompt / request.engines.len() as f64;
        self.engines[generating].generate(number, context);
        match generating == engine {
            // The first event comes with the end of the reading.
            true => self.wrote(number),
            false => self.begin_pass(generating),
        }
    }

    fn wrote(&mut self, number: Number) {
        let now = self.now.after(TO_SERVER + TO_CALLER);
        let request = &mut self.requests[number];
        if request.outcome != Outcome::Open {
            return;
        }
        if let Some(last) = request.last_at {
            request.longest_pause = request.longest_pause.max(now.since(last));
        }
        request.last_at = Some(now);
        request.events_left -= 1;
        let (entry, key, ended) = (request.entry, request.key, request.events_left == 0);
        if request.first_at.is_none() {
            request.first_at = Some(now);
            self.step(entry, Event::Started { request: key });
        }
        if ended {
            self.ended(number);
        }
    }

    fn ended(&mut self, number: Number) {
        let arrival = &self.arrivals[number];
        let kind = &KINDS[arrival.kind];
        let request = &mut self.requests[number];
        let sent = Instant::from_millis(10_000).after(arrival.at.since(Instant::ZERO));
        let first = request.first_at.map_or(Duration::MAX, |at| at.since(sent));
        request.outcome = match (first <= kind.objective, request.longest_pause <= kind.pause) {
            (false, _) => Outcome::FirstLate,
            (true, false) => Outcome::Paused,
            (true, true) => Outcome::InTime,
        };
        let (entry, key) = (request.entry, request.key);
        self.drop_request(number);
        let end = AttemptEnd::Delivered { is_success: true };
        self.step(entry, Event::AttemptEnded { request: key, end });
        self.by_key.remove(&(entry, key));
    }

    fn give_up(&mut self, number: Number) {
        let request = &mut self.requests[number];
        let waits = request.outcome == Outcome::Open && request.first_at.is_none();
        let there = self.by_key.contains_key(&(request.entry, request.key));
        if !waits || !there {
            return;
        }
        request.outcome = Outcome::Left;
        let (entry, key) = (request.entry, request.key);
        self.drop_request(number);
        self.step(entry, Event::Abandoned { request: key });
        self.by_key.remove(&(entry, key));
    }

    fn drop_request(&mut self, number: Number) {
        for engine in std::mem::take(&mut self.requests[number].engines) {
            self.engines[engine].drop_request(number);
            self.begin_pass(engine);
        }
    }
}

/// Returns the fingerprint of a request: each of them is another one.
fn content_of(number: Number) -> Fingerprint {
    let target = number.to_string();
    let content = RequestHead {
        workspace: None,
        method: "POST",
        host: "",
        target: &target,
    };
    FingerprintBuilder::new(&content).finish()
}
