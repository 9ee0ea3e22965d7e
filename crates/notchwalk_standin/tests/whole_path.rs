//! The whole path: a caller's prompt through a real daemon to a stand-in
//! engine and back, streamed and checked.

use std::time::Duration;

use notchwalk_http::Client;
use notchwalk_standin::{
    caller::{self, Call, CallEnd, CallResult},
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    thread::block_on,
    workload::prompt_text,
};

fn small_fleet(entries: usize, engines: usize) -> Fleet {
    let workspaces = vec![WorkspaceSpec::new("desk", 1.0)];
    let config = FleetConfig::new(workspaces)
        .with_sizes(entries, engines, 0)
        .with_time_scale(20.0);
    Fleet::start(config)
}

fn ask(fleet: &Fleet, tokens: u64, max_tokens: u32) -> CallResult {
    let call = Call {
        entry: fleet.entries()[0],
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
fn a_streamed_answer_is_whole() {
    let fleet = small_fleet(1, 1);
    let result = ask(&fleet, 1_000, 50);
    assert_eq!(result.end, CallEnd::Whole);
    assert_eq!(result.tokens, 50);
}

#[test]
fn a_prompt_of_more_than_twice_an_engines_memory_is_answered() {
    let fleet = small_fleet(2, 4);
    let result = ask(&fleet, 1_000_000, 10);
    assert_eq!(result.end, CallEnd::Whole);
}
