//! Burn rates of service-level objectives: messages between VMs, stored snapshots and reports.

use std::fmt;
use std::sync::PoisonError;
use std::time::Duration;

use chervildrift_core::burn::{
    self, Ack, Action, Actions, Batch, Event, Objective, Series, Snapshot,
};
use chervildrift_core::placement;
use chervildrift_core::types::{Service, Time, Vm};
use serde::{Deserialize, Serialize};
use slog::debug;

use super::node::Node;
use super::{BurnReport, Input};
use crate::control_store::{Condition, Platform, WriteResult};
use crate::wall_clock;

/// Table of the stored snapshots.
const SNAPSHOT_TABLE: &str = "burn";

/// Period at which the counters and the report are updated.
const BURN_TICK_PERIOD: Duration = Duration::from_secs(1);

/// Time limit of a message to another VM.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Message between VMs about their counters.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Batch(Batch),
    Ack(Ack),
}

/// Snapshot in the form in which it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct StoredSnapshot {
    at_ms: u64,
    snapshot: Snapshot,
}

/// Burn rate report of one VM.
#[derive(Debug, Serialize)]
struct Report<'a> {
    vm: &'a Vm,
    summaries: Vec<burn::Summary>,
    /// Services whose counters another VM aggregates.
    elsewhere: Vec<RemoteService>,
}

#[derive(Debug, Serialize)]
struct RemoteService {
    service: Service,
    vm: Vm,
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for summary in &self.summaries {
            writeln!(f, "{summary}")?;
        }
        for RemoteService { service, vm } in &self.elsewhere {
            writeln!(f, "{service}: {vm} answers for this service")?;
        }
        Ok(())
    }
}

impl Node {
    /// Passes the objectives that the configuration declares to the counters.
    pub(super) fn update_objectives(&mut self) {
        let mut objectives = Vec::new();
        for declaration in self.bundle.declarations() {
            for kind in &declaration.kinds {
                let Some(objective) = kind.objective else {
                    continue;
                };
                let service = declaration.service.clone();
                let series = Series {
                    service,
                    kind: kind.name.clone(),
                    rank: kind.rank,
                };
                objectives.push(Objective {
                    series,
                    target: percent_to_fraction(objective.target_percent),
                });
            }
        }
        self.handle_burn_event(Event::Objectives(objectives));
    }

    /// Updates the counters, the metrics and the report once per period.
    pub(super) fn tick_burn(&mut self, now: Time) {
        if now < self.burn_due {
            return;
        }
        self.burn_due = now + BURN_TICK_PERIOD;
        self.handle_burn_event(Event::Tick);
        self.update_gauges();
        let report = self.burn_report(now);
        report
            .summaries
            .iter()
            .for_each(|summary| self.export_burn_rates(summary));
        let json = serde_json::to_vec(&report).unwrap_or_default();
        let text = report.to_string().into_bytes();
        let mut shared = self
            .shared
            .burn
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = BurnReport { json, text };
    }

    fn export_burn_rates(&self, summary: &burn::Summary) {
        for row in &summary.rows {
            for span in &row.spans {
                let window = span.window.to_string();
                let labels = [summary.service.as_str(), row.kind.as_str(), window.as_str()];
                self.shared
                    .metrics
                    .burn_rate
                    .with_label_values(&labels)
                    .set(span.rate);
            }
        }
    }

