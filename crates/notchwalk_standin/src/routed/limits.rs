//! Servers that name limits, in simulated time: many routers share them, with messages
//! that take time and get lost, and entries that are killed, suspended and cut off.

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
    ServerChange, ServerNotice, ServerRecord, ServerStage, Service, SiteConfig, WorkspaceTag,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::limits_plan::{Demand, LimitsOutcome, LimitsPlan, Trouble};

const DESK: &str = "desk";
/// How often a router hears that time passed, as the daemon has it.
const TICK: Duration = Duration::from_millis(15);
/// How often an entry says that it lives.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Heartbeats that a peer misses before it does not count as heard.
const MISSED: u32 = 4;
/// One way between an entry and a server, or another entry, at most.
const ONE_WAY_MS: std::ops::Range<f64> = 0.3..3.0;
/// How long a server works on a call.
const WORK: Duration = Duration::from_millis(60);
/// How long a call may take in all.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Servers without a limit, where there are any.
pub const FREE_SERVERS: usize = 2;

#[derive(Debug)]
enum Happening {
    Tick(usize),
    Beat(usize),
    Arrive,
    Told {
        to: usize,
        from: usize,
        limits: Vec<LimitUpdate>,
        beat: bool,
    },
    Reach(usize, u64, RequestKey, usize, Instant),
    Answer(usize, u64, RequestKey, usize, Instant, Option<RateLimit>),
    Strike(usize, Trouble),
    Restart(usize),
    Greet(usize),
}

struct Entry {
    router: Router,
    /// Rises with each start; what was sent to an earlier life is void.
    life: u64,
    up: bool,
    resumes: Instant,
    cut_until: Instant,
    heard: Vec<Instant>,
    arrived: BTreeMap<RequestKey, Instant>,
}

/// See the module's page.
pub struct LimitsWorld {
    plan: LimitsPlan,
    now: Instant,
    entries: Vec<Entry>,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    number: u64,
    rng: Pcg64Mcg,
    outcome: LimitsOutcome,
}

/// When the run begins; the clock is older.
pub const BEGIN: Instant = Instant::from_millis(10_000);

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn site() -> SiteConfig {
    let route = Route {
        name: DESK.to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        streaming: false,
        repeatability: Repeatability::Idempotent,
        timeout: TIMEOUT,
        objective: Duration::from_millis(300),
        inter_token_objective: None,
        priority: 1,
        max_attempts: 2,
        is_public: true,
        backends: vec![Backend {
            service: DESK.to_owned(),
            weight: 1,
        }],
    };
    SiteConfig {
        version: 1,
        routes: vec![route],
        services: vec![Service {
            name: DESK.to_owned(),
            max_connections: 100,
            engine: None,
        }],
        ..SiteConfig::default()
    }
}

fn record(server: usize) -> ServerRecord {
    ServerRecord {
        instance: format!("i-{server}"),
        started_ms: None,
        service: DESK.to_owned(),
        addr: format!("10.0.{}.{}:80", server / 250, server % 250 + 1)
            .parse()
            .expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 200,
        stage: ServerStage::Ready,
    }
}

impl LimitsWorld {
    /// Builds a world at its beginning.
    pub fn new(plan: LimitsPlan) -> Self {
        let servers = plan.limits.len();
        let mut world = Self {
            now: BEGIN,
            entries: Vec::new(),
            due: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            number: 0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            outcome: LimitsOutcome {
                reached: vec![Vec::new(); servers],
                heard_end: vec![None; plan.entries],
                ..LimitsOutcome::default()
            },
            plan,
        };
        for entry in 0..world.plan.entries {
            let started = world.start(entry, 0);
            world.entries.push(started);
            let phase = TICK.mul_f64(world.rng.random_range(0.0..1.0));
            world.later(phase, Happening::Tick(entry));
            let phase = HEARTBEAT.mul_f64(world.rng.random_range(0.0..1.0));
            world.later(phase, Happening::Beat(entry));
        }
        for (at, entry, trouble) in world.plan.troubles.clone() {
            world.later(at, Happening::Strike(entry, trouble));
        }
        world.later(Duration::ZERO, Happening::Arrive);
        world
    }

    fn start(&self, entry: usize, life: u64) -> Entry {
        let mut router = Router::new(RouterConfig {
            name: name(entry),
            failure_domain: "a".to_owned(),
            retry_ratio: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
            seed: self.plan.seed + entry as u64,
        });
        let others = if self.plan.others { FREE_SERVERS } else { 0 };
        let servers = (0..self.plan.limits.len() + others).map(record).collect();
        let count = self.plan.entries as u32;
        let mut out = Vec::new();
        for event in [
            Event::NodeCount { count },
            Event::Configured(site()),
            Event::Servers(ServerChange::All(servers)),
            Event::LimitSharing(LimitSharing::new(&name(entry), count, 1)),
        ] {
            router.step(self.now, event, &mut out);
        }
        // At the beginning all have heard each other; after a start nobody was heard.
        let heard = match life {
            0 => self.now,
            _ => Instant::ZERO,
        };
        Entry {
            router,
            life,
            up: true,
            resumes: Instant::ZERO,
            cut_until: Instant::ZERO,
            heard: vec![heard; self.plan.entries],
            arrived: BTreeMap::new(),
        }
    }

