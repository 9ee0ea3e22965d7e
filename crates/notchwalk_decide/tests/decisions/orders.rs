//! The order lease: at most one node sends orders at a time.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, PartName};
use notchwalk_core::{BootNumber, VmId};
use notchwalk_decide::{Effect, Event, LeaseRow};

use crate::common::{parts, TestNode};

/// Builds a node whose bundle names a version that its engine lacks.
fn node_lacking_version(checks_fencing_token: bool) -> TestNode {
    let mut node = TestNode::new(1);
    let mut parts = parts("order_pause_ms = 3000\n");
    for part in parts.iter_mut().filter(|p| p.name == PartName::Models) {
        part.text = format!(
            "[model m]\ncontext_tokens = 1000000\nversions = 1, 2\nchecks_fence = {checks_fencing_token}\n"
        );
    }
    let bundle = Bundle::parse(2, &parts).expect("a valid bundle");
    node.feed(Event::Bundle(Arc::new(bundle)));
    node.take_effects();
    node
}

fn writes(effects: &[Effect]) -> Vec<(Option<LeaseRow>, LeaseRow)> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::LeaseWrite { expected, row } => Some((*expected, *row)),
        _ => None,
    });
    found.collect()
}

fn orders(effects: &[Effect]) -> Vec<u64> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::Order { fencing_token, .. } => Some(*fencing_token),
        _ => None,
    });
    found.collect()
}

fn row_of_other_node(renewals: u64) -> LeaseRow {
    LeaseRow {
        holder: VmId(9),
        boot: BootNumber(1),
        fencing_token: 4,
        renewals,
    }
}

fn respond(node: &mut TestNode, row: LeaseRow, applied: bool) {
    let row = Some(row);
    node.feed(Event::Lease { row, applied });
}

/// Acquires the lease after its holder became silent.
fn acquire_lease(node: &mut TestNode) -> LeaseRow {
    respond(node, row_of_other_node(1), false);
    node.advance(5_500, 1);
    assert!(
        writes(&node.take_effects()).is_empty(),
        "the lease must not be acquired before it expires"
    );
    node.advance(3_000, 1);
    let (expected, row) = writes(&node.take_effects())[0];
    assert_eq!(expected, Some(row_of_other_node(1)));
    assert_eq!(row.fencing_token, 5);
    respond(node, row, true);
    row
}

#[test]
fn renewed_lease_is_not_acquired_by_another_node() {
    let mut node = node_lacking_version(true);
    for renewals in 0..20 {
        respond(&mut node, row_of_other_node(renewals), false);
        node.advance(2_000, 1);
    }
    let effects = node.take_effects();
    assert!(writes(&effects).is_empty());
    assert!(orders(&effects).is_empty());
}

#[test]
fn expired_lease_is_acquired_with_higher_fencing_token() {
    let mut node = node_lacking_version(true);
    acquire_lease(&mut node);
    node.advance(1_000, 1);
    assert_eq!(orders(&node.take_effects()), [5]);
}

#[test]
fn engines_without_fencing_get_orders_only_after_max_suspension() {
    let mut node = node_lacking_version(false);
    let mut row = acquire_lease(&mut node);
    for ms in [1_000, 1_500] {
        node.advance(ms, 1);
        let effects = node.take_effects();
        assert!(orders(&effects).is_empty());
        if let Some((_, renewed)) = writes(&effects).last() {
            row = *renewed;
        }
        respond(&mut node, row, true);
    }
    node.advance(1_500, 1);
    assert_eq!(orders(&node.take_effects()), [5]);
}

#[test]
fn holder_that_cannot_renew_sends_no_orders() {
    let mut node = node_lacking_version(true);
    acquire_lease(&mut node);
    // The node is suspended, or cannot reach the table, for longer than the
    // lease.
    node.now_ms += 7_000;
    node.feed(Event::Tick);
    node.report_idle(1);
    node.advance(2_000, 1);
    assert!(orders(&node.take_effects()).is_empty());
    let now = notchwalk_core::Instant::from_millis(node.now_ms);
    assert!(
        !node.inner.may_order(now, 5),
        "an order that is about to be sent must be stopped as well"
    );
}

#[test]
fn unanswered_renewal_does_not_extend_the_lease() {
    let mut node = node_lacking_version(true);
    let row = acquire_lease(&mut node);
    node.advance(3_000, 1);
    // The next write fails because an earlier, unanswered one took effect: the
    // row names this node, but the time of the write is unknown.
    let unanswered = LeaseRow {
        renewals: row.renewals + 1,
        ..row
    };
    respond(&mut node, unanswered, false);
    node.advance(3_500, 1);
    let now = notchwalk_core::Instant::from_millis(node.now_ms);
    assert!(!node.inner.may_order(now, 5));
}
