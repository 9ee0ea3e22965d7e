//! Measures request limits that servers announce and all nodes share: the rate at a server
//! relative to its limit, and the worst four-second window relative to the allowed number.

use std::time::Duration;

use notchwalk_core::Instant;
use serde_json::{json, Value};

use super::{rounded, BenchOptions, Metrics};
use crate::routed::{
    limits::{LimitsSimulation, START},
    limits_plan::{Demand, LimitsPlan},
};

/// Numbers of nodes that share the servers.
const NODES: [usize; 4] = [2, 6, 30, 300];
/// Limits of each server, in requests per second.
const LIMITS: [f64; 7] = [0.2, 1.0, 2.0, 6.0, 20.0, 50.0, 200.0];
/// Number of servers of the service, all with a limit.
const SERVERS: usize = 4;
/// Delay after the first notice from which the limit must hold.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the number of requests that a server may receive in [`WINDOW`].
fn allowed_requests(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn measure(
    nodes: usize,
    limit: f64,
    demand: Demand,
    equal_shares: bool,
    options: &BenchOptions,
) -> Value {
    let mut plan = LimitsPlan::new(nodes, vec![limit; SERVERS], demand);
    plan.equal_shares = equal_shares;
    plan.seed = options.seed;
    plan.duration = Duration::from_secs((options.seconds * 3).max(30));
    let end = START.after(plan.duration);
    let node_seconds = plan.duration.as_secs_f64() * nodes as f64;
    let outcome = LimitsSimulation::new(plan).run();
    let since: Instant = START.after(CONVERGENCE_TIME);
    let rates = (0..SERVERS).map(|server| outcome.rate(server, since, end) / limit);
    let rates: Vec<f64> = rates.collect();
    let worst = (0..SERVERS).map(|server| outcome.max_in_window(server, WINDOW, since));
    let worst = worst.max().unwrap_or(0) as f64 / allowed_requests(limit);
    json!({
        "entries": nodes,
        "limit": limit,
        "demand": format!("{demand:?}"),
        "equal_shares": equal_shares,
        "messages_an_entry_s": rounded(outcome.messages as f64 / node_seconds, 1),
        "rate_over_limit": rounded(rates.iter().sum::<f64>() / SERVERS as f64, 2),
        "worst_4s_over_allowed": rounded(worst, 2),
        "served": outcome.served,
        "refused": outcome.refused,
    })
}

pub fn run(options: &BenchOptions) -> Metrics {
    let mut runs = Vec::new();
    let only_nodes = options
        .only
        .as_deref()
        .and_then(|only_nodes| only_nodes.parse().ok());
    for nodes in NODES {
        if only_nodes.is_some_and(|only_nodes: usize| only_nodes != nodes) {
            continue;
        }
        for demand in [Demand::Even, Demand::One] {
            for limit in LIMITS {
                let run = measure(nodes, limit, demand, false, options);
                println!("{run}");
                runs.push(run);
                let baseline = measure(nodes, limit, demand, true, options);
                println!("{baseline}");
            }
        }
    }
    let highest = |key: &str| {
        let values = runs.iter().filter_map(|run| run[key].as_f64());
        values.fold(0.0, f64::max)
    };
    let lowest = runs
        .iter()
        .filter_map(|run| run["rate_over_limit"].as_f64());
    let lowest = lowest.fold(f64::INFINITY, f64::min);
    let mut metrics = Metrics::new();
    metrics.insert("most_rate".into(), highest("rate_over_limit").into());
    metrics.insert("least_rate".into(), lowest.into());
    metrics.insert("worst_4s".into(), highest("worst_4s_over_allowed").into());
    metrics.insert("runs".into(), runs.into());
    metrics
}
