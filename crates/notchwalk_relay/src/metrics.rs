//! Counters and histograms in Prometheus' text format.

use notchwalk_daemon::MetricSet;
use prometheus::{
    exponential_buckets, GaugeVec, HistogramVec, IntCounter, IntCounterVec, IntGauge,
};

/// The figures of one process.
pub struct Metrics {
    set: MetricSet,
    /// Requests that ended, by route and outcome.
    pub requests: IntCounterVec,
    /// Sends to backend servers, by how they ended.
    pub attempts: IntCounterVec,
    /// Seconds from arrival to the first event or the whole answer, by route.
    pub first_byte: HistogramVec,
    /// Predicted over seen time to the first event, by route.
    pub prediction: HistogramVec,
    /// Whether the store answers, by table.
    pub store_up: prometheus::IntGaugeVec,
    /// Questions to the store for changes, by table and how they ended.
    pub store_questions: IntCounterVec,
    /// How often the store came back from an older copy.
    pub store_era: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// Requests being served.
    pub open_requests: IntGauge,
    /// Peers that answer.
    pub peers_alive: IntGauge,
    /// Backend servers on record.
    pub servers: IntGauge,
    /// Servers that seem to have ended under a request of this entry.
    pub suspected_crashes: IntCounter,
    /// Quarantines that this entry declared.
    pub quarantines: IntCounter,
    /// Contents that are sent to no server for a while.
    pub quarantined: IntGauge,
    /// What servers said of themselves in their answers.
    pub server_words: IntCounterVec,
    /// Requests a second that servers take from all entries together.
    pub server_limits: GaugeVec,
    /// Messages that this entry sent to servers with limits.
    pub limited_sends: IntCounter,
}

impl Metrics {
    /// Builds all figures at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name stands twice in this file.
    pub fn new() -> Self {
        let set = MetricSet::new();
        let seconds = exponential_buckets(0.02, 1.7, 14).expect("the bounds rise");
        let ratios = vec![0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0];
        Self {
            limited_sends: set.counter(
                "notchwalk_limited_sends_total",
                "Requests, parts of them and orders that went to servers with limits",
            ),
            server_limits: set.fractions(
                "notchwalk_server_limit_per_second",
                "Requests a second that a server takes from all entries together",
                &["server"],
            ),
            requests: set.counters(
                "notchwalk_requests_total",
                "Requests that ended",
                &["route", "outcome"],
            ),
            attempts: set.counters(
                "notchwalk_attempts_total",
                "Sends to backend servers",
                &["end"],
            ),
            store_questions: set.counters(
                "notchwalk_store_questions_total",
                "Questions to the store for changes",
                &["table", "end"],
            ),
            store_era: set.gauge(
                "notchwalk_store_era",
                "How often the store came back from an older copy",
            ),
            config_version: set.gauge(
                "notchwalk_config_version",
                "Version of the configuration in force",
            ),
            open_requests: set.gauge("notchwalk_open_requests", "Requests being served"),
            peers_alive: set.gauge("notchwalk_peers_alive", "Peers that answer"),
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
                "Contents that are sent to no server for a while",
            ),
            server_words: set.counters(
                "notchwalk_server_words_total",
                "Answers in which servers say that they leave, want nothing, or name a limit",
                &["word"],
            ),
            servers: set.gauge("notchwalk_backend_servers", "Backend servers on record"),
            first_byte: set.histograms(
                "notchwalk_first_byte_seconds",
                "Time from arrival to the first event or the whole answer",
                seconds,
                &["route"],
            ),
            prediction: set.histograms(
                "notchwalk_prediction_ratio",
                "Predicted over seen time to the first event",
                ratios,
                &["route"],
            ),
            store_up: set.gauges(
                "notchwalk_store_up",
                "Whether the store answers",
                &["table"],
            ),
            set,
        }
    }

    /// Returns all figures as text.
    pub fn text(&self) -> String {
        self.set.text()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
