//! What goes at once, what waits and what is refused, seen from the callers of
//! the loads that each rule answers.

use std::time::Duration;

use notchwalk_route::{Assignment, AttemptEnd, Grounds, Refusal, RequestKey};

use crate::common::Rig;

/// The driver's tick.
const TICK: Duration = Duration::from_millis(15);
/// The objective of short requests in the rig.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// When callers of the rig's long route give up without a first event.
const LONG_PATIENCE: Duration = Duration::from_secs(12);

/// Lets time pass in ticks and collects what is sent.
fn sends_within(rig: &mut Rig, time: Duration) -> Vec<(RequestKey, Assignment)> {
    let end = rig.now.after(time);
    let mut sends = rig.sends();
    while rig.now < end {
        rig.pass(TICK);
        sends.extend(rig.sends());
    }
    sends
}

/// After all entries lost power, callers come back together. Before they waited
/// for spare room, 24 of 40 first tries among 120 were predicted in time here;
/// now all are.
#[test]
fn callers_that_come_back_late_leave_the_room_to_first_tries() {
    let mut rig = Rig::named("entry-1", 8);
    let mut first_tries = Vec::new();
    for number in 0..120 {
        if number % 3 == 0 {
            first_tries.push(rig.arrive("/short/", 5_000));
        } else {
            rig.arrive_again("/short/", 5_000, Duration::from_millis(2_100));
        }
    }
    let sends = rig.sends();
    let of_first = sends.iter().filter(|(key, _)| first_tries.contains(key));
    let in_time = of_first.filter(|(_, to)| to.predicted_first <= OBJECTIVE);
    assert_eq!(in_time.count(), first_tries.len());
}

#[test]
fn callers_that_come_back_late_are_served_before_they_give_up() {
    let mut rig = Rig::named("entry-1", 4);
    rig.arrive("/short/", 5_000);
    for _ in 0..60 {
        rig.arrive_again("/short/", 5_000, Duration::from_millis(2_100));
    }
    let sends = sends_within(&mut rig, Duration::from_secs(2));
    assert_eq!(sends.len(), 61);
}

#[test]
fn a_few_callers_of_unusual_patience_make_nobody_else_late() {
    let mut rig = Rig::named("entry-1", 18);
    for number in 0..40 {
        let since_first = if number % 20 == 0 {
            Duration::ZERO
        } else {
            Duration::from_secs(5)
        };
        rig.arrive_again("/short/", 5_000, since_first);
    }
    rig.sends();
    let usual = rig.arrive_again("/short/", 5_000, Duration::from_secs(5));
    let sent = rig.sends();
    assert!(sent.iter().any(|(key, _)| *key == usual), "{sent:?}");
    assert_eq!(sent[0].1.since_first, Duration::ZERO);
}

/// A wave of long prompts: what can't be in time any more is read whole on one
/// engine, where parts of others go first.
#[test]
fn a_late_long_prompt_keeps_one_engine_only() {
    let mut rig = Rig::named("entry-1", 6);
    rig.arrive("/long/", 1_000);
    rig.sends();
    rig.arrive_again("/long/", 180_000, Duration::from_secs(4));
    let late = rig.only_send();
    assert_eq!(late.grounds, Grounds::Late);
    assert!(late.helpers.is_empty(), "{late:?}");
    rig.arrive("/long/", 150_000);
    let in_time = rig.only_send();
    assert!(in_time.predicted_first <= Duration::from_secs(3));
}

/// Six prompts that two engines would read in 28 s, while callers wait for 12:
/// each is sent so that its caller gets it, or refused; none waits in vain.
#[test]
fn a_long_prompt_that_no_engine_can_read_before_its_caller_gives_up_is_refused() {
    let mut rig = Rig::named("entry-1", 2);
    let arrived = rig.now;
    for _ in 0..6 {
        rig.arrive("/long/", 200_000);
    }
    let mut sends = rig.sends();
    while rig.now < arrived.after(LONG_PATIENCE / 2) {
        rig.pass(TICK);
        for (key, to) in rig.sends() {
            let first_at = rig.now.after(to.predicted_first);
            assert!(first_at <= arrived.after(LONG_PATIENCE), "{to:?}");
            sends.push((key, to));
        }
    }
    let refused = rig.refusals();
    assert!(refused.iter().all(|&reason| reason == Refusal::Overloaded));
    assert_eq!(
        (sends.len() + refused.len(), rig.router.queued_work().0),
        (6, 0)
    );
}

/// Once refused, twice refused: on an idle fleet the longest prompts of callers
/// that come back were refused again, as too few engines counted as idle.
#[test]
fn an_idle_fleet_reads_a_prompt_over_one_engine_for_a_caller_that_comes_back() {
    let mut rig = Rig::named("entry-1", 18);
    rig.arrive("/long/", 1_000);
    rig.sends();
    rig.arrive_again("/long/", 500_000, Duration::from_secs(4));
    assert_eq!(rig.refusals(), []);
    let reserved = rig.router.reservations();
    assert!(reserved >= 2, "{reserved}");
}

/// More questions than slots: those that would come late wherever they go leave the
/// slots that come free to those that can be in time, and are served before their
/// callers give up.
#[test]
fn questions_that_would_come_late_leave_free_slots_to_others() {
    let mut rig = Rig::named("entry-1", 1);
    for _ in 0..24 {
        rig.arrive("/short/", 5_000);
    }
    let at_once = rig.sends();
    assert!(at_once.len() <= 16, "{} sent at once", at_once.len());
    // One answer ends, and a question comes that can be in time.
    let (ended, _) = at_once[0];
    rig.pass(Duration::from_millis(200));
    rig.end(ended, AttemptEnd::Delivered { healthy: true });
    let next = rig.arrive("/short/", 3_000);
    let sent = rig.sends();
    assert!(sent.iter().any(|(key, _)| *key == next), "{sent:?}");
    let waited = sends_within(&mut rig, Duration::from_secs(2));
    let waiting = 24 - at_once.len();
    let others = sent.len() - 1 + waited.len();
    assert_eq!(others, waiting, "{:?}", rig.refusals());
    assert!(rig.refusals().is_empty());
}
