//! Which driver carries out which effect.

use std::{rc::Rc, time::Duration};

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_route::{Effect, ServerKey};

use crate::{
    engine_orders, quarantine, server_words,
    shell::{EffectDriver, Shell},
};

/// All drivers of effects. A new effect gets its line here.
pub(crate) struct Effects;

impl EffectDriver for Effects {
    fn carry_out(&self, shell: &Rc<Shell>, effect: Effect) {
        match effect {
            Effect::Reserve { request, orders } => {
                monoio::spawn(engine_orders::reserve(shell.clone(), request, orders));
            }
            Effect::Order(order) => {
                monoio::spawn(engine_orders::send_once(shell.clone(), order));
            }
            Effect::Check { server, addr } => {
                monoio::spawn(quarantine::check(shell.clone(), server, addr));
            }
            Effect::Found(finding) => quarantine::found(shell, finding),
            Effect::Heard {
                server,
                word,
                by_peer,
            } => server_words::log_heard(shell, server, word, by_peer),
            Effect::LimitUsedUp { server } => server_words::log_used_up(shell, server),
            Effect::Closed { server, pause } => log_closed(shell, server, pause),
            // The task of their request has them.
            Effect::Send { .. } | Effect::Refuse { .. } | Effect::DeliverFailure { .. } => {}
        }
    }
}

fn log_closed(shell: &Shell, server: ServerKey, pause: Duration) {
    let router = shell.router.borrow();
    let Some(server) = router.fleet().get(server) else {
        return;
    };
    let facts = format!(
        "server={} pause_ms={} failure_rate={:.2}",
        server.record.instance,
        pause.as_millis(),
        server.failure_rate(shell.now())
    );
    LogEvent::new(LogEventKind::CircuitOpened, facts).emit();
}
