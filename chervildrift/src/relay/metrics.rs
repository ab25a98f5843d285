//! Metrics of a relaying VM.

use std::time::Duration;

use chervildrift_core::relay::Code;
use chervildrift_core::types::{Kind, Rank, Service, Time, Upstream};
use derive_more::Display;
use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::relay::clock;
use crate::relay::connections::remote::RemoteError;
use crate::relay::fleet::link::LinkRefusal;
use crate::relay::log_quotas::RequestEvent;
use crate::relay::node::Node;
use crate::relay::sessions::seats::CloseCause;

/// Bucket bounds of the latency histograms.
const LATENCY_BOUNDS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0,
];

/// Part of a statement's latency.
#[derive(Clone, Copy, Debug, Display)]
pub(in crate::relay) enum StatementPart {
    /// Wait for a permit to use a connection.
    #[display("queue")]
    Queue,
    /// Time to open a connection.
    #[display("connection")]
    Connection,
    /// Time from sending a statement to the reply of the upstream.
    #[display("upstream")]
    Upstream,
    /// Wait for confirmation of a commit by a replica.
    #[display("confirmation")]
    Confirmation,
}

/// Metrics of a relaying VM; the configuration bounds the number of label values.
#[derive(Clone, Debug)]
pub(in crate::relay) struct Metrics {
    registry: Registry,
    statements: IntCounterVec,
    latency: HistogramVec,
    part_times: HistogramVec,
    retries: IntCounterVec,
    places: IntCounterVec,
    /// Commits acknowledged without confirmation by a replica.
    pub unconfirmed: IntCounter,
    /// Orders to promote, by service and outcome.
    pub promotions: IntCounterVec,
    /// Calls that follow a table of the store, by table and result.
    pub store_calls: IntCounterVec,
    /// Holders that did not provide a connection, by reason.
    holder_failures: IntCounterVec,
    /// Connections opened through another VM, by upstream.
    pub tunnels: IntCounterVec,
    /// Ejections of upstreams, by upstream and source.
    ejections: IntCounterVec,
    dropped_lines: IntCounterVec,
    quota_operations: IntCounterVec,
    quota_grants: IntCounterVec,
    quota_shares: IntGauge,
    closed_callers: IntCounterVec,
    gauges: Gauges,
}

/// Gauges that follow the state of the VM.
#[derive(Clone, Debug)]
struct Gauges {
    version: IntGauge,
    sessions: IntGauge,
    vms: IntGauge,
    connections: IntGaugeVec,
    /// Estimated waits at upstreams, as this VM reports them to those that it lends connections.
    waits: IntGaugeVec,
    resting: IntGaugeVec,
    sample_age: IntGaugeVec,
    /// Ages of what this VM was last told of the configuration and the upstreams, by source.
    source_age: IntGaugeVec,
}

/// Creates metrics and registers them.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn register<T: Collector + Clone + 'static>(&self, metric: T) -> Result<T, prometheus::Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.register(IntCounter::with_opts(options(name, help))?)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.register(IntCounterVec::new(options(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.register(IntGauge::with_opts(options(name, help))?)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        self.register(IntGaugeVec::new(options(name, help), labels)?)
    }

    fn histograms(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::from(options(name, help));
        let options = options.buckets(LATENCY_BOUNDS_SECONDS.to_vec());
        self.register(HistogramVec::new(options, &[label])?)
    }
}

