//! Limits that servers name, shared by all entries: the rate that reaches a server over
//! its limit, and the worst four seconds over what the users allow.

use std::time::Duration;

use notchwalk_core::Instant;
use serde_json::{json, Value};

use super::{rounded, BenchOptions, Figures};
use crate::routed::{
    limits::{LimitsWorld, BEGIN},
    limits_plan::{Demand, LimitsPlan},
};

/// Entries that share the servers.
const ENTRIES: [usize; 4] = [2, 6, 30, 300];
/// Requests a second that each server takes.
const LIMITS: [f64; 7] = [0.2, 1.0, 2.0, 6.0, 20.0, 50.0, 200.0];
/// Servers of the service, all of them limited.
const SERVERS: usize = 4;
/// From when on after its first word a server may rely on its limit.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// The time over which the users count.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns what a server may get in [`WINDOW`].
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn measure(
    entries: usize,
    limit: f64,
    demand: Demand,
    silent: bool,
    options: &BenchOptions,
) -> Value {
    let mut plan = LimitsPlan::new(entries, vec![limit; SERVERS], demand);
    plan.silent = silent;
    plan.seed = options.seed;
    plan.lasts = Duration::from_secs((options.seconds * 3).max(30));
    let end = BEGIN.after(plan.lasts);
    let entry_seconds = plan.lasts.as_secs_f64() * entries as f64;
    let outcome = LimitsWorld::new(plan).run();
    let since: Instant = BEGIN.after(KNOWN_AFTER);
    let rates = (0..SERVERS).map(|server| outcome.rate(server, since, end) / limit);
    let rates: Vec<f64> = rates.collect();
    let worst = (0..SERVERS).map(|server| outcome.most_within(server, WINDOW, since));
    let worst = worst.max().unwrap_or(0) as f64 / allowed(limit);
    json!({
        "entries": entries,
        "limit": limit,
        "demand": format!("{demand:?}"),
        "equal_shares": silent,
        "messages_an_entry_s": rounded(outcome.messages as f64 / entry_seconds, 1),
        "rate_over_limit": rounded(rates.iter().sum::<f64>() / SERVERS as f64, 2),
        "worst_4s_over_allowed": rounded(worst, 2),
        "served": outcome.served,
        "refused": outcome.refused,
    })
}

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut runs = Vec::new();
    let only = options.only.as_deref().and_then(|only| only.parse().ok());
    for entries in ENTRIES {
        if only.is_some_and(|only: usize| only != entries) {
            continue;
        }
        for demand in [Demand::Even, Demand::One] {
            for limit in LIMITS {
                let run = measure(entries, limit, demand, false, options);
                println!("{run}");
                runs.push(run);
                let baseline = measure(entries, limit, demand, true, options);
                println!("{baseline}");
            }
        }
    }
    let worst = |key: &str| {
        let figures = runs.iter().filter_map(|run| run[key].as_f64());
        figures.fold(0.0, f64::max)
    };
    let lowest = runs
        .iter()
        .filter_map(|run| run["rate_over_limit"].as_f64());
    let lowest = lowest.fold(f64::INFINITY, f64::min);
    let mut figures = Figures::new();
    figures.insert("most_rate".into(), worst("rate_over_limit").into());
    figures.insert("least_rate".into(), lowest.into());
    figures.insert("worst_4s".into(), worst("worst_4s_over_allowed").into());
    figures.insert("runs".into(), runs.into());
    figures
}
