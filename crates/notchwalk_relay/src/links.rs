//! Checks the links to servers by opening connections to them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::time::timeout;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::{Event, ServerKey};

use crate::shell::Shell;

/// Time within which a server in the same region accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a new connection must stay open: a proxy on the way may accept it and close it
/// at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(10);

/// Opens a connection to each of the servers and reports how many could be opened.
pub(crate) async fn check(
    shell: Rc<Shell>,
    service: String,
    servers: Vec<(ServerKey, SocketAddr)>,
) {
    let attempts = servers.iter().map(|&(_, addr)| opens(&shell, addr));
    let results = futures_util::future::join_all(attempts).await;
    let opened = results.into_iter().filter(|&opened| opened).count() as u32;
    shell.step(Event::LinksChecked { service, opened });
}

/// Returns whether a connection to `addr` can be opened.
async fn opens(shell: &Shell, addr: SocketAddr) -> bool {
    let connection = shell.client.connection(addr, ConnectionReuse::Fresh);
    let Ok(Ok(mut conn)) = timeout(CONNECT_TIMEOUT, connection).await else {
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
            shell.client.close_idle_to(server.record.addr);
        }
    }
    shell.links_to_publish.set(true);
    shell.publish_wake.notify();
}
