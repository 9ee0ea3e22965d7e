//! Servers that leave and daemons that are stopped, under load.

use std::time::{Duration, Instant};

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    workload::{Measured, Planned},
};

/// When things happen, in parts of the run.
const LEAVE_AT: f64 = 0.3;
/// When the daemon is stopped.
const STOP_AT: f64 = 0.5;
/// The daemon that is stopped, by place.
const STOPPED: usize = 2;
/// Engines that leave: by their own report, and by the VM list.
const BY_REPORT: usize = 3;
/// See [`BY_REPORT`].
const BY_LIST: usize = 4;
/// The timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let drained = measure(options, true);
    figures.insert(
        "new_work_after_s".to_owned(),
        rounded(drained.new_work_after_s, 2),
    );
    figures.insert("cut_off".to_owned(), drained.cut_off.into());
    figures.insert("requests".to_owned(), drained.requests.into());
    figures.insert("stop_took_s".to_owned(), rounded(drained.stop_took_s, 2));
    let killed = measure(options, false);
    figures.insert("cut_off_without_drain".to_owned(), killed.cut_off.into());
    figures
}

struct Outcome {
    new_work_after_s: f64,
    cut_off: usize,
    requests: usize,
    stop_took_s: f64,
}

fn measure(options: &BenchOptions, drain: bool) -> Outcome {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_entry_program(policy::this_program())
        .with_time_scale(policy::TIME_SCALE);
    let mut fleet = Fleet::start(config);
    let over = Duration::from_secs(options.seconds.max(8));
    let ttl = fleet.config.entries_ttl;
    let planned = plan(options, over, ttl, fleet.config.entries);
    let began = Instant::now();
    let sending = fleet.start_sending(planned);
    sleep_until(began, over.mul_f64(LEAVE_AT));
    let left_at = Instant::now();
    fleet.control(fleet.engines[BY_REPORT].addr, "/standin/leave", &());
    fleet.mark_leaving(fleet.engines[BY_LIST].id);
    sleep_until(began, over.mul_f64(STOP_AT));
    let stopped_at = Instant::now();
    let stop_took_s = match drain {
        true => {
            let daemon = fleet.daemons[STOPPED].take().expect("it runs");
            daemon.stop();
            let _ = daemon.join();
            stopped_at.elapsed().as_secs_f64()
        }
        false => {
            fleet.kill_daemon(STOPPED);
            0.0
        }
    };
    let measured = sending.wait();
    for line in crate::report::outcomes(&measured) {
        log::info!("{line:?}");
    }
    let after = [BY_REPORT, BY_LIST].map(|i| new_work_after(&fleet, i, left_at));
    Outcome {
        new_work_after_s: after.into_iter().fold(0.0, f64::max),
        cut_off: measured.iter().filter(|m| is_cut_off(m)).count(),
        requests: measured.len(),
        stop_took_s,
    }
}

fn sleep_until(began: Instant, at: Duration) {
    std::thread::sleep(at.saturating_sub(began.elapsed()));
}

/// Callers ask again when their list lapses: nobody uses the stopped daemon
/// later than the time to live after its stop.
fn plan(options: &BenchOptions, over: Duration, ttl: Duration, entries: usize) -> Vec<Planned> {
    let short = policy::stream(60.0, (1_000, 8_000), (20, 120));
    let long = policy::stream(2.0, (30_000, 90_000), (40, 160));
    let all: Vec<usize> = (0..10).collect();
    let mut planned = short.plan(options.seed, over, &all, entries);
    planned.extend(long.plan(options.seed + 1, over, &all, entries));
    const GRACE: Duration = Duration::from_millis(100);
    let lapsed = over.mul_f64(STOP_AT) + ttl - GRACE;
    for call in planned
        .iter_mut()
        .filter(|c| c.at > lapsed && c.entry == STOPPED)
    {
        call.entry = STOPPED + 1;
    }
    policy::with_timeout(planned, TIMEOUT)
}

fn is_cut_off(measured: &Measured) -> bool {
    measured.result.end != CallEnd::Whole
}

/// How long after its leaving an engine last got new work, in seconds.
fn new_work_after(fleet: &Fleet, engine: usize, left_at: Instant) -> f64 {
    let counts = fleet.engine_counts(engine);
    let now = left_at.elapsed().as_secs_f64();
    let ago = counts
        .last_received_ms_ago
        .map_or(now, |ms| ms as f64 / 1_000.0);
    (now - ago).max(0.0)
}
