//! OpenTelemetry metrics, exposed in the Prometheus text format at the operators'
//! address.

use std::time::Duration;

use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use rhubarbrill_core::verdict::Verdict;

use crate::front::RequestLabels;

/// Upper bounds of the buckets of the latency and wait histograms, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 15] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.3, 10.0,
    30.0,
];

/// Counters and histograms of one entry host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    wait: Histogram<f64>,
    peer_refusals: Counter<u64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Returns metrics without any measurement.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be set up.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("the metrics exporter can't be set up")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("rhubarbrill");
        let histogram = |name, description| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter
                .u64_counter("rhubarbrill_requests")
                .with_description("Requests by team, queue and verdict")
                .build(),
            latency: histogram(
                "rhubarbrill_latency",
                "From a request's head to the head of its answer",
            ),
            wait: histogram(
                "rhubarbrill_wait",
                "From admission to the start at an endpoint",
            ),
            peer_refusals: meter
                .u64_counter("rhubarbrill_peer_refusals")
                .with_description("Calls of peers that were refused")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records the latency and the verdict of a completed request. `request` is `None` if
    /// the head of the request was invalid.
    pub fn record_request(
        &self,
        request: Option<&RequestLabels>,
        verdict: Verdict,
        latency: Duration,
    ) {
        let mut labels = request.map(labels).unwrap_or_default();
        self.latency.record(latency.as_secs_f64(), &labels);
        labels.push(KeyValue::new("verdict", verdict.as_str()));
        self.requests.add(1, &labels);
    }

    /// Records how long a request waited between admission and its first start.
    pub fn record_wait(&self, request: &RequestLabels, wait: Duration) {
        self.wait.record(wait.as_secs_f64(), &labels(request));
    }

    /// Counts a rejected call of a peer.
    pub fn record_peer_refusal(&self) {
        self.peer_refusals.add(1, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn render(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}

fn labels(request: &RequestLabels) -> Vec<KeyValue> {
    vec![
        KeyValue::new("team", request.workspace.clone()),
        KeyValue::new("queue", request.queue.clone()),
    ]
}
