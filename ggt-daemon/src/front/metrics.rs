//! OpenTelemetry metrics of a daemon that serves the users' platform.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use crate::metrics::MetricsError;
use crate::metrics::new_provider;
use crate::metrics::registry_text;

/// Upper bounds of the latency histogram buckets in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0, 12_000.0];

/// The metric instruments and the registry that exports them.
pub struct FrontMetrics {
    registry: Registry,
    // Kept so that the instruments stay registered.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    sends: Counter<u64>,
    choices: Counter<u64>,
    store_calls: Counter<u64>,
    digests: Counter<u64>,
    origins: Counter<u64>,
    crashes: Counter<u64>,
    forwards: Counter<u64>,
    taken: Counter<u64>,
    evacuations: Gauge<u64>,
    cold_targets: Gauge<u64>,
    request_bodies: Gauge<u64>,
    connections: Gauge<u64>,
    connection_bytes: Gauge<u64>,
    wait_ms: Histogram<f64>,
    reply_ms: Histogram<f64>,
    first_event_ms: Histogram<f64>,
}

impl FrontMetrics {
    /// Registers the instruments.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = new_provider()?;
        let meter = provider.meter("greengageturn");
        let bounds = LATENCY_BOUNDS_MS.to_vec();
        let histogram = |name| {
            meter.f64_histogram(name).with_unit("ms").with_boundaries(bounds.clone()).build()
        };
        Ok(Self {
            registry,
            requests: meter.u64_counter("front_requests").build(),
            refusals: meter.u64_counter("front_refusals").build(),
            sends: meter.u64_counter("front_sends").build(),
            choices: meter.u64_counter("front_choices").build(),
            store_calls: meter.u64_counter("front_store_calls").build(),
            digests: meter.u64_counter("front_digests").build(),
            origins: meter.u64_counter("front_origins").build(),
            crashes: meter.u64_counter("front_crashes").build(),
            forwards: meter.u64_counter("front_forwards").build(),
            taken: meter.u64_counter("front_taken").build(),
            evacuations: meter.u64_gauge("front_evacuations").build(),
            cold_targets: meter.u64_gauge("front_cold_targets").build(),
            request_bodies: meter.u64_gauge("front_request_bodies").with_unit("By").build(),
            connections: meter.u64_gauge("front_connections").build(),
            connection_bytes: meter.u64_gauge("front_connection_memory").with_unit("By").build(),
            wait_ms: histogram("front_wait"),
            reply_ms: histogram("front_reply"),
            first_event_ms: histogram("front_first_event"),
            _provider: provider,
        })
    }

    /// Records the bytes that are set aside for the bodies of requests.
    pub fn record_request_bodies(&self, bytes: u64) {
        self.request_bodies.record(bytes, &[]);
    }

    /// Records the number of callers' connections, and the bytes that count for them.
    pub fn record_connections(&self, count: u64, bytes: u64) {
        self.connections.record(count, &[]);
        self.connection_bytes.record(bytes, &[]);
    }

    /// Counts a finished request and records its latency.
    pub fn record_end(&self, outcome: &'static str, millis: u64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.reply_ms.record(millis as f64, &labels);
    }

    /// Records for how long a request waited for a place, and whether it was `sent` or `refused` then.
    pub fn record_wait(&self, outcome: &'static str, millis: u64) {
        self.wait_ms.record(millis as f64, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that the daemon refused itself.
    pub fn record_refusal(&self, cause: &str) {
        self.refusals.add(1, &[KeyValue::new("cause", cause.to_owned())]);
    }

    /// Records a stream's time to first event.
    pub fn record_first_event(&self, millis: u64) {
        self.first_event_ms.record(millis as f64, &[]);
    }

    /// Counts a send that produced no usable reply, by its outcome.
    pub fn record_send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a target choice by its reason.
    pub fn record_choice(&self, reason: &'static str) {
        self.choices.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request to the platform's store.
    pub fn record_store_call(&self, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.store_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts digests sent to other daemons.
    pub fn record_digests(&self, count: u64) {
        self.digests.add(count, &[]);
    }

    /// Counts origins of streams that other daemons were `told` of, once for each of them, or that this one has
    /// `heard` from others.
    pub fn record_origins(&self, change: &'static str, count: u64) {
        self.origins.add(count, &[KeyValue::new("change", change)]);
    }

    /// Counts a record about requests that were in flight when a target crashed: `seen` by this
    /// daemon, `told` by a peer, `cleared` by a complete reply, `dropped` from a full table, or
    /// `expired`.
    pub fn record_crashes(&self, change: &'static str, count: u64) {
        self.crashes.add(count, &[KeyValue::new("change", change)]);
    }

    /// Counts an offer of a request to a peer, by its outcome.
    pub fn record_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts the end of a request that a peer forwarded to this daemon.
    pub fn record_taken(&self, outcome: &'static str) {
        self.taken.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of evacuated data centres.
    pub fn record_evacuations(&self, count: u64) {
        self.evacuations.record(count, &[]);
    }

    /// Records the number of targets that are cold, or taken for cold.
    pub fn record_cold_targets(&self, count: u64) {
        self.cold_targets.record(count, &[]);
    }

    /// All metrics in Prometheus text format.
    pub fn text(&self) -> String {
        registry_text(&self.registry)
    }
}
