//! Log lines and metrics of requests.

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::BodyFraming;
use notchwalk_quarantine::{Fingerprint, SubjectKind};
use notchwalk_route::{Assignment, AttemptEnd, Forwarding, Refusal, RetryUsage, ServiceStatus};

use super::Front;
use crate::{
    active_request::ActiveRequest,
    attempt::{self, Destination},
    quarantine::kind_label,
    relay_response::Delivery,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Delivered,
    CallerDisconnected,
    Refused(Refusal),
    StreamAborted,
}

impl Outcome {
    pub fn label(self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::CallerDisconnected => "caller_left",
            Self::StreamAborted => "broken_off",
            Self::Refused(Refusal::NotReady) => "not_ready",
            Self::Refused(Refusal::Draining) => "draining",
            Self::Refused(Refusal::NoServer) => "no_server",
            Self::Refused(Refusal::Overloaded) => "overloaded",
            Self::Refused(Refusal::Limited) => "limited",
            Self::Refused(Refusal::NotRun) => "not_run",
            Self::Refused(Refusal::Unknown) => "unknown",
            Self::Refused(Refusal::TimedOut) => "timed_out",
            Self::Refused(Refusal::Suspected) => "suspected",
            Self::Refused(Refusal::Quarantined) => "quarantined",
            Self::Refused(Refusal::PeerBusy) => "peer_busy",
        }
    }
}

/// Returns the label of the framing of the last response in logs.
fn framing_label(framing: Option<BodyFraming>) -> &'static str {
    match framing {
        None => "none",
        Some(BodyFraming::Length) => "length",
        Some(BodyFraming::Chunked) => "chunked",
        Some(BodyFraming::UntilClose) => "until_close",
    }
}

/// Logs why no server is available for a request.
pub(super) fn log_no_server(
    req: &ActiveRequest,
    service: &str,
    status: ServiceStatus,
    excluded: usize,
) {
    let facts = format!(
        "request={} service={service} servers={} ejected={} draining={} backing_off={} excluded={excluded}",
        req.id(),
        status.registered,
        status.ejected,
        status.draining,
        status.backing_off,
    );
    LogEvent::new(LogEventKind::NoServerAvailable, facts).emit();
}

/// Logs which suspect a request is refused for.
pub(super) fn log_blocked(req: &ActiveRequest, subject: Fingerprint, kind: SubjectKind) {
    let facts = format!("request={} {}={subject}", req.id(), kind_label(kind));
    LogEvent::new(LogEventKind::RequestBlocked, facts).emit();
}

impl Front {
    pub(super) fn log_sent(&self, req: &ActiveRequest, to: &Assignment) {
        let now = self.shell.now();
        let version = self.shell.router.borrow().version();
        let facts = format!(
            "request={} content={} parts={} route={} server={} helpers={} grounds={:?} resent={} since_first_ms={} waited_ms={} predicted_ms={:.0} tokens={} config={version} servers_age_ms={}",
            req.id(),
            req.content,
            req.parts(),
            req.route,
            to.instance,
            to.prefill_workers.len(),
            to.reason,
            to.previous_sends,
            to.since_first_attempt.as_millis(),
            now.since(req.arrived_at).as_millis(),
            to.predicted_first_event.as_secs_f64() * 1e3,
            req.caller.prompt_tokens,
            now.since(self.shell.servers_refreshed_at.get()).as_millis(),
        );
        let facts = facts + &req.forwarded_by_fact();
        LogEvent::new(LogEventKind::RequestSent, facts).emit();
    }

    pub(super) fn log_forwarded(&self, req: &ActiveRequest, to: &Forwarding) {
        let waited = self.shell.now().since(req.arrived_at);
        let facts = format!(
            "request={} content={} route={} peer={} counts_as={:?} waited_ms={} config={}",
            req.id(),
            req.content,
            req.route,
            to.peer,
            to.counts_as,
            waited.as_millis(),
            to.config_version,
        );
        LogEvent::new(LogEventKind::RequestForwarded, facts).emit();
    }

