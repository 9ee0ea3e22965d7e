//! An experiment in simulated time: the router's decisions over engines that
//! cost what the users' pages say, on waves like those of their sites. Rounds of
//! policy need neither the users' bench nor a guess.
//!
//! | file | what it holds |
//! |---|---|
//! | `bound` | what no policy can pass |
//! | `engine` | one engine: passes, parts, memory |
//! | `limits` | servers that name limits, shared by many routers under faults |
//! | `limits_plan` | what is played there, and what came of it |
//! | `policy` | who decides on which knowledge, and the site |
//! | `traffic` | kinds of requests, waves, arrivals |
//! | `world` | routers, engines and what arrivals come to |
//! | `report` | shares of worth by kind and wave, as a table and a plot |

pub mod bound;
pub mod engine;
pub mod limits;
pub mod limits_plan;
pub mod policy;
pub mod report;
pub mod traffic;
pub mod world;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use bound::Counted;
use policy::Policy;
use report::Report;
use world::World;

/// Returns what no policy can pass over the same seeds.
pub fn bound(counted: Counted, seeds: std::ops::Range<u64>, load: f64) -> Report {
    let name = match counted {
        Counted::Reading => "bound_reading",
        Counted::All => "bound_all_work",
    };
    let mut report = Report::new(name);
    for seed in seeds {
        let arrivals = traffic::arrivals(&mut Pcg64Mcg::seed_from_u64(seed), load);
        let parts = bound::in_time(&arrivals, counted);
        report.add_parts(arrivals.iter().zip(parts));
    }
    report
}

/// Plays one policy over several seeds, with `load` times the users' traffic.
pub fn play(policy: Policy, seeds: std::ops::Range<u64>, load: f64) -> Report {
    let mut report = Report::new(policy.name);
    for seed in seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let arrivals = traffic::arrivals(&mut rng, load);
        report.add(World::new(policy, arrivals).run());
    }
    report
}
