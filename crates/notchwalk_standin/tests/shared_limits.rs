//! Rate limits announced by servers and shared between nodes, in simulated time, with
//! message loss, crashed and suspended nodes, and network partitions.

use std::time::Duration;

use notchwalk_standin::routed::{
    limits::{LimitsSimulation, START},
    limits_plan::{Demand, LimitsOutcome, LimitsPlan, NodeFault},
};
use proptest::prelude::*;

/// The time after a server's first notice from which its limit must hold.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// The sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns how many requests a server with a limit of `limit` per second may receive
/// in [`WINDOW`].
fn allowed_requests(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

fn exceeded_limits(plan: &LimitsPlan, outcome: &LimitsOutcome) -> Vec<String> {
    let mut exceeded = Vec::new();
    for (server, &limit) in plan.limits.iter().enumerate() {
        let max = outcome.max_in_window(server, WINDOW, START.after(CONVERGENCE_TIME));
        if max > allowed_requests(limit) {
            exceeded.push(format!(
                "{max} requests in 4 s at a limit of {limit} per second, {} allowed",
                allowed_requests(limit)
            ));
        }
    }
    exceeded
}

fn any_fault() -> impl Strategy<Value = NodeFault> {
    let duration = (100u64..6_000).prop_map(Duration::from_millis);
    let with_duration = |make: fn(Duration) -> NodeFault| duration.clone().prop_map(make);
    prop_oneof![
        with_duration(NodeFault::Crash),
        with_duration(NodeFault::Suspend),
        with_duration(NodeFault::Isolate)
    ]
}

fn any_plan() -> impl Strategy<Value = LimitsPlan> {
    let limits = prop::sample::select(vec![0.0, 0.2, 0.5, 1.0, 2.5, 6.0, 20.0, 60.0]);
    let limits = prop::collection::vec(limits, 1..4);
    let demand = prop_oneof![Just(Demand::Even), Just(Demand::One)];
    let faults = prop::collection::vec((500u64..16_000, 0usize..9, any_fault()), 0..8);
    (
        2usize..9,
        limits,
        demand,
        0.0..0.3,
        faults,
        any::<u64>(),
        any::<bool>(),
    )
        .prop_map(
            |(nodes, limits, demand, message_loss, faults, seed, has_unlimited_servers)| {
                let faults = faults.into_iter();
                let faults = faults
                    .map(|(at, node, fault)| (Duration::from_millis(at), node % nodes, fault));
                LimitsPlan {
                    message_loss,
                    faults: faults.collect(),
                    seed: seed % 1_000_000,
                    has_unlimited_servers,
                    duration: Duration::from_secs(18),
                    ..LimitsPlan::new(nodes, limits, demand)
                }
            },
        )
}

/// Returns the number of random plans and their seed. Both can be set, as in
/// `LIMIT_HISTORIES=15000 LIMIT_SEED=7731 cargo test --release -p notchwalk_standin --test
/// shared_limits`.
fn proptest_config() -> ProptestConfig {
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
    #![proptest_config(proptest_config())]

    /// Guards against nodes that together exceed a server's limit. Requests of faulty nodes
    /// count as well.
    #[test]
    fn no_plan_exceeds_a_server_limit(plan in any_plan()) {
        let outcome = LimitsSimulation::new(plan.clone()).run();
        let exceeded = exceeded_limits(&plan, &outcome);
        prop_assert!(exceeded.is_empty(), "{exceeded:?}");
    }
}

#[test]
fn limits_are_used_while_there_is_demand() {
    for nodes in [2, 6, 30] {
        for demand in [Demand::Even, Demand::One] {
            for limit in [0.2, 1.0, 6.0, 20.0] {
                let plan = LimitsPlan::new(nodes, vec![limit; 3], demand);
                let end = START.after(plan.duration);
                let outcome = LimitsSimulation::new(plan.clone()).run();
                assert_eq!(exceeded_limits(&plan, &outcome), Vec::<String>::new());
                let rates =
                    (0..3).map(|server| outcome.rate(server, START.after(CONVERGENCE_TIME), end));
                let share = rates.sum::<f64>() / (3.0 * limit);
                let used = (0.7..=1.0).contains(&share);
                assert!(used, "{share} of {limit} used by {nodes} nodes, {demand:?}");
            }
        }
    }
}

#[test]
fn limits_neither_delay_nor_refuse_requests_while_other_servers_are_available() {
    for demand in [Demand::Even, Demand::One] {
        let mut plan = LimitsPlan::new(6, vec![1.0, 6.0], demand);
        plan.has_unlimited_servers = true;
        plan.requests_per_s = 100.0;
        let outcome = LimitsSimulation::new(plan).run();
        assert_eq!((outcome.refused, outcome.delayed), (0, 0), "{demand:?}");
    }
}

/// A node that receives the end of a limit publishes it to its peers, because each node
/// rarely sends requests to a limited server.
#[test]
fn all_nodes_receive_the_end_of_a_limit_in_time() {
    for nodes in [2, 6, 30] {
        let mut plan = LimitsPlan::new(nodes, vec![1.0], Demand::Even);
        plan.limits_end_after = Some(Duration::from_secs(10));
        let ends = START.after(Duration::from_secs(10));
        let outcome = LimitsSimulation::new(plan).run();
        let first = outcome.requests[0].iter().map(|(at, _)| *at);
        let first = first
            .filter(|at| *at >= ends)
            .min()
            .expect("no request reached the server after its limit ended");
        let mut later = outcome.requests[0].iter().filter(|(at, _)| *at > first);
        let after = |at: notchwalk_core::Instant| at.since(first);
        let received = outcome.limit_end_received.iter();
        let delays: Vec<_> = received.map(|at| at.map(after)).collect();
        let within = |time: &Option<Duration>| time.is_some_and(|t| t < Duration::from_secs(1));
        assert!(delays.iter().all(within), "{nodes} nodes: {delays:?}");
        assert!(later.next().is_some());
    }
}

/// Unreachable nodes keep their shares of a limit while they are registered.
#[test]
fn partitioned_nodes_stay_within_the_limit_together() {
    let mut plan = LimitsPlan::new(6, vec![6.0; 2], Demand::Even);
    let duration = Duration::from_secs(14);
    plan.faults = (0..6)
        .map(|node| (Duration::from_secs(4), node, NodeFault::Isolate(duration)))
        .collect();
    let outcome = LimitsSimulation::new(plan.clone()).run();
    assert_eq!(exceeded_limits(&plan, &outcome), Vec::<String>::new());
    let (from, until) = (
        START.after(Duration::from_secs(8)),
        START.after(Duration::from_secs(18)),
    );
    for server in 0..2 {
        let rate = outcome.rate(server, from, until);
        assert!((4.2..=6.6).contains(&rate), "{rate} requests per second");
    }
}
