//! The reducer: one event in, effects out.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::{
    board::{Owner, Work, NO_PAUSE_MS},
    long_queue::{LongQueue, Waiting, PATIENCE_IN_OBJECTIVES},
    placement::{place_call, Demand, EnginePlacement, Plan},
    request::Request,
    reservations::{Reservations, HOLD},
    Assignment, AttemptEnd, Board, Effect, Event, Fleet, Grounds, Helper, Refusal, RequestFacts,
    RequestKey, ReservationOrder, RetryBudget, RouteTable, ServerChange, ServerKey, Service,
    SiteConfig, WorkPhase,
};

/// How long a peer's work counts after it was last heard of.
const PEER_SILENCE: Duration = Duration::from_secs(3);
/// Sends of one request at most, refused ones included, as a multiple of the
/// servers it may run on.
const SENDS_PER_ATTEMPT: u32 = 3;
/// Time below which a request is not sent once more: a server would hardly
/// begin with it.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(60);
/// A refusal should come within a quarter of the objective, while its caller
/// can still be served elsewhere or later; this is a little earlier.
const DECIDED_IN_PART_OF_OBJECTIVE: u32 = 5;
/// When a caller may come back whose request had to make way. Waves of long
/// work last for seconds.
const OVERLOAD_RETRY: Duration = Duration::from_millis(4_000);
/// How long after its start an entry does not know what its peers have on the
/// engines: they tell all of it once a second.
const BLIND_FOR: Duration = Duration::from_millis(1_000);
/// Pauses of the longest length in time that a late answer is left to be
/// written in.
const LATE_WRITING_PAUSES: u32 = 3;
/// The rank on the server when neither workspace nor route says more.
const SHORT_RANK: u8 = 2;
const LONG_RANK: u8 = 5;

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This entry's name, unlike that of any other.
    pub name: String,
    /// This entry's failure domain.
    pub failure_domain: String,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends allowed besides, over all entries.
    pub retry_slack: f64,
    /// The window over which both are counted.
    pub retry_window: Duration,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// What becomes of a long request that waits.
enum LongDecision {
    /// It goes on waiting.
    Wait,
    /// It is sent; `None` if no server is left.
    Send(Option<Plan>),
    /// The fleet has no room for it.
    Refuse,
}

