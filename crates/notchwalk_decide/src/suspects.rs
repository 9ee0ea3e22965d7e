//! Detects requests that crash the servers that run them, with
//! `notchwalk_quarantine`. The limit on attempts applies to one request only,
//! and a caller that retries sends a new one, so crashes are tracked by content
//! over all requests and nodes.

use notchwalk_core::{Instant, LogEventKind};
use notchwalk_quarantine::{Fingerprint, QuarantineFinding, QuarantineUpdate, Verdict};
use notchwalk_wire::PeerMessage;

use crate::{
    attempt,
    effect::{Effect, FailureCode},
    event::AttemptEnd,
    node::{Cx, Node},
    request::RequestKey,
    server::ServerKey,
};

/// `Retry-After` of a suspected request, in milliseconds. Within this time
/// crashes are usually confirmed or refuted.
const SUSPECTED_RETRY_MS: u64 = 2_000;
/// Bits of an incarnation id that count a server's incarnations.
const INCARNATION_BITS: u32 = 8;

/// Returns why content may not be sent now, and the `Retry-After` or the
/// remaining quarantine in milliseconds.
pub(crate) fn refusal(
    node: &Node,
    content: Option<Fingerprint>,
    now: Instant,
) -> Option<(FailureCode, u64)> {
    match node.quarantine.verdict(content?, now) {
        Verdict::Quarantined { until } => {
            let left = until.since(now).as_millis() as u64;
            Some((FailureCode::Quarantined, left))
        }
        Verdict::Held => Some((FailureCode::Suspected, SUSPECTED_RETRY_MS)),
        Verdict::Allowed | Verdict::Suspected { .. } | Verdict::RunningElsewhere => None,
    }
}

/// Returns the id of a server's current incarnation. A server keeps its own id
/// when it restarts.
fn incarnation_id(node: &Node, server: ServerKey) -> u32 {
    let server = &node.servers.arena[server];
    (server.id.0 << INCARNATION_BITS) | (server.incarnation & ((1 << INCARNATION_BITS) - 1))
}

/// Updates the quarantine with the end of an attempt.
pub(crate) fn on_attempt_ended(node: &mut Node, cx: &Cx<'_>, key: RequestKey, end: &AttemptEnd) {
    let req = &node.requests[key];
    let (Some(content), Some(running)) = (req.content, req.running) else {
        return;
    };
    if *end != AttemptEnd::NotSent {
        // The server accepted the request, so it is reachable.
        on_server_reachable(node, running.server);
    }
    let incarnation_id = incarnation_id(node, running.server);
    let server = &node.servers.arena[running.server];
    let other_requests = u16::try_from(server.running.saturating_sub(1)).unwrap_or(u16::MAX);
    let draining = server.draining;
    let silent = cx.now.since(running.last_progress) >= attempt::STREAM_STALL_TIMEOUT;
    let quarantine = &mut node.quarantine;
    match end {
        AttemptEnd::Complete { .. } => {
            quarantine.record_server_alive(incarnation_id, running.sent_at, cx.now);
            quarantine.record_success(content, cx.now);
        }
        AttemptEnd::Broken if !draining => {
            quarantine.record_broken_connection(
                content,
                &[incarnation_id],
                other_requests,
                silent,
                cx.now,
            );
        }
        AttemptEnd::Refused { .. } => {
            quarantine.record_server_alive(incarnation_id, running.sent_at, cx.now);
            quarantine.record_run_ended(content);
        }
        AttemptEnd::Broken | AttemptEnd::NotSent => quarantine.record_run_ended(content),
    }
}

/// Records that a request was sent to a server.
pub(crate) fn on_sent(node: &mut Node, cx: &Cx<'_>, key: RequestKey) {
    if let Some(content) = node.requests[key].content {
        node.quarantine.record_send(content, cx.now);
    }
}

/// Ends the incarnation of a server that is unreachable or does not respond to
/// load polls. A later response to an earlier request reverts this.
pub(crate) fn on_server_unreachable(node: &mut Node, cx: &Cx<'_>, server: ServerKey) {
    let incarnation_id = incarnation_id(node, server);
    node.quarantine
        .record_server_ended(incarnation_id, true, cx.now);
    node.servers.arena[server].unreachable = true;
}

/// Starts a new incarnation if the server was unreachable before.
pub(crate) fn on_server_reachable(node: &mut Node, server: ServerKey) {
    let server = &mut node.servers.arena[server];
    if std::mem::take(&mut server.unreachable) {
        server.incarnation = server.incarnation.wrapping_add(1);
    }
}

/// Advances the quarantine, publishes updates to peers and logs findings.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    node.quarantine.tick(cx.now);
    let updates = node.quarantine.take_updates();
    broadcast(node, cx, updates);
    for finding in node.quarantine.take_findings() {
        log(cx, &finding);
    }
}

/// Rebroadcasts updates that peers may have missed.
pub(crate) fn on_heartbeat(node: &Node, cx: &mut Cx<'_>) {
    broadcast(
        node,
        cx,
        node.quarantine.updates_to_rebroadcast(true, cx.now),
    );
}

fn broadcast(node: &Node, cx: &mut Cx<'_>, updates: Vec<QuarantineUpdate>) {
    if updates.is_empty() {
        return;
    }
    for vm in node.membership.heartbeat_targets() {
        let message = Box::new(PeerMessage::Suspects(updates.clone()));
        cx.emit(Effect::Peer { to: vm, message });
    }
}

fn log(cx: &mut Cx<'_>, finding: &QuarantineFinding) {
    match finding {
        QuarantineFinding::Crashed {
            content,
            crash,
            incidents,
            ..
        } => {
            let server = crash.server >> INCARNATION_BITS;
            let facts = format!(
                "content={content} server={server} others={} silent={} moments={incidents}",
                crash.other_requests, crash.silent
            );
            cx.log(LogEventKind::CrashSuspected, facts);
        }
        QuarantineFinding::Quarantined(found) => {
            let servers = found.crashes.iter().map(|c| c.server >> INCARNATION_BITS);
            let servers: Vec<String> = servers.map(|server| server.to_string()).collect();
            let facts = format!(
                "content={} lasts_s={} times={} declared_here={} crashes={}",
                found.content,
                found.duration.as_secs(),
                found.quarantine_count,
                found.declared_locally,
                servers.join(",")
            );
            cx.log(LogEventKind::RequestQuarantined, facts);
        }
        QuarantineFinding::Ended {
            content, reason, ..
        } => {
            let facts = format!("content={content} reason={reason:?}");
            cx.log(LogEventKind::QuarantineEnded, facts);
        }
    }
}
