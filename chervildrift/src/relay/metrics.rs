//! Metrics of a relaying VM.

use std::time::Duration;

use chervildrift_core::relay::Code;
use chervildrift_core::types::{Kind, Service, Upstream};
use derive_more::Display;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use super::clock;
use super::lines::RequestEvent;
use super::node::Node;

/// Bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0,
];

/// Part of the time that a statement takes.
#[derive(Clone, Copy, Debug, Display)]
pub(super) enum Part {
    /// Wait for the right to use a connection.
    #[display("queue")]
    Queue,
    /// Opening of a connection.
    #[display("connection")]
    Connection,
    /// From sending to an upstream to its answer.
    #[display("upstream")]
    Upstream,
    /// Wait for a replica to have received a commit.
    #[display("confirmation")]
    Confirmation,
}

/// Metrics of a relaying VM; labels are bounded by the configuration.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    statements: IntCounterVec,
    latency: HistogramVec,
    parts: HistogramVec,
    tries: IntCounterVec,
    places: IntCounterVec,
    /// Commits that were acknowledged by the primary alone.
    pub unconfirmed: IntCounter,
    /// Orders to promote by service and outcome.
    pub promotions: IntCounterVec,
    /// Calls that follow a table of the store, by table and result.
    pub feeds: IntCounterVec,
    /// Connections that were opened through another VM, by upstream.
    pub detours: IntCounterVec,
    dropped: IntCounterVec,
    version: IntGauge,
    sessions: IntGauge,
    vms: IntGauge,
    links: IntGaugeVec,
    sample_age: IntGaugeVec,
}

impl Metrics {
    /// Opens the metrics with a registry of their own.
    pub(super) fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(options(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(options(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(options(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histograms = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::from(options(name, help));
            let histograms = HistogramVec::new(options.buckets(LATENCY_BOUNDS.to_vec()), &[label])?;
            registry.register(Box::new(histograms.clone()))?;
            Ok::<_, prometheus::Error>(histograms)
        };
        let unconfirmed = IntCounter::with_opts(options(
            "unconfirmed_total",
            "Commits acknowledged by the primary alone",
        ))?;
        registry.register(Box::new(unconfirmed.clone()))?;
        Ok(Self {
            statements: counters(
                "statements_total",
                "Statements by result",
                &["kind", "result"],
            )?,
            latency: histograms(
                "statement_seconds",
                "Time from a statement to its answer",
                "kind",
            )?,
            parts: histograms(
                "part_seconds",
                "Time of a try by part: queue, connection, upstream, confirmation",
                "part",
            )?,
            tries: counters(
                "retries_total",
                "Further tries by reason",
                &["kind", "reason"],
            )?,
            places: counters("places_total", "Statements by place", &["kind", "place"])?,
            unconfirmed,
            promotions: counters(
                "promotions_total",
                "Orders to promote",
                &["service", "outcome"],
            )?,
            feeds: counters(
                "store_calls_total",
                "Calls that follow a table",
                &["table", "result"],
            )?,
            detours: counters("detours_total", "Connections through peers", &["upstream"])?,
            dropped: counters(
                "dropped_lines_total",
                "Log lines dropped by their quota",
                &["event"],
            )?,
            version: gauge(
                "configuration_version",
                "Version of the configuration in force",
            )?,
            sessions: gauge("sessions", "Open sessions")?,
            vms: gauge("vms", "VMs that share the connections")?,
            links: gauges("links", "Open connections", &["upstream"])?,
            sample_age: gauges("sample_age_ms", "Age of the newest sample", &["service"])?,
            registry,
        })
    }

    /// Counts an answered statement.
    pub(super) fn answered(&self, kind: &Kind, failed: Option<Code>, took: Duration) {
        let result = failed.map_or_else(|| "success".to_owned(), |code| code.to_string());
        let labels = [kind.as_str(), &result];
        self.statements.with_label_values(&labels).inc();
        let latency = self.latency.with_label_values(&[kind.as_str()]);
        latency.observe(took.as_secs_f64());
    }

    /// Takes in how long a part of a statement took.
    pub(super) fn took(&self, part: Part, time: Duration) {
        let histogram = self.parts.with_label_values(&[&part.to_string()]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a log line that was dropped.
    pub(super) fn dropped_line(&self, event: RequestEvent) {
        let dropped = self.dropped.with_label_values(&[&event.to_string()]);
        dropped.inc();
    }

    /// Counts a further try.
    pub(super) fn retried(&self, kind: &Kind, reason: &str) {
        self.tries.with_label_values(&[kind.as_str(), reason]).inc();
    }

    /// Counts a statement at the leader or at a replica.
    pub(super) fn placed(&self, kind: &Kind, at_leader: bool) {
        let place = if at_leader { "leader" } else { "replica" };
        self.places.with_label_values(&[kind.as_str(), place]).inc();
    }

    /// Takes in the state of the VM.
    pub(super) fn gauge(&self, node: &Node) {
        let whole = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let version = node.routes.borrow().version();
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.sessions.set(whole(node.sessions.get()));
        self.vms.set(whole(node.vms.get()));
        for (upstream, pool) in &*node.pools.borrow() {
            let links = self.links.with_label_values(&[upstream.as_str()]);
            links.set(whole(pool.open_links()));
        }
        let now = clock::now();
        for (service, group) in &*node.groups.borrow() {
            let gauge = self.sample_age.with_label_values(&[service.as_str()]);
            let age = group.sample_age(now).map(|age| age.as_millis());
            gauge.set(age.and_then(|age| i64::try_from(age).ok()).unwrap_or(-1));
        }
    }

    /// Drops what concerns an upstream that has gone.
    pub(super) fn forget(&self, upstream: &Upstream) {
        // An upstream that never had a connection has no gauge.
        let _unknown = self.links.remove_label_values(&[upstream.as_str()]);
    }

    /// Counts an order to promote.
    pub(super) fn ordered(&self, service: &Service, outcome: &'static str) {
        let labels = [service.as_str(), outcome];
        self.promotions.with_label_values(&labels).inc();
    }

    /// Returns all metrics in prometheus' text format.
    pub(super) fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("chervildrift_relay_{name}"), help)
}