/// Decides where requests go. See the crate's page.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    routes: RouteTable,
    services: HashMap<String, Service>,
    version: u64,
    configured_at: Option<Instant>,
    fleet: Fleet,
    board: Board,
    budget: RetryBudget,
    entries: u32,
    requests: SlotMap<RequestKey, Option<Request>>,
    reservations: Reservations,
    long_queue: LongQueue,
    reservation_number: u64,
    draining_from: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Router {
    /// Builds a router that knows neither configuration nor servers.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            budget: RetryBudget::new(config.retry_ratio, config.retry_slack, config.retry_window),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
            routes: RouteTable::default(),
            services: HashMap::new(),
            version: 0,
            configured_at: None,
            fleet: Fleet::default(),
            board: Board::default(),
            entries: 1,
            requests: SlotMap::with_key(),
            reservations: Reservations::default(),
            long_queue: LongQueue::default(),
            reservation_number: 0,
            draining_from: None,
        }
    }

    /// Returns the version of the configuration in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns what runs on the servers.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Returns this entry's own work on the servers where it changed, and
    /// those servers' short ids.
    pub fn take_changed_work(&mut self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let changed = self.board.take_changed();
        self.own_work(changed.into_iter(), now)
    }

    /// Returns this entry's own work on all servers.
    pub fn all_own_work(&self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        self.own_work(self.fleet.iter().map(|(key, _)| key), now)
    }

    fn own_work(
        &self,
        servers: impl Iterator<Item = ServerKey>,
        now: Instant,
    ) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let (mut tags, mut work) = (Vec::new(), Vec::new());
        for key in servers {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            tags.push(server.tag);
            work.extend(self.board.own_work(key, server.tag, now));
        }
        (tags, work)
    }

    /// Returns the requests that are being served.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether a request could go to another server if the one that it is
    /// on were given up now.
    pub fn may_try_another(&self, key: RequestKey, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        request.may_repeat()
            && request.ran_on + 1 < request.facts.route.max_attempts
            && request.left(now) >= LEAST_TIME_LEFT
            && self.budget.has_left(self.entries)
    }

    /// Returns how many long requests wait for engines, and their engine time in
    /// milliseconds.
    pub fn waiting_long(&self) -> (usize, f64) {
        (self.long_queue.len(), self.long_queue.read_ms())
    }

    /// Returns the reservations in use.
    pub fn reservations(&self) -> usize {
        self.reservations.count()
    }

    /// Makes a key for a request that is about to arrive.
    pub fn new_request(&mut self) -> RequestKey {
        self.requests.insert(None)
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configured(site) => self.configure(&site, now),
            Event::Servers(change) => self.servers_changed(change, now),
            Event::Arrived { request, facts } => self.arrived(request, facts, now, out),
            Event::Started { request } => self.started(request, now),
            Event::AttemptEnded { request, end } => self.attempt_ended(request, end, now, out),
            Event::Abandoned { request } => self.forget(request, now, out),
            Event::Load { .. } => {}
            Event::PeerWork {
                peer,
                servers,
                work,
            } => self.peer_work(peer, &servers, work, now),
            Event::PeerGone { peer } => self.board.forget_peer(peer),
            Event::Entries { alive } => self.entries = alive.max(1),
            Event::Reserved {
                request,
                granted,
                answers_lost,
            } => self.reserved(request, granted, answers_lost, now, out),
            Event::Tick => self.tick(now, out),
            Event::Draining { after } => self.draining_from = Some(now.after(after)),
        }
    }

    fn configure(&mut self, site: &SiteConfig, now: Instant) {
        if site.version < self.version {
            return;
        }
        self.configured_at.get_or_insert(now);
        self.version = site.version;
        self.routes = RouteTable::new(site);
        let services = site.services.iter().cloned();
        self.services = services.map(|s| (s.name.clone(), s)).collect();
    }

    fn servers_changed(&mut self, change: ServerChange, _now: Instant) {
        for key in self.fleet.apply(change) {
            self.board.forget_server(key);
        }
    }

    fn peer_work(&mut self, peer: u32, servers: &[u32], work: Vec<crate::PeerWork>, now: Instant) {
        let fleet = &self.fleet;
        let keys: Vec<ServerKey> = servers.iter().filter_map(|&t| fleet.by_tag(t)).collect();
        let known = work.into_iter();
        let known = known.filter_map(|work| Some((fleet.by_tag(work.server)?, work)));
        self.board.replace_peer(peer, &keys, known, now);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.board.forget_silent_peers(now.before(PEER_SILENCE));
        for (_, order) in self.reservations.due(now) {
            out.push(Effect::Order(order));
        }
        self.send_long(now, out);
    }

    /// Sends the long requests for which engines have room.
    fn send_long(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.long_queue.is_empty() {
            return;
        }
        for waiting in self.long_queue.in_order(now) {
            let key = waiting.request;
            let Some(Some(request)) = self.requests.get(key) else {
                self.long_queue.remove(key);
                continue;
            };
            match self.decide_long(request, &waiting, now) {
                LongDecision::Wait => {}
                LongDecision::Refuse => self.refuse(key, Refusal::Overloaded, now, out),
                LongDecision::Send(plan) => {
                    self.long_queue.remove(key);
                    self.send_by(key, plan, now, out);
                }
            }
        }
    }

    fn decide_long(&self, request: &Request, waiting: &Waiting, now: Instant) -> LongDecision {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            return LongDecision::Send(None);
        };
        let (service, tried) = (&request.service, &request.tried);
        let demand = Demand::new(&request.facts, now);
        if placement.exceeds_engine(&demand) && !placement.may_read_oversized(service, &demand) {
            let limit_ms = self.patience_ms(request, now);
            let plan = placement.place_oversized(service, &demand, tried, limit_ms);
            let decided_by = request.facts.route.objective / DECIDED_IN_PART_OF_OBJECTIVE;
            let undecided = now.since(request.facts.arrived) < decided_by;
            return match plan {
                Some(plan) => LongDecision::Send(Some(plan)),
                None if undecided => LongDecision::Wait,
                None => LongDecision::Refuse,
            };
        }
        let left_ms = request.objective_at().since(now).as_secs_f64() * 1e3;
        let plan = placement.place_long(service, &demand, tried);
        let plan = plan.filter(|plan| plan.first_ms <= left_ms);
        let plan = plan.or_else(|| self.plan_urgent(request, now));
        match plan {
            Some(plan) => LongDecision::Send(Some(plan)),
            None if now < waiting.latest => LongDecision::Wait,
            None => {
                let limit_ms = self.patience_ms(request, now);
                LongDecision::Send(placement.place_late(service, &demand, tried, limit_ms))
            }
        }
    }

    /// Returns a way in time at the cost of others, if the request stands for
    /// more than they do.
    fn plan_urgent(&self, request: &Request, now: Instant) -> Option<Plan> {
        /// Part of what a request stands for that others may lose for it.
        /// Measured between 0.15 and 0.6: see docs/BENCHES.md.
        const WORTH_SHARE: f64 = 0.3;
        let left_ms = request.objective_at().since(now).as_secs_f64() * 1e3;
        let mut plan = self.plan(request, now)?;
        plan.grounds = Grounds::Urgent;
        let pays = plan.loss_ms <= WORTH_SHARE * plan.worth_ms;
        (plan.first_ms <= left_ms && pays).then_some(plan)
    }

    /// Returns how long the caller of a request that will be late still waits
    /// for its first event, in milliseconds.
    fn patience_ms(&self, request: &Request, now: Instant) -> f64 {
        let route = &request.facts.route;
        let patience = route.objective * PATIENCE_IN_OBJECTIVES;
        let patience = request.facts.arrived.after(patience);
        let writing = route.pause_objective.unwrap_or_default() * LATE_WRITING_PAUSES;
        let end = patience.min(request.facts.deadline.before(writing));
        end.since(now).as_secs_f64() * 1e3
    }

    fn engine_placement(&self, service: &str, now: Instant) -> Option<EnginePlacement<'_>> {
        let parameters = self.services.get(service)?.engine.as_ref()?;
        Some(EnginePlacement {
            parameters,
            fleet: &self.fleet,
            board: &self.board,
            now,
            blind: self
                .configured_at
                .is_none_or(|at| now.since(at) < BLIND_FOR),
            salt: self.config.seed as u32 ^ salt_of(&self.config.name),
        })
    }

    /// Returns the engine time of a request's prompt if it is long enough to
    /// wait for engines with room.
    fn long_read_ms(&self, request: &Request, now: Instant) -> Option<f64> {
        /// Reading that a pass with short requests can take at once.
        const SHORT_READ_MS: f64 = 200.0;
        /// Objectives below this leave no time to wait.
        const WAITABLE: Duration = Duration::from_millis(800);
        if request.facts.route.objective < WAITABLE {
            return None;
        }
        let placement = self.engine_placement(&request.service, now)?;
        let read_ms = placement.read_ms(&Demand::new(&request.facts, now));
        (read_ms > SHORT_READ_MS).then_some(read_ms)
    }

    fn arrived(
        &mut self,
        key: RequestKey,
        facts: RequestFacts,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let service = self.choose_service(&facts);
        let request = Request::new(facts, service);
        if let Some(slot) = self.requests.get_mut(key) {
            *slot = Some(request);
        }
        if self.version == 0 {
            return self.refuse(key, Refusal::NotReady, now, out);
        }
        if self.draining_from.is_some_and(|from| now >= from) {
            return self.refuse(key, Refusal::Draining, now, out);
        }
        self.queue_or_send(key, now, out);
    }

    fn queue_or_send(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let Some(read_ms) = self.long_read_ms(request, now) else {
            return self.send(key, now, out);
        };
        let waiting = Waiting::new(key, &request.facts, read_ms, now);
        self.long_queue.push(waiting);
        self.send_long(now, out);
    }

    /// Draws one of the route's services by weight.
    fn choose_service(&mut self, facts: &RequestFacts) -> String {
        let backends = &facts.route.backends;
        let total: u32 = backends.iter().map(|backend| backend.weight).sum();
        if total == 0 {
            return backends
                .first()
                .map(|b| b.service.clone())
                .unwrap_or_default();
        }
        let mut drawn = self.rng.random_range(0..total);
        for backend in backends {
            if drawn < backend.weight {
                return backend.service.clone();
            }
            drawn -= backend.weight;
        }
        String::new()
    }

    fn plan(&self, request: &Request, now: Instant) -> Option<Plan> {
        let Some(placement) = self.engine_placement(&request.service, now) else {
            let (fleet, board) = (&self.fleet, &self.board);
            let near = &self.config.failure_domain;
            return place_call(fleet, board, &request.service, near, &request.tried, now);
        };
        let demand = Demand::new(&request.facts, now);
        placement.place(&request.service, &demand, &request.tried)
    }

    fn send(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let plan = self.plan(request, now);
        self.send_by(key, plan, now, out);
    }

    fn send_by(
        &mut self,
        key: RequestKey,
        plan: Option<Plan>,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let Some(plan) = plan else {
            let reason = match request.sends {
                0 => Refusal::NoServer,
                _ => Refusal::NotRun,
            };
            return self.refuse(key, reason, now, out);
        };
        let first_send = request.sends == 0;
        if first_send {
            self.budget.note_first(now);
        }
        let Some(assignment) = self.assign(key, &plan, now) else {
            return self.refuse(key, Refusal::NoServer, now, out);
        };
        match plan.reserve_tokens {
            Some(tokens) => self.reserve(key, assignment, tokens, now, out),
            None => out.push(Effect::Send {
                request: key,
                to: assignment,
            }),
        }
    }

    /// Sets memory aside on the engines of an assignment before it is sent.
    fn reserve(
        &mut self,
        key: RequestKey,
        mut assignment: Assignment,
        tokens: u32,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.reservation_number += 1;
        let id = format!(
            "{}-{}-{}",
            self.config.name, self.config.seed, self.reservation_number
        );
        // The engine that generates holds a part too.
        let own = Helper {
            addr: assignment.addr,
            reservation: None,
        };
        assignment.helpers.push(own);
        let mut orders = Vec::with_capacity(assignment.helpers.len());
        for helper in &mut assignment.helpers {
            helper.reservation = Some(id.clone());
            orders.push(ReservationOrder {
                addr: helper.addr,
                id: id.clone(),
                tokens: Some(tokens),
                hold: HOLD,
            });
        }
        self.reservations.hold(key, &orders, now);
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.reserving = Some(assignment);
            request.holds = true;
        }
        out.push(Effect::Reserve {
            request: key,
            orders,
        });
    }

    fn reserved(
        &mut self,
        key: RequestKey,
        granted: bool,
        answers_lost: bool,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            // Its caller left meanwhile and the memory was given back.
            return;
        };
        let Some(assignment) = request.reserving.take() else {
            return;
        };
        // A server may have left while memory was being set aside.
        let fleet = &self.fleet;
        let servers = request.helpers.iter().chain(&request.at);
        let ready = |&key: &ServerKey| fleet.get(key).is_some_and(|server| server.is_ready());
        if granted && servers.into_iter().all(ready) {
            out.push(Effect::Send {
                request: key,
                to: assignment,
            });
            return;
        }
        // No server saw the request; another set of engines may do.
        request.sends -= 1;
        request.tried.clear();
        self.give_back(key, answers_lost, now, out);
        self.lift(key);
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let placement = self.engine_placement(&request.service, now);
        let demand = Demand::new(&request.facts, now);
        let read_ms = placement.map_or(0.0, |placement| placement.read_ms(&demand));
        let waiting = Waiting::new(key, &request.facts, read_ms, now);
        self.long_queue.push(waiting);
    }

    fn give_back(
        &mut self,
        key: RequestKey,
        answers_lost: bool,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        for order in self.reservations.give_back(key, answers_lost, now) {
            out.push(Effect::Order(order));
        }
    }

    fn assign(&mut self, key: RequestKey, plan: &Plan, now: Instant) -> Option<Assignment> {
        let request = self.requests.get_mut(key)?.as_mut()?;
        let server = self.fleet.get(plan.first.server)?;
        let is_engine = request.facts.prompt_tokens > 0;
        request.sent_at = now;
        request.predicted_first = after_ms(now, plan.first_ms);
        request.at = Some(plan.first.server);
        request.helpers = plan.helpers.iter().map(|part| part.server).collect();
        request.tried.push(plan.first.server);
        request.started = false;
        request.sends += 1;
        let pause = request.facts.route.pause_objective;
        let pause_ms = pause.map_or(NO_PAUSE_MS, |pause| pause.as_secs_f64() * 1e3);
        let prompt = f64::from(request.facts.prompt_tokens);
        let reserved = plan.reserve_tokens.map(f64::from);
        request.holds = false;
        let work = Work {
            owner: Owner::Own(key),
            phase: if is_engine {
                WorkPhase::Reading
            } else {
                WorkPhase::Calling
            },
            context_tokens: reserved.unwrap_or(prompt),
            pass_tokens: prompt / (plan.helpers.len() + 1) as f64,
            read_ms: plan.part_ms,
            pause_ms,
            since: now,
            read_by: after_ms(now, plan.first.read_end_ms),
        };
        let assignment = Assignment {
            server: plan.first.server,
            addr: server.record.addr,
            instance: server.record.instance.clone(),
            helpers: Vec::new(),
            priority: rank(&request.facts, prompt),
            deadline: request.facts.deadline,
            grounds: plan.grounds,
            resent: request.sends - 1,
            predicted_first: request.predicted_first.since(now),
            first_silence: first_silence(request, now),
            pause_silence: pause_silence(request),
        };
        self.board.add(plan.first.server, work);
        let mut helpers = Vec::with_capacity(plan.helpers.len());
        for helper in &plan.helpers {
            let Some(server) = self.fleet.get(helper.server) else {
                continue;
            };
            helpers.push(Helper {
                addr: server.record.addr,
                reservation: None,
            });
            let part = Work {
                phase: WorkPhase::Helping,
                context_tokens: reserved.unwrap_or(0.0),
                pass_tokens: reserved.map_or(0.0, |_| work.pass_tokens),
                read_by: after_ms(now, helper.read_end_ms),
                ..work
            };
            self.board.add(helper.server, part);
        }
        Some(Assignment {
            helpers,
            ..assignment
        })
    }

    fn started(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        request.started = true;
        let Some(server) = request.at else {
            return;
        };
        self.board.set_phase(server, key, WorkPhase::Writing);
        if request.holds {
            for &helper in &request.helpers {
                self.board.set_phase(helper, key, WorkPhase::Holding);
            }
        } else {
            for helper in std::mem::take(&mut request.helpers) {
                self.board.remove(helper, key);
            }
        }
        self.fleet.note_success(server, now);
    }

    /// Takes a request off the servers that it was on.
    fn lift(&mut self, key: RequestKey) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let helpers = std::mem::take(&mut request.helpers);
        for server in request.at.take().into_iter().chain(helpers) {
            self.board.remove(server, key);
        }
    }

    fn forget(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        self.long_queue.remove(key);
        self.lift(key);
        self.give_back(key, false, now, out);
        self.requests.remove(key);
    }

    fn refuse(&mut self, key: RequestKey, reason: Refusal, now: Instant, out: &mut Vec<Effect>) {
        let ran_on = self.requests.get(key).and_then(Option::as_ref);
        let may_have_run = ran_on.is_some_and(|request| request.ran_on > 0);
        let reason = match reason.has_not_run() && may_have_run {
            true => Refusal::Unknown,
            false => reason,
        };
        self.forget(key, now, out);
        let retry_after = match reason {
            Refusal::NotReady => Some(Duration::from_millis(500)),
            Refusal::Draining => Some(Duration::from_millis(50)),
            Refusal::Overloaded => Some(OVERLOAD_RETRY),
            Refusal::NoServer | Refusal::NotRun => Some(Duration::from_millis(300)),
            Refusal::Unknown | Refusal::TimedOut => None,
        };
        out.push(Effect::Refuse {
            request: key,
            reason,
            retry_after,
        });
    }

    fn attempt_ended(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let server = request.at;
        if matches!(
            end,
            AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::Silent
        ) {
            request.ran_on += 1;
        }
        self.judge_server(server, end, now, out);
        self.give_back(key, false, now, out);
        self.lift(key);
        if matches!(end, AttemptEnd::Delivered { .. }) {
            return self.forget(key, now, out);
        }
        if self.may_resend(key, end, now) {
            return self.queue_or_send(key, now, out);
        }
        self.give_up(key, end, now, out);
    }

    fn judge_server(
        &mut self,
        server: Option<ServerKey>,
        end: AttemptEnd,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = server else {
            return;
        };
        let at_fault = match end {
            AttemptEnd::Delivered { healthy: true } => return self.fleet.note_success(server, now),
            AttemptEnd::Delivered { healthy: false } => return,
            AttemptEnd::NotRun {
                at_fault: Some(addr),
                ..
            } => self.fleet.by_addr(addr),
            AttemptEnd::NotRun { moved: true, .. } => Some(server),
            AttemptEnd::NotRun { .. } => return,
            AttemptEnd::Failed => None,
            AttemptEnd::NotConnected => {
                self.fleet.note_unreachable(server, now);
                None
            }
            AttemptEnd::Broken => Some(server),
            AttemptEnd::Silent => {
                if let Some(pause) = self.fleet.note_silence(server, now) {
                    out.push(Effect::Closed { server, pause });
                }
                None
            }
        };
        let Some(at_fault) = at_fault else {
            return;
        };
        if let Some(pause) = self.fleet.note_failure(at_fault, now) {
            out.push(Effect::Closed {
                server: at_fault,
                pause,
            });
        }
    }

    fn may_resend(&mut self, key: RequestKey, end: AttemptEnd, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        let attempts = request.facts.route.max_attempts;
        if request.left(now) < LEAST_TIME_LEFT || request.sends >= attempts * SENDS_PER_ATTEMPT {
            return false;
        }
        if request.ran_on > 0 && !request.may_repeat() {
            return false;
        }
        if request.ran_on >= attempts {
            return false;
        }
        // A send that reached no server costs no server anything.
        if end == AttemptEnd::NotConnected {
            return true;
        }
        self.budget.take(now, self.entries)
    }

    fn give_up(&mut self, key: RequestKey, end: AttemptEnd, now: Instant, out: &mut Vec<Effect>) {
        if end == AttemptEnd::Failed {
            self.forget(key, now, out);
            out.push(Effect::DeliverFailure { request: key });
            return;
        }
        self.refuse(key, Refusal::NotRun, now, out);
    }
}

