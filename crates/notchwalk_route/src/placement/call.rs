//! Calls of plain services.

use notchwalk_core::Instant;

use super::{Part, Plan};
use crate::{Board, Fleet, Grounds, ServerKey};

/// Chooses the server of a plain service with the fewest calls for its slots,
/// one of the near failure domain if all else is equal. What runs there counts
/// once more as likely as the call crashes its server.
pub(crate) fn place_call(
    fleet: &Fleet,
    board: &Board,
    service: &str,
    near: &str,
    tried: &[ServerKey],
    crash_risk: f64,
    now: Instant,
) -> Option<Plan> {
    /// Added to the load of a server for its failure rate of 1.
    const DISTRUST: f64 = 3.0;
    /// Added to the load of a server in another failure domain.
    const FAR: f64 = 0.05;
    let mut best: Option<(f64, ServerKey)> = None;
    for &key in fleet.in_use(service, now) {
        let Some(server) = fleet.get(key) else {
            continue;
        };
        if !server.takes_work(now) || tried.contains(&key) {
            continue;
        }
        let load = board.load(key, now);
        let far = if server.record.failure_domain == near {
            0.0
        } else {
            FAR
        };
        let used = load.occupied() as f64 / f64::from(server.record.slots.max(1));
        let at_stake = crash_risk * load.occupied() as f64;
        let cost = used + DISTRUST * server.failure_rate(now) + far + at_stake;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, server)| Plan {
        first: Part {
            server,
            read_end_ms: 0.0,
        },
        helpers: Vec::new(),
        reserve_tokens: None,
        part_ms: 0.0,
        first_ms: 0.0,
        loss_ms: 0.0,
        worth_ms: 0.0,
        grounds: Grounds::LeastLoss,
    })
}
