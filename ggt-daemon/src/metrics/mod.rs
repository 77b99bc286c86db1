//! OpenTelemetry metrics of the daemon.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use serde::Serialize;
use snafu::Snafu;

/// Purpose of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Datagrams between daemons: gossip and epoch queries.
    Gossip,
    /// RPC calls between daemons: claims, seals, settlements and fetches.
    Call,
    /// Probes of targets.
    Probe,
    /// Reads from the platform.
    Platform,
}

impl TrafficKind {
    const ALL: [Self; 4] = [Self::Gossip, Self::Call, Self::Probe, Self::Platform];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::Call => "call",
            Self::Probe => "probe",
            Self::Platform => "platform",
        }
    }
}

/// Counters of the bytes of one kind of control traffic.
#[derive(Debug, Default)]
pub struct ByteCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounter {
    /// Counts bytes sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Bytes of one kind of control traffic, as shown in the status report.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficSummary {
    /// Name of the [`TrafficKind`].
    pub kind: &'static str,
    /// Bytes sent since the process started.
    pub sent_bytes: u64,
    /// Bytes received since the process started.
    pub received_bytes: u64,
}

/// Error when the metrics cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {cause}"))]
pub struct MetricsError {
    cause: String,
}

/// Creates a registry and the meter provider that exports to it.
///
/// # Errors
/// [`MetricsError`] when the exporter cannot be built.
pub fn new_provider() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|e| MetricsError { cause: e.to_string() })?;
    Ok((registry, SdkMeterProvider::builder().with_reader(exporter).build()))
}

/// The metrics of a registry in Prometheus text format.
pub fn registry_text(registry: &Registry) -> String {
    let mut bytes = Vec::new();
    if let Err(e) = TextEncoder::new().encode(&registry.gather(), &mut bytes) {
        log::warn!("event=metrics cause=\"{e}\"");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The metric instruments and the registry that exports them.
pub struct DaemonMetrics {
    registry: Registry,
    provider: SdkMeterProvider,
    traffic: [Arc<ByteCounter>; 4],
    requests: Counter<u64>,
    routes: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    claims: Counter<u64>,
    dropped: Counter<u64>,
    cached_tokens: Counter<u64>,
}

impl DaemonMetrics {
    /// Registers the instruments.
    ///
    /// # Errors
    /// [`MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = new_provider()?;
        let meter = provider.meter("greengageturn");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let traffic: [Arc<ByteCounter>; 4] = Default::default();
        observe_traffic(&meter, &traffic);
        Ok(Self {
            requests: counter("ggt_requests", "Requests answered, by workload and verdict."),
            routes: counter("ggt_routes", "Choices of a target, by workload and reason."),
            refusals: counter("ggt_refusals", "Requests refused, by customer and cause."),
            retries: counter("ggt_retries", "Further attempts, by workload and cause."),
            claims: counter("ggt_claims", "One-time actions, by how their claim ended."),
            dropped: counter("ggt_dropped_messages", "Messages dropped, by cause."),
            cached_tokens: counter("ggt_cached_tokens", "Prompt tokens that engines had cached."),
            registry,
            provider,
            traffic,
        })
    }

    /// The byte counter of one kind of control traffic.
    pub fn traffic(&self, kind: TrafficKind) -> Arc<ByteCounter> {
        self.traffic[kind as usize].clone()
    }

    /// Bytes of control traffic of all kinds.
    pub fn traffic_summaries(&self) -> Vec<TrafficSummary> {
        TrafficKind::ALL
            .iter()
            .map(|kind| TrafficSummary {
                kind: kind.as_str(),
                sent_bytes: self.traffic[*kind as usize].sent.load(Ordering::Relaxed),
                received_bytes: self.traffic[*kind as usize].received.load(Ordering::Relaxed),
            })
            .collect()
    }

    /// Counts a request by its verdict: whether it ran, did not run, or is unknown.
    pub fn record_request(&self, workload: &str, verdict: &'static str) {
        self.requests.add(1, &[label("workload", workload), KeyValue::new("verdict", verdict)]);
    }

    /// Counts a target choice by its reason.
    pub fn record_route(&self, workload: &str, reason: &str) {
        self.routes.add(1, &[label("workload", workload), label("reason", reason)]);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, customer: &str, cause: &'static str) {
        self.refusals.add(1, &[label("customer", customer), KeyValue::new("cause", cause)]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, workload: &str, cause: &'static str) {
        self.retries.add(1, &[label("workload", workload), KeyValue::new("cause", cause)]);
    }

    /// Counts a finished claim by how it ended.
    pub fn record_claim(&self, ending: &'static str) {
        self.claims.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Counts a dropped message.
    pub fn record_dropped(&self, cause: &'static str) {
        self.dropped.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts prompt tokens that an engine served from its prefix cache.
    pub fn record_cached_tokens(&self, workload: &str, tokens: u64) {
        self.cached_tokens.add(tokens, &[label("workload", workload)]);
    }

    /// The metrics in Prometheus text format.
    pub fn render(&self) -> String {
        // A failed flush leaves the last collected values, which are still worth showing.
        let _ = self.provider.force_flush();
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

fn observe_traffic(meter: &Meter, traffic: &[Arc<ByteCounter>; 4]) {
    let counters = traffic.clone();
    meter
        .u64_observable_counter("ggt_control_traffic")
        .with_unit("By")
        .with_description("Bytes of control traffic, by kind and direction, heads included.")
        .with_callback(move |observer| {
            for kind in TrafficKind::ALL {
                let counter = &counters[kind as usize];
                for (direction, bytes) in [("out", &counter.sent), ("in", &counter.received)] {
                    let attributes = [
                        KeyValue::new("kind", kind.as_str()),
                        KeyValue::new("direction", direction),
                    ];
                    observer.observe(bytes.load(Ordering::Relaxed), &attributes);
                }
            }
        })
        .build();
}