    fn later(&mut self, after: Duration, happening: Happening) {
        self.number += 1;
        self.happenings.insert(self.number, happening);
        let at = self.now.after(after);
        self.due.push(Reverse((at, self.number)));
    }

    fn one_way(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(ONE_WAY_MS) / 1e3)
    }

    /// Plays the run to its end.
    pub fn run(mut self) -> LimitsOutcome {
        let end = BEGIN.after(self.plan.lasts);
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
        self.outcome
    }

    /// Returns the entry that a happening concerns, and whether it waits for the entry.
    fn happen(&mut self, happening: Happening) {
        let concerned = match happening {
            Happening::Tick(entry) | Happening::Beat(entry) => Some(entry),
            Happening::Told { to, .. } => Some(to),
            Happening::Answer(entry, ..) => Some(entry),
            _ => None,
        };
        if let Some(entry) = concerned {
            let resumes = self.entries[entry].resumes;
            if resumes > self.now {
                // Its machine is suspended: all of it happens when it runs again.
                return self.later(resumes.since(self.now), happening);
            }
        }
        match happening {
            Happening::Tick(entry) => {
                self.later(TICK, Happening::Tick(entry));
                self.step(entry, Event::Tick);
            }
            Happening::Beat(entry) => self.beat(entry),
            Happening::Arrive => self.arrive(),
            Happening::Told {
                to,
                from,
                limits,
                beat,
            } => self.hear(to, from, limits, beat),
            Happening::Reach(entry, life, key, server, asked) => {
                self.reach(entry, life, key, server, asked);
            }
            Happening::Answer(entry, life, key, server, asked, limit) => {
                self.answer(entry, life, key, server, asked, limit);
            }
            Happening::Strike(entry, trouble) => self.strike(entry, trouble),
            Happening::Restart(entry) => self.restart(entry),
            Happening::Greet(entry) => self.greet(entry),
        }
    }

    fn strike(&mut self, entry: usize, trouble: Trouble) {
        let now = self.now;
        let struck = &mut self.entries[entry];
        match trouble {
            Trouble::Kill(time) => {
                struck.up = false;
                struck.life += 1;
                self.later(time, Happening::Restart(entry));
            }
            Trouble::Suspend(time) => struck.resumes = now.after(time),
            Trouble::Cut(time) => struck.cut_until = now.after(time),
        }
    }

    fn restart(&mut self, entry: usize) {
        let life = self.entries[entry].life + 1;
        self.entries[entry] = self.start(entry, life);
        self.outcome.starts.push((entry, self.now));
        // It says at once that it is here, and is told what is known, three times.
        self.tell(entry, None, Vec::new(), true);
        for times in 0..3 {
            self.later(HEARTBEAT * times, Happening::Greet(entry));
        }
    }

    fn greet(&mut self, entry: usize) {
        for peer in 0..self.plan.entries {
            if peer != entry && self.entries[peer].up {
                let limits = self.known_limits(peer, LimitScope::All);
                self.tell(peer, Some(entry), limits, true);
            }
        }
    }

    fn known_limits(&self, entry: usize, told: LimitScope) -> Vec<LimitUpdate> {
        const MOST: usize = 48;
        let fleet = self.entries[entry].router.fleet();
        fleet.limit_updates(told, MOST, self.now)
    }

    fn beat(&mut self, entry: usize) {
        let pace = (self.plan.entries as f64 / 12.0).clamp(1.0, 4.0);
        self.later(HEARTBEAT.mul_f64(pace), Happening::Beat(entry));
        if !self.entries[entry].up {
            return;
        }
        let limits = self.known_limits(entry, LimitScope::Direct);
        self.tell(entry, None, limits, true);
        let since = self.now.before(HEARTBEAT.mul_f64(pace) * MISSED);
        let heard = self.entries[entry].heard.iter();
        let heard = heard.enumerate();
        let lively = heard.filter(|(peer, at)| *peer != entry && **at >= since);
        let count = lively.count() as u32 + 1;
        let gone: Vec<usize> = (0..self.plan.entries)
            .filter(|&peer| {
                let at = self.entries[entry].heard[peer];
                at > Instant::ZERO && at < self.now.before(Duration::from_secs(3))
            })
            .collect();
        for peer in gone {
            self.entries[entry].heard[peer] = Instant::ZERO;
            self.step(entry, Event::PeerUnreachable { peer: peer as u32 });
        }
        let sharing = LimitSharing::new(&name(entry), self.plan.entries as u32, count);
        self.step(entry, Event::LimitSharing(sharing));
    }

    fn tell(&mut self, from: usize, to: Option<usize>, limits: Vec<LimitUpdate>, beat: bool) {
        if self.plan.silent {
            return;
        }
        let all = 0..self.plan.entries;
        let targets: Vec<usize> = match to {
            Some(to) => vec![to],
            None => all.filter(|&to| to != from).collect(),
        };
        for to in targets {
            self.outcome.messages += 1;
            let cut = |entry: usize| self.entries[entry].cut_until > self.now;
            if cut(from) || cut(to) || self.rng.random_bool(self.plan.lost) {
                continue;
            }
            let takes = self.one_way();
            let limits = limits.clone();
            self.later(
                takes,
                Happening::Told {
                    to,
                    from,
                    limits,
                    beat,
                },
            );
        }
    }

    fn hear(&mut self, to: usize, from: usize, limits: Vec<LimitUpdate>, beat: bool) {
        if !self.entries[to].up {
            return;
        }
        if beat || !limits.is_empty() {
            self.entries[to].heard[from] = self.now;
        }
        if !limits.is_empty() {
            let peer = from as u32;
            let name = name(from);
            let is_in_group = true;
            let told = Event::LimitUpdates {
                peer,
                name,
                is_in_group,
                updates: limits,
            };
            self.step(to, told);
        }
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random_range(1e-9f64..1.0).ln() / self.plan.asked_per_s;
        self.later(Duration::from_secs_f64(gap), Happening::Arrive);
        let entry = match self.plan.demand {
            Demand::Even => self.rng.random_range(0..self.plan.entries),
            Demand::One => 0,
        };
        if !self.entries[entry].up || self.entries[entry].resumes > self.now {
            return;
        }
        let router = &mut self.entries[entry].router;
        let RouteLookup::Found { route, .. } = router.routes().lookup("a.example", "/", None)
        else {
            panic!("the site has one route");
        };
        let route: Arc<Route> = route;
        self.number += 1;
        let target = self.number.to_string();
        let content = FingerprintBuilder::new(&RequestHead {
            workspace: None,
            method: "POST",
            host: "a.example",
            target: &target,
        });
        let facts = RequestFacts {
            route,
            content: content.finish(),
            workspace: WorkspaceTag::default(),
            workspace_priority: 0,
            arrived: self.now,
            caller_timeout: TIMEOUT,
            deadline: self.now.after(TIMEOUT),
            prompt_tokens: 0,
            answer_tokens: 0,
        };
        let request = router.new_request();
        self.entries[entry].arrived.insert(request, self.now);
        self.step(entry, Event::Arrived { request, facts });
    }

    fn step(&mut self, entry: usize, event: Event) {
        if !self.entries[entry].up {
            return;
        }
        let mut out = Vec::new();
        let router = &mut self.entries[entry].router;
        router.step(self.now, event, &mut out);
        let news = match router.fleet().has_limit_updates() {
            true => router.take_limit_updates(self.now),
            false => Vec::new(),
        };
        if !news.is_empty() {
            self.tell(entry, None, news, false);
        }
        for effect in out {
            self.carry_out(entry, effect);
        }
    }

    fn carry_out(&mut self, entry: usize, effect: Effect) {
        match effect {
            Effect::Send { request, to } => {
                let waited = self.entries[entry].arrived.get(&request);
                let waited = waited.map(|&at| self.now.since(at)).unwrap_or_default();
                self.outcome.waited += usize::from(waited >= Duration::from_millis(20));
                let server = to.instance.trim_start_matches("i-").parse();
                let server = server.expect("instances are numbered");
                let (life, takes) = (self.entries[entry].life, self.one_way());
                let reach = Happening::Reach(entry, life, request, server, self.now);
                self.later(takes, reach);
            }
            Effect::Refuse { request, .. } => {
                self.entries[entry].arrived.remove(&request);
                self.outcome.refused += 1;
            }
            Effect::NewNotice {
                notice: ServerNotice::Limit { limit: None, .. },
                ..
            } => {
                self.outcome.heard_end[entry].get_or_insert(self.now);
            }
            _ => {}
        }
    }

    fn reach(&mut self, entry: usize, life: u64, key: RequestKey, server: usize, asked: Instant) {
        let limits = &self.plan.limits;
        if let Some(reached) = self.outcome.reached.get_mut(server) {
            reached.push((self.now, entry));
        }
        let ended = self.plan.ends_at;
        let ended = ended.is_some_and(|at| self.now.after(WORK) >= BEGIN.after(at));
        let limit = limits.get(server).filter(|_| !ended);
        let limit = limit.and_then(|&limit| RateLimit::per_second(limit));
        let takes = WORK + self.one_way();
        let answer = Happening::Answer(entry, life, key, server, asked, limit);
        self.later(takes, answer);
    }

    fn answer(
        &mut self,
        entry: usize,
        life: u64,
        request: RequestKey,
        server: usize,
        asked: Instant,
        limit: Option<RateLimit>,
    ) {
        if self.entries[entry].life != life {
            return;
        }
        let fleet = self.entries[entry].router.fleet();
        let known = fleet.by_instance(&format!("i-{server}"));
        if let Some(server) = known {
            let notice = ServerNotice::Limit {
                limit,
                requested_at: asked,
            };
            self.step(entry, Event::NoticeReceived { server, notice });
        }
        self.entries[entry].arrived.remove(&request);
        self.outcome.served += 1;
        let end = AttemptEnd::Delivered { is_success: true };
        self.step(entry, Event::AttemptEnded { request, end });
    }
}
