//! Figures in Prometheus' text format. Parts of a daemon register what they add.

use prometheus::{
    core::Collector, Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter,
    IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// A registry. Each of its methods panics if a name is no metric's name or is registered
/// twice, which is a bug.
#[derive(Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Builds an empty set.
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

    /// Adds a counter for each value of some labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    /// Adds a gauge of whole numbers.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }

    /// Adds a gauge of whole numbers for each value of some labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    /// Adds a gauge of fractions.
    pub fn fraction(&self, name: &str, help: &str) -> Gauge {
        self.register(Gauge::new(name, help))
    }

    /// Adds a gauge of fractions for each value of some labels.
    pub fn fractions(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        self.register(GaugeVec::new(Opts::new(name, help), labels))
    }

    /// Adds a histogram for each value of some labels.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        buckets: Vec<f64>,
        labels: &[&str],
    ) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets);
        self.register(HistogramVec::new(opts, labels))
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
