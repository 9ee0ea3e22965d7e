//! Dispatches the router's effects to their drivers.

use std::{rc::Rc, time::Duration};

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_route::{Effect, ServerKey};

use crate::{
    engine_orders, links, quarantine, server_notices,
    shell::{EffectDriver, Shell},
};

/// Dispatches effects that don't belong to the task of one request.
pub(crate) struct EffectDispatcher;

impl EffectDriver for EffectDispatcher {
    fn execute(&self, shell: &Rc<Shell>, effect: Effect) {
        match effect {
            Effect::Reserve { request, orders } => {
                monoio::spawn(engine_orders::reserve(shell.clone(), request, orders));
            }
            Effect::SendReservationOrder(order) => {
                monoio::spawn(engine_orders::send_once(shell.clone(), order));
            }
            Effect::ProbePort { server, addr } => {
                monoio::spawn(quarantine::probe(shell.clone(), server, addr));
            }
            Effect::CheckLinks { service, servers } => {
                monoio::spawn(links::check(shell.clone(), service, servers));
            }
            Effect::ReachabilityChanged {
                service,
                is_reachable,
            } => links::handle_reachability(shell, &service, is_reachable),
            Effect::Finding(finding) => quarantine::handle_finding(shell, finding),
            Effect::NewNotice {
                server,
                notice,
                reported_by_peer,
            } => server_notices::log_notice(shell, server, notice, reported_by_peer),
            Effect::LimitExhausted { server } => server_notices::log_limit_exhausted(shell, server),
            Effect::Ejected { server, duration } => log_circuit_opened(shell, server, duration),
            // Handled by the task of their request.
            Effect::Send { .. }
            | Effect::Forward { .. }
            | Effect::RetryDecided { .. }
            | Effect::NoServer { .. }
            | Effect::Blocked { .. }
            | Effect::Refuse { .. }
            | Effect::DeliverFailure { .. } => {}
        }
    }
}

fn log_circuit_opened(shell: &Shell, server: ServerKey, duration: Duration) {
    let router = shell.router.borrow();
    let Some(server) = router.fleet().get(server) else {
        return;
    };
    let facts = format!(
        "server={} pause_ms={} failure_rate={:.2}",
        server.record().instance,
        duration.as_millis(),
        server.failure_rate(shell.now())
    );
    LogEvent::new(LogEventKind::CircuitOpened, facts).emit();
}
