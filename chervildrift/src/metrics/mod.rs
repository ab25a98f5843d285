//! Prometheus metrics of one VM.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the buckets of the latency histogram.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Metrics of one VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service, kind, rank and result.
    pub requests: IntCounterVec,
    /// Time from arrival to response in seconds, by service and rank.
    pub latency: HistogramVec,
    /// Reads by service and by what served them.
    pub reads: IntCounterVec,
    /// Queued work by upstream and rank.
    pub queue_length: IntGaugeVec,
    /// Changes of primary that this VM completed, by service and instance.
    pub promotions: IntCounterVec,
    /// Generation of the configuration in force.
    pub generation: IntGauge,
    /// Members by state.
    pub members: IntGaugeVec,
    /// Breaches of invariants.
    pub breaches: IntGauge,
    /// Burn rate by service, kind and window.
    pub burn_rate: prometheus::GaugeVec,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            requests: counter_vec(
                "requests_total",
                "Requests by result",
                &["service", "kind", "rank", "result"],
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new(
                    "chervildrift_latency_seconds",
                    "Time from arrival to answer",
                )
                .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
                &["service", "rank"],
            )?,
            reads: counter_vec(
                "reads_total",
                "Reads by what served them",
                &["service", "served_by"],
            )?,
            queue_length: gauge_vec("queued", "Queued work", &["upstream", "rank"])?,
            promotions: counter_vec(
                "promotions_total",
                "Changes of primary",
                &["service", "instance"],
            )?,
            generation: gauge("generation", "Generation of the configuration in force")?,
            members: gauge_vec("members", "Members by state", &["state"])?,
            breaches: gauge("invariant_breaches", "Breaches of invariants")?,
            burn_rate: prometheus::GaugeVec::new(
                Opts::new("chervildrift_burn_rate", "Burn rate of the error budget"),
                &["service", "kind", "window"],
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Renders all metrics in the text format of Prometheus.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.breaches
            .set(i64::try_from(chervildrift_core::invariant::count()).unwrap_or(i64::MAX));
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.reads.clone()))?;
        self.registry
            .register(Box::new(self.queue_length.clone()))?;
        self.registry.register(Box::new(self.promotions.clone()))?;
        self.registry.register(Box::new(self.generation.clone()))?;
        self.registry.register(Box::new(self.members.clone()))?;
        self.registry.register(Box::new(self.breaches.clone()))?;
        self.registry.register(Box::new(self.burn_rate.clone()))
    }
}

fn counter_vec(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(format!("chervildrift_{name}"), help), labels)
}

fn gauge_vec(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(format!("chervildrift_{name}"), help), labels)
}

fn gauge(name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(format!("chervildrift_{name}"), help)
}
