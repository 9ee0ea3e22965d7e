//! Scheduling: takes the next request of each lane and places it while there
//! is room.

use std::time::Duration;

use notchwalk_bundle::PolicyKind;
use notchwalk_core::{LogEventKind, ServerId};
use notchwalk_wire::LoadReport;
use rand::Rng;

use crate::{
    attempt,
    catalog::{GroupKey, WorkspaceSlot},
    cost::CostModel,
    effect::FailureCode,
    event::{ServerKind, Work},
    lane::{Lane, LANES},
    long_work,
    node::{Cx, Node},
    placement::{self, Placement},
    queue::Place,
    request::{Phase, RequestKey},
    server::{LoadedGroup, ServerKey},
    suspects,
    timer::TimerKind,
};

/// How long a request waits that no server serves at the moment.
const UNSERVED_PAUSE: Duration = Duration::from_millis(250);
/// How often lanes are tried although nothing is known to have changed.
const RETRY_EVERY: Duration = Duration::from_millis(50);
/// How far long work may run ahead of others that wait, in microseconds of
/// engine time at weight 1.
const LONG_LEAD_US: u64 = 500_000;

/// What scheduling remembers between steps.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Lanes that found no room since capacity last changed, by index.
    blocked: Vec<bool>,
    dirty: bool,
    next_try: notchwalk_core::Instant,
    turn: usize,
}

impl Schedule {
    /// Notes that room may have come free anywhere.
    pub fn capacity_changed(&mut self) {
        self.dirty = true;
        self.blocked.iter_mut().for_each(|blocked| *blocked = false);
    }

    /// Returns the next place in the baseline's round.
    pub fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }

    fn lane(&mut self, group: GroupKey, lane: Lane) -> &mut bool {
        let index = group.index() * LANES.len() + lane.index();
        if self.blocked.len() <= index {
            self.blocked.resize(index + 1, false);
        }
        &mut self.blocked[index]
    }
}

/// Where a request waits. The baselines know one queue in order of arrival.
fn place_in_queue(node: &Node, key: RequestKey) -> Place {
    let req = &node.requests[key];
    let cost_us = match &req.work {
        Work::Generate(work) => node.costs[req.group.index()].generate_us(work),
        Work::Call(_) => CostModel::call_us(),
    };
    let fair = node.policy_kind() == PolicyKind::Fair;
    let lane = match fair {
        true => req.lane,
        false => baseline_lane(node, key),
    };
    Place {
        group: req.group,
        lane,
        workspace: if fair {
            req.workspace
        } else {
            WorkspaceSlot(0)
        },
        priority: if fair { req.priority } else { 0 },
        seq: req.seq,
        cost_us,
    }
}

/// The baselines know one lane; only what no engine can hold has another.
fn baseline_lane(node: &Node, key: RequestKey) -> Lane {
    let servers = node.servers.of_group(node.requests[key].group).iter();
    let largest = servers.map(|key| node.servers.arena[*key].capacity()).max();
    match placement::hold_for(node, key) > largest.unwrap_or(u64::MAX) {
        true => Lane::Huge,
        false => Lane::Short,
    }
}

/// Puts a request into its lane.
pub(crate) fn enqueue(node: &mut Node, key: RequestKey) {
    let place = place_in_queue(node, key);
    let req = &mut node.requests[key];
    req.phase = Phase::Queued;
    req.queued_at = Some(place);
    let slot = req.workspace;
    let state = node.catalog.workspace(slot);
    state.queued += 1;
    let weight = state.weight;
    node.queue.push(&place, key, weight);
    node.schedule.dirty = true;
}

/// Takes a request out of its lane, if it waits there.
pub(crate) fn dequeue(node: &mut Node, key: RequestKey) {
    let req = &mut node.requests[key];
    let Some(place) = req.queued_at.take() else {
        return;
    };
    let slot = req.workspace;
    let state = node.catalog.workspace(slot);
    state.queued -= 1;
    let weight = state.weight;
    node.queue.remove(&place, weight);
}

/// Lets a request wait and try again later.
pub(crate) fn back_off(node: &mut Node, cx: &Cx<'_>, key: RequestKey, pause: Duration) {
    dequeue(node, key);
    node.requests[key].phase = Phase::Backoff;
    let us = pause.as_micros() as u64;
    let jittered = node.rng.random_range(us / 2..=us * 3 / 2);
    let at = cx.now.after(Duration::from_micros(jittered));
    node.timers.set(at, key, TimerKind::Backoff);
}

/// A pause is over: the request waits in its lane again.
pub(crate) fn on_backoff_over(node: &mut Node, _cx: &mut Cx<'_>, key: RequestKey) {
    let waits = node
        .requests
        .get(key)
        .is_some_and(|req| req.phase == Phase::Backoff);
    if waits {
        enqueue(node, key);
    }
}

/// Tries blocked lanes again from time to time, since reports grow old and
/// circuits half-open without an event.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.schedule.next_try {
        return;
    }
    node.schedule.next_try = cx.now.after(RETRY_EVERY);
    if node.queue.len() > 0 {
        node.schedule.capacity_changed();
    }
}

