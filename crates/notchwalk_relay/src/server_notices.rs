//! Applies the notices that backend servers announce in response heads.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_route::{Event, RateLimit, ServerKey, ServerNotice};

use crate::{shell::Shell, AnnouncedLimit, ResponseFacts, ResponseKind, RetryAfter};

/// The longest backoff that is accepted: a longer one is likely in another unit,
/// and would exclude the server for too long.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// How often invalid notices of one server are logged: each of its responses may carry
/// one.
const INVALID_NOTICE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Where and when the request that a response answers was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseOrigin {
    /// The server that the request was for; `None` for an order to an engine.
    pub server: Option<ServerKey>,
    /// The address that the request was sent to.
    pub addr: SocketAddr,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// Applies the notices in the head of a response, whether to a request, to an order or
/// to another request on the same connection. Called before the response is relayed.
pub(crate) fn apply_notices(shell: &Rc<Shell>, origin: ResponseOrigin, facts: &ResponseFacts) {
    let Some(server) = notice_source(shell, origin, facts) else {
        return;
    };
    if let Some(limit) = limit(shell, server, facts) {
        let requested_at = origin.sent_at;
        apply_notice(
            shell,
            server,
            ServerNotice::Limit {
                limit,
                requested_at,
            },
        );
    }
    if facts.draining {
        apply_notice(shell, server, ServerNotice::Draining);
    }
    if let Some(backoff) = backoff(shell, server, &facts.retry_after) {
        apply_notice(shell, server, ServerNotice::Backoff(backoff));
    }
}

fn apply_notice(shell: &Rc<Shell>, server: ServerKey, notice: ServerNotice) {
    let label = match notice {
        ServerNotice::Draining => Some("leaving"),
        ServerNotice::Backoff(_) => Some("wants_nothing"),
        ServerNotice::Limit { limit, .. } => limit.map(|_| "limit"),
    };
    if let Some(label) = label {
        shell
            .metrics
            .server_notices
            .with_label_values(&[label])
            .inc();
    }
    shell.step(Event::NoticeReceived { server, notice });
}

/// Returns the server that announces the notices of a response: the server that the
/// response names, or else the server that the request was for, unless its address now
/// belongs to another one.
fn notice_source(
    shell: &Shell,
    origin: ResponseOrigin,
    facts: &ResponseFacts,
) -> Option<ServerKey> {
    let router = shell.router.borrow();
    let fleet = router.fleet();
    if let Some(instance) = &facts.instance {
        return fleet.by_instance(instance);
    }
    if facts.kind != ResponseKind::Misdirected {
        return origin.server.or_else(|| router.engine_at(origin.addr));
    }
    fleet.other_server_at(origin.addr, origin.server)
}

/// Returns the limit that a response announces, or `Some(None)` if a known limit has
/// ended; `None` if the response changes nothing. Only the server's own responses can
/// end a limit.
fn limit(shell: &Shell, server: ServerKey, facts: &ResponseFacts) -> Option<Option<RateLimit>> {
    match &facts.limit {
        AnnouncedLimit::Rate(rate) => Some(Some(*rate)),
        AnnouncedLimit::Invalid { reason, applied } => {
            let rate = applied.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log_invalid(shell, server, reason, &format!("taken_per_second={rate}"));
            applied.map(Some)
        }
        AnnouncedLimit::Absent => {
            let is_own = matches!(
                facts.kind,
                ResponseKind::Success | ResponseKind::Failure | ResponseKind::NotRun
            );
            let router = shell.router.borrow();
            let known = router.fleet().get(server)?.limit();
            (is_own && known.is_some()).then_some(None)
        }
    }
}

/// Returns how long to back off from a server. Invalid values are ignored; longer ones
/// are capped at [`MAX_BACKOFF`].
fn backoff(shell: &Shell, server: ServerKey, retry_after: &RetryAfter) -> Option<Duration> {
    match retry_after {
        RetryAfter::Absent => None,
        RetryAfter::After(time) if *time > MAX_BACKOFF => {
            let reason = format!("{} s are too long", time.as_secs());
            let applied = format!("taken_ms={}", MAX_BACKOFF.as_millis());
            log_invalid(shell, server, &reason, &applied);
            Some(MAX_BACKOFF)
        }
        RetryAfter::After(time) => Some(*time).filter(|time| !time.is_zero()),
        RetryAfter::Invalid(reason) => {
            log_invalid(shell, server, reason, "taken_ms=0");
            None
        }
    }
}

/// Logs an invalid notice and the value that is applied instead.
fn log_invalid(shell: &Shell, server: ServerKey, reason: &str, applied: &str) {
    let now = shell.now();
    let mut logged = shell.invalid_notice_logged_at.borrow_mut();
    let last = logged.get(server);
    if last.is_some_and(|&last| now.since(last) < INVALID_NOTICE_LOG_INTERVAL) {
        return;
    }
    logged.insert(server, now);
    let facts = format!(
        "server={} reason={reason:?} {applied}",
        instance_name(shell, server)
    );
    LogEvent::new(LogEventKind::ServerNoticeInvalid, facts).emit();
}

/// Logs a notice that is new to this node.
pub(crate) fn log_notice(
    shell: &Shell,
    server: ServerKey,
    notice: ServerNotice,
    reported_by_peer: bool,
) {
    let (kind, facts) = match notice {
        ServerNotice::Draining => {
            let router = shell.router.borrow();
            let stage = router.fleet().get(server).map(|known| known.record().stage);
            let running = router.load_view().load(server, shell.now()).occupied();
            let facts = format!("by_peer={reported_by_peer} record={stage:?} running={running}");
            (LogEventKind::ServerAnnouncedDraining, facts)
        }
        ServerNotice::Backoff(time) => {
            let facts = format!("for_ms={}", time.as_millis());
            (LogEventKind::ServerRequestedBackoff, facts)
        }
        ServerNotice::Limit {
            limit,
            requested_at,
        } => {
            let age = shell.now().since(requested_at).as_millis();
            match limit {
                Some(limit) => {
                    let facts =
                        format!("by_peer={reported_by_peer} per_second={limit} asked_ms={age}");
                    (LogEventKind::ServerLimitAnnounced, facts)
                }
                None => {
                    let facts = format!("by_peer={reported_by_peer} asked_ms={age}");
                    (LogEventKind::ServerLimitLifted, facts)
                }
            }
        }
    };
    let facts = format!("server={} {facts}", instance_name(shell, server));
    LogEvent::new(kind, facts).emit();
}

/// Logs that a server's rate limit is exhausted.
pub(crate) fn log_limit_exhausted(shell: &Shell, server: ServerKey) {
    let router = shell.router.borrow();
    let Some(known) = router.fleet().get(server) else {
        return;
    };
    let now = shell.now();
    let limit = known.limit().map_or(0.0, RateLimit::rate);
    let facts = format!(
        "server={} per_second={limit} allowance={:.2} users={} sent={}",
        known.record().instance,
        known.available_requests(now).unwrap_or_default(),
        known.limit_users(now),
        known.sent()
    );
    LogEvent::new(LogEventKind::ServerLimitExhausted, facts).emit();
}

fn instance_name(shell: &Shell, server: ServerKey) -> String {
    let router = shell.router.borrow();
    let known = router.fleet().get(server);
    known.map_or_else(
        || "gone".to_owned(),
        |known| known.record().instance.clone(),
    )
}
