//! Orders to engines: which versions and adapters are loaded. Only the holder
//! of a lease in the platform's table gives them, under its fencing number.
//!
//! The lease is judged by each node's own monotonic clock, never by times in
//! the row: a row that stays the same for the lease's time is free. The holder
//! counts from before it sent its renewal, and checks what is left right before
//! each order. Engines that ignore fencing numbers get orders of a new holder
//! only after the longest pause that the old one is allowed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notchwalk_bundle::Model;
use notchwalk_core::{BootNumber, Instant, LogEventKind, ServerId, VmId};
use notchwalk_wire::WantedState;

use crate::{
    effect::Effect,
    event::ServerKind,
    node::{Cx, Node},
    server::ServerKey,
};

/// How long a lease holds without renewal.
const LEASE: Duration = Duration::from_secs(6);
/// How long before its end the holder stops giving orders.
const MARGIN: Duration = Duration::from_secs(1);
/// How often the row is read or renewed.
const RENEW_EVERY: Duration = Duration::from_millis(1_500);
/// How often engines are compared with what is wanted.
const COMPARE_EVERY: Duration = Duration::from_millis(500);
/// How long an order may take before it is given again.
const ORDER_LIFE: Duration = Duration::from_secs(30);
/// Of so many engines, one may be under orders, so that enough stay warm.
const ENGINES_FOR_ONE: usize = 4;

/// The lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// The holder.
    pub holder: VmId,
    /// Its boot.
    pub boot: BootNumber,
    /// The fencing number; rises with each new holder.
    pub fence: u64,
    /// Counts renewals, so that each changes the row.
    pub renewals: u64,
}

/// What a node knows of the lease and the orders it gave.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The row as last seen, and since when it has been the same.
    seen: Option<(LeaseRow, Instant)>,
    /// Since when no row was there.
    absent: Option<Instant>,
    /// The fencing number held, and until when.
    held: Option<(u64, Instant)>,
    /// Since when it has been held.
    held_since: Instant,
    next_lease: Instant,
    next_compare: Instant,
    /// When the write on its way was sent.
    writing: Option<Instant>,
    /// Orders on their way.
    sent: BTreeMap<ServerId, Instant>,
    /// Servers that refused an order of this holder.
    refused: BTreeSet<ServerId>,
}

impl Orders {
    /// Returns the fencing number under which orders may be given now.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let (fence, until) = self.held?;
        (now < until.before(MARGIN)).then_some(fence)
    }
}

/// The table answered about the lease's row, which is now as given; `applied`
/// if a write of ours just made it so.
pub(crate) fn on_lease(node: &mut Node, cx: &mut Cx<'_>, row: Option<LeaseRow>, applied: bool) {
    let own = (node.cfg.vm, node.cfg.boot);
    let orders = &mut node.orders;
    // A mere reading proves nothing about when the row was written.
    let sent = orders.writing.take().filter(|_| applied);
    let Some(row) = row else {
        orders.absent.get_or_insert(cx.now);
        return;
    };
    orders.absent = None;
    if orders.seen.is_none_or(|(seen, _)| seen != row) {
        orders.seen = Some((row, cx.now));
    }
    let held = orders.held.map(|(fence, _)| fence);
    if (row.holder, row.boot) == own {
        // Counted from before the write was sent.
        if let Some(sent) = sent {
            orders.held = Some((row.fence, sent.after(LEASE)));
        }
        if held.is_none() && sent.is_some() {
            orders.held_since = cx.now;
            orders.refused.clear();
            cx.log(LogEventKind::LeaseHeld, format!("fence={}", row.fence));
        }
        return;
    }
    if orders.held.take().is_some() {
        cx.log(LogEventKind::LeaseLost, format!("fence={}", row.fence));
    }
}

/// The table did not answer; a write may have taken effect.
pub(crate) fn on_no_lease_answer(node: &mut Node) {
    node.orders.writing = None;
}

/// An order ended, one way or the other.
pub(crate) fn on_order_ended(node: &mut Node, cx: &mut Cx<'_>, server: ServerId, accepted: bool) {
    node.orders.sent.remove(&server);
    if !accepted {
        node.orders.refused.insert(server);
        cx.log(LogEventKind::OrderRefused, format!("server={}", server.0));
    }
}

