//! End-to-end completions: a caller's prompt is sent through a real node to a
//! stand-in engine, and the streamed response is checked.

use std::time::Duration;

use notchwalk_http::Client;
use notchwalk_standin::{
    caller::{self, Call, CallEnd, CallResult},
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    thread::block_on,
    workload::prompt_text,
};

fn start_fleet(nodes: usize, engines: usize) -> Fleet {
    let workspaces = vec![WorkspaceSpec::new("desk", 1.0)];
    let config = FleetConfig::new(workspaces)
        .with_sizes(nodes, engines, 0)
        .with_time_scale(20.0);
    Fleet::start(config)
}

fn run_completion(fleet: &Fleet, tokens: u64, max_tokens: u32) -> CallResult {
    let call = Call {
        node: fleet.caller_addrs()[0],
        key: fleet.key(0).to_owned(),
        model: fleet.config.bundle.model.clone(),
        prompt: prompt_text(42, tokens),
        max_tokens,
        stop: Vec::new(),
        timeout: Duration::from_secs(60),
    };
    block_on(caller::call(&Client::new(), &call))
}

#[test]
fn streamed_completion_is_complete() {
    let fleet = start_fleet(1, 1);
    let result = run_completion(&fleet, 1_000, 50);
    assert_eq!(result.end, CallEnd::Complete);
    assert_eq!(result.tokens, 50);
}

#[test]
fn prompt_exceeding_twice_the_engine_memory_is_completed() {
    let fleet = start_fleet(2, 4);
    let result = run_completion(&fleet, 1_000_000, 10);
    assert_eq!(result.end, CallEnd::Complete);
}
