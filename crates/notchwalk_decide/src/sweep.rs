//! Reclaims engine memory: repeats cancels until engines confirm them, and
//! periodically cancels allocations whose request has ended or whose owner is
//! dead.

use std::{collections::BTreeMap, time::Duration};

use notchwalk_core::{Attempt, Instant, LogEventKind, RequestId, ServerId};
use notchwalk_wire::Allocation;

use crate::{
    credit,
    effect::Effect,
    event::{ServerKind, ServerRecord},
    long_work,
    node::{Cx, Node},
    request::Phase,
    schedule,
    server::ServerKey,
};

/// Delay before a cancel is first repeated; doubles each time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay between repeated cancels.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Interval between scans for due cancels.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between queries of the memory that engines hold.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3);
/// Age below which memory is not reclaimed, because its request may have just
/// started.
const MIN_ORPHAN_AGE_MS: u64 = 2_000;

#[derive(Debug)]
struct PendingCancel {
    up_to: Attempt,
    next: Instant,
    delay: Duration,
}

/// Cancels that engines have not confirmed.
#[derive(Debug, Default)]
pub(crate) struct Cancels {
    pending: BTreeMap<(ServerId, RequestId), PendingCancel>,
    next_scan: Instant,
    next_sweep: Instant,
}

impl Cancels {
    /// Returns the number of unconfirmed cancels.
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

/// Cancels a request on a server, repeatedly until the server confirms it.
pub(crate) fn cancel(
    node: &mut Node,
    cx: &mut Cx<'_>,
    server: ServerKey,
    id: RequestId,
    up_to: Attempt,
) {
    let Some(server) = node.servers.arena.get(server).map(|s| s.id) else {
        return;
    };
    let pending = PendingCancel {
        up_to,
        next: cx.now.after(INITIAL_RETRY_DELAY),
        delay: INITIAL_RETRY_DELAY,
    };
    node.cancels.pending.insert((server, id), pending);
    cx.emit(Effect::Cancel { server, id, up_to });
}

/// Handles an engine's response to a cancel.
pub(crate) fn on_cancel_ended(
    node: &mut Node,
    cx: &mut Cx<'_>,
    server: ServerId,
    id: RequestId,
    confirmed: bool,
) {
    if confirmed {
        node.counters.cancels += 1;
        node.cancels.pending.remove(&(server, id));
        return;
    }
    if let Some(pending) = node.cancels.pending.get_mut(&(server, id)) {
        pending.next = cx.now.after(pending.delay);
        pending.delay = (pending.delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Repeats cancels and queries engines when due.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.cancels.next_scan {
        return;
    }
    node.cancels.next_scan = cx.now.after(SCAN_INTERVAL);
    for ((server, id), pending) in &mut node.cancels.pending {
        if cx.now < pending.next {
            continue;
        }
        pending.next = cx.now.after(pending.delay);
        pending.delay = (pending.delay * 2).min(MAX_RETRY_DELAY);
        cx.emit(Effect::Cancel {
            server: *server,
            id: *id,
            up_to: pending.up_to,
        });
    }
    if cx.now >= node.cancels.next_sweep {
        node.cancels.next_sweep = cx.now.after(SWEEP_INTERVAL);
        query_allocations(node, cx);
    }
}

/// Queries the memory held on the engines whose home is this node.
fn query_allocations(node: &mut Node, cx: &mut Cx<'_>) {
    let engines = node
        .servers
        .arena
        .values()
        .filter(|s| s.kind == ServerKind::Engine && !s.removed);
    let ids: Vec<ServerId> = engines.map(|s| s.id).collect();
    for id in ids {
        if credit::home_since(node, cx.now, id).is_some() {
            cx.emit(Effect::QueryAllocations(id));
        }
    }
}

/// Cancels allocations whose request has ended or whose owner is dead.
/// Allocations of an owner that may merely be suspended are retained.
pub(crate) fn on_allocations(
    node: &mut Node,
    cx: &mut Cx<'_>,
    server: ServerId,
    allocations: &[Allocation],
) {
    let Some(key) = node.servers.key_of(server) else {
        return;
    };
    for allocation in allocations {
        if allocation.age_ms < MIN_ORPHAN_AGE_MS || !is_orphan(node, cx.now, server, allocation) {
            continue;
        }
        let facts = format!(
            "server={} request={} tokens={}",
            server.0, allocation.request, allocation.tokens
        );
        cx.log(LogEventKind::MemoryReclaimed, facts);
        cancel(node, cx, key, allocation.request, allocation.attempt);
    }
}

fn is_orphan(node: &Node, now: Instant, server: ServerId, allocation: &Allocation) -> bool {
    let owner = allocation.request;
    if owner.vm == node.cfg.vm {
        return owner.boot != node.cfg.boot || !is_in_use(node, server, allocation);
    }
    if !node.membership.may_be_alive(owner.vm, owner.boot) {
        return true;
    }
    node.membership
        .is_silent_longer_than(now, owner.vm, node.cfg.max_owner_silence)
}

/// Returns whether a request of this node still uses memory on a server.
fn is_in_use(node: &Node, server: ServerId, allocation: &Allocation) -> bool {
    let Some(key) = node.by_seq.get(&allocation.request.seq) else {
        return false;
    };
    let req = &node.requests[*key];
    if allocation.attempt != req.attempt || req.phase != Phase::Running {
        return false;
    }
    let is_on_server = |key: ServerKey| node.servers.arena[key].id == server;
    let plan = req.plan.as_ref();
    req.running.is_some_and(|r| is_on_server(r.server))
        || plan.is_some_and(|plan| plan.servers.iter().any(|s| is_on_server(*s)))
}

/// Applies the VM list's backend servers.
pub(crate) fn on_servers(node: &mut Node, cx: &mut Cx<'_>, records: Vec<ServerRecord>) {
    for server in node.servers.arena.values_mut() {
        server.removed = true;
    }
    for record in records {
        let (kind, draining) = (record.kind.clone(), record.draining);
        let key = node.servers.upsert(record);
        if draining {
            schedule::mark_draining(node, cx, key);
        } else if let ServerKind::Service(name) = kind {
            let loaded = schedule::service_group(node, &name);
            node.servers.set_loaded(key, loaded);
        }
    }
    node.servers.drop_removed(&long_work::planned_servers(node));
    let known: Vec<ServerId> = node.servers.arena.values().map(|s| s.id).collect();
    node.cancels
        .pending
        .retain(|(server, _), _| known.contains(server));
    node.schedule.capacity_changed();
}