/// Keeps or seeks the lease, and gives orders while it is held.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if node.catalog.bundle.is_none() || node.drain.is_on() {
        return;
    }
    let lapsed = node.orders.held.is_some_and(|(_, until)| cx.now >= until);
    if lapsed {
        node.orders.held = None;
        cx.log(LogEventKind::LeaseLost, "reason=lapsed");
    }
    if cx.now >= node.orders.next_lease {
        node.orders.next_lease = cx.now.after(RENEW_EVERY);
        seek_lease(node, cx);
    }
    if cx.now >= node.orders.next_compare {
        node.orders.next_compare = cx.now.after(COMPARE_EVERY);
        give_orders(node, cx);
    }
}

/// Renews the lease, takes one that lapsed, or looks at it.
fn seek_lease(node: &mut Node, cx: &mut Cx<'_>) {
    let (vm, boot) = (node.cfg.vm, node.cfg.boot);
    let orders = &mut node.orders;
    let first = LeaseRow {
        holder: vm,
        boot,
        fence: 1,
        renewals: 0,
    };
    let write = match orders.seen {
        _ if orders.absent.is_some() => Some((None, first)),
        None => None,
        Some((row, since)) => {
            let own = (row.holder, row.boot) == (vm, boot);
            let free = cx.now.since(since) >= LEASE;
            let next = LeaseRow {
                holder: vm,
                boot,
                fence: row.fence + u64::from(!own),
                renewals: row.renewals + 1,
            };
            (own || free).then_some((Some(row), next))
        }
    };
    match write {
        Some((expected, row)) => {
            orders.writing = Some(cx.now);
            cx.emit(Effect::LeaseWrite { expected, row });
        }
        None => cx.emit(Effect::LeaseRead),
    }
}

fn give_orders(node: &mut Node, cx: &mut Cx<'_>) {
    let Some(fence) = node.orders.fence(cx.now) else {
        return;
    };
    let Some(bundle) = node.catalog.bundle.clone() else {
        return;
    };
    let pause = Duration::from_millis(bundle.policy.order_pause_ms);
    let waited_out = fence == 1 || cx.now.since(node.orders.held_since) >= pause;
    let now = cx.now;
    node.orders.sent.retain(|_, at| now.since(*at) < ORDER_LIFE);
    let keys: Vec<ServerKey> = node.servers.arena.keys().collect();
    let engines = keys
        .iter()
        .filter(|k| node.servers.arena[**k].kind == ServerKind::Engine);
    let at_once = (engines.count() / ENGINES_FOR_ONE).max(1);
    for key in keys {
        if node.orders.sent.len() >= at_once {
            return;
        }
        let server = &node.servers.arena[key];
        let id = server.id;
        let busy = node.orders.sent.contains_key(&id) || node.orders.refused.contains(&id);
        if busy || server.leaving || server.gone {
            continue;
        }
        let Some((model, wanted)) = wanted_change(node, now, key, &bundle.models) else {
            continue;
        };
        if !model.checks_fence && !waited_out {
            continue;
        }
        node.orders.sent.insert(id, now);
        let facts = format!("server={} wanted={wanted:?} fence={fence}", id.0);
        cx.log(LogEventKind::OrderSent, facts);
        cx.emit(Effect::Order {
            server: id,
            fence,
            wanted,
        });
    }
}

/// The first thing in which an engine differs from the bundle. What is wanted
/// is loaded before what isn't wanted is unloaded.
fn wanted_change<'a>(
    node: &Node,
    now: Instant,
    key: ServerKey,
    models: &'a [Model],
) -> Option<(&'a Model, WantedState)> {
    let report = node.servers.arena[key].fresh_report(now)?;
    for loaded in &report.loaded {
        let Some(model) = models.iter().find(|m| m.name == loaded.model) else {
            continue;
        };
        let name = model.name.clone();
        if let Some(version) = model.versions.iter().find(|v| !loaded.versions.contains(v)) {
            let version = version.clone();
            return Some((
                model,
                WantedState::VersionLoaded {
                    model: name,
                    version,
                },
            ));
        }
        if let Some(adapter) = model.adapters.iter().find(|a| !loaded.adapters.contains(a)) {
            let adapter = adapter.clone();
            return Some((
                model,
                WantedState::AdapterLoaded {
                    model: name,
                    adapter,
                },
            ));
        }
        if let Some(version) = loaded.versions.iter().find(|v| !model.versions.contains(v)) {
            let version = version.clone();
            return Some((
                model,
                WantedState::VersionUnloaded {
                    model: name,
                    version,
                },
            ));
        }
    }
    None
}
