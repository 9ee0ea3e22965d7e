//! Prometheus metrics.

use notchwalk_daemon::MetricSet;
use prometheus::{
    exponential_buckets, GaugeVec, HistogramVec, IntCounter, IntCounterVec, IntGauge,
};

/// The metrics of one process.
pub struct Metrics {
    set: MetricSet,
    /// Ended requests, by route and outcome.
    pub requests: IntCounterVec,
    /// Attempts at backend servers, by how they ended.
    pub attempts: IntCounterVec,
    /// Decisions of the retry budget, by service, end of the last attempt and result.
    pub retries: IntCounterVec,
    /// Seconds from arrival to the first event or the complete response, by route.
    pub first_byte: HistogramVec,
    /// Ratio of the predicted to the actual time to the first event, by route.
    pub prediction_ratio: HistogramVec,
    /// Whether the store responds, by table.
    pub store_up: prometheus::IntGaugeVec,
    /// Polls of the store for changes, by table and result.
    pub store_polls: IntCounterVec,
    /// The epoch of the store; it increases with each restore from a snapshot.
    pub store_epoch: IntGauge,
    /// The version of the active configuration.
    pub config_version: IntGauge,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Reachable peers.
    pub peers_alive: IntGauge,
    /// Services that this node can't reach.
    pub unreachable_services: IntGauge,
    /// Requests forwarded to peers, by how the attempt ended.
    pub forwarded: IntCounterVec,
    /// Requests served for peers, by outcome.
    pub served_for_peers: IntCounterVec,
    /// Registered backend servers.
    pub servers: IntGauge,
    /// Suspected crashes of servers while they executed a request of this node.
    pub suspected_crashes: IntCounter,
    /// Quarantines declared by this node.
    pub quarantines: IntCounter,
    /// Request contents and parts of prompts currently in quarantine.
    pub quarantined: IntGauge,
    /// Notices announced by servers in responses, by kind.
    pub server_notices: IntCounterVec,
    /// Rate limits that servers announce for all nodes together.
    pub server_limits: GaugeVec,
    /// Requests, prompt segments and orders sent by this node to servers with rate
    /// limits.
    pub limited_sends: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if a name is registered twice.
    pub fn new() -> Self {
        let set = MetricSet::new();
        let seconds = exponential_buckets(0.02, 1.7, 14).expect("valid bucket bounds");
        let ratios = vec![0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0];
        Self {
            limited_sends: set.counter(
                "notchwalk_limited_sends_total",
                "Requests, parts of them and orders that went to servers with limits",
            ),
            server_limits: set.float_gauge_vec(
                "notchwalk_server_limit_per_second",
                "Requests a second that a server takes from all entries together",
                &["server"],
            ),
            requests: set.counter_vec(
                "notchwalk_requests_total",
                "Requests that ended",
                &["route", "outcome"],
            ),
            attempts: set.counter_vec(
                "notchwalk_attempts_total",
                "Sends to backend servers",
                &["end"],
            ),
            retries: set.counter_vec(
                "notchwalk_retries_total",
                "Retries that the retry budget allowed or denied",
                &["service", "end", "result"],
            ),
            store_polls: set.counter_vec(
                "notchwalk_store_questions_total",
                "Questions to the store for changes",
                &["table", "end"],
            ),
            store_epoch: set.gauge(
                "notchwalk_store_era",
                "How often the store came back from an older copy",
            ),
            config_version: set.gauge(
                "notchwalk_config_version",
                "Version of the configuration in force",
            ),
            open_requests: set.gauge("notchwalk_open_requests", "Requests being served"),
            peers_alive: set.gauge("notchwalk_peers_alive", "Peers that answer"),
            unreachable_services: set.gauge(
                "notchwalk_unreachable_services",
                "Services that this node can't reach",
            ),
            forwarded: set.counter_vec(
                "notchwalk_forwarded_total",
                "Requests forwarded to peers",
                &["end"],
            ),
            served_for_peers: set.counter_vec(
                "notchwalk_served_for_peers_total",
                "Requests that peers forwarded to this node",
                &["outcome"],
            ),
            suspected_crashes: set.counter(
                "notchwalk_suspected_crashes_total",
                "Servers that seem to have ended under a request",
            ),
            quarantines: set.counter(
                "notchwalk_quarantines_total",
                "Requests that crash their servers, found here",
            ),
            quarantined: set.gauge(
                "notchwalk_quarantined",
                "Contents and parts of prompts that are sent to no server for a while",
            ),
            server_notices: set.counter_vec(
                "notchwalk_server_words_total",
                "Answers in which servers say that they leave, want nothing, or name a limit",
                &["word"],
            ),
            servers: set.gauge("notchwalk_backend_servers", "Backend servers on record"),
            first_byte: set.histogram_vec(
                "notchwalk_first_byte_seconds",
                "Time from arrival to the first event or the whole answer",
                seconds,
                &["route"],
            ),
            prediction_ratio: set.histogram_vec(
                "notchwalk_prediction_ratio",
                "Predicted over seen time to the first event",
                ratios,
                &["route"],
            ),
            store_up: set.gauge_vec(
                "notchwalk_store_up",
                "Whether the store answers",
                &["table"],
            ),
            set,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        self.set.encode()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