    /// Counts the end of an attempt, and logs it unless the response was delivered.
    pub(super) fn record_attempt(
        &self,
        req: &ActiveRequest,
        delivery: &mut Delivery,
        to: Destination<'_>,
        end: AttemptEnd,
    ) {
        let label = attempt::end_label(end);
        let metrics = &self.shell.metrics;
        let (counter, destination) = match to {
            Destination::Server(to) => (&metrics.attempts, format!("server={}", to.instance)),
            Destination::Peer(to) => (&metrics.forwarded, format!("peer={}", to.peer)),
        };
        counter.with_label_values(&[label]).inc();
        if matches!(end, AttemptEnd::Delivered { .. }) {
            return;
        }
        let after = self.shell.now().since(req.arrived_at).as_millis();
        let error = match end {
            AttemptEnd::PeerRefused { reason, .. } => Outcome::Refused(reason).label().to_owned(),
            _ => delivery.last_error.take().unwrap_or_default(),
        };
        let facts = format!(
            "request={} content={} {destination} end={label} after_ms={after} framing={} partial_bytes={} error={error:?}",
            req.id(),
            req.content,
            framing_label(delivery.framing),
            delivery.partial_event_bytes,
        );
        LogEvent::new(LogEventKind::AttemptFailed, facts).emit();
    }

    /// Logs and counts a decision of the retry budget.
    pub(super) fn record_retry_decision(
        &self,
        req: &ActiveRequest,
        service: &str,
        end: AttemptEnd,
        allowed: bool,
        usage: RetryUsage,
    ) {
        let result = if allowed { "allowed" } else { "denied" };
        let end = attempt::end_label(end);
        self.shell
            .metrics
            .retries
            .with_label_values(&[service, end, result])
            .inc();
        let facts = format!(
            "request={} service={service} end={end} result={result} retries={} limit={:.1} first_attempts={} nodes={} knows_previous={}",
            req.id(),
            usage.retries,
            usage.limit,
            usage.first_attempts,
            usage.nodes.unwrap_or(0),
            usage.knows_previous,
        );
        LogEvent::new(LogEventKind::RetryDecided, facts).emit();
    }

    /// Logs and counts the outcome of a request.
    pub(super) fn record_outcome(
        &self,
        req: &ActiveRequest,
        delivery: &Delivery,
        outcome: Outcome,
    ) {
        let label = outcome.label();
        let metrics = &self.shell.metrics;
        metrics
            .requests
            .with_label_values(&[&req.route, label])
            .inc();
        let total = self.shell.now().since(req.arrived_at);
        let first = delivery.first_at.map(|at| at.since(req.arrived_at));
        if let Some(first) = first {
            let histogram = metrics.first_byte.with_label_values(&[&req.route]);
            histogram.observe(first.as_secs_f64());
            if let Some(predicted) = delivery.predicted_first_event {
                let ratio = predicted.as_secs_f64() / first.as_secs_f64().max(1e-3);
                let histogram = metrics.prediction_ratio.with_label_values(&[&req.route]);
                histogram.observe(ratio);
            }
        }
        let facts = format!(
            "request={} content={} parts={} route={} outcome={label} tokens={} sends={} first_ms={} passes={} longest_pause_ms={} total_ms={} framing={} partial_bytes={}",
            req.id(),
            req.content,
            req.parts(),
            req.route,
            req.caller.prompt_tokens,
            delivery.attempts,
            first.map_or(-1, |first| first.as_millis() as i64),
            delivery.event_writes,
            delivery.max_event_gap.as_millis(),
            total.as_millis(),
            framing_label(delivery.framing),
            delivery.partial_event_bytes,
        );
        if req.forwarded_by.is_some() {
            let counter = metrics.served_for_peers.with_label_values(&[label]);
            counter.inc();
        }
        let facts = facts + &req.forwarded_by_fact();
        LogEvent::new(LogEventKind::RequestEnded, facts).emit();
    }
}
