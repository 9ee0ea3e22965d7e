//! Scheduling: takes the next request of each lane and places it while there is
//! capacity.

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
    queue::QueuePosition,
    request::{Phase, RequestKey},
    server::{LoadedGroup, ServerKey},
    suspects,
    timer::TimerKind,
};

/// Backoff of a request that no available server serves.
const UNSERVED_BACKOFF: Duration = Duration::from_millis(250);
/// Interval at which blocked lanes are retried even if no change is known.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How far a workspace with long work may lead the virtual time while shorter
/// work is blocked, in microseconds of engine time at weight 1.
const MAX_LONG_LEAD_US: u64 = 500_000;

/// State of the scheduler between steps.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Lanes that found no capacity since it last changed, by index.
    blocked: Vec<bool>,
    /// Whether the lanes are to be served at the end of the current step.
    needs_run: bool,
    next_retry: notchwalk_core::Instant,
    /// Counts placements of the round-robin baseline.
    round_robin: usize,
}

impl Schedule {
    /// Unblocks all lanes, because capacity may have been freed anywhere.
    pub fn capacity_changed(&mut self) {
        self.needs_run = true;
        self.blocked.iter_mut().for_each(|blocked| *blocked = false);
    }

    /// Returns the next start index of the round-robin baseline.
    pub fn next_round_robin(&mut self) -> usize {
        self.round_robin = self.round_robin.wrapping_add(1);
        self.round_robin
    }

    fn lane_blocked(&mut self, group: GroupKey, lane: Lane) -> &mut bool {
        let index = group.index() * LANES.len() + lane.index();
        if self.blocked.len() <= index {
            self.blocked.resize(index + 1, false);
        }
        &mut self.blocked[index]
    }
}

/// Returns the queue position of a request. The baselines have a single queue
/// in order of arrival.
fn queue_position(node: &Node, key: RequestKey) -> QueuePosition {
    let req = &node.requests[key];
    let cost_us = match &req.work {
        Work::Generate(work) => node.costs[req.group.index()].generation_us(work),
        Work::Call(_) => CostModel::call_us(),
    };
    let fair = node.policy_kind() == PolicyKind::Fair;
    let lane = match fair {
        true => req.lane,
        false => baseline_lane(node, key),
    };
    QueuePosition {
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

/// Returns the single lane of the baselines; requests larger than any engine
/// use another.
fn baseline_lane(node: &Node, key: RequestKey) -> Lane {
    let servers = node.servers.of_group(node.requests[key].group).iter();
    let largest = servers.map(|key| node.servers.arena[*key].capacity()).max();
    match placement::tokens_to_reserve(node, key) > largest.unwrap_or(u64::MAX) {
        true => Lane::Huge,
        false => Lane::Short,
    }
}

/// Adds a request to its lane.
pub(crate) fn enqueue(node: &mut Node, key: RequestKey) {
    let position = queue_position(node, key);
    let req = &mut node.requests[key];
    req.phase = Phase::Queued;
    req.queue_position = Some(position);
    let slot = req.workspace;
    let state = node.catalog.workspace(slot);
    state.queued += 1;
    let weight = state.weight;
    node.queue.push(&position, key, weight);
    node.schedule.needs_run = true;
}

/// Removes a request from its lane, if it is queued.
pub(crate) fn dequeue(node: &mut Node, key: RequestKey) {
    let req = &mut node.requests[key];
    let Some(position) = req.queue_position.take() else {
        return;
    };
    let slot = req.workspace;
    let state = node.catalog.workspace(slot);
    state.queued -= 1;
    let weight = state.weight;
    node.queue.remove(&position, weight);
}

/// Takes a request out of its lane and queues it again after a jittered
/// delay.
pub(crate) fn back_off(node: &mut Node, cx: &Cx<'_>, key: RequestKey, delay: Duration) {
    dequeue(node, key);
    node.requests[key].phase = Phase::Backoff;
    let us = delay.as_micros() as u64;
    let jittered = node.rng.random_range(us / 2..=us * 3 / 2);
    let at = cx.now.after(Duration::from_micros(jittered));
    node.timers.set(at, key, TimerKind::Backoff);
}

/// Queues a request whose backoff ended.
pub(crate) fn on_backoff_ended(node: &mut Node, _cx: &mut Cx<'_>, key: RequestKey) {
    let in_backoff = node
        .requests
        .get(key)
        .is_some_and(|req| req.phase == Phase::Backoff);
    if in_backoff {
        enqueue(node, key);
    }
}

/// Unblocks lanes periodically, since reports expire and circuits half-open
/// without an event.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.schedule.next_retry {
        return;
    }
    node.schedule.next_retry = cx.now.after(RETRY_INTERVAL);
    if node.queue.len() > 0 {
        node.schedule.capacity_changed();
    }
}

