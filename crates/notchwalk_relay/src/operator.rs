//! Serves metrics and the state dump to operators.

use std::rc::Rc;

use http::StatusCode;
use notchwalk_http::prelude::*;
use notchwalk_quarantine::Fingerprint;
use notchwalk_route::Event;

use crate::{quarantine, shell::Shell};

/// Path prefix of the call that ends a quarantine.
const RELEASE_PATH: &str = "/quarantine/release/";

pub(crate) struct Operator {
    shell: Rc<Shell>,
}

impl Operator {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell }
    }

    /// Ends the quarantine of the content at the end of the path.
    fn release(&self, exchange: &Exchange) -> (StatusCode, String) {
        if exchange.head.method != http::Method::POST {
            let text = "a quarantine is ended with POST\n";
            return (StatusCode::METHOD_NOT_ALLOWED, text.to_owned());
        }
        let text = exchange.path().trim_start_matches(RELEASE_PATH);
        let content = match text.parse::<Fingerprint>() {
            Ok(content) => content,
            Err(e) => return (StatusCode::BAD_REQUEST, format!("{e}\n")),
        };
        let is_known = self.shell.router.borrow().quarantine().is_suspect(content);
        if !is_known {
            return (StatusCode::NOT_FOUND, "no such suspect\n".to_owned());
        }
        self.shell.step(Event::QuarantineReleased { content });
        (StatusCode::OK, format!("released {content}\n"))
    }

    /// Returns the numbers of requests in progress and of quarantined contents.
    fn counts(&self) -> (usize, usize) {
        let router = self.shell.router.borrow();
        let quarantined = router.quarantine().quarantined_count(self.shell.now());
        (router.open_requests(), quarantined)
    }

    fn update_limit_metrics(&self) {
        let router = self.shell.router.borrow();
        let metrics = &self.shell.metrics;
        metrics.server_limits.reset();
        for (server, limit) in router.fleet().limited_servers() {
            let labels = [server.record().instance.as_str()];
            let gauge = metrics.server_limits.with_label_values(&labels);
            gauge.set(limit.rate());
        }
        metrics.limited_sends.reset();
        let sent = router.fleet().messages_sent_to_limited();
        metrics.limited_sends.inc_by(sent);
    }

    fn state(&self) -> serde_json::Value {
        let shell = &self.shell;
        let now = shell.now();
        let router = shell.router.borrow();
        let servers: Vec<serde_json::Value> = router
            .fleet()
            .iter()
            .map(|(key, server)| {
                let load = router.load_view().load(key, now);
                serde_json::json!({
                    "instance": server.record().instance,
                    "service": server.record().service,
                    "addr": server.record().addr,
                    "takes_work": server.is_available(now),
                    "said_leaving": server.is_draining(),
                    "wants_nothing_ms": server.backoff_remaining(now).as_millis() as u64,
                    "limit_per_second": server.limit().map(|limit| limit.rate()),
                    "limit_allowance": server.available_requests(now),
                    "limit_users": server.limit_users(now),
                    "failure_rate": server.failure_rate(now),
                    "generating": load.decoding,
                    "reading": load.prefilling,
                    "calls": load.calls,
                    "reading_left_ms": load.remaining_prefill_ms,
                    "context_tokens": load.context_tokens,
                })
            })
            .collect();
        let retry_budgets: Vec<serde_json::Value> = router
            .retry_usages(now)
            .into_iter()
            .map(|(service, usage)| {
                serde_json::json!({
                    "service": service,
                    "retries": usage.retries,
                    "limit": usage.limit,
                    "first_attempts": usage.first_attempts,
                    "knows_previous": usage.knows_previous,
                })
            })
            .collect();
        serde_json::json!({
            "name": shell.settings.name,
            "ready": shell.is_ready(),
            "config_version": router.version(),
            "newest_config_of_peers": shell.peers.borrow().newest_config(),
            "store_era": shell.store_epoch(),
            "store_response_age_ms": shell
                .store_responded_at
                .get()
                .map(|at| now.since(at).as_millis() as u64),
            "servers_version": shell.server_table_version.get().rev,
            "newest_change_of_servers_of_peers": shell.peers.borrow().newest_server_change().rev,
            "open_requests": router.open_requests(),
            "reservations": router.reservations(),
            "peers_alive": shell.peers.borrow().alive_count(now),
            "entries_sharing_limits": shell.peers.borrow().sharing_nodes(now),
            "unreachable_services": router.unreachable_services().collect::<Vec<_>>(),
            "serving_for_peers": shell.open_forwarded.get(),
            "retry_budgets": retry_budgets,
            "knows_own_retries": router.knows_own_retries(now),
            "servers_age_ms": now.since(shell.servers_refreshed_at.get()).as_millis() as u64,
            "servers": servers,
            "suspects": quarantine::state(shell),
        })
    }
}

impl Service for Operator {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            match exchange.path() {
                "/metrics" => {
                    let (open, quarantined) = self.counts();
                    self.shell.metrics.quarantined.set(quarantined as i64);
                    self.shell.metrics.open_requests.set(open as i64);
                    self.update_limit_metrics();
                    let text = self.shell.metrics.encode();
                    exchange.respond_text(StatusCode::OK, &text).await;
                }
                "/state" => exchange.respond_json(StatusCode::OK, &self.state()).await,
                path if path.starts_with(RELEASE_PATH) => {
                    let (status, text) = self.release(exchange);
                    exchange.respond_text(status, &text).await
                }
                _ => {
                    exchange
                        .respond_text(StatusCode::NOT_FOUND, "no such page\n")
                        .await
                }
            }
        })
    }
}
