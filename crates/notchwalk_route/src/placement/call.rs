//! Placement of requests on plain services.

use notchwalk_core::Instant;

use super::{Plan, PlannedServer};
use crate::{Fleet, LoadView, PlacementReason, ServerKey};

/// Chooses the server of a plain service with the lowest ratio of running requests to
/// slots. Servers in the local failure domain win ties. For a request that may crash its
/// server, the requests that the crash would affect add to the cost.
pub(crate) fn place_call(
    fleet: &Fleet,
    load_view: &LoadView,
    service: &str,
    local_domain: &str,
    excluded: &[ServerKey],
    crash_risk: f64,
    now: Instant,
) -> Option<Plan> {
    /// Cost of a failure rate of 1, as a ratio of running requests to slots.
    const FAILURE_RATE_COST: f64 = 3.0;
    /// Cost of a server in another failure domain, as a ratio of running requests to slots.
    const REMOTE_DOMAIN_COST: f64 = 0.05;
    let mut best: Option<(f64, ServerKey)> = None;
    for &key in fleet.servers_in_use(service, now) {
        let Some(server) = fleet.get(key) else {
            continue;
        };
        if !server.is_available(now) || excluded.contains(&key) {
            continue;
        }
        let load = load_view.load(key, now);
        let domain_cost = if server.record().failure_domain == local_domain {
            0.0
        } else {
            REMOTE_DOMAIN_COST
        };
        let used_slots = load.occupied() as f64 / f64::from(server.record().slots.max(1));
        let crash_cost = crash_risk * load.occupied() as f64;
        let cost =
            used_slots + FAILURE_RATE_COST * server.failure_rate(now) + domain_cost + crash_cost;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, server)| Plan {
        primary: PlannedServer {
            server,
            prefill_end_ms: 0.0,
        },
        prefill_workers: Vec::new(),
        reserve_tokens: None,
        segment_ms: 0.0,
        ttft_ms: 0.0,
        loss_ms: 0.0,
        value_ms: 0.0,
        reason: PlacementReason::LeastLoss,
    })
}
