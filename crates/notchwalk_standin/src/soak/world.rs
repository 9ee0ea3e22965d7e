//! The world of a randomised run: virtual time, nodes and what lies between
//! them and the fakes.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use notchwalk_bundle::Bundle;
use notchwalk_core::{Attempt, BootNumber, Instant, RequestId, ServerId, VmId};
use notchwalk_decide::{
    ClaimAnswer, Dispatch, Effect, Event, Node, NodeConfig, PeerRecord, RequestKey, ServerKind,
    ServerRecord,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    callers::{Open, OpenRequests, Wanted},
    fakes::{FakeEngine, FakeTable},
};
use crate::operators::{BundleSpec, Operators, WorkspaceSpec};

const TICK_US: u64 = 20_000;
const LOAD_US: u64 = 200_000;
const LIST_US: u64 = 1_000_000;
/// How late the VM list is.
const LIST_LAG_US: u64 = 1_500_000;
/// How long after its start a leaving server may still get new work.
const LEAVING_WITHIN_US: u64 = 3_000_000;
/// Ticks, and the time a woken node needs to learn what passed.
const SLACK_US: u64 = 200_000;
/// How long everything has to settle after the last request.
const SETTLE_US: u64 = 90_000_000;
/// The first number of services' servers.
const FIRST_SERVICE: u32 = 500;
const SERVICES: u32 = 2;

/// How a run is made.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The seed; the same seed gives the same run.
    pub seed: u64,
    /// How long requests come, in virtual seconds.
    pub seconds: u64,
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Whether faults happen.
    pub faults: bool,
    /// A mechanism that is cut off at its interface, to show what it is worth
    /// and that its absence is noticed.
    pub without: Option<Mechanism>,
}

/// A mechanism that can be cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Cancels and the sweep reach no engine.
    Cancels,
    /// Every claim is granted at once, whoever has the key.
    Claims,
}

impl SoakOptions {
    /// Builds a run of three nodes before six engines, with faults.
    pub fn new(seed: u64, seconds: u64) -> Self {
        Self {
            seed,
            seconds,
            nodes: 3,
            engines: 6,
            faults: true,
            without: None,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Events fed to nodes.
    pub steps: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Faults that happened.
    pub faults: u64,
    /// Broken promises, each in a sentence.
    pub violations: Vec<String>,
}

type Action = Box<dyn FnOnce(&mut World)>;

/// One place for a node.
pub(super) struct Slot {
    pub(super) node: Option<Node>,
    pub(super) boot: u64,
    pub(super) paused_until_us: u64,
    down_since_us: Option<u64>,
    pub(super) requests: OpenRequests,
    pub(super) arriving: Option<(Wanted, u64)>,
}

/// Everything.
pub struct World {
    pub(super) now_us: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) nodes: Vec<Slot>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) table: FakeTable,
    pub(super) partition_at: Option<usize>,
    /// What happened so far.
    pub report: SoakReport,
    options: SoakOptions,
    pub(super) runs: HashMap<String, u32>,
    pub(super) called_not_run: HashSet<RequestId>,
    pub(super) closed: HashSet<(RequestId, Attempt)>,
    pub(super) latest: HashMap<RequestId, Attempt>,
    actions: BTreeMap<(u64, u64), Action>,
    next_action: u64,
    pub(super) next_caller: u64,
    bundle: Arc<Bundle>,
}

fn soak_bundle() -> Bundle {
    let named = (0..4).map(|i| WorkspaceSpec::new(&format!("w{i}"), 1.0 + f64::from(i)));
    let spec = BundleSpec {
        model: "m".to_owned(),
        context_tokens: 200_000,
        versions: vec!["v1".to_owned()],
        checks_fence: true,
        service: "s".to_owned(),
        workspaces: named.collect(),
        policy: "retry_percent = 100\n".to_owned(),
    };
    Bundle::parse(1, &Operators::new(1).parts(&spec)).expect("a valid bundle")
}

