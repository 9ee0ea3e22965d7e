//! Waits for a server's response, and what ends such a wait early.

use std::{rc::Rc, time::Duration};

use notchwalk_http::prelude::*;
use notchwalk_route::ServerKey;

use crate::{
    active_request::ActiveRequest,
    shell::{EndOfWait, Shell},
};

/// How long a server may be silent until the links to its service are checked. Engines that
/// respond to several requests send events more often.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(200);
/// Interval between the further checks of a silence.
const SILENCE_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a wait for a server.
pub(crate) enum Awaited<T> {
    Done(T),
    CallerDisconnected,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The server's idle timeout passed.
    ServerIdle,
    /// This node exits before the response begins.
    NodeStops,
}

/// What ends the wait for a server besides its response, the caller and the deadline.
#[derive(Clone, Copy)]
pub(crate) struct ServerWait {
    /// The server whose links are watched; `None` for a peer.
    pub server: Option<ServerKey>,
    pub idle_timeout: Option<Duration>,
    /// Whether the caller has a part of the response. It then gets the rest for as long as the
    /// process runs.
    pub has_response: bool,
}

/// Sleeps for an idle timeout; forever if there is none. Time during which the machine
/// is suspended does not count, since nothing can be received then.
async fn sleep_idle_timeout(idle_timeout: Option<Duration>) {
    match idle_timeout {
        Some(idle_timeout) => monoio::time::sleep(idle_timeout).await,
        None => std::future::pending().await,
    }
}

/// Resolves once the links to the service of `server` are known to be lost while nothing is
/// received. Never resolves for a peer.
async fn watch_link(shell: &Rc<Shell>, server: Option<ServerKey>) {
    let Some(server) = server else {
        return std::future::pending().await;
    };
    let since = shell.now();
    monoio::time::sleep(SILENCE_BEFORE_CHECK).await;
    loop {
        shell.report_silence(server, since);
        if shell.router.borrow().is_link_lost(server) {
            return;
        }
        monoio::time::sleep(SILENCE_INTERVAL).await;
    }
}

/// Waits for `future`, until the caller disconnects, the request's deadline passes, this node
/// exits, the server's idle timeout passes or the link to it is lost. The latter two end the wait only if
/// the request may be sent elsewhere.
pub(crate) async fn await_server<T>(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    wait: ServerWait,
    future: impl std::future::Future<Output = T>,
) -> Awaited<T> {
    let mut future = std::pin::pin!(future);
    let ServerWait {
        mut server,
        mut idle_timeout,
        has_response,
    } = wait;
    loop {
        monoio::select! {
            done = &mut future => return Awaited::Done(done),
            () = exchange.peer_closed() => return Awaited::CallerDisconnected,
            end = shell.wait_for_end(req.deadline, !has_response) => return match end {
                EndOfWait::DeadlinePassed => Awaited::DeadlinePassed,
                EndOfWait::NodeStops => Awaited::NodeStops,
            },
            () = sleep_idle_timeout(idle_timeout) => idle_timeout = None,
            () = watch_link(shell, server) => server = None,
        }
        let now = shell.now();
        if shell.router.borrow().may_retry_elsewhere(req.key, now) {
            return Awaited::ServerIdle;
        }
    }
}