    fn burn_report(&self, now: Time) -> Report<'_> {
        let mut report = Report {
            vm: &self.settings.vm,
            summaries: Vec::new(),
            elsewhere: Vec::new(),
        };
        for declaration in self.bundle.declarations() {
            let service = &declaration.service;
            match (self.burn.summary(now, service), self.aggregator(service)) {
                (Some(summary), _) => report.summaries.push(summary),
                (None, Some(vm)) => {
                    report.elsewhere.push(RemoteService {
                        service: service.clone(),
                        vm,
                    });
                }
                (None, None) => {}
            }
        }
        report
    }

    fn aggregator(&self, service: &Service) -> Option<Vm> {
        placement::aggregator(service, self.membership.live().map(|(vm, _)| vm)).cloned()
    }

    /// Passes an event to the counters and runs the resulting actions.
    pub(super) fn handle_burn_event(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.burn.handle(now, event);
        self.run_burn_actions(now, actions);
    }

    fn run_burn_actions(&mut self, now: Time, actions: Actions) {
        for action in actions {
            match action {
                Action::LocateAggregator { service } => {
                    if let Some(vm) = self.aggregator(&service) {
                        self.handle_burn_event(Event::AggregatorLocated { service, vm });
                    }
                }
                Action::SendBatch { to, batch } => self.send_burn(now, &to, Message::Batch(batch)),
                Action::SendAck { to, ack } => self.send_burn(now, &to, Message::Ack(ack)),
                Action::LoadSnapshot { service } => self.load_burn_snapshot(service),
                Action::StoreSnapshot { snapshot, tag } => self.store_burn_snapshot(snapshot, tag),
            }
        }
    }

    fn send_burn(&mut self, now: Time, to: &Vm, message: Message) {
        if *to == self.settings.vm {
            return self.handle_burn_message(message);
        }
        let (Some(address), Ok(body)) = (self.peer_address(to), serde_json::to_vec(&message))
        else {
            return;
        };
        let (peers, log) = (self.peers.clone(), self.log.clone());
        let (deadline, to) = (self.clock.instant(now + SEND_TIMEOUT), to.clone());
        self.io.spawn(async move {
            // Counters that were not delivered are sent again.
            if let Err(err) = peers.burn_delta(address, body, deadline).await {
                debug!(log, "can't deliver burn rate counters"; "to" => %to, "error" => %err);
            }
        });
    }

    /// Handles counters or an acknowledgement from another VM.
    pub(super) fn receive_burn_message(&mut self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(message) => self.handle_burn_message(message),
            Err(err) => debug!(self.log, "can't parse burn rate counters"; "error" => %err),
        }
    }

    fn handle_burn_message(&mut self, message: Message) {
        let event = match message {
            Message::Batch(batch) => Event::Batch(batch),
            Message::Ack(ack) => Event::Ack(ack),
        };
        self.handle_burn_event(event);
    }

    fn load_burn_snapshot(&self, service: Service) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = match platform
                .read::<StoredSnapshot>(SNAPSHOT_TABLE, service.as_str())
                .await
            {
                Ok(Some(row)) => {
                    let age = wall_clock::now_ms().saturating_sub(row.value.at_ms);
                    let age = Duration::from_millis(age);
                    let tag = row.tag.to_string();
                    Event::Loaded {
                        snapshot: row.value.snapshot,
                        age,
                        tag,
                    }
                }
                Ok(None) => Event::SnapshotAbsent { service },
                Err(_err) => Event::SnapshotUnreadable { service },
            };
            let _result = inputs.send(Input::BurnEvent(event));
        });
    }

    fn store_burn_snapshot(&self, snapshot: Snapshot, tag: Option<String>) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = write_snapshot(&platform, snapshot, tag).await;
            let _result = inputs.send(Input::BurnEvent(event));
        });
    }
}

async fn write_snapshot(platform: &Platform, snapshot: Snapshot, tag: Option<String>) -> Event {
    let service = snapshot.service.clone();
    let condition = tag.map_or(Condition::Absent, |tag| Condition::Unchanged(tag.into()));
    let stored = StoredSnapshot {
        at_ms: wall_clock::now_ms(),
        snapshot,
    };
    match platform
        .write(SNAPSHOT_TABLE, service.as_str(), &stored, &condition)
        .await
    {
        Ok(WriteResult::Done(tag)) => Event::SnapshotStored {
            service,
            tag: tag.to_string(),
        },
        Ok(WriteResult::Conflict(_)) => Event::StoreConflict { service },
        Err(_err) => Event::StoreUnconfirmed { service },
    }
}

/// Converts percent to a fraction, rounded so that 99.9 does not become 0.9990000000000001.
fn percent_to_fraction(percent: f64) -> f64 {
    (percent * 1e6).round() / 1e8
}
