//! Metrics of one process.

use crate::errors::{MetricSnafu, TelemetryError};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use snafu::ResultExt;

/// Prefix of every metric.
const NAMESPACE: &str = "luglink";

/// Buckets for times from a millisecond to a minute, in seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 20.0, 60.0,
];

/// A registry of metrics. Components add theirs and keep the handles.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// A registry without metrics.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a counter.
    ///
    /// # Errors
    /// The name is malformed or taken.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, TelemetryError> {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let counter = IntCounter::with_opts(options).context(MetricSnafu)?;
        self.registry
            .register(Box::new(counter.clone()))
            .context(MetricSnafu)?;
        Ok(counter)
    }

    /// Adds a counter with one label.
    ///
    /// # Errors
    /// The name is malformed or taken.
    pub fn labelled_counter(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, TelemetryError> {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let counter = IntCounterVec::new(options, &[label]).context(MetricSnafu)?;
        self.registry
            .register(Box::new(counter.clone()))
            .context(MetricSnafu)?;
        Ok(counter)
    }

    /// Adds a gauge.
    ///
    /// # Errors
    /// The name is malformed or taken.
    pub fn gauge(&self, name: &str, help: &str) -> Result<Gauge, TelemetryError> {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let gauge = Gauge::with_opts(options).context(MetricSnafu)?;
        self.registry
            .register(Box::new(gauge.clone()))
            .context(MetricSnafu)?;
        Ok(gauge)
    }

    /// Adds a histogram of seconds.
    ///
    /// # Errors
    /// The name is malformed or taken.
    pub fn seconds_histogram(&self, name: &str, help: &str) -> Result<Histogram, TelemetryError> {
        let options = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(SECONDS_BUCKETS.to_vec());
        let histogram = Histogram::with_opts(options).context(MetricSnafu)?;
        self.registry
            .register(Box::new(histogram.clone()))
            .context(MetricSnafu)?;
        Ok(histogram)
    }

    /// All metrics in Prometheus' text format.
    ///
    /// # Errors
    /// A metric cannot be written.
    pub fn render(&self) -> Result<String, TelemetryError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .context(MetricSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
