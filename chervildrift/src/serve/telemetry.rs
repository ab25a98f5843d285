//! Metrics, log lines and burn rate counters of answered calls, and gauges of queues and members.

use std::time::Duration;

use chervildrift_core::burn::Series;
use chervildrift_core::config::Objective;
use chervildrift_core::types::Rank;
use slog::debug;

use super::entry::PendingCall;
use super::node::Node;
use crate::peer::message::Access;
use crate::work::CallResult;

impl Node {
    /// Records an answered call in the metrics, the log and the burn rate counters.
    pub(super) fn record_answer(&mut self, pending: &PendingCall, answer: &CallResult) {
        let now = self.clock.now();
        let elapsed = now.since(pending.received_at);
        let request = &pending.request;
        let (service, kind) = (request.service.as_str(), request.kind.as_str());
        let rank = request.rank.to_string();
        let result = match answer {
            Ok(_) => "done".to_owned(),
            Err(problem) => problem.kind.to_string(),
        };
        let metrics = &self.shared.metrics;
        metrics
            .requests
            .with_label_values(&[service, kind, &rank, &result])
            .inc();
        metrics
            .latency
            .with_label_values(&[service, &rank])
            .observe(elapsed.as_secs_f64());
        if let (Ok(done), Access::Read) = (answer, request.access) {
            let role = self.serving_role(pending, done.upstream.as_deref());
            self.shared
                .metrics
                .reads
                .with_label_values(&[service, role])
                .inc();
        }
        debug!(self.log, "answered"; "request" => format!("{:016x}", request.id),
            "service" => service, "kind" => kind, "result" => &result,
            "took_us" => elapsed.as_micros() as u64);
        // An error that the caller caused doesn't count against the objective.
        let callers_fault = matches!(answer, Err(problem) if problem.kind.status() < 500);
        if !callers_fault {
            self.record_burn(pending, answer.is_ok(), elapsed);
        }
    }

    /// Updates the gauges of queues and members.
    pub(super) fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        for (name, dispatcher) in &self.dispatchers {
            for rank in Rank::ALL {
                let queued = dispatcher.scheduler.queued(rank);
                let labels = [name.as_str(), &rank.to_string()];
                metrics
                    .queue_length
                    .with_label_values(&labels)
                    .set(gauge_value(queued));
            }
        }
        metrics.members.reset();
        metrics.members.with_label_values(&["alive"]).inc();
        for member in self.membership.members() {
            metrics
                .members
                .with_label_values(&[&member.state.to_string()])
                .inc();
        }
    }

    fn serving_role(&self, pending: &PendingCall, upstream: Option<&str>) -> &'static str {
        let cache = self.entry.group_caches.get(&pending.group);
        let primary = cache.and_then(|it| it.primary);
        let target = pending.target.as_ref().map(|(_, index, _)| *index);
        if upstream.is_some() && primary.is_some() && primary == target {
            "primary"
        } else {
            "replica"
        }
    }

    fn record_burn(&mut self, pending: &PendingCall, answered: bool, elapsed: Duration) {
        let declaration = self.bundle.declaration(pending.group.service.as_str());
        let kind = declaration.and_then(|it| it.kind(pending.request.kind.as_str()));
        let Some(Objective { within_ms, .. }) = kind.and_then(|it| it.objective) else {
            return;
        };
        let series = Series {
            service: pending.request.service.clone(),
            kind: pending.request.kind.clone(),
            rank: pending.request.rank,
        };
        let good = answered && elapsed <= Duration::from_millis(within_ms);
        self.burn.record(&series, good);
    }
}

fn gauge_value(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
