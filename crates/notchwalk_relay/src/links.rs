//! Checks the links to servers by opening connections to them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{
    future::{select, Either},
    stream::{FuturesUnordered, StreamExt},
};
use monoio::time::timeout;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::Event;

use crate::shell::Shell;

/// Time within which a server in the same region accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of servers that a check tries first. The others are tried if none of these accepts
/// a connection in time.
const FIRST_SERVERS: usize = 3;
/// How long a check waits for the first servers.
const FIRST_SERVERS_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a new connection must stay open: a proxy on the way may accept it and close it
/// at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(10);

/// Opens connections to the servers until one accepts, and reports whether one did.
pub(crate) async fn check(shell: Rc<Shell>, service: String, servers: Vec<SocketAddr>) {
    let reaches_any = reaches_any(&shell, &servers);
    let passed = timeout(CHECK_TIMEOUT, reaches_any).await.unwrap_or(false);
    shell.step(Event::LinksChecked { service, passed });
}

async fn reaches_any(shell: &Shell, servers: &[SocketAddr]) -> bool {
    let (first, others) = servers.split_at(servers.len().min(FIRST_SERVERS));
    let mut first = std::pin::pin!(any_accepts(shell, first));
    match timeout(FIRST_SERVERS_TIMEOUT, &mut first).await {
        Ok(true) => true,
        Ok(false) => any_accepts(shell, others).await,
        Err(_) => {
            let others = std::pin::pin!(any_accepts(shell, others));
            match select(first, others).await {
                Either::Left((true, _)) | Either::Right((true, _)) => true,
                Either::Left((false, others)) => others.await,
                Either::Right((false, first)) => first.await,
            }
        }
    }
}

/// Returns whether one of the servers accepts a connection.
async fn any_accepts(shell: &Shell, servers: &[SocketAddr]) -> bool {
    let attempts = servers.iter().map(|&addr| accepts(shell, addr));
    let mut results: FuturesUnordered<_> = attempts.collect();
    while let Some(accepted) = results.next().await {
        if accepted {
            return true;
        }
    }
    false
}

/// Returns whether a connection to `addr` can be opened.
async fn accepts(shell: &Shell, addr: SocketAddr) -> bool {
    let connection = shell.client.connection(addr, ConnectionReuse::Fresh);
    let Ok(mut conn) = connection.await else {
        return false;
    };
    monoio::time::sleep(MIN_OPEN_TIME).await;
    !conn.is_stale().await
}

/// Logs a change of the reachability of a service and has it published. The idle connections
/// to an unreachable service are closed, since they are probably broken as well.
pub(crate) fn handle_reachability(shell: &Rc<Shell>, service: &str, is_reachable: bool) {
    let kind = match is_reachable {
        true => LogEventKind::ServiceReachable,
        false => LogEventKind::ServiceUnreachable,
    };
    LogEvent::new(kind, format!("service={service}")).emit();
    let unreachable = shell.router.borrow().unreachable_services().count();
    shell.metrics.unreachable_services.set(unreachable as i64);
    if !is_reachable {
        let router = shell.router.borrow();
        let fleet = router.fleet();
        let servers = fleet.of_service(service).iter();
        for server in servers.filter_map(|&key| fleet.get(key)) {
            shell.client.close_idle_to(server.record().addr);
        }
    }
    shell.links_to_publish.set(true);
    shell.publish_wake.notify();
}
