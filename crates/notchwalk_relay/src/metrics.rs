//! Counters and histograms in Prometheus' text format.

use prometheus::{
    exponential_buckets, Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, Opts, Registry, TextEncoder,
};

/// The figures of one process.
pub struct Metrics {
    registry: Registry,
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

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels);
    let counter = counter.expect("name and labels are valid");
    register(registry, counter.clone());
    counter
}

fn plain_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the name is valid");
    register(registry, counter.clone());
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name is valid");
    register(registry, gauge.clone());
    gauge
}

fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    let registered = registry.register(Box::new(metric));
    registered.expect("each name is registered once");
}

impl Metrics {
    /// Builds all figures at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name stands twice in this file.
    pub fn new() -> Self {
        let registry = Registry::new();
        let buckets = exponential_buckets(0.02, 1.7, 14).expect("the bounds rise");
        let opts = HistogramOpts::new(
            "notchwalk_first_byte_seconds",
            "Time from arrival to the first event or the whole answer",
        );
        let first_byte = HistogramVec::new(opts.buckets(buckets), &["route"]);
        let first_byte = first_byte.expect("name and labels are valid");
        register(&registry, first_byte.clone());
        let opts = HistogramOpts::new(
            "notchwalk_prediction_ratio",
            "Predicted over seen time to the first event",
        );
        let buckets = vec![0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0];
        let prediction = HistogramVec::new(opts.buckets(buckets), &["route"]);
        let prediction = prediction.expect("name and labels are valid");
        register(&registry, prediction.clone());
        let opts = Opts::new("notchwalk_store_up", "Whether the store answers");
        let store_up = prometheus::IntGaugeVec::new(opts, &["table"]);
        let store_up = store_up.expect("name and labels are valid");
        register(&registry, store_up.clone());
        let opts = Opts::new(
            "notchwalk_server_limit_per_second",
            "Requests a second that a server takes from all entries together",
        );
        let server_limits = GaugeVec::new(opts, &["server"]);
        let server_limits = server_limits.expect("name and labels are valid");
        register(&registry, server_limits.clone());
        Self {
            limited_sends: plain_counter(
                &registry,
                "notchwalk_limited_sends_total",
                "Requests, parts of them and orders that went to servers with limits",
            ),
            server_limits,
            requests: counter(
                &registry,
                "notchwalk_requests_total",
                "Requests that ended",
                &["route", "outcome"],
            ),
            attempts: counter(
                &registry,
                "notchwalk_attempts_total",
                "Sends to backend servers",
                &["end"],
            ),
            store_questions: counter(
                &registry,
                "notchwalk_store_questions_total",
                "Questions to the store for changes",
                &["table", "end"],
            ),
            store_era: gauge(
                &registry,
                "notchwalk_store_era",
                "How often the store came back from an older copy",
            ),
            config_version: gauge(
                &registry,
                "notchwalk_config_version",
                "Version of the configuration in force",
            ),
            open_requests: gauge(
                &registry,
                "notchwalk_open_requests",
                "Requests being served",
            ),
            peers_alive: gauge(&registry, "notchwalk_peers_alive", "Peers that answer"),
            suspected_crashes: plain_counter(
                &registry,
                "notchwalk_suspected_crashes_total",
                "Servers that seem to have ended under a request",
            ),
            quarantines: plain_counter(
                &registry,
                "notchwalk_quarantines_total",
                "Requests that crash their servers, found here",
            ),
            quarantined: gauge(
                &registry,
                "notchwalk_quarantined",
                "Contents that are sent to no server for a while",
            ),
            server_words: counter(
                &registry,
                "notchwalk_server_words_total",
                "Answers in which servers say that they leave, want nothing, or name a limit",
                &["word"],
            ),
            servers: gauge(
                &registry,
                "notchwalk_backend_servers",
                "Backend servers on record",
            ),
            first_byte,
            prediction,
            store_up,
            registry,
        }
    }

    /// Returns all figures as text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            return format!("# {e}\n");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