/// Serves all lanes while there is capacity.
pub(crate) fn run(node: &mut Node, cx: &mut Cx<'_>) {
    if !std::mem::take(&mut node.schedule.needs_run) {
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
    while !*node.schedule.lane_blocked(group, lane) {
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
            if must_defer_long(node, group, slot) || !long_work::start_reserving(node, cx, key) {
                *node.schedule.lane_blocked(group, lane) = true;
            } else {
                node.queue.record_pick(group, lane);
            }
            continue;
        }
        if fail_if_expired(node, cx, key) {
            continue;
        }
        match placement::place(node, cx.now, key) {
            Placement::Placed {
                server,
                reserved,
                backlog,
            } => {
                node.queue.record_pick(group, lane);
                dequeue(node, key);
                attempt::start(node, cx, key, server, reserved, backlog);
            }
            Placement::NoCapacity => *node.schedule.lane_blocked(group, lane) = true,
            Placement::Unserved => back_off(node, cx, key, UNSERVED_BACKOFF),
        }
    }
}

/// Fails an unsent request whose deadline has passed. Returns whether it did.
fn fail_if_expired(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) -> bool {
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

/// Returns whether a workspace's long work must wait because shorter work is
/// blocked and the workspace leads the virtual time.
fn must_defer_long(node: &mut Node, group: GroupKey, slot: WorkspaceSlot) -> bool {
    let shorter_work_is_blocked = [Lane::Short, Lane::Medium].into_iter().any(|lane| {
        *node.schedule.lane_blocked(group, lane) && node.queue.lane_len(group, lane) > 0
    });
    if !shorter_work_is_blocked {
        return false;
    }
    let weight = node.catalog.workspace(slot).weight;
    node.queue.lead_us(slot) as f64 > MAX_LONG_LEAD_US as f64 / weight
}

/// Handles an engine's load report.
pub(crate) fn on_load(node: &mut Node, cx: &mut Cx<'_>, id: ServerId, report: LoadReport) {
    let Some(key) = node.servers.engine_key_of(id) else {
        return;
    };
    suspects::on_server_reachable(node, key);
    if report.draining {
        mark_draining(node, cx, key);
    }
    let loaded = loaded_groups(node, &report);
    for group in &loaded {
        let cost = node.cost(group.group);
        cost.record_token_times(report.prefill_token_ns, report.decode_token_ns);
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

/// Recomputes the groups that each server serves after a bundle change.
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

/// Returns the group of a plain service as the loaded groups of its servers;
/// empty if the bundle has no such service.
pub(crate) fn service_group(node: &Node, name: &str) -> Vec<LoadedGroup> {
    let group = node.catalog.service_named(name);
    let loaded = group.map(|group| LoadedGroup {
        group,
        versions: Vec::new(),
        adapters: Vec::new(),
    });
    loaded.into_iter().collect()
}

/// Handles a load poll that got no response.
pub(crate) fn on_load_poll_failed(node: &mut Node, cx: &mut Cx<'_>, id: ServerId) {
    if let Some(key) = node.servers.engine_key_of(id) {
        suspects::on_server_unreachable(node, cx, key);
        server_failed(node, cx, key);
    }
}

/// Records a server's failure in its circuit.
pub(crate) fn server_failed(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if server.circuit.record_failure(cx.now) {
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::CircuitOpened, facts);
    }
}

/// Records a server's success in its circuit.
pub(crate) fn server_succeeded(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if server.circuit.record_success() {
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::CircuitClosed, facts);
    }
}

/// Excludes a draining server from placement.
pub(crate) fn mark_draining(node: &mut Node, cx: &mut Cx<'_>, key: ServerKey) {
    let server = &mut node.servers.arena[key];
    if !server.draining {
        server.draining = true;
        let facts = format!("server={}", server.id.0);
        cx.log(LogEventKind::ServerDraining, facts);
    }
}
