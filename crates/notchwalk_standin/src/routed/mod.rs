//! Simulation of the router's decisions over modelled engines, in simulated time, under
//! bursty traffic. Compares routing policies without real engines.
//!
//! | module | content |
//! |---|---|
//! | `bound` | upper bound on the value that any policy can earn |
//! | `engine` | one engine: steps, prompt segments, memory |
//! | `limits` | routers that share the rate limits of servers, under faults |
//! | `limits_plan` | input and outcome of a run of `limits` |
//! | `policy` | routing policies and the site configuration |
//! | `traffic` | kinds of requests, waves, arrivals |
//! | `simulation` | routers and engines, and the outcome of each arrival |
//! | `report` | shares of value by kind and wave, as a table and a plot |

pub mod bound;
pub mod engine;
pub mod limits;
pub mod limits_plan;
pub mod policy;
pub mod report;
pub mod simulation;
pub mod traffic;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use bound::CountedWork;
use policy::Policy;
use report::Report;
use simulation::Simulation;

/// Returns the upper bound on what any policy can earn over the same seeds.
pub fn upper_bound(counted: CountedWork, seeds: std::ops::Range<u64>, load: f64) -> Report {
    let name = match counted {
        CountedWork::Prefill => "bound_reading",
        CountedWork::All => "bound_all_work",
    };
    let mut report = Report::new(name);
    for seed in seeds {
        let arrivals = traffic::arrivals(&mut Pcg64Mcg::seed_from_u64(seed), load);
        let shares = bound::served_shares(&arrivals, counted);
        report.add_shares(arrivals.iter().zip(shares));
    }
    report
}

/// Simulates one policy over several seeds, with `load` times the reference traffic.
pub fn simulate(policy: Policy, seeds: std::ops::Range<u64>, load: f64) -> Report {
    let mut report = Report::new(policy.name);
    for seed in seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let arrivals = traffic::arrivals(&mut rng, load);
        report.add_run(Simulation::new(policy, arrivals).run());
    }
    report
}
