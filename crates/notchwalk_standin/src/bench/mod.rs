//! Benches. Each prints one JSON object on its last line.

mod bundle;
mod capacity;
mod fair;
mod ideal;
mod leaving;
mod lengths;
mod limits;
mod memory;
mod once;
mod orders;
mod outage;
mod overload;
mod policy;
mod recovery;
mod relay;
mod slowdown;
mod soak;
mod steps;

use serde_json::{Map, Value};

/// Options of a bench run.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Seed of the traffic.
    pub seed: u64,
    /// Approximate duration of each measured phase, in seconds.
    pub seconds: u64,
    /// Restricts the bench to one policy or size.
    pub only: Option<String>,
}

/// Results of a bench by JSON key.
pub type Metrics = Map<String, Value>;

/// A bench.
pub struct Bench {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Function that runs the bench.
    pub run: fn(&BenchOptions) -> Metrics,
}

/// All benches.
pub const BENCHES: &[Bench] = &[
    Bench {
        name: "relay",
        about: "latency that a node adds to the first token, and relayed tokens per second",
        run: relay::run,
    },
    Bench {
        name: "slowdown",
        about: "p95 time to first token of short requests, with long requests relative to without, per policy",
        run: slowdown::run,
    },
    Bench {
        name: "lengths",
        about: "time to first token by prompt length relative to an idle fleet, and throughput, per policy",
        run: lengths::run,
    },
    Bench {
        name: "fair",
        about: "fairness among backlogged workspaces, one of them flooding with long prompts",
        run: fair::run,
    },
    Bench {
        name: "memory",
        about: "evictions and concurrency under three ways of reserving memory",
        run: memory::run,
    },
    Bench {
        name: "once",
        about: "executions of non-repeatable calls, under lost responses and a store outage",
        run: once::run,
    },
    Bench {
        name: "leaving",
        about: "new work on draining servers, and requests cut off by a planned stop",
        run: leaving::run,
    },
    Bench {
        name: "recovery",
        about: "crash of a node and two engines under load",
        run: recovery::run,
    },
    Bench {
        name: "outage",
        about: "requests during a one-minute outage of the platform",
        run: outage::run,
    },
    Bench {
        name: "overload",
        about: "goodput at ten times the capacity, and recovery",
        run: overload::run,
    },
    Bench {
        name: "bundle",
        about: "time until a bundle change is in force on all nodes, and bytes transferred per change",
        run: bundle::run,
    },
    Bench {
        name: "orders",
        about: "stale orders while the lease holder is suspended, with and without fencing",
        run: orders::run,
    },
    Bench {
        name: "capacity",
        about: "control-plane cost of a node over fleet sizes, extrapolated to the target size",
        run: capacity::run,
    },
    Bench {
        name: "soak",
        about: "long randomised runs with faults in virtual time; counts invariant violations",
        run: soak::run,
    },
    Bench {
        name: "limits",
        about:
            "rate at servers that announce limits, and the worst four seconds, with up to 300 nodes",
        run: limits::run,
    },
    Bench {
        name: "steps",
        about: "events per second through the reducer, with 10 and 37,000 workspaces",
        run: steps::run,
    },
];

/// Rounds `x` to a number of decimal digits.
pub(crate) fn rounded(x: f64, digits: i32) -> Value {
    let factor = 10f64.powi(digits);
    Value::from((x * factor).round() / factor)
}

/// Returns the resident memory of this process in megabytes.
pub(crate) fn rss_mb() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}