impl Gauges {
    fn register(registrar: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            version: registrar.gauge(
                "configuration_version",
                "Version of the configuration in force",
            )?,
            sessions: registrar.gauge("sessions", "Open sessions")?,
            vms: registrar.gauge("vms", "VMs that share the connections")?,
            waits: registrar.gauges(
                "upstream_wait_ms",
                "Estimated wait of a statement without urgency",
                &["upstream"],
            )?,
            resting: registrar.gauges("resting", "Lent and idle", &["upstream"])?,
            connections: registrar.gauges("links", "Open connections", &["upstream"])?,
            sample_age: registrar.gauges(
                "sample_age_ms",
                "Age of the newest sample",
                &["service"],
            )?,
            source_age: registrar.gauges(
                "source_age_ms",
                "Time since the store confirmed the content of a table, and age of the view",
                &["source"],
            )?,
        })
    }

    fn update(&self, node: &Node) {
        let to_i64 = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let version = node.routes.borrow().version();
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.sessions.set(to_i64(node.session_count.get()));
        self.vms.set(to_i64(node.vm_count.get()));
        for (upstream, pool) in &*node.pools.borrow() {
            let connections = self.connections.with_label_values(&[upstream.as_str()]);
            connections.set(to_i64(pool.open_connections()));
            let wait = self.waits.with_label_values(&[upstream.as_str()]);
            wait.set(to_i64(pool.own_wait(Rank::Bulk).as_millis() as usize));
            let resting = self.resting.with_label_values(&[upstream.as_str()]);
            resting.set(to_i64(pool.resting()));
        }
        let now = clock::now();
        for (service, group) in &*node.groups.borrow() {
            let gauge = self.sample_age.with_label_values(&[service.as_str()]);
            let age = group.sample_age(now).map(|age| age.as_millis());
            gauge.set(age.and_then(|age| i64::try_from(age).ok()).unwrap_or(-1));
        }
        self.update_source_ages(node);
    }

    /// Updates the ages of the sources; -1 stands for the view of a VM that reads the store itself.
    fn update_source_ages(&self, node: &Node) {
        let now = clock::now();
        let set_age = |source: &str, at: Option<Time>| {
            let age = at.map(|at| now.since(at).as_millis());
            let age = age.and_then(|age| i64::try_from(age).ok()).unwrap_or(-1);
            self.source_age.with_label_values(&[source]).set(age);
        };
        for (table, at) in &*node.table_reads.borrow() {
            set_age(table, Some(*at));
        }
        set_age("view", node.view_at.get());
    }
}

