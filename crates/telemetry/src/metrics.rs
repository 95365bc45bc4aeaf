//! Metrics of a process.

use crate::errors::{MetricSnafu, TelemetryError};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use snafu::ResultExt;

/// Prefix of all metric names.
const NAMESPACE: &str = "luglink";

/// Histogram buckets for durations from 1 ms to 1 min, in seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 20.0, 60.0,
];

/// Registry of metrics. Components register their metrics and keep the handles.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter.
    ///
    /// # Errors
    /// Returns an error if the name is malformed or already registered.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, TelemetryError> {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let counter = IntCounter::with_opts(options).context(MetricSnafu)?;
        self.registry
            .register(Box::new(counter.clone()))
            .context(MetricSnafu)?;
        Ok(counter)
    }

    /// Registers a counter with one label.
    ///
    /// # Errors
    /// Returns an error if the name is malformed or already registered.
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

    /// Registers a gauge.
    ///
    /// # Errors
    /// Returns an error if the name is malformed or already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Result<Gauge, TelemetryError> {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let gauge = Gauge::with_opts(options).context(MetricSnafu)?;
        self.registry
            .register(Box::new(gauge.clone()))
            .context(MetricSnafu)?;
        Ok(gauge)
    }

    /// Registers a histogram of durations in seconds.
    ///
    /// # Errors
    /// Returns an error if the name is malformed or already registered.
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

    /// Returns all metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<String, TelemetryError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .context(MetricSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
