//! The order lease: one holder at a time, whoever is paused.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, PartName};
use notchwalk_core::{BootNumber, VmId};
use notchwalk_decide::{Effect, Event, LeaseRow};

use crate::common::{parts, Rig};

/// A node whose bundle wants a version that its engine lacks.
fn rig(checks_fence: bool) -> Rig {
    let mut rig = Rig::new(1);
    let mut parts = parts("order_pause_ms = 3000\n");
    for part in parts.iter_mut().filter(|p| p.name == PartName::Models) {
        part.text = format!(
            "[model m]\ncontext_tokens = 1000000\nversions = 1, 2\nchecks_fence = {checks_fence}\n"
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
        Effect::Order { fence, .. } => Some(*fence),
        _ => None,
    });
    found.collect()
}

fn of_another(renewals: u64) -> LeaseRow {
    LeaseRow {
        holder: VmId(9),
        boot: BootNumber(1),
        fence: 4,
        renewals,
    }
}

fn answer(rig: &mut Rig, row: LeaseRow, applied: bool) {
    let row = Some(row);
    rig.feed(Event::Lease { row, applied });
}

/// Lets the node take the lease from another that is silent.
fn take_over(rig: &mut Rig) -> LeaseRow {
    answer(rig, of_another(1), false);
    rig.pass(5_500, 1);
    assert!(writes(&rig.take()).is_empty(), "the lease still holds");
    rig.pass(3_000, 1);
    let (expected, row) = writes(&rig.take())[0];
    assert_eq!(expected, Some(of_another(1)));
    assert_eq!(row.fence, 5);
    answer(rig, row, true);
    row
}

#[test]
fn a_lease_that_is_renewed_is_never_taken() {
    let mut rig = rig(true);
    for renewals in 0..20 {
        answer(&mut rig, of_another(renewals), false);
        rig.pass(2_000, 1);
    }
    let effects = rig.take();
    assert!(writes(&effects).is_empty());
    assert!(orders(&effects).is_empty());
}

#[test]
fn a_silent_holders_lease_is_taken_with_a_higher_fence() {
    let mut rig = rig(true);
    take_over(&mut rig);
    rig.pass(1_000, 1);
    assert_eq!(orders(&rig.take()), [5]);
}

#[test]
fn engines_without_fencing_are_spared_until_the_longest_pause_is_over() {
    let mut rig = rig(false);
    let mut row = take_over(&mut rig);
    for ms in [1_000, 1_500] {
        rig.pass(ms, 1);
        let effects = rig.take();
        assert!(orders(&effects).is_empty());
        if let Some((_, renewed)) = writes(&effects).last() {
            row = *renewed;
        }
        answer(&mut rig, row, true);
    }
    rig.pass(1_500, 1);
    assert_eq!(orders(&rig.take()), [5]);
}

#[test]
fn a_holder_that_can_not_renew_stops_in_time() {
    let mut rig = rig(true);
    take_over(&mut rig);
    // Paused, or cut off from the store, for longer than the lease.
    rig.now_ms += 7_000;
    rig.feed(Event::Tick);
    rig.report(1);
    rig.pass(2_000, 1);
    assert!(orders(&rig.take()).is_empty());
    let now = notchwalk_core::Instant::from_millis(rig.now_ms);
    assert!(
        !rig.node.may_order(now, 5),
        "nor is an order on its way sent"
    );
}

#[test]
fn a_write_that_lost_its_answer_is_not_counted_from_a_later_one() {
    let mut rig = rig(true);
    let row = take_over(&mut rig);
    rig.pass(3_000, 1);
    // The next write fails because an earlier one took effect unheard: the row
    // is ours, but when it was written can't be told.
    let unheard = LeaseRow {
        renewals: row.renewals + 1,
        ..row
    };
    answer(&mut rig, unheard, false);
    rig.pass(3_500, 1);
    let now = notchwalk_core::Instant::from_millis(rig.now_ms);
    assert!(!rig.node.may_order(now, 5));
}
