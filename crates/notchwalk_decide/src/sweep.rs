//! Memory comes back: cancels are repeated until engines confirm them, and a
//! sweep compares what engines hold with who is alive.

use std::{collections::BTreeMap, time::Duration};

use notchwalk_core::{Attempt, Instant, LogEventKind, RequestId, ServerId};
use notchwalk_wire::Holding;

use crate::{
    credit,
    effect::Effect,
    event::{ServerKind, ServerRecord},
    node::{Cx, Node},
    request::Phase,
    schedule,
    server::ServerKey,
};

/// The first pause before a cancel is repeated; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// The longest.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// How often the due cancels are looked for.
const SCAN_EVERY: Duration = Duration::from_millis(100);
/// How often engines are asked what they hold.
const SWEEP_EVERY: Duration = Duration::from_secs(3);
/// Memory younger than this is left alone: its request may just have begun.
const GRACE_MS: u64 = 2_000;

#[derive(Debug)]
struct Pending {
    up_to: Attempt,
    next: Instant,
    pause: Duration,
}

/// Cancels that engines have not confirmed.
#[derive(Debug, Default)]
pub(crate) struct Cancels {
    pending: BTreeMap<(ServerId, RequestId), Pending>,
    next_scan: Instant,
    next_sweep: Instant,
}

impl Cancels {
    /// Returns how many are not confirmed.
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

/// Ends a server's work for a request, until the server confirms it.
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
    let pending = Pending {
        up_to,
        next: cx.now.after(FIRST_PAUSE),
        pause: FIRST_PAUSE,
    };
    node.cancels.pending.insert((server, id), pending);
    cx.emit(Effect::Cancel { server, id, up_to });
}

/// An engine confirmed a cancel, or did not answer.
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
        pending.next = cx.now.after(pending.pause);
        pending.pause = (pending.pause * 2).min(MAX_PAUSE);
    }
}

/// Repeats cancels and asks engines what they hold when it is time.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if cx.now < node.cancels.next_scan {
        return;
    }
    node.cancels.next_scan = cx.now.after(SCAN_EVERY);
    for ((server, id), pending) in &mut node.cancels.pending {
        if cx.now < pending.next {
            continue;
        }
        pending.next = cx.now.after(pending.pause);
        pending.pause = (pending.pause * 2).min(MAX_PAUSE);
        cx.emit(Effect::Cancel {
            server: *server,
            id: *id,
            up_to: pending.up_to,
        });
    }
    if cx.now >= node.cancels.next_sweep {
        node.cancels.next_sweep = cx.now.after(SWEEP_EVERY);
        ask_holdings(node, cx);
    }
}

/// The home of an engine asks what it holds.
fn ask_holdings(node: &mut Node, cx: &mut Cx<'_>) {
    let engines = node
        .servers
        .arena
        .values()
        .filter(|s| s.kind == ServerKind::Engine && !s.gone);
    let ids: Vec<ServerId> = engines.map(|s| s.id).collect();
    for id in ids {
        if credit::home_since(node, cx.now, id).is_some() {
            cx.emit(Effect::AskHoldings(id));
        }
    }
}

/// Frees what belongs to requests that are over or whose daemon is gone.
/// What belongs to a daemon that may only be paused is left alone.
pub(crate) fn on_holdings(node: &mut Node, cx: &mut Cx<'_>, server: ServerId, held: &[Holding]) {
    let Some(key) = node.servers.key(server) else {
        return;
    };
    for holding in held {
        if holding.age_ms < GRACE_MS || !is_orphan(node, cx.now, server, holding) {
            continue;
        }
        let facts = format!(
            "server={} request={} tokens={}",
            server.0, holding.request, holding.tokens
        );
        cx.log(LogEventKind::MemorySwept, facts);
        cancel(node, cx, key, holding.request, holding.attempt);
    }
}

fn is_orphan(node: &Node, now: Instant, server: ServerId, holding: &Holding) -> bool {
    let owner = holding.request;
    if owner.vm == node.cfg.vm {
        return owner.boot != node.cfg.boot || !is_used(node, server, holding);
    }
    if !node.membership.may_live(owner.vm, owner.boot) {
        return true;
    }
    node.membership
        .silent_for(now, owner.vm, node.cfg.longest_pause)
}

/// Tells whether a request of this node still uses memory on a server.
fn is_used(node: &Node, server: ServerId, holding: &Holding) -> bool {
    let Some(key) = node.by_seq.get(&holding.request.seq) else {
        return false;
    };
    let req = &node.requests[*key];
    if holding.attempt != req.attempt || req.phase != Phase::Running {
        return false;
    }
    let here = |key: ServerKey| node.servers.arena[key].id == server;
    let plan = req.plan.as_ref();
    req.running.is_some_and(|r| here(r.server))
        || plan.is_some_and(|plan| plan.servers.iter().any(|s| here(*s)))
}

/// Takes in the VM list's backend servers.
pub(crate) fn on_servers(node: &mut Node, cx: &mut Cx<'_>, records: Vec<ServerRecord>) {
    for server in node.servers.arena.values_mut() {
        server.gone = true;
    }
    for record in records {
        let kind = record.kind.clone();
        let key = node
            .servers
            .ensure(record.id, record.kind, &record.failure_domain);
        node.servers.arena[key].gone = false;
        if record.leaving {
            schedule::mark_leaving(node, cx, key);
        } else if let ServerKind::Service(name) = kind {
            let loaded = schedule::service_group(node, &name);
            node.servers.set_loaded(key, loaded);
        }
    }
    node.servers.forget_gone();
    let known: Vec<ServerId> = node.servers.arena.values().map(|s| s.id).collect();
    node.cancels
        .pending
        .retain(|(server, _), _| known.contains(server));
    node.schedule.capacity_changed();
}
