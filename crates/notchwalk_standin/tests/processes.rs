//! Faults of real node processes under load: a kill, a suspension longer than
//! any lease, and a drain during a store outage.

use std::time::{Duration, Instant};

use notchwalk_standin::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
    report,
    workload::{MeasuredCall, TrafficClass},
};

const LOAD_DURATION: Duration = Duration::from_secs(8);

fn start_fleet() -> Fleet {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)])
        .with_sizes(4, 4, 0)
        .with_time_scale(10.0)
        .with_node_program(env!("CARGO_BIN_EXE_notchwalk-standin"));
    Fleet::start(config)
}

/// Runs `faults` two seconds into a load and returns the load's results.
fn run_load(fleet: &mut Fleet, faults: impl FnOnce(&mut Fleet)) -> Vec<MeasuredCall> {
    let traffic = TrafficClass {
        per_s: 25.0,
        min_prompt: 500,
        max_prompt: 20_000,
        min_completion: 20,
        max_completion: 200,
        timeout: Duration::from_secs(40),
    };
    let planned = traffic.plan(5, LOAD_DURATION, &[0], fleet.config.nodes);
    let sending = fleet.start_send(planned);
    std::thread::sleep(Duration::from_secs(2));
    faults(fleet);
    sending.wait()
}

#[track_caller]
fn assert_memory_is_released(fleet: &Fleet) {
    let started = Instant::now();
    loop {
        let used: u64 = (0..fleet.engines.len())
            .map(|i| fleet.engine_counts(i).used_tokens)
            .sum();
        if used == 0 {
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "engines still hold {used} tokens after 30 s"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn killed_node_interrupts_only_its_own_requests_and_leaks_no_memory() {
    let mut fleet = start_fleet();
    let measured = run_load(&mut fleet, |fleet| {
        fleet.kill_node(1);
        std::thread::sleep(Duration::from_secs(1));
        fleet.remove_vm(2);
    });
    for m in &measured {
        let complete = m.result.end == CallEnd::Complete;
        let invalid = matches!(m.result.end, CallEnd::InvalidResponse(_)) && m.planned.node != 1;
        assert!(complete || m.planned.node == 1, "{m:?}");
        assert!(!invalid, "{m:?}");
    }
    assert_memory_is_released(&fleet);
}

#[test]
fn node_suspended_beyond_its_leases_resumes_its_requests() {
    let mut fleet = start_fleet();
    let measured = run_load(&mut fleet, |fleet| {
        let node = fleet.nodes[1].as_ref().expect("node is not running");
        node.suspend();
        // The longest lease, for orders, is valid for six seconds.
        std::thread::sleep(Duration::from_secs(7));
        node.resume();
    });
    assert!(
        report::all_complete(&measured),
        "{:?}",
        report::outcomes(&measured)
    );
    assert_memory_is_released(&fleet);
}

#[test]
fn drain_during_store_outage_interrupts_no_accepted_request() {
    let mut fleet = start_fleet();
    let measured = run_load(&mut fleet, |fleet| {
        let down = PlatformFault {
            down: true,
            ..PlatformFault::default()
        };
        fleet.set_platform_fault(down);
        let node = fleet.nodes[3].take().expect("node is not running");
        node.drain();
        assert!(node.join(), "the drained node must exit successfully");
        std::thread::sleep(Duration::from_secs(2));
        fleet.set_platform_fault(PlatformFault::default());
    });
    // Callers use the drained node's address for up to two seconds. Their
    // connections may be refused, but no accepted request may be interrupted.
    for m in &measured {
        let refused = matches!(m.result.end, CallEnd::ConnectionLost(_)) && m.planned.node == 3;
        let draining = matches!(&m.result.end, CallEnd::Failed { code, .. } if code == "draining");
        let complete = m.result.end == CallEnd::Complete;
        assert!(
            complete || draining || (refused && m.result.tokens == 0),
            "{m:?}"
        );
    }
    assert_memory_is_released(&fleet);
}
