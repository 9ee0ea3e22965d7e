//! The engine cost model against hand-computed values.

use notchwalk_route::EngineCost;

use crate::common::parameters;

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < expected * 0.01
}

#[test]
fn prefill_cost_includes_tokens_and_attention_pairs() {
    let parameters = parameters();
    let cost = EngineCost::new(&parameters);
    assert!(near(cost.prefill_ms(154_000.0, 154_000.0), 870.0 + 2_182.0));
    assert!(near(cost.prefill_ms(45_000.0, 45_000.0), 254.0 + 186.0));
}

#[test]
fn segments_share_the_attention_cost_of_the_prompt() {
    let parameters = parameters();
    let cost = EngineCost::new(&parameters);
    let whole = cost.prefill_ms(200_000.0, 200_000.0);
    assert!(near(4.0 * cost.prefill_ms(50_000.0, 200_000.0), whole));
    assert!(cost.prefill_ms(50_000.0, 200_000.0) > cost.prefill_ms(50_000.0, 50_000.0));
}

#[test]
fn step_cost_includes_token_steps_sequences_and_context() {
    let parameters = parameters();
    let cost = EngineCost::new(&parameters);
    assert!(near(
        cost.engine_step_ms(10, 50_000.0),
        51.0 * (0.85 + 0.0425 + 0.1425)
    ));
    assert!(near(cost.engine_step_ms(0, 0.0), 43.35));
}

#[test]
fn empty_prompt_has_no_cost() {
    let parameters = parameters();
    let cost = EngineCost::new(&parameters);
    assert_eq!(cost.prefill_ms(0.0, 0.0), 0.0);
}
