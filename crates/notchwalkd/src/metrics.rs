//! Metrics in Prometheus' text format.

use notchwalk_daemon::MetricSet;
use notchwalk_decide::Node;
use prometheus::{Gauge, IntGauge};

/// The metrics of one daemon, updated when they are rendered.
pub struct Metrics {
    set: MetricSet,
    counters: Vec<(&'static str, IntGauge)>,
    open_requests: IntGauge,
    queued_requests: IntGauge,
    open_cancels: IntGauge,
    bundle_version: IntGauge,
    peer_bytes: IntGauge,
    bundle_bytes: IntGauge,
    ready: IntGauge,
    retry_budget: Gauge,
}

/// Names and help texts of the counters, in the order that [`Metrics::encode`] sets them.
const COUNTERS: [(&str, &str); 12] = [
    ("notchwalk_arrived_total", "Requests that came"),
    ("notchwalk_refused_total", "Requests refused at the door"),
    ("notchwalk_completed_total", "Requests answered whole"),
    ("notchwalk_failed_total", "Admitted requests that failed"),
    (
        "notchwalk_attempts_total",
        "Attempts sent to backend servers",
    ),
    (
        "notchwalk_retries_total",
        "Attempts that followed a failed one",
    ),
    (
        "notchwalk_frames_dropped_total",
        "Late or crossed frames dropped",
    ),
    ("notchwalk_tokens_total", "Tokens passed to callers"),
    (
        "notchwalk_top_ups_total",
        "Reservations raised while answers grew",
    ),
    ("notchwalk_cancels_total", "Cancels that engines confirmed"),
    (
        "notchwalk_long_denied_total",
        "Long prompts refused room by homes",
    ),
    (
        "notchwalk_long_granted_total",
        "Long prompts granted room by homes",
    ),
];

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name.
    pub fn new() -> Self {
        let set = MetricSet::new();
        let counters = COUNTERS
            .map(|(name, help)| (name, set.gauge(name, help)))
            .to_vec();
        Self {
            counters,
            open_requests: set.gauge("notchwalk_open_requests", "Requests admitted and not over"),
            queued_requests: set.gauge("notchwalk_queued_requests", "Requests that wait"),
            open_cancels: set.gauge("notchwalk_open_cancels", "Cancels not confirmed"),
            bundle_version: set.gauge("notchwalk_bundle_version", "The bundle in force"),
            peer_bytes: set.gauge("notchwalk_peer_bytes_total", "Bytes sent to other daemons"),
            bundle_bytes: set.gauge("notchwalk_bundle_bytes_total", "Bytes fetched for bundles"),
            ready: set.gauge(
                "notchwalk_ready",
                "1 if a bundle is in force and nothing drains",
            ),
            retry_budget: set.float_gauge("notchwalk_retry_budget", "Retries saved up"),
            set,
        }
    }

    /// Updates all metrics and renders them in Prometheus' text format.
    pub fn encode(&self, node: &Node, traffic: Traffic) -> String {
        let c = node.counters();
        let counts = [
            c.arrived,
            c.refused,
            c.completed,
            c.failed,
            c.attempts,
            c.retries,
            c.frames_dropped,
            c.tokens,
            c.top_ups,
            c.cancels,
            c.long_denied,
            c.long_granted,
        ];
        for ((_, gauge), count) in self.counters.iter().zip(counts) {
            gauge.set(count as i64);
        }
        self.open_requests.set(node.open_requests() as i64);
        self.queued_requests.set(node.queued_requests() as i64);
        self.open_cancels.set(node.open_cancels() as i64);
        self.bundle_version.set(node.bundle_version() as i64);
        self.ready.set(i64::from(node.is_ready()));
        self.retry_budget.set(node.retry_budget());
        self.bundle_bytes.set(traffic.bundle_bytes as i64);
        self.peer_bytes.set(traffic.peer_bytes as i64);
        self.set.encode()
    }
}

/// Control-plane traffic since the daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Bytes sent to peers.
    pub peer_bytes: u64,
    /// Bytes fetched from the platform for bundles.
    pub bundle_bytes: u64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
