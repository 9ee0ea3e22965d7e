//! Bundle distribution: a node that starts during a store outage, and concurrent
//! submissions by operators.

use std::time::{Duration, Instant};

use notchwalk_platform::SubmitError;
use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
};

fn start_fleet() -> Fleet {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(2, 1, 0);
    Fleet::start(config)
}

fn bundle_version(fleet: &Fleet, i: usize) -> u64 {
    let operator = fleet.nodes[i]
        .as_ref()
        .expect("node is not running")
        .addresses
        .operator;
    let dump: serde_json::Value = fleet.get_json(operator, "/dump");
    dump["bundle_version"].as_u64().unwrap_or(0)
}

#[track_caller]
fn wait_for_version(fleet: &Fleet, i: usize, minimum: u64) {
    let started = Instant::now();
    while bundle_version(fleet, i) < minimum {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "node {i} did not load bundle version {minimum} within 20 s"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn node_started_during_store_outage_loads_bundle_from_peer() {
    let mut fleet = start_fleet();
    let parts = fleet.operators.parts(&fleet.config.bundle);
    fleet
        .submit(&parts, "the same again")
        .expect("the bundle was rejected");
    wait_for_version(&fleet, 0, 2);
    let down = PlatformFault {
        store_down: true,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(down);
    fleet.kill_node(1);
    fleet.start_node(1);
    wait_for_version(&fleet, 1, 2);
}

#[test]
fn rejected_concurrent_submission_names_the_accepted_one() {
    let fleet = start_fleet();
    let platform = || {
        let client = notchwalk_http::Client::new();
        notchwalk_platform::HttpPlatform::new(client, fleet.platform)
    };
    let second = notchwalk_standin::thread::block_on(async {
        let platform = platform();
        let head = notchwalk_platform::fetch_head(&platform)
            .await
            .expect("failed to fetch the bundle head");
        let mut spec = fleet.config.bundle.clone();
        let operators = &fleet.operators;
        spec.workspaces[0].weight = 2.0;
        let first = operators.parts(&spec);
        operators
            .submit(&platform, head.as_ref(), &first, "more for the desk")
            .await
            .expect("the first submission was rejected");
        spec.workspaces[0].weight = 3.0;
        let second = operators.parts(&spec);
        operators
            .submit(&platform, head.as_ref(), &second, "another")
            .await
    });
    let Err(SubmitError::Conflict {
        current,
        changed_by,
        ..
    }) = second
    else {
        panic!("the second submission must be rejected: {second:?}");
    };
    assert_eq!(current.version, 2);
    assert!(changed_by.contains("more for the desk"), "{changed_by}");
}
