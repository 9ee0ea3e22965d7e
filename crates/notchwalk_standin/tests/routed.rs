//! Simulated engines, and the router's decisions over them.

use notchwalk_core::Instant;
use notchwalk_standin::routed::{
    bound,
    bound::{in_time, Counted},
    engine::{Part, Progress, SimulatedEngine},
    play,
    policy::{parameters, Policy, POLICIES},
    report::Report,
    traffic::{Arrival, KINDS},
    world::Outcome,
};

fn part(request: usize, tokens: f64, helps: bool) -> Part {
    Part {
        request,
        tokens,
        whole: tokens,
        helps,
    }
}

/// Plays passes until all is read; returns the requests in the order in which
/// they were, and the time it took in milliseconds.
fn read_all(engine: &mut SimulatedEngine) -> (Vec<usize>, f64) {
    let (mut order, mut ms) = (Vec::new(), 0.0);
    while let Some(took) = engine.begin_pass() {
        ms += took;
        for progress in engine.end_pass() {
            if let Progress::Read(request) = progress {
                order.push(request);
            }
        }
    }
    (order, ms)
}

#[test]
fn an_engine_reads_the_newest_part_for_others_first_and_its_own_prompts_last() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.take(part(1, 5_000.0, false), 5_000.0);
    engine.take(part(2, 5_000.0, false), 5_000.0);
    engine.help(part(3, 9_000.0, true));
    engine.help(part(4, 9_000.0, true));
    assert_eq!(read_all(&mut engine).0, [4, 3, 1, 2]);
}

/// 45,000 tokens: 254 ms of reading, 186 ms of pairs, 22 steps.
#[test]
fn reading_costs_what_the_operators_figures_say() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.take(part(1, 45_000.0, false), 45_000.0);
    let (_, ms) = read_all(&mut engine);
    assert!((ms - 440.5 - 22.0 * 0.85).abs() < 1.0, "{ms}");
}

#[test]
fn a_prompt_waits_until_its_memory_is_free() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.take(part(1, 200_000.0, false), 200_000.0);
    engine.take(part(2, 200_000.0, false), 200_000.0);
    assert_eq!(read_all(&mut engine).0, [1]);
    engine.drop_request(1);
    assert_eq!(read_all(&mut engine).0, [2]);
}

#[test]
fn a_pass_brings_one_event_to_each_request_that_generates() {
    let mut engine = SimulatedEngine::new(parameters());
    engine.generate(1, 5_000.0);
    engine.generate(2, 5_000.0);
    let ms = engine.begin_pass().unwrap();
    assert!(
        (ms - 51.0 * (0.85 + 2.0 * 0.00425 + 10.0 * 0.00285)).abs() < 0.01,
        "{ms}"
    );
    let mut wrote = engine.end_pass();
    wrote.sort_by_key(|progress| match progress {
        Progress::Wrote(request) | Progress::Read(request) => *request,
    });
    assert_eq!(wrote, [Progress::Wrote(1), Progress::Wrote(2)]);
}

fn policy(name: &str) -> Policy {
    let mut policies = POLICIES.iter();
    *policies
        .find(|policy| policy.name == name)
        .expect("a policy of this name")
}

fn played(name: &str) -> Report {
    play(policy(name), 1..9, 1.0)
}

/// Seeds are fixed and time is simulated, so that these figures repeat. The
/// bounds lie a little below what was measured (docs/BENCHES.md).
#[test]
fn six_entries_that_tell_each_other_decide_nearly_like_one_that_knows_all() {
    let product = played("product");
    let one = played("one_entry");
    assert!(product.worth() > 0.88, "{}", product.worth());
    assert!(product.worth() > one.worth() - 0.03, "{}", one.worth());
    for (kind, facts) in KINDS.iter().enumerate() {
        let share = product.worth_of_kind(kind);
        assert!(share > 0.75, "{}: {share}", facts.name);
    }
    assert_eq!(product.lost_by(Outcome::Open), 0.0);
}

/// What each entry knows of the others is worth more than anything else.
#[test]
fn late_knowledge_costs_and_none_costs_more() {
    let product = played("product").worth();
    let ticks = played("told_on_ticks").worth();
    let late = played("late_knowledge").worth();
    let none = played("no_knowledge").worth();
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

/// 18 engines read 154,000 tokens in 0.17 s; within the objective of three seconds, and
/// the grain, some eighteen such prompts fit that come at once.
#[test]
fn the_bound_takes_what_fits_and_no_more() {
    let few: Vec<Arrival> = (0..10).map(|_| arrival(0, 2, 154_000.0)).collect();
    assert!(in_time(&few, Counted::Reading)
        .iter()
        .all(|&part| part > 0.999));
    let many: Vec<Arrival> = (0..40).map(|_| arrival(0, 2, 154_000.0)).collect();
    let taken: f64 = in_time(&many, Counted::Reading).iter().sum();
    assert!((17.0..19.0).contains(&taken), "{taken}");
}

/// What is worth more for its work goes first, whenever it comes.
#[test]
fn the_bound_prefers_what_is_worth_more_for_its_work() {
    let mut all: Vec<Arrival> = (0..40).map(|_| arrival(0, 2, 400_000.0)).collect();
    all.extend((0..20).map(|number| arrival(100 * number, 0, 5_000.0)));
    let parts = in_time(&all, Counted::Reading);
    assert!(parts[40..].iter().all(|&part| part > 0.999));
    assert!(parts[..40].iter().sum::<f64>() < 20.0);
}

#[test]
fn no_policy_passes_the_bound() {
    let product = play(POLICIES[0], 1..3, 1.0);
    for counted in [Counted::Reading, Counted::All] {
        let bound = bound(counted, 1..3, 1.0);
        assert!(bound.worth() >= product.worth());
        for kind in 0..KINDS.len() {
            assert!(bound.worth_of_kind(kind) <= 1.0 + 1e-9);
        }
    }
}

/// More questions than slots: sent at once, each made the next one late, and a wave of
/// them earned 0.34 of its worth (0.52 since those that would come late wait).
#[test]
fn a_wave_of_more_questions_than_slots_does_not_make_all_of_them_late() {
    const QUESTIONS: usize = 3;
    let product = play(POLICIES[0], 1..5, 1.5);
    let earned = product.worth_of_wave(QUESTIONS);
    assert!(earned > 0.42, "{earned}");
}
