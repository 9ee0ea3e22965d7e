//! The simulated engine, the router's decisions over a fleet of them, and the upper bound
//! of any policy.

use notchwalk_core::Instant;
use notchwalk_standin::routed::{
    bound::{served_shares, CountedWork},
    engine::{Progress, Segment, SimulatedEngine},
    policy::{parameters, Policy, POLICIES},
    report::Report,
    simulate,
    simulation::Outcome,
    traffic::{Arrival, KINDS},
    upper_bound,
};

fn segment(request: usize, tokens: f64, is_remote: bool) -> Segment {
    Segment {
        request,
        remaining_tokens: tokens,
        prompt_tokens: tokens,
        is_remote,
    }
}

/// Runs engine steps until all prefill is done. Returns the requests in the order of
/// completion and the elapsed time in milliseconds.
fn prefill_all(engine: &mut SimulatedEngine) -> (Vec<usize>, f64) {
    let (mut order, mut ms) = (Vec::new(), 0.0);
    while let Some(step_ms) = engine.begin_step() {
        ms += step_ms;
        for progress in engine.end_step() {
            if let Progress::Prefilled(request) = progress {
                order.push(request);
            }
        }
    }
    (order, ms)
}

#[test]
fn engine_prefills_newest_remote_segment_first_and_own_prompts_last() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.enqueue_prompt(segment(1, 5_000.0, false), 5_000.0);
    engine.enqueue_prompt(segment(2, 5_000.0, false), 5_000.0);
    engine.enqueue_remote_segment(segment(3, 9_000.0, true));
    engine.enqueue_remote_segment(segment(4, 9_000.0, true));
    assert_eq!(prefill_all(&mut engine).0, [4, 3, 1, 2]);
}

/// 45,000 tokens: 254 ms for tokens, 186 ms for attention pairs and 22 engine steps.
#[test]
fn prefill_time_matches_the_cost_model() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.enqueue_prompt(segment(1, 45_000.0, false), 45_000.0);
    let (_, ms) = prefill_all(&mut engine);
    assert!((ms - 440.5 - 22.0 * 0.85).abs() < 1.0, "{ms}");
}

#[test]
fn prompt_waits_for_memory() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.enqueue_prompt(segment(1, 200_000.0, false), 200_000.0);
    engine.enqueue_prompt(segment(2, 200_000.0, false), 200_000.0);
    assert_eq!(prefill_all(&mut engine).0, [1]);
    engine.drop_request(1);
    assert_eq!(prefill_all(&mut engine).0, [2]);
}

#[test]
fn engine_step_yields_one_event_per_decoding_request() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.begin_decode(1, 5_000.0);
    engine.begin_decode(2, 5_000.0);
    let ms = engine.begin_step().unwrap();
    assert!(
        (ms - 51.0 * (0.85 + 2.0 * 0.00425 + 10.0 * 0.00285)).abs() < 0.01,
        "{ms}"
    );
    let mut progress = engine.end_step();
    progress.sort_by_key(|p| match p {
        Progress::Decoded(request) | Progress::Prefilled(request) => *request,
    });
    assert_eq!(progress, [Progress::Decoded(1), Progress::Decoded(2)]);
}

fn policy(name: &str) -> Policy {
    let mut policies = POLICIES.iter();
    *policies
        .find(|policy| policy.name == name)
        .expect("unknown policy")
}

fn run_policy(name: &str) -> Report {
    simulate(policy(name), 1..9, 1.0)
}

/// Guards against loss of value when decisions are distributed over nodes. Seeds are
/// fixed and time is simulated, so the results are reproducible.
#[test]
fn six_nodes_that_exchange_updates_perform_nearly_like_one_node() {
    let product = run_policy("product");
    let one_node = run_policy("one_entry");
    assert!(product.value_share() > 0.88, "{}", product.value_share());
    assert!(
        product.value_share() > one_node.value_share() - 0.03,
        "{}",
        one_node.value_share()
    );
    for (kind, facts) in KINDS.iter().enumerate() {
        let share = product.value_share_of_kind(kind);
        assert!(share > 0.75, "{}: {share}", facts.name);
    }
    assert_eq!(product.loss_share(Outcome::Pending), 0.0);
}

/// Stale updates from peers must reduce the earned value, and missing updates more so.
#[test]
fn delayed_updates_reduce_value_and_missing_updates_reduce_it_more() {
    let product = run_policy("product").value_share();
    let ticks = run_policy("told_on_ticks").value_share();
    let late = run_policy("late_knowledge").value_share();
    let none = run_policy("no_knowledge").value_share();
    assert!(product > ticks && ticks > late && late > none);
}

fn arrival(at_ms: u64, kind: usize, prompt: f64) -> Arrival {
    Arrival {
        at: Instant::from_millis(at_ms),
        kind,
        wave: 0,
        prompt,
        events: 1,
    }
}

/// 18 engines prefill 154,000 tokens in 0.17 s, so about eighteen such prompts that arrive
/// together fit into the objective of three seconds.
#[test]
fn bound_accepts_only_work_that_fits() {
    let fitting: Vec<Arrival> = (0..10).map(|_| arrival(0, 2, 154_000.0)).collect();
    assert!(served_shares(&fitting, CountedWork::Prefill)
        .iter()
        .all(|&share| share > 0.999));
    let excess: Vec<Arrival> = (0..40).map(|_| arrival(0, 2, 154_000.0)).collect();
    let accepted: f64 = served_shares(&excess, CountedWork::Prefill).iter().sum();
    assert!((17.0..19.0).contains(&accepted), "{accepted}");
}

/// The bound accepts requests by value per work, regardless of their order of arrival.
#[test]
fn bound_prefers_higher_value_per_work() {
    let mut all: Vec<Arrival> = (0..40).map(|_| arrival(0, 2, 400_000.0)).collect();
    all.extend((0..20).map(|number| arrival(100 * number, 0, 5_000.0)));
    let shares = served_shares(&all, CountedWork::Prefill);
    assert!(shares[40..].iter().all(|&share| share > 0.999));
    assert!(shares[..40].iter().sum::<f64>() < 20.0);
}

#[test]
fn no_policy_exceeds_the_bound() {
    let product = simulate(POLICIES[0], 1..3, 1.0);
    for counted in [CountedWork::Prefill, CountedWork::All] {
        let bound = upper_bound(counted, 1..3, 1.0);
        assert!(bound.value_share() >= product.value_share());
        for kind in 0..KINDS.len() {
            assert!(bound.value_share_of_kind(kind) <= 1.0 + 1e-9);
        }
    }
}

/// Guards against sending more questions at once than there are slots, which would delay all
/// of them beyond their objective.
#[test]
fn wave_of_more_questions_than_slots_does_not_delay_all_of_them() {
    const QUESTIONS_WAVE: usize = 3;
    let product = simulate(POLICIES[0], 1..5, 1.5);
    let share = product.value_share_of_wave(QUESTIONS_WAVE);
    assert!(share > 0.42, "{share}");
}