impl Metrics {
    /// Registers the metrics in a new registry.
    pub(in crate::relay) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let registrar = Registrar(&registry);
        Ok(Self {
            statements: registrar.counters(
                "statements_total",
                "Statements by result",
                &["kind", "result"],
            )?,
            latency: registrar.histograms(
                "statement_seconds",
                "Time from a statement to its answer",
                "kind",
            )?,
            part_times: registrar.histograms(
                "part_seconds",
                "Time of a try by part: queue, connection, upstream, confirmation",
                "part",
            )?,
            retries: registrar.counters(
                "retries_total",
                "Further tries by reason",
                &["kind", "reason"],
            )?,
            places: registrar.counters(
                "places_total",
                "Statements by place",
                &["kind", "place"],
            )?,
            unconfirmed: registrar.counter(
                "unconfirmed_total",
                "Commits acknowledged by the primary alone",
            )?,
            promotions: registrar.counters(
                "promotions_total",
                "Orders to promote",
                &["service", "outcome"],
            )?,
            store_calls: registrar.counters(
                "store_calls_total",
                "Calls that follow a table",
                &["table", "result"],
            )?,
            ejections: registrar.counters(
                "ejections_total",
                "Ejections of upstreams that fail part of their work",
                &["upstream", "source"],
            )?,
            holder_failures: registrar.counters(
                "holder_failures_total",
                "Holders that provided no connection",
                &["reason"],
            )?,
            tunnels: registrar.counters(
                "detours_total",
                "Connections through peers",
                &["upstream"],
            )?,
            dropped_lines: registrar.counters(
                "dropped_lines_total",
                "Log lines dropped by their quota",
                &["event"],
            )?,
            quota_operations: registrar.counters(
                "quota_operations_total",
                "Operations of organisations with a quota, by result",
                &["organisation", "result"],
            )?,
            quota_grants: registrar.counters(
                "quota_grants_total",
                "Operations granted from the shares of quotas kept here",
                &["organisation"],
            )?,
            quota_shares: registrar.gauge("quota_shares", "Shares of quotas kept here")?,
            closed_callers: registrar.counters(
                "closed_callers_total",
                "Callers' connections closed for a limit",
                &["cause"],
            )?,
            gauges: Gauges::register(&registrar)?,
            registry,
        })
    }

    /// Counts a statement that was responded to, and observes its latency.
    pub(in crate::relay) fn record_statement(
        &self,
        kind: &Kind,
        failed: Option<Code>,
        elapsed: Duration,
    ) {
        let result = failed.map_or_else(|| "success".to_owned(), |code| code.to_string());
        let labels = [kind.as_str(), &result];
        self.statements.with_label_values(&labels).inc();
        let latency = self.latency.with_label_values(&[kind.as_str()]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Observes the duration of a part of a statement's latency.
    pub(in crate::relay) fn record_part(&self, part: StatementPart, time: Duration) {
        let histogram = self.part_times.with_label_values(&[&part.to_string()]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a log line that was dropped by its quota.
    pub(in crate::relay) fn count_dropped_line(&self, event: RequestEvent) {
        let dropped = self.dropped_lines.with_label_values(&[&event.to_string()]);
        dropped.inc();
    }

    /// Counts an operation of an organisation with a quota.
    pub(in crate::relay) fn count_quota(&self, organisation: &str, result: &str) {
        let labels = [organisation, result];
        self.quota_operations.with_label_values(&labels).inc();
    }

    /// Counts operations that were granted from a share kept here.
    pub(in crate::relay) fn count_granted(&self, organisation: &str, count: u32) {
        let granted = self.quota_grants.with_label_values(&[organisation]);
        granted.inc_by(u64::from(count));
    }

    /// Sets the number of shares of quotas that are kept here.
    pub(in crate::relay) fn set_shares(&self, count: usize) {
        self.quota_shares
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a caller's connection that was closed for a limit.
    pub(in crate::relay) fn count_closed_caller(&self, cause: CloseCause) {
        let closed = self.closed_callers.with_label_values(&[&cause.to_string()]);
        closed.inc();
    }

    /// Counts a holder that provided no connection.
    pub(in crate::relay) fn count_holder_failure(&self, err: &RemoteError) {
        let reason = match err {
            RemoteError::NoLink => "no_link",
            RemoteError::Unreachable => "unreachable",
            RemoteError::Refused(LinkRefusal::Stopping) => "stopping",
            RemoteError::Refused(_) => "not_holder",
        };
        self.holder_failures.with_label_values(&[reason]).inc();
    }

    /// Counts a retry.
    pub(in crate::relay) fn count_retry(&self, kind: &Kind, reason: &str) {
        self.retries
            .with_label_values(&[kind.as_str(), reason])
            .inc();
    }

    /// Counts a statement as placed at the leader or at a replica.
    pub(in crate::relay) fn count_place(&self, kind: &Kind, at_leader: bool) {
        let place = if at_leader { "leader" } else { "replica" };
        self.places.with_label_values(&[kind.as_str(), place]).inc();
    }

    /// Updates the gauges from the state of the VM.
    pub(in crate::relay) fn update_gauges(&self, node: &Node) {
        self.gauges.update(node);
    }

    /// Removes the gauge of an upstream that is gone.
    pub(in crate::relay) fn remove_upstream(&self, upstream: &Upstream) {
        // The gauge does not exist if no connection was ever counted.
        let _unknown = self
            .gauges
            .connections
            .remove_label_values(&[upstream.as_str()]);
        for source in ["own", "peer"] {
            let labels = [upstream.as_str(), source];
            let _unknown = self.ejections.remove_label_values(&labels);
        }
        let _unknown = self
            .gauges
            .resting
            .remove_label_values(&[upstream.as_str()]);
        let _unknown = self.gauges.waits.remove_label_values(&[upstream.as_str()]);
    }

    /// Counts an ejection of an upstream by this VM's own outcomes or by another VM's.
    pub(in crate::relay) fn count_ejection(&self, upstream: &Upstream, source: &'static str) {
        let labels = [upstream.as_str(), source];
        self.ejections.with_label_values(&labels).inc();
    }

    /// Counts an order to promote.
    pub(in crate::relay) fn count_order(&self, service: &Service, outcome: &'static str) {
        let labels = [service.as_str(), outcome];
        self.promotions.with_label_values(&labels).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(in crate::relay) fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("chervildrift_relay_{name}"), help)
}