/// Serves all lanes as far as there is room.
pub(crate) fn run(node: &mut Node, cx: &mut Cx<'_>) {
    if !std::mem::take(&mut node.schedule.dirty) {
        return;
    }
    let groups = node.catalog.groups.len() as u32;
    for group in (0..groups).map(GroupKey) {
        for lane in LANES {
            serve_lane(node, cx, group, lane);
        }
    }
}

fn serve_lane(node: &mut Node, cx: &mut Cx<'_>, group: GroupKey, lane: Lane) {
    while !*node.schedule.lane(group, lane) {
        let Some((slot, key)) = node.queue.first(group, lane) else {
            return;
        };
        let fair = node.policy_kind() == PolicyKind::Fair;
        let state = node.catalog.workspace(slot);
        if fair && state.in_flight >= state.max_in_flight {
            node.queue.park(slot);
            continue;
        }
        if lane.is_long() {
            if must_hold_back(node, group, slot) || !long_work::start_asking(node, cx, key) {
                *node.schedule.lane(group, lane) = true;
            } else {
                node.queue.picked(group, lane);
            }
            continue;
        }
        if gives_up(node, cx, key) {
            continue;
        }
        match placement::place(node, cx.now, key) {
            Placement::At {
                server,
                held,
                backlog,
            } => {
                node.queue.picked(group, lane);
                dequeue(node, key);
                attempt::start(node, cx, key, server, held, backlog);
            }
            Placement::NoRoom => *node.schedule.lane(group, lane) = true,
            Placement::Unserved => back_off(node, cx, key, UNSERVED_PAUSE),
        }
    }
}

/// Ends a request at once that can't be in time any more.
fn gives_up(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) -> bool {
    if node.policy_kind() != PolicyKind::Fair {
        return false;
    }
    let req = &node.requests[key];
    if req.sent {
        return false;
    }
    if cx.now < req.deadline {
        return false;
    }
    attempt::fail(node, cx, key, FailureCode::TimedOut, None);
    true
}

/// Tells whether long work of a workspace must wait because it is ahead of
/// others that wait.
fn must_hold_back(node: &mut Node, group: GroupKey, slot: WorkspaceSlot) -> bool {
    let others_wait = [Lane::Short, Lane::Medium]
        .into_iter()
        .any(|lane| *node.schedule.lane(group, lane) && node.queue.lane_len(group, lane) > 0);
    if !others_wait {
        return false;
    }
    let weight = node.catalog.workspace(slot).weight;
    node.queue.lead_us(slot) as f64 > LONG_LEAD_US as f64 / weight
}

/// Takes in an engine's report.
pub(crate) fn on_load(node: &mut Node, cx: &mut Cx<'_>, id: ServerId, report: LoadReport) {
    let Some(key) = node.servers.key(id) else {
        return;
    };
    suspects::on_server_answers(node, key);
    if report.leaving {
        mark_leaving(node, cx, key);
    }
    let loaded = loaded_groups(node, &report);
    for group in &loaded {
        let cost = node.cost(group.group);
        cost.learn_times(report.prompt_token_ns, report.answer_token_ns);
    }
    node.servers.set_loaded(key, loaded);
    node.servers.arena[key].report = Some((cx.now, report));
    node.schedule.capacity_changed();
}

fn loaded_groups(node: &Node, report: &LoadReport) -> Vec<LoadedGroup> {
    let mut loaded = Vec::new();
    for model in &report.loaded {
        let Some(group) = node.catalog.model_named(&model.model) else {
            continue;
        };
        loaded.push(LoadedGroup {
            group,
            versions: model.versions.clone(),
            adapters: model.adapters.clone(),
        });
    }
    loaded
}

/// Finds out anew what each server serves, after a bundle named new groups.
pub(crate) fn refresh_loaded(node: &mut Node) {
    let keys: Vec<ServerKey> = node.servers.arena.keys().collect();
    for key in keys {
        let server = &node.servers.arena[key];
        let loaded = match (&server.kind, &server.report) {
            (ServerKind::Service(name), _) => service_group(node, name),
            (ServerKind::Engine, Some((_, report))) => loaded_groups(node, report),
            (ServerKind::Engine, None) => Vec::new(),
        };
        node.servers.set_loaded(key, loaded);
    }
}

/// Returns what a server of a plain service serves.
pub(crate) fn service_group(node: &Node, name: &str) -> Vec<LoadedGroup> {
    let group = node.catalog.service_named(name);
    let loaded = group.map(|group| LoadedGroup {
        group,
        versions: Vec::new(),
        adapters: Vec::new(),
    });
    loaded.into_iter().collect()
}

/// An engine did not report when asked.
pub(crate) fn on_load_failed(node: &mut Node, cx: &mut Cx<'_>, id: ServerId) {
    if let Some(key) = node.servers.key(id) {
        suspects::on_server_away(node, cx, key);
        server_failed(node, cx, key);
    }
}

/// Notes a server's failure in its circuit.
pub(crate) fn server_failed(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if server.circuit.failed(cx.now) {
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::CircuitOpened, facts);
    }
}

/// Notes a server's success in its circuit.
pub(crate) fn server_succeeded(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if server.circuit.succeeded() {
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::CircuitClosed, facts);
    }
}

/// Takes a server out of placement for good.
pub(crate) fn mark_leaving(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if !server.leaving {
        server.leaving = true;
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::ServerLeaving, facts);
    }
}
