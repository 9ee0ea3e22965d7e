//! Requests under which backend servers ended, over all their tries and entries: what
//! crashes the servers that run it is sent to no more of them
//! (`notchwalk_quarantine`).
//!
//! Attempts are bounded within a try; such a request comes again as another. Six
//! engines crashed in four tries of one completion without this, three with it.

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

/// When a caller may come back under whose request servers ended, in milliseconds: by
/// then it is known whether they crashed.
const SUSPECTED_RETRY_MS: u64 = 2_000;
/// Bits of a server's short id that count its lives.
const LIFE_BITS: u32 = 8;

/// Returns why a request of this content may not be sent now, and when its caller may
/// come back, or its quarantine ends.
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

/// Returns the short id of a server's present life. Engines keep their number when they
/// start again.
fn tag(node: &Node, server: ServerKey) -> u32 {
    let server = &node.servers.arena[server];
    (server.id.0 << LIFE_BITS) | (server.lives & ((1 << LIFE_BITS) - 1))
}

/// Takes from the end of an attempt what it says about content and server.
pub(crate) fn on_attempt_ended(node: &mut Node, cx: &Cx<'_>, key: RequestKey, end: &AttemptEnd) {
    let req = &node.requests[key];
    let (Some(content), Some(running)) = (req.content, req.running) else {
        return;
    };
    if *end != AttemptEnd::NotSent {
        // It took the request, so that it is back if it had been away.
        on_server_answers(node, running.server);
    }
    let tag = tag(node, running.server);
    let server = &node.servers.arena[running.server];
    let others = u16::try_from(server.running.saturating_sub(1)).unwrap_or(u16::MAX);
    let leaves = server.leaving;
    let silent = cx.now.since(running.progress) >= attempt::STALL;
    let quarantine = &mut node.quarantine;
    match end {
        AttemptEnd::Complete { .. } => {
            quarantine.record_server_alive(tag, running.since, cx.now);
            quarantine.record_success(content, cx.now);
        }
        AttemptEnd::Broken if !leaves => {
            quarantine.record_broken_connection(content, &[tag], others, silent, cx.now);
        }
        AttemptEnd::Refused { .. } => {
            quarantine.record_server_alive(tag, running.since, cx.now);
            quarantine.record_run_ended(content);
        }
        AttemptEnd::Broken | AttemptEnd::NotSent => quarantine.record_run_ended(content),
    }
}

/// A request was sent.
pub(crate) fn on_sent(node: &mut Node, cx: &Cx<'_>, key: RequestKey) {
    if let Some(content) = node.requests[key].content {
        node.quarantine.record_send(content, cx.now);
    }
}

/// A server can't be reached, or no longer says how it is loaded: this life of it is
/// over, unless it answers what it was sent before.
pub(crate) fn on_server_away(node: &mut Node, cx: &Cx<'_>, server: ServerKey) {
    let tag = tag(node, server);
    node.quarantine.record_server_ended(tag, true, cx.now);
    node.servers.arena[server].away = true;
}

/// A server says how it is loaded, or took a request.
pub(crate) fn on_server_answers(node: &mut Node, server: ServerKey) {
    let server = &mut node.servers.arena[server];
    if std::mem::take(&mut server.away) {
        server.lives = server.lives.wrapping_add(1);
    }
}

/// Lets time pass, tells peers what is new, and logs what was found.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    node.quarantine.tick(cx.now);
    let updates = node.quarantine.take_updates();
    tell(node, cx, updates);
    for finding in node.quarantine.take_findings() {
        log(cx, &finding);
    }
}

/// Tells peers again what they may have missed; comes with each heartbeat.
pub(crate) fn on_heartbeat(node: &Node, cx: &mut Cx<'_>) {
    tell(
        node,
        cx,
        node.quarantine.updates_to_rebroadcast(true, cx.now),
    );
}

fn tell(node: &Node, cx: &mut Cx<'_>, updates: Vec<QuarantineUpdate>) {
    if updates.is_empty() {
        return;
    }
    for vm in node.membership.receivers() {
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
        } => {
            let server = crash.server >> LIFE_BITS;
            let facts = format!(
                "content={content} server={server} others={} silent={} moments={incidents}",
                crash.other_requests, crash.silent
            );
            cx.log(LogEventKind::CrashSuspected, facts);
        }
        QuarantineFinding::Quarantined(found) => {
            let servers = found.crashes.iter().map(|c| c.server >> LIFE_BITS);
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
        QuarantineFinding::Ended { content, reason } => {
            let facts = format!("content={content} reason={reason:?}");
            cx.log(LogEventKind::QuarantineEnded, facts);
        }
    }
}