impl World {
    /// Builds a world in which nothing has happened.
    pub fn new(options: SoakOptions) -> Self {
        let mut world = Self {
            now_us: 10_000_000,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            nodes: Vec::new(),
            engines: (0..options.engines)
                .map(|_| FakeEngine::default())
                .collect(),
            table: FakeTable::default(),
            partition_at: None,
            report: SoakReport::default(),
            options,
            actions: BTreeMap::new(),
            next_action: 0,
            next_caller: 1,
            bundle: Arc::new(soak_bundle()),
            runs: HashMap::new(),
            called_not_run: HashSet::new(),
            closed: HashSet::new(),
            latest: HashMap::new(),
        };
        for i in 0..options.nodes {
            world.nodes.push(Slot {
                node: None,
                boot: 0,
                paused_until_us: 0,
                down_since_us: None,
                requests: OpenRequests::default(),
                arriving: None,
            });
            world.start_node(i);
        }
        world
    }

    /// Runs to the end and returns what it came to.
    pub fn run(mut self) -> SoakReport {
        let end_us = self.now_us + self.options.seconds * 1_000_000;
        self.schedule_arrivals(end_us);
        if self.options.faults {
            self.schedule_faults(end_us);
        }
        self.run_until(end_us + SETTLE_US);
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

    pub(super) fn at(&mut self, at_us: u64, action: impl FnOnce(&mut World) + 'static) {
        self.next_action += 1;
        let key = (at_us.max(self.now_us), self.next_action);
        self.actions.insert(key, Box::new(action));
    }

    pub(super) fn after(&mut self, us: u64, action: impl FnOnce(&mut World) + 'static) {
        self.at(self.now_us + us, action);
    }

    /// Ends a fault later.
    pub(super) fn heal_later(&mut self, us: u64, heal: impl FnOnce(&mut World) + 'static) {
        self.after(us, heal);
    }

    pub(super) fn lacks(&self, mechanism: Mechanism) -> bool {
        self.options.without == Some(mechanism)
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..50) {
            0 => self.rng.random_range(50_000..800_000),
            _ => self.rng.random_range(200..6_000),
        }
    }

    pub(super) fn violated(&mut self, what: String) {
        let at_ms = self.now_us / 1_000;
        self.report
            .violations
            .push(format!("at {at_ms} ms: {what}"));
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
        self.every(i, boot, TICK_US, |w, i, boot| w.feed(i, boot, Event::Tick));
        self.every(i, boot, LIST_US, |w, i, boot| w.give_list(i, boot));
        self.every(i, boot, LOAD_US, |w, i, boot| w.give_loads(i, boot));
    }

    fn every(&mut self, i: usize, boot: u64, us: u64, f: fn(&mut World, usize, u64)) {
        if self.nodes[i].boot != boot || self.nodes[i].node.is_none() {
            return;
        }
        f(self, i, boot);
        self.after(us, move |w| w.every(i, boot, us, f));
    }

    /// Ends a node; it starts anew later.
    pub(super) fn crash_node(&mut self, i: usize, down_us: u64) {
        if self.nodes[i].node.take().is_none() {
            return;
        }
        let cut = std::mem::take(&mut self.nodes[i].requests);
        for open in cut.open.values() {
            self.closed.insert((open.id, Attempt(u16::MAX)));
        }
        self.nodes[i].down_since_us = Some(self.now_us);
        self.after(down_us, move |w| w.start_node(i));
    }

    /// Pauses a node; what comes meanwhile waits for it.
    pub(super) fn pause_node(&mut self, i: usize, us: u64) {
        let until = self.now_us + us;
        let slot = &mut self.nodes[i];
        slot.paused_until_us = slot.paused_until_us.max(until);
    }

