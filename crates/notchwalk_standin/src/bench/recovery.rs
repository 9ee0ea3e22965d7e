//! A daemon and two engines die under load.

use std::time::{Duration, Instant};

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    caller::CallEnd,
    engine::Fault,
    fleet::{Fleet, FleetConfig},
    report::Durations,
    workload::Measured,
};

/// When the daemon and the engines die, in parts of the run.
const DIE_AT: f64 = 0.4;
/// The daemon that dies, by place.
const DEAD_DAEMON: usize = 1;
/// The engines that die, by place.
const DEAD_ENGINES: [usize; 2] = [0, 1];
/// Bytes of KV memory of a token, for the figure of what is lost for good.
const BYTES_PER_TOKEN: u64 = 131_072;
/// The timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The longest that memory may take to come back.
const SWEPT_WITHIN: Duration = Duration::from_secs(20);

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let with = measure(options, "kind = fair\n");
    figures.insert("failed_ratio".to_owned(), rounded(with.failed_ratio, 4));
    figures.insert(
        "cut_by_dead_daemon".to_owned(),
        with.cut_by_dead_daemon.into(),
    );
    figures.insert(
        "back_to_normal_s".to_owned(),
        rounded(with.back_to_normal_s, 1),
    );
    figures.insert("leaked_bytes".to_owned(), with.leaked_bytes.into());
    figures.insert("requests".to_owned(), with.requests.into());
    let without = measure(options, "kind = fair\nretry_percent = 0\n");
    let ratio = rounded(without.failed_ratio, 4);
    figures.insert("failed_ratio_without_retries".to_owned(), ratio);
    figures
}

struct Outcome {
    failed_ratio: f64,
    cut_by_dead_daemon: usize,
    back_to_normal_s: f64,
    leaked_bytes: u64,
    requests: usize,
}

fn measure(options: &BenchOptions, lines: &str) -> Outcome {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_entry_program(policy::this_program())
        .with_time_scale(policy::TIME_SCALE)
        .with_policy(lines);
    let mut fleet = Fleet::start(config);
    let over = Duration::from_secs(options.seconds.max(10));
    let entries = fleet.config.entries;
    let all: Vec<usize> = (0..10).collect();
    let short = policy::stream(80.0, (1_000, 8_000), (20, 120));
    let mut planned = short.plan(options.seed, over, &all, entries);
    let long = policy::stream(2.0, (30_000, 90_000), (40, 160));
    planned.extend(long.plan(options.seed + 1, over, &all, entries));
    let died_at = over.mul_f64(DIE_AT);
    // Callers of the dead daemon turn to the next one.
    for call in planned
        .iter_mut()
        .filter(|c| c.at > died_at && c.entry == DEAD_DAEMON)
    {
        call.entry += 1;
    }
    let planned = policy::with_timeout(planned, TIMEOUT);
    let began = Instant::now();
    let sending = fleet.start_sending(planned);
    std::thread::sleep(died_at.saturating_sub(began.elapsed()));
    fleet.kill_daemon(DEAD_DAEMON);
    for engine in DEAD_ENGINES {
        fleet.set_engine_fault(engine, Fault::Dead);
    }
    std::thread::sleep(Duration::from_secs(2));
    fleet.unlist(DEAD_DAEMON as u32 + 1);
    let measured = sending.wait();
    for line in crate::report::outcomes(&measured) {
        log::info!("{line:?}");
    }
    let (of_dead, rest): (Vec<_>, Vec<_>) = measured
        .into_iter()
        .partition(|m| m.planned.entry == DEAD_DAEMON);
    let failed = rest
        .iter()
        .filter(|m| m.result.end != CallEnd::Whole)
        .count();
    let cut = of_dead
        .iter()
        .filter(|m| m.result.end != CallEnd::Whole)
        .count();
    Outcome {
        failed_ratio: failed as f64 / rest.len() as f64,
        cut_by_dead_daemon: cut,
        back_to_normal_s: back_to_normal_s(&rest, died_at),
        leaked_bytes: leaked_tokens(&fleet) * BYTES_PER_TOKEN,
        requests: rest.len(),
    }
}

/// How long after the deaths the p95 of first tokens, a half second at a time,
/// was last above one and a half times that before.
fn back_to_normal_s(measured: &[Measured], died_at: Duration) -> f64 {
    const WINDOW: Duration = Duration::from_millis(500);
    const TOLERATED: f64 = 1.5;
    let p95 = |from: Duration, to: Duration| {
        let mut times = Durations::default();
        for m in measured {
            let short = m.planned.prompt_tokens <= 8_000;
            if short && m.planned.at >= from && m.planned.at < to {
                times.add(m.result.first_token.unwrap_or(m.result.total));
            }
        }
        times.quantile_ms(0.95)
    };
    let normal = p95(Duration::from_secs(1), died_at);
    let last = measured
        .iter()
        .map(|m| m.planned.at)
        .max()
        .unwrap_or(died_at);
    let (mut from, mut back) = (died_at, 0.0);
    while from < last {
        if p95(from, from + WINDOW) > normal * TOLERATED {
            back = (from + WINDOW - died_at).as_secs_f64();
        }
        from += WINDOW;
    }
    back
}

/// Memory still held on living engines after all requests ended and the sweep
/// had its time, in tokens.
fn leaked_tokens(fleet: &Fleet) -> u64 {
    let began = Instant::now();
    loop {
        let living = (0..fleet.engines.len()).filter(|i| !DEAD_ENGINES.contains(i));
        let used: u64 = living.map(|i| fleet.engine_counts(i).used_tokens).sum();
        if used == 0 || began.elapsed() > SWEPT_WITHIN {
            return used;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}
