//! The order lease: at most one node sends orders at a time.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, PartName};
use notchwalk_core::{BootNumber, VmId};
use notchwalk_decide::{Effect, Event, LeaseRow};

use crate::common::{parts, Rig};

/// Builds a node whose bundle names a version that its engine lacks.
fn rig(checks_fencing_token: bool) -> Rig {
    let mut rig = Rig::new(1);
    let mut parts = parts("order_pause_ms = 3000\n");
    for part in parts.iter_mut().filter(|p| p.name == PartName::Models) {
        part.text = format!(
            "[model m]\ncontext_tokens = 1000000\nversions = 1, 2\nchecks_fence = {checks_fencing_token}\n"
        );
    }
    let bundle = Bundle::parse(2, &parts).expect("a valid bundle");
    rig.feed(Event::Bundle(Arc::new(bundle)));
    rig.take();
    rig
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

fn answer(rig: &mut Rig, row: LeaseRow, applied: bool) {
    let row = Some(row);
    rig.feed(Event::Lease { row, applied });
}

/// Acquires the lease after its holder became silent.
fn acquire_lease(rig: &mut Rig) -> LeaseRow {
    answer(rig, row_of_other_node(1), false);
    rig.advance(5_500, 1);
    assert!(writes(&rig.take()).is_empty(), "the lease has not expired");
    rig.advance(3_000, 1);
    let (expected, row) = writes(&rig.take())[0];
    assert_eq!(expected, Some(row_of_other_node(1)));
    assert_eq!(row.fencing_token, 5);
    answer(rig, row, true);
    row
}

#[test]
fn renewed_lease_is_not_acquired_by_another_node() {
    let mut rig = rig(true);
    for renewals in 0..20 {
        answer(&mut rig, row_of_other_node(renewals), false);
        rig.advance(2_000, 1);
    }
    let effects = rig.take();
    assert!(writes(&effects).is_empty());
    assert!(orders(&effects).is_empty());
}

#[test]
fn expired_lease_is_acquired_with_higher_fence() {
    let mut rig = rig(true);
    acquire_lease(&mut rig);
    rig.advance(1_000, 1);
    assert_eq!(orders(&rig.take()), [5]);
}

#[test]
fn engines_without_fencing_get_orders_only_after_order_pause() {
    let mut rig = rig(false);
    let mut row = acquire_lease(&mut rig);
    for ms in [1_000, 1_500] {
        rig.advance(ms, 1);
        let effects = rig.take();
        assert!(orders(&effects).is_empty());
        if let Some((_, renewed)) = writes(&effects).last() {
            row = *renewed;
        }
        answer(&mut rig, row, true);
    }
    rig.advance(1_500, 1);
    assert_eq!(orders(&rig.take()), [5]);
}

#[test]
fn holder_that_cannot_renew_sends_no_orders() {
    let mut rig = rig(true);
    acquire_lease(&mut rig);
    // The node is paused or cut off from the store for longer than the lease.
    rig.now_ms += 7_000;
    rig.feed(Event::Tick);
    rig.report_idle(1);
    rig.advance(2_000, 1);
    assert!(orders(&rig.take()).is_empty());
    let now = notchwalk_core::Instant::from_millis(rig.now_ms);
    assert!(
        !rig.node.may_order(now, 5),
        "an order that is about to be sent is stopped as well"
    );
}

#[test]
fn unanswered_renewal_does_not_extend_the_lease() {
    let mut rig = rig(true);
    let row = acquire_lease(&mut rig);
    rig.advance(3_000, 1);
    // The next write fails because an earlier, unanswered one took effect: the
    // row names this node, but the time of the write is unknown.
    let unanswered = LeaseRow {
        renewals: row.renewals + 1,
        ..row
    };
    answer(&mut rig, unanswered, false);
    rig.advance(3_500, 1);
    let now = notchwalk_core::Instant::from_millis(rig.now_ms);
    assert!(!rig.node.may_order(now, 5));
}