    fn give_list(&mut self, i: usize, boot: u64) {
        let now = self.now_us;
        let lagged = |since: Option<u64>| since.is_some_and(|at| now > at + LIST_LAG_US);
        let mut servers = Vec::new();
        for (id, engine) in self.engines.iter().enumerate() {
            servers.push(ServerRecord {
                id: ServerId(id as u32),
                kind: ServerKind::Engine,
                failure_domain: format!("d{}", id % 3),
                leaving: lagged(engine.leaving_since_us),
            });
        }
        for id in 0..SERVICES {
            servers.push(ServerRecord {
                id: ServerId(FIRST_SERVICE + id),
                kind: ServerKind::Service("s".to_owned()),
                failure_domain: "d0".to_owned(),
                leaving: false,
            });
        }
        let listed = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, slot)| !lagged(slot.down_since_us));
        let entries = listed.map(|(id, _)| PeerRecord {
            vm: VmId(id as u32),
            caller_address: format!("entry-{id}"),
            failure_domain: format!("d{}", id % 3),
            leaving: false,
        });
        let entries = entries.collect();
        self.feed(i, boot, Event::VmList { servers, entries });
    }

    fn give_loads(&mut self, i: usize, boot: u64) {
        for id in 0..self.engines.len() {
            let engine = &self.engines[id];
            let server = ServerId(id as u32);
            let event = match engine.dead || engine.hung {
                true => Event::LoadFailed(server),
                false => Event::Load {
                    server,
                    report: Box::new(engine.report()),
                },
            };
            let delay = self.delay();
            self.after(delay, move |w| w.feed(i, boot, event));
        }
    }

    fn schedule_faults(&mut self, end_us: u64) {
        let gap = self.rng.random_range(200_000..2_500_000);
        self.after(gap, move |w| {
            if w.now_us < end_us {
                w.begin_fault();
                w.schedule_faults(end_us);
            }
        });
    }

    pub(super) fn feed(&mut self, i: usize, boot: u64, event: Event) {
        let slot = &mut self.nodes[i];
        if slot.boot != boot {
            return;
        }
        if self.now_us < slot.paused_until_us {
            let wakes = slot.paused_until_us;
            self.at(wakes, move |w| w.feed(i, boot, event));
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
        self.report.steps += 1;
        for effect in out {
            self.perform(i, boot, effect, frame);
        }
    }

    fn perform(
        &mut self,
        i: usize,
        boot: u64,
        effect: Effect,
        frame: Option<(RequestId, u32, u32)>,
    ) {
        match effect {
            Effect::Admitted { request, id, .. } => self.admitted(i, request, id),
            Effect::Refuse { .. } => self.nodes[i].arriving = None,
            Effect::Dispatch(dispatch) => self.dispatched(i, boot, dispatch),
            Effect::Segment(order) => {
                let Some(open) = self.nodes[i].requests.open.get(&order.request) else {
                    return;
                };
                let (id, attempt) = (open.id, order.attempt);
                self.latest.insert(id, attempt);
                let tokens = order.to - order.from;
                let key = order.request;
                let delay = self.delay();
                let engine = order.server.0 as usize;
                self.after(delay, move |w| {
                    w.segment(i, boot, engine, key, id, attempt, tokens)
                });
            }
            Effect::Deliver { request, skip } => {
                let Some(frame) = frame else {
                    return self.violated("tokens were passed on without a frame".to_owned());
                };
                let delivered = self.nodes[i].requests.deliver(request, frame, skip);
                if let Err(what) = delivered {
                    self.violated(what);
                }
            }
            Effect::Finish { request, result } => self.finished(i, request, &result),
            Effect::FinishStored { request, .. } => {
                self.nodes[i].requests.open.remove(&request);
                self.report.completed += 1;
            }
            Effect::Cancel { server, id, .. } if self.lacks(Mechanism::Cancels) => {
                let confirmed = true;
                let event = Event::CancelEnded {
                    server,
                    id,
                    confirmed,
                };
                self.after(1_000, move |w| w.feed(i, boot, event));
            }
            Effect::Cancel { server, id, up_to } => {
                let delay = self.delay();
                self.after(delay, move |w| w.cancel(i, boot, server, id, up_to));
            }
            Effect::AskHoldings(server) => {
                let engine = &self.engines[server.0 as usize];
                if engine.dead || engine.hung {
                    return;
                }
                let holdings = engine.holdings(self.now_us);
                let delay = self.delay();
                self.after(delay, move |w| {
                    w.feed(i, boot, Event::Holdings { server, holdings })
                });
            }
            Effect::ClaimInsert {
                request,
                key,
                token,
                fingerprint,
            } => self.claim_insert(i, boot, request, key, token, fingerprint),
            Effect::ClaimRead { request, key } => {
                let delay = self.delay();
                self.after(delay, move |w| {
                    let lost = w.table.down || w.chance(5);
                    let answer = match lost {
                        true => ClaimAnswer::NoAnswer,
                        false => w.table.read(&key),
                    };
                    w.answer_claim(i, boot, request, answer);
                });
            }
            Effect::ClaimRelease { key, token, .. } => {
                let delay = self.delay();
                self.after(delay, move |w| {
                    let confirmed = !w.table.down && !w.chance(10);
                    if !w.table.down {
                        w.table.release(&key, &token);
                    }
                    w.feed(i, boot, Event::ClaimReleased { key, confirmed });
                });
            }
            Effect::Peer { to, message } => self.send_peer(i, to.0 as usize, *message),
            // The lease is shown by `bench orders`, with real daemons.
            Effect::LeaseRead | Effect::LeaseWrite { .. } | Effect::Order { .. } => {}
            Effect::Log(_) | Effect::Stop => {}
        }
    }

    fn admitted(&mut self, i: usize, request: RequestKey, id: RequestId) {
        let Some((wanted, deadline_us)) = self.nodes[i].arriving.take() else {
            return self.violated(format!("{id} was admitted without having arrived"));
        };
        self.report.admitted += 1;
        let open = Open {
            id,
            wanted,
            deadline_us,
            received: 0,
            ran: false,
        };
        self.nodes[i].requests.open.insert(request, open);
        if self.chance(4) {
            let (boot, wait) = (self.nodes[i].boot, self.rng.random_range(0..2_000_000));
            self.after(wait, move |w| w.feed(i, boot, Event::CallerGone(request)));
        }
    }

    fn finished(
        &mut self,
        i: usize,
        request: RequestKey,
        result: &Result<notchwalk_decide::Completion, notchwalk_decide::Failure>,
    ) {
        let slot = &mut self.nodes[i];
        // A paused node can't answer in time; it answers when it wakes.
        let slack_us = SLACK_US + slot.paused_until_us.saturating_sub(self.now_us - SLACK_US);
        let late_ok = self.now_us < slot.paused_until_us + 2 * SLACK_US;
        let slack_us = if late_ok { u64::MAX / 4 } else { slack_us };
        match slot.requests.finish(request, result, self.now_us, slack_us) {
            Ok(open) => {
                if let Err(failure) = result {
                    self.report.failed += 1;
                    if failure.outcome == notchwalk_wire::OutcomeWord::NotRun {
                        self.called_not_run.insert(open.id);
                    }
                } else {
                    self.report.completed += 1;
                }
                self.closed.insert((open.id, Attempt(u16::MAX)));
            }
            Err(what) => self.violated(what),
        }
    }

    fn dispatched(&mut self, i: usize, boot: u64, dispatch: Dispatch) {
        let Some(open) = self.nodes[i].requests.open.get(&dispatch.request) else {
            return self.violated("work was sent for a request that is over".to_owned());
        };
        let (id, wanted) = (open.id, open.wanted.clone());
        self.latest.insert(id, dispatch.attempt);
        let delay = self.delay();
        let Wanted::Answer(max_tokens) = wanted else {
            self.after(delay, move |w| w.call(i, boot, id, dispatch));
            return;
        };
        let engine = dispatch.server.0 as usize;
        let woke_us = self.nodes[i].paused_until_us;
        if let Some(since) = self.engines[engine].leaving_since_us {
            let told = self.now_us.saturating_sub(since.max(woke_us));
            if told > LEAVING_WITHIN_US {
                self.violated(format!("{id} was sent to leaving engine {engine}"));
            }
        }
        self.after(delay, move |w| w.accept(i, boot, id, dispatch, max_tokens));
    }

    /// After everything has healed and ended, nothing may be left over.
    fn check_settled(&mut self) {
        let now = Instant::from_micros(self.now_us);
        for i in 0..self.nodes.len() {
            let overdue = self.nodes[i].requests.overdue(self.now_us, SLACK_US);
            if let Some(id) = overdue {
                self.violated(format!("{id} never ended"));
            }
            let Some(node) = self.nodes[i].node.as_mut() else {
                continue;
            };
            let dump = node.dump(now);
            let mut left = Vec::new();
            if dump.open_requests > 0 || dump.queued_requests > 0 {
                left.push(format!("node {i} has {} open requests", dump.open_requests));
            }
            for s in dump.servers {
                let sum = s.held_tokens + s.long_held_tokens + s.backlog_tokens;
                if s.running > 0 || sum > 0 {
                    left.push(format!(
                        "node {i} still counts work on server {}: {s:?}",
                        s.id
                    ));
                }
            }
            for what in left {
                self.violated(what);
            }
        }
        for engine in 0..self.engines.len() {
            let held = self.engines[engine].held.clone();
            if let Some((id, _)) = held.first_key_value() {
                let n = held.len();
                self.violated(format!(
                    "engine {engine} still holds {n} requests, such as {id}"
                ));
            }
        }
    }
}
