//! Metrics in the Prometheus text format. Components register their own metrics.

use prometheus::{
    core::Collector, Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter,
    IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// A registry of metrics. Its methods panic if a name is invalid or already registered.
#[derive(Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Returns an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    fn register<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("names and labels are valid");
        let registered = self.registry.register(Box::new(metric.clone()));
        registered.expect("each name is registered once");
        metric
    }

    /// Adds a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help))
    }

    /// Adds counters with labels.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    /// Adds an integer gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }

    /// Adds integer gauges with labels.
    pub fn gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    /// Adds a floating-point gauge.
    pub fn float_gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(Gauge::new(name, help))
    }

    /// Adds floating-point gauges with labels.
    pub fn float_gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        self.register(GaugeVec::new(Opts::new(name, help), labels))
    }

    /// Adds histograms with labels.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        buckets: Vec<f64>,
        labels: &[&str],
    ) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets);
        self.register(HistogramVec::new(opts, labels))
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            return format!("# {e}\n");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
