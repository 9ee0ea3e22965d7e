//! Bundles in the fleet: a starting entry without the store, and operators
//! who race.

use std::time::{Duration, Instant};

use notchwalk_platform::SubmitError;
use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
};

fn fleet() -> Fleet {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(2, 1, 0);
    Fleet::start(config)
}

fn version(fleet: &Fleet, i: usize) -> u64 {
    let operator = fleet.daemons[i]
        .as_ref()
        .expect("it runs")
        .addresses
        .operator;
    let dump: serde_json::Value = fleet.read(operator, "/dump");
    dump["bundle_version"].as_u64().unwrap_or(0)
}

#[track_caller]
fn wait_for_version(fleet: &Fleet, i: usize, wanted: u64) {
    let began = Instant::now();
    while version(fleet, i) < wanted {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "version {wanted} never came"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn an_entry_that_starts_without_the_store_asks_a_peer() {
    let mut fleet = fleet();
    let parts = fleet.operators.parts(&fleet.config.bundle);
    fleet.submit(&parts, "the same again").expect("accepted");
    wait_for_version(&fleet, 0, 2);
    let down = PlatformFault {
        store_down: true,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(down);
    fleet.kill_daemon(1);
    fleet.start_daemon(1);
    wait_for_version(&fleet, 1, 2);
}

#[test]
fn the_slower_of_two_operators_is_told_who_was_faster() {
    let fleet = fleet();
    let platform = || {
        let client = notchwalk_http::Client::new();
        notchwalk_platform::HttpPlatform::new(client, fleet.platform)
    };
    let raced = notchwalk_standin::thread::block_on(async {
        let platform = platform();
        let head = notchwalk_platform::fetch_head(&platform)
            .await
            .expect("a head");
        let mut spec = fleet.config.bundle.clone();
        let operators = &fleet.operators;
        spec.workspaces[0].weight = 2.0;
        let first = operators.parts(&spec);
        operators
            .submit(&platform, head.as_ref(), &first, "more for the desk")
            .await
            .expect("the first is accepted");
        spec.workspaces[0].weight = 3.0;
        let second = operators.parts(&spec);
        operators
            .submit(&platform, head.as_ref(), &second, "another")
            .await
    });
    let Err(SubmitError::Raced { in_force, by, .. }) = raced else {
        panic!("the second must lose: {raced:?}");
    };
    assert_eq!(in_force.version, 2);
    assert!(by.contains("more for the desk"), "{by}");
}
