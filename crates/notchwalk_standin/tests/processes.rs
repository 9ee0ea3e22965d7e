//! Real processes under load: one is killed, one paused for longer than any
//! lease, one stopped in order, and the store is down meanwhile.

use std::time::{Duration, Instant};

use notchwalk_standin::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
    report,
    workload::{Measured, Stream},
};

const OVER: Duration = Duration::from_secs(8);

fn fleet() -> Fleet {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)])
        .with_sizes(4, 4, 0)
        .with_time_scale(10.0)
        .with_entry_program(env!("CARGO_BIN_EXE_notchwalk-standin"));
    Fleet::start(config)
}

/// Sends load to the entries while `faults` does its work.
fn under_load(fleet: &mut Fleet, faults: impl FnOnce(&mut Fleet)) -> Vec<Measured> {
    let stream = Stream {
        per_s: 25.0,
        min_prompt: 500,
        max_prompt: 20_000,
        min_answer: 20,
        max_answer: 200,
        timeout: Duration::from_secs(40),
    };
    let planned = stream.plan(5, OVER, &[0], fleet.config.entries);
    let sending = fleet.start_sending(planned);
    std::thread::sleep(Duration::from_secs(2));
    faults(fleet);
    sending.wait()
}

#[track_caller]
fn assert_memory_comes_back(fleet: &Fleet) {
    let began = Instant::now();
    loop {
        let used: u64 = (0..fleet.engines.len())
            .map(|i| fleet.engine_counts(i).used_tokens)
            .sum();
        if used == 0 {
            return;
        }
        assert!(
            began.elapsed() < Duration::from_secs(30),
            "{used} tokens are lost"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_killed_entry_cuts_only_its_own_and_loses_no_memory() {
    let mut fleet = fleet();
    let measured = under_load(&mut fleet, |fleet| {
        fleet.kill_daemon(1);
        std::thread::sleep(Duration::from_secs(1));
        fleet.unlist(2);
    });
    for m in &measured {
        let whole = m.result.end == CallEnd::Whole;
        let wrong = matches!(m.result.end, CallEnd::Wrong(_)) && m.planned.entry != 1;
        assert!(whole || m.planned.entry == 1, "{m:?}");
        assert!(!wrong, "{m:?}");
    }
    assert_memory_comes_back(&fleet);
}

#[test]
fn an_entry_paused_for_longer_than_any_lease_goes_on_when_it_wakes() {
    let mut fleet = fleet();
    let measured = under_load(&mut fleet, |fleet| {
        let daemon = fleet.daemons[1].as_ref().expect("it runs");
        daemon.pause();
        // The longest lease, that for orders, holds for six seconds.
        std::thread::sleep(Duration::from_secs(7));
        daemon.resume();
    });
    assert!(
        report::all_whole(&measured),
        "{:?}",
        report::outcomes(&measured)
    );
    assert_memory_comes_back(&fleet);
}

#[test]
fn a_planned_stop_and_a_store_outage_cut_off_nothing() {
    let mut fleet = fleet();
    let measured = under_load(&mut fleet, |fleet| {
        let down = PlatformFault {
            down: true,
            ..PlatformFault::default()
        };
        fleet.set_platform_fault(down);
        let daemon = fleet.daemons[3].take().expect("it runs");
        daemon.stop();
        assert!(daemon.join(), "it ends in order");
        std::thread::sleep(Duration::from_secs(2));
        fleet.set_platform_fault(PlatformFault::default());
    });
    // Callers keep its address for two seconds; who comes later is refused a
    // connection, and nothing it took in is cut off.
    for m in &measured {
        let refused = matches!(m.result.end, CallEnd::Cut(_)) && m.planned.entry == 3;
        let draining = matches!(&m.result.end, CallEnd::Failed { code, .. } if code == "draining");
        let whole = m.result.end == CallEnd::Whole;
        assert!(
            whole || draining || (refused && m.result.tokens == 0),
            "{m:?}"
        );
    }
    assert_memory_comes_back(&fleet);
}
