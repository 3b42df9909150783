//! Counters and latency histograms in the Prometheus format.

use std::time::Duration;

use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket boundaries of the latency histograms, in seconds.
const BOUNDS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Counters and histograms of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    orders: Counter<u64>,
    run_ends: Counter<u64>,
    runs_gone: Counter<u64>,
    store_writes: Counter<u64>,
    rejected_jobs: Counter<u64>,
    rejected_work: Counter<u64>,
    interference_pairs: Gauge<u64>,
    leader_rounds: Histogram<f64>,
    task_failures: Counter<u64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Returns metrics without any measurements.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be set up.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("the metrics exporter can't be set up")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("rhubarbrill");
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            requests: counter(
                "rhubarbrill_job_requests",
                "Callers' requests by queue, workspace, kind and status",
            ),
            latency: meter
                .f64_histogram("rhubarbrill_job_request_latency")
                .with_description("From a request's head to the head of its answer")
                .with_unit("s")
                .with_boundaries(BOUNDS_S.to_vec())
                .build(),
            orders: counter(
                "rhubarbrill_orders",
                "Orders to endpoints by kind and outcome",
            ),
            run_ends: counter("rhubarbrill_run_ends", "Ends of runs by how they ended"),
            runs_gone: counter(
                "rhubarbrill_runs_gone",
                "Runs without a report of their end, by how their endpoints went away",
            ),
            store_writes: counter(
                "rhubarbrill_store_writes",
                "Writes to the store by outcome",
            ),
            rejected_jobs: counter(
                "rhubarbrill_rejected_jobs",
                "Jobs that were rejected because their pool can't finish them, by queue",
            ),
            rejected_work: counter(
                "rhubarbrill_rejected_work",
                "Estimated work of rejected jobs, in core milliseconds, by queue",
            ),
            interference_pairs: meter
                .u64_gauge("rhubarbrill_interference_pairs")
                .with_description(
                    "Known pairs of images that slow each other down, at the leader",
                )
                .build(),
            task_failures: counter(
                "rhubarbrill_task_failures",
                "Panics of the process's tasks, by task",
            ),
            leader_rounds: meter
                .f64_histogram("rhubarbrill_leader_round")
                .with_description("Duration of a round of the leader's task")
                .with_unit("s")
                .with_boundaries(BOUNDS_S.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records the status and the latency of a caller's request.
    pub fn request(&self, labels: &Labels<'_>, status: u16, latency: Duration) {
        let mut values = vec![
            KeyValue::new("queue", labels.queue.to_owned()),
            KeyValue::new("workspace", labels.workspace.to_owned()),
            KeyValue::new("kind", labels.kind),
        ];
        self.latency.record(latency.as_secs_f64(), &values);
        values.push(KeyValue::new("status", i64::from(status)));
        self.requests.add(1, &values);
    }

    /// Counts an order to an endpoint by kind and outcome.
    pub fn order(&self, kind: &'static str, outcome: &'static str) {
        let values = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &values);
    }

    /// Counts a run that ended, by how it ended.
    pub fn run_ended(&self, end: &'static str) {
        self.run_ends.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a run that is considered gone, by how its endpoint went away; the text is empty
    /// if the endpoint is still there.
    pub fn run_gone(&self, departure: &'static str) {
        self.runs_gone
            .add(1, &[KeyValue::new("departure", departure)]);
    }

    /// Counts a write to the store by outcome.
    pub fn store_write(&self, outcome: &'static str) {
        self.store_writes
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a job that was rejected, with its estimated work in core milliseconds.
    pub fn job_rejected(&self, queue: &str, work: u64) {
        let values = [KeyValue::new("queue", queue.to_owned())];
        self.rejected_jobs.add(1, &values);
        self.rejected_work.add(work, &values);
    }

    /// Sets the number of known pairs of images that slow each other down.
    pub fn interference_pairs(&self, known: u64) {
        self.interference_pairs.record(known, &[]);
    }

    /// Returns the counter of panics, by task.
    pub fn task_failures(&self) -> Counter<u64> {
        self.task_failures.clone()
    }

    /// Records the duration of a round of the leader's task.
    pub fn leader_round(&self, took: Duration) {
        self.leader_rounds.record(took.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Labels of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Name of the queue; empty if it is unknown.
    pub queue: &'a str,
    /// Name of the workspace; empty if it is unknown.
    pub workspace: &'a str,
    /// Kind of the request, such as `submit`, or `refused`.
    pub kind: &'static str,
}
