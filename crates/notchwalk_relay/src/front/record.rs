//! What is told of a request: log lines and figures.

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_route::{Assignment, Refusal};

use super::Front;
use crate::{attempt::Delivery, served::Served};

/// How a request ended, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Delivered,
    CallerLeft,
    Refused(Refusal),
    BrokenOff,
}

impl Outcome {
    pub fn word(self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::CallerLeft => "caller_left",
            Self::BrokenOff => "broken_off",
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
        }
    }
}

impl Front {
    pub(super) fn log_sent(&self, served: &Served, to: &Assignment) {
        let now = self.shell.now();
        let version = self.shell.router.borrow().version();
        let facts = format!(
            "request={} content={} route={} server={} helpers={} grounds={:?} resent={} since_first_ms={} waited_ms={} predicted_ms={:.0} tokens={} config={version} servers_age_ms={}",
            served.id(),
            served.content,
            served.route,
            to.instance,
            to.helpers.len(),
            to.grounds,
            to.resent,
            to.since_first.as_millis(),
            now.since(served.arrived).as_millis(),
            to.predicted_first.as_secs_f64() * 1e3,
            served.caller.prompt_tokens,
            now.since(self.shell.servers_current.get()).as_millis(),
        );
        LogEvent::new(LogEventKind::RequestSent, facts).emit();
    }

    pub(super) fn record(&self, served: &Served, delivery: &Delivery, outcome: Outcome) {
        let word = outcome.word();
        let metrics = &self.shell.metrics;
        metrics
            .requests
            .with_label_values(&[&served.route, word])
            .inc();
        let total = self.shell.now().since(served.arrived);
        let first = delivery.first_at.map(|at| at.since(served.arrived));
        if let Some(first) = first {
            let histogram = metrics.first_byte.with_label_values(&[&served.route]);
            histogram.observe(first.as_secs_f64());
            if let Some(predicted) = delivery.predicted_first {
                let ratio = predicted.as_secs_f64() / first.as_secs_f64().max(1e-3);
                let histogram = metrics.prediction.with_label_values(&[&served.route]);
                histogram.observe(ratio);
            }
        }
        let facts = format!(
            "request={} content={} route={} outcome={word} tokens={} sends={} first_ms={} passes={} longest_pause_ms={} total_ms={}",
            served.id(),
            served.content,
            served.route,
            served.caller.prompt_tokens,
            delivery.sends,
            first.map_or(-1, |first| first.as_millis() as i64),
            delivery.passes,
            delivery.longest_pause.as_millis(),
            total.as_millis(),
        );
        LogEvent::new(LogEventKind::RequestEnded, facts).emit();
    }
}
