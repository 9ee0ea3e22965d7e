//! Limits that servers name, shared by entries whose messages get lost, which are killed,
//! suspended and cut off, in simulated time.

use std::time::Duration;

use notchwalk_standin::routed::{
    limits::{LimitsWorld, BEGIN},
    limits_plan::{Demand, LimitsOutcome, LimitsPlan, Trouble},
};
use proptest::prelude::*;

/// From when on after its first word a server may rely on its limit.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns what a server that takes `limit` a second may get in [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

fn worst(plan: &LimitsPlan, outcome: &LimitsOutcome) -> Vec<String> {
    let mut broken = Vec::new();
    for (server, &limit) in plan.limits.iter().enumerate() {
        let most = outcome.most_within(server, WINDOW, BEGIN.after(KNOWN_AFTER));
        if most > allowed(limit) {
            broken.push(format!(
                "{most} in 4 s at a limit of {limit}, {} allowed",
                allowed(limit)
            ));
        }
    }
    broken
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let time = (100u64..6_000).prop_map(Duration::from_millis);
    let of = |make: fn(Duration) -> Trouble| time.clone().prop_map(make);
    prop_oneof![of(Trouble::Kill), of(Trouble::Suspend), of(Trouble::Cut)]
}

fn plan() -> impl Strategy<Value = LimitsPlan> {
    let limits = prop::sample::select(vec![0.0, 0.2, 0.5, 1.0, 2.5, 6.0, 20.0, 60.0]);
    let limits = prop::collection::vec(limits, 1..4);
    let demand = prop_oneof![Just(Demand::Even), Just(Demand::One)];
    let troubles = prop::collection::vec((500u64..16_000, 0usize..9, trouble()), 0..8);
    (
        2usize..9,
        limits,
        demand,
        0.0..0.3,
        troubles,
        any::<u64>(),
        any::<bool>(),
    )
        .prop_map(|(entries, limits, demand, lost, troubles, seed, others)| {
            let troubles = troubles.into_iter();
            let troubles = troubles
                .map(|(at, entry, trouble)| (Duration::from_millis(at), entry % entries, trouble));
            LimitsPlan {
                lost,
                troubles: troubles.collect(),
                seed: seed % 1_000_000,
                others,
                lasts: Duration::from_secs(18),
                ..LimitsPlan::new(entries, limits, demand)
            }
        })
}

/// Returns how many histories are played, and from which seed: by hand other ones, as
/// `LIMIT_HISTORIES=15000 LIMIT_SEED=7731 cargo test --release -p notchwalk_standin --test
/// shared_limits`.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let seed = number("LIMIT_SEED").unwrap_or(31);
    ProptestConfig {
        cases: number("LIMIT_HISTORIES").unwrap_or(150) as u32,
        rng_seed: prop::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever happens to entries and their messages, no server gets more than it may, the
    /// sends of entries that are struck included.
    #[test]
    fn no_history_overruns_a_server(plan in plan()) {
        let outcome = LimitsWorld::new(plan.clone()).run();
        let broken = worst(&plan, &outcome);
        prop_assert!(broken.is_empty(), "{broken:?}");
    }
}

#[test]
fn what_servers_take_is_used_while_there_is_demand() {
    for entries in [2, 6, 30] {
        for demand in [Demand::Even, Demand::One] {
            for limit in [0.2, 1.0, 6.0, 20.0] {
                let plan = LimitsPlan::new(entries, vec![limit; 3], demand);
                let end = BEGIN.after(plan.lasts);
                let outcome = LimitsWorld::new(plan.clone()).run();
                assert_eq!(worst(&plan, &outcome), Vec::<String>::new());
                let rates =
                    (0..3).map(|server| outcome.rate(server, BEGIN.after(KNOWN_AFTER), end));
                let share = rates.sum::<f64>() / (3.0 * limit);
                let used = (0.7..=1.0).contains(&share);
                assert!(used, "{share} of {limit} at {entries} entries, {demand:?}");
            }
        }
    }
}

#[test]
fn with_other_servers_free_no_caller_notices_a_limit() {
    for demand in [Demand::Even, Demand::One] {
        let mut plan = LimitsPlan::new(6, vec![1.0, 6.0], demand);
        plan.others = true;
        plan.asked_per_s = 100.0;
        let outcome = LimitsWorld::new(plan).run();
        assert_eq!((outcome.refused, outcome.waited), (0, 0), "{demand:?}");
    }
}

/// A server in need gets one request in seconds from each entry: the first that hears that
/// its limit is over tells the others.
#[test]
fn all_entries_hear_in_time_that_a_limit_is_over() {
    for entries in [2, 6, 30] {
        let mut plan = LimitsPlan::new(entries, vec![1.0], Demand::Even);
        plan.ends_at = Some(Duration::from_secs(10));
        let ends = BEGIN.after(Duration::from_secs(10));
        let outcome = LimitsWorld::new(plan).run();
        let first = outcome.reached[0].iter().map(|(at, _)| *at);
        let first = first.filter(|at| *at >= ends).min().expect("it is asked");
        let mut used = outcome.reached[0].iter().filter(|(at, _)| *at > first);
        let after = |at: notchwalk_core::Instant| at.since(first);
        let heard = outcome.heard_end.iter();
        let heard: Vec<_> = heard.map(|at| at.map(after)).collect();
        let within = |time: &Option<Duration>| time.is_some_and(|t| t < Duration::from_secs(1));
        assert!(heard.iter().all(within), "{entries} entries: {heard:?}");
        assert!(used.next().is_some());
    }
}

/// Two halves that don't hear each other each use their part: entries on record that are
/// silent keep theirs.
#[test]
fn entries_cut_off_from_each_other_stay_within_the_limit_together() {
    let mut plan = LimitsPlan::new(6, vec![6.0; 2], Demand::Even);
    let long = Duration::from_secs(14);
    plan.troubles = (0..6)
        .map(|entry| (Duration::from_secs(4), entry, Trouble::Cut(long)))
        .collect();
    let outcome = LimitsWorld::new(plan.clone()).run();
    assert_eq!(worst(&plan, &outcome), Vec::<String>::new());
    let (from, until) = (
        BEGIN.after(Duration::from_secs(8)),
        BEGIN.after(Duration::from_secs(18)),
    );
    for server in 0..2 {
        let rate = outcome.rate(server, from, until);
        assert!((4.2..=6.6).contains(&rate), "{rate} a second");
    }
}
