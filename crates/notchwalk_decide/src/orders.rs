//! Orders to engines: which versions and adapters are loaded. Only the holder
//! of a lease in the platform's table sends them, under its fencing token.
//!
//! Each node judges the lease by its own monotonic clock, never by times in the
//! row: a row that stays unchanged for the duration of the lease has expired.
//! The holder counts from before it sent its renewal, and checks the remaining
//! time right before each order. Engines that ignore fencing tokens get orders
//! from a new holder only after the longest suspension allowed to the old one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notchwalk_bundle::Model;
use notchwalk_core::{BootNumber, Instant, LogEventKind, ServerId, VmId};
use notchwalk_wire::DesiredState;

use crate::{
    effect::Effect,
    event::ServerKind,
    node::{Cx, Node},
    server::ServerKey,
};

/// How long a lease is valid without renewal.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// How long before its expiry the holder stops sending orders.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_secs(1);
/// Interval between reads or renewals of the row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between checks for differences between the versions and adapters
/// that engines have loaded and those in the bundle.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an order may take before it is sent again.
const ORDER_TTL: Duration = Duration::from_secs(30);
/// At most one in this many engines has an order in flight, so that enough
/// remain warm.
const ENGINES_PER_ORDER: usize = 4;

/// The lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// The holder.
    pub holder: VmId,
    /// The holder's boot number.
    pub boot: BootNumber,
    /// The fencing token; rises with each new holder.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Counts renewals, so that each one changes the row.
    pub renewals: u64,
}

/// A node's view of the lease, and the orders it sent.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The last row read, and since when it has been unchanged.
    observed: Option<(LeaseRow, Instant)>,
    /// Since when there has been no row.
    absent_since: Option<Instant>,
    /// The fencing token of the held lease, and its expiry.
    held: Option<(u64, Instant)>,
    /// Since when the lease has been held.
    held_since: Instant,
    next_renewal: Instant,
    next_check: Instant,
    /// When the write in flight was sent.
    write_sent_at: Option<Instant>,
    /// When each order in flight was sent.
    in_flight: BTreeMap<ServerId, Instant>,
    /// Servers that rejected an order under the held lease.
    refused: BTreeSet<ServerId>,
}

impl Orders {
    /// Returns the fencing token under which orders may be sent now.
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        let (fencing_token, until) = self.held?;
        (now < until.before(LEASE_SAFETY_MARGIN)).then_some(fencing_token)
    }
}

/// Handles the table's response about the lease: its current row, and whether
/// a write of this node took effect.
pub(crate) fn on_lease(node: &mut Node, cx: &mut Cx<'_>, row: Option<LeaseRow>, applied: bool) {
    let own = (node.cfg.vm, node.cfg.boot);
    let orders = &mut node.orders;
    // A read does not show when the row was written.
    let sent = orders.write_sent_at.take().filter(|_| applied);
    let Some(row) = row else {
        orders.absent_since.get_or_insert(cx.now);
        return;
    };
    orders.absent_since = None;
    if orders.observed.is_none_or(|(observed, _)| observed != row) {
        orders.observed = Some((row, cx.now));
    }
    let held = orders.held.map(|(fencing_token, _)| fencing_token);
    if (row.holder, row.boot) == own {
        // The duration counts from when the write was sent, not from the
        // response.
        if let Some(sent) = sent {
            orders.held = Some((row.fencing_token, sent.after(LEASE_DURATION)));
        }
        if held.is_none() && sent.is_some() {
            orders.held_since = cx.now;
            orders.refused.clear();
            cx.log(
                LogEventKind::LeaseHeld,
                format!("fence={}", row.fencing_token),
            );
        }
        return;
    }
    if orders.held.take().is_some() {
        cx.log(
            LogEventKind::LeaseLost,
            format!("fence={}", row.fencing_token),
        );
    }
}

/// Handles a read or write that got no response; the write may have taken
/// effect.
pub(crate) fn on_lease_unanswered(node: &mut Node) {
    node.orders.write_sent_at = None;
}

/// Handles the end of an order.
pub(crate) fn on_order_ended(node: &mut Node, cx: &mut Cx<'_>, server: ServerId, accepted: bool) {
    node.orders.in_flight.remove(&server);
    if !accepted {
        node.orders.refused.insert(server);
        cx.log(LogEventKind::OrderRefused, format!("server={}", server.0));
    }
}