/// Returns the rank of a request on its server: workspaces before routes, short
/// work before long.
fn rank(facts: &RequestFacts, prompt_tokens: f64) -> u8 {
    const LONG_PROMPT_TOKENS: f64 = 24_000.0;
    let by_size = if prompt_tokens > LONG_PROMPT_TOKENS {
        LONG_RANK
    } else {
        SHORT_RANK
    };
    (by_size + facts.workspace_priority.min(2)).min(9)
}

/// Returns how long a server may say nothing before the request goes to
/// another one; `None` for a request that may run once only.
fn first_silence(request: &Request, now: Instant) -> Option<Duration> {
    /// Callers give a stream up after two seconds at the earliest; this leaves
    /// another server time to answer. A call is answered much sooner.
    const LEAST_STREAM: Duration = Duration::from_millis(1_500);
    const LEAST_CALL: Duration = Duration::from_millis(900);
    if !request.may_repeat() {
        return None;
    }
    let route = &request.facts.route;
    let least = match route.streaming {
        true => LEAST_STREAM.max(route.objective),
        false => LEAST_CALL,
    };
    Some((request.predicted_first.since(now) * 2).max(least))
}

/// Returns how long a stream may pause before it is resumed elsewhere.
fn pause_silence(request: &Request) -> Option<Duration> {
    /// Callers give a stream up after two seconds at the earliest.
    const LEAST: Duration = Duration::from_millis(1_200);
    if !request.may_repeat() {
        return None;
    }
    let pause = request.facts.route.pause_objective?;
    Some((pause * 4).max(LEAST))
}

fn after_ms(now: Instant, ms: f64) -> Instant {
    now.after(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Returns a number that differs between names.
fn salt_of(name: &str) -> u32 {
    name.bytes()
        .fold(0, |salt, byte| salt.rotate_left(5) ^ u32::from(byte))
}
