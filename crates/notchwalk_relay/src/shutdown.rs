//! The graceful shutdown: when a stopping node refuses requests, ends the open ones and exits.

use std::time::Duration;

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_route::DrainSchedule;

use crate::{shell::Shell, RelaySettings};

/// How long a stopping node still accepts requests: callers cache the directory's
/// response, some beyond its TTL.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(3_000);
/// How long before its exit a stopping node refuses requests that peers forward. Callers of
/// these peers can't go elsewhere. Calls end within this time; streams that don't are resumed
/// by the peer.
const REFUSE_PEERS_BEFORE_EXIT: Duration = Duration::from_millis(1_500);
/// How long before its exit a stopping node responds to the requests that are still open.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// How long before the end of the stop grace period the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Minimum time for which a stopping process stays reachable, for callers that hold its
/// address from the directory.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);
/// How long the process waits before it exits until the last responses are written.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often to check whether they are.
const LAST_WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the schedule of a shutdown that starts now.
pub(crate) fn schedule(settings: &RelaySettings, now: Instant) -> DrainSchedule {
    let exits_after = settings.stop_grace.saturating_sub(EXIT_MARGIN);
    let refuses_peers_after = exits_after
        .saturating_sub(REFUSE_PEERS_BEFORE_EXIT)
        .max(ACCEPT_WHILE_STOPPING);
    DrainSchedule {
        started_at: now,
        unlisted_at: now.after(settings.directory_ttl),
        refuses_callers_from: now.after(ACCEPT_WHILE_STOPPING),
        refuses_peers_from: now.after(refuses_peers_after),
        responses_end_at: now.after(exits_after.saturating_sub(FINAL_RESPONSE_TIME)),
        exits_at: now.after(exits_after),
    }
}

/// Returns whether a stopping process may exit: all requests have their response, and callers
/// no longer choose this node, or the grace period ends.
pub(crate) fn may_exit(shell: &Shell, schedule: &DrainSchedule) -> bool {
    let now = shell.now();
    let is_unlisted = now >= schedule.started_at.after(MIN_STOP_TIME);
    is_unlisted && shell.open_exchanges.count() == 0 || now >= schedule.exits_at
}

/// Waits until the responses to requests that arrived last are written, and logs the exit.
pub(crate) async fn finish(shell: &Shell) {
    let deadline = shell.now().after(LAST_WRITE_TIMEOUT);
    while shell.open_exchanges.count() > 0 && shell.now() < deadline {
        monoio::time::sleep(LAST_WRITE_CHECK_INTERVAL).await;
    }
    let (name, unfinished) = (&shell.settings.name, shell.open_exchanges.count());
    let facts = format!("name={name} unfinished_requests={unfinished}");
    LogEvent::new(LogEventKind::DaemonStopped, facts).emit();
}