/// Renews or acquires the lease, and sends orders while it is held.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    if node.catalog.bundle.is_none() || node.drain.is_draining() {
        return;
    }
    let expired = node.orders.held.is_some_and(|(_, until)| cx.now >= until);
    if expired {
        node.orders.held = None;
        cx.log(LogEventKind::LeaseLost, "reason=lapsed");
    }
    if cx.now >= node.orders.next_renewal {
        node.orders.next_renewal = cx.now.after(RENEWAL_INTERVAL);
        renew_or_acquire_lease(node, cx);
    }
    if cx.now >= node.orders.next_check {
        node.orders.next_check = cx.now.after(CHECK_INTERVAL);
        send_orders(node, cx);
    }
}

/// Renews the lease, acquires an expired one, or reads the row.
fn renew_or_acquire_lease(node: &mut Node, cx: &mut Cx<'_>) {
    let (vm, boot) = (node.cfg.vm, node.cfg.boot);
    let orders = &mut node.orders;
    let first = LeaseRow {
        holder: vm,
        boot,
        fencing_token: 1,
        renewals: 0,
    };
    let write = match orders.observed {
        _ if orders.absent_since.is_some() => Some((None, first)),
        None => None,
        Some((row, since)) => {
            let own = (row.holder, row.boot) == (vm, boot);
            let expired = cx.now.since(since) >= LEASE_DURATION;
            let next = LeaseRow {
                holder: vm,
                boot,
                fencing_token: row.fencing_token + u64::from(!own),
                renewals: row.renewals + 1,
            };
            (own || expired).then_some((Some(row), next))
        }
    };
    match write {
        Some((expected, row)) => {
            orders.write_sent_at = Some(cx.now);
            cx.emit(Effect::LeaseWrite { expected, row });
        }
        None => cx.emit(Effect::LeaseRead),
    }
}

fn send_orders(node: &mut Node, cx: &mut Cx<'_>) {
    let Some(fencing_token) = node.orders.fencing_token(cx.now) else {
        return;
    };
    let Some(bundle) = node.catalog.bundle.clone() else {
        return;
    };
    let suspension = Duration::from_millis(bundle.policy.max_order_suspension_ms);
    let suspension_elapsed =
        fencing_token == 1 || cx.now.since(node.orders.held_since) >= suspension;
    let now = cx.now;
    node.orders
        .in_flight
        .retain(|_, at| now.since(*at) < ORDER_TTL);
    let keys: Vec<ServerKey> = node.servers.arena.keys().collect();
    let engines = keys
        .iter()
        .filter(|k| node.servers.arena[**k].kind == ServerKind::Engine);
    let max_orders = (engines.count() / ENGINES_PER_ORDER).max(1);
    for key in keys {
        if node.orders.in_flight.len() >= max_orders {
            return;
        }
        let server = &node.servers.arena[key];
        let id = server.id;
        let busy = node.orders.in_flight.contains_key(&id) || node.orders.refused.contains(&id);
        if busy || server.draining || server.removed {
            continue;
        }
        let Some((model, desired)) = next_order(node, now, key, &bundle.models) else {
            continue;
        };
        if !model.checks_fencing_token && !suspension_elapsed {
            continue;
        }
        node.orders.in_flight.insert(id, now);
        let facts = format!("server={} wanted={desired:?} fence={fencing_token}", id.0);
        cx.log(LogEventKind::OrderSent, facts);
        cx.emit(Effect::Order {
            server: id,
            fencing_token,
            desired,
        });
    }
}

/// Returns the first difference between an engine and the bundle. Missing
/// versions and adapters are loaded before surplus versions are unloaded.
fn next_order<'a>(
    node: &Node,
    now: Instant,
    key: ServerKey,
    models: &'a [Model],
) -> Option<(&'a Model, DesiredState)> {
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
                DesiredState::VersionLoaded {
                    model: name,
                    version,
                },
            ));
        }
        if let Some(adapter) = model.adapters.iter().find(|a| !loaded.adapters.contains(a)) {
            let adapter = adapter.clone();
            return Some((
                model,
                DesiredState::AdapterLoaded {
                    model: name,
                    adapter,
                },
            ));
        }
        if let Some(version) = loaded.versions.iter().find(|v| !model.versions.contains(v)) {
            let version = version.clone();
            return Some((
                model,
                DesiredState::VersionUnloaded {
                    model: name,
                    version,
                },
            ));
        }
    }
    None
}
