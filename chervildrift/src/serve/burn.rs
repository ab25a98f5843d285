//! Service-level burn as the event loop handles it.

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
use crate::control_store::{Condition, Platform, Written};
use crate::wall;

/// Table of the snapshots.
const TABLE: &str = "burn";

/// Time between two ticks of the counters.
const TICK: Duration = Duration::from_secs(1);

/// Time limit of a message to another VM.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// What VMs send each other about their counters.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Batch(Batch),
    Ack(Ack),
}

/// A snapshot as it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    at_ms: u64,
    snapshot: Snapshot,
}

/// Report of one VM.
#[derive(Debug, Serialize)]
struct Report<'a> {
    vm: &'a Vm,
    summaries: Vec<burn::Summary>,
    /// Services that another VM answers for.
    elsewhere: Vec<Elsewhere>,
}

#[derive(Debug, Serialize)]
struct Elsewhere {
    service: Service,
    vm: Vm,
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for summary in &self.summaries {
            writeln!(f, "{summary}")?;
        }
        for Elsewhere { service, vm } in &self.elsewhere {
            writeln!(f, "{service}: {vm} answers for this service")?;
        }
        Ok(())
    }
}

impl Node {
    /// Tells the counters which objectives the configuration declares.
    pub(super) fn declare_objectives(&mut self) {
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
                    target: share(objective.target_percent),
                });
            }
        }
        self.burn_event(Event::Objectives(objectives));
    }

    /// Passes time to the counters and renews the report.
    pub(super) fn tick_burn(&mut self, now: Time) {
        if now < self.burn_at {
            return;
        }
        self.burn_at = now + TICK;
        self.burn_event(Event::Tick);
        self.show_state();
        let report = self.burn_report(now);
        report
            .summaries
            .iter()
            .for_each(|summary| self.show_burn(summary));
        let json = serde_json::to_vec(&report).unwrap_or_default();
        let text = report.to_string().into_bytes();
        let mut shared = self
            .shared
            .burn
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = BurnReport { json, text };
    }

    fn show_burn(&self, summary: &burn::Summary) {
        for row in &summary.rows {
            for span in &row.spans {
                let window = span.window.to_string();
                let labels = [summary.service.as_str(), row.kind.as_str(), window.as_str()];
                self.shared
                    .metrics
                    .burn
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
                    report.elsewhere.push(Elsewhere {
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

    /// Tells the counters of an event and carries out what follows.
    pub(super) fn burn_event(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.burn.handle(now, event);
        self.carry_burn(now, actions);
    }

    fn carry_burn(&mut self, now: Time, actions: Actions) {
        for action in actions {
            match action {
                Action::LocateAggregator { service } => {
                    if let Some(vm) = self.aggregator(&service) {
                        self.burn_event(Event::AggregatorLocated { service, vm });
                    }
                }
                Action::SendBatch { to, batch } => self.send_burn(now, &to, Message::Batch(batch)),
                Action::SendAck { to, ack } => self.send_burn(now, &to, Message::Ack(ack)),
                Action::LoadSnapshot { service } => self.load_burn(service),
                Action::StoreSnapshot { snapshot, tag } => self.store_burn(snapshot, tag),
            }
        }
    }

    fn send_burn(&mut self, now: Time, to: &Vm, message: Message) {
        if *to == self.settings.vm {
            return self.take_burn(message);
        }
        let (Some(address), Ok(body)) = (self.address(to), serde_json::to_vec(&message)) else {
            return;
        };
        let (peers, log) = (self.peers.clone(), self.log.clone());
        let (deadline, to) = (self.clock.instant(now + SEND_LIMIT), to.clone());
        self.io.spawn(async move {
            // Counters that did not arrive are sent again.
            if let Err(err) = peers.burn_delta(address, body, deadline).await {
                debug!(log, "burn counters not delivered"; "to" => %to, "error" => %err);
            }
        });
    }

    /// Takes counters or an acknowledgement from another VM.
    pub(super) fn merge_burn(&mut self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(message) => self.take_burn(message),
            Err(err) => debug!(self.log, "burn counters can't be read"; "error" => %err),
        }
    }

    fn take_burn(&mut self, message: Message) {
        let event = match message {
            Message::Batch(batch) => Event::Batch(batch),
            Message::Ack(ack) => Event::Ack(ack),
        };
        self.burn_event(event);
    }

    fn load_burn(&self, service: Service) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = match platform.read::<Stored>(TABLE, service.as_str()).await {
                Ok(Some(row)) => {
                    let age = wall::clock_ms().saturating_sub(row.value.at_ms);
                    let age = Duration::from_millis(age);
                    let tag = row.tag.to_string();
                    Event::SnapshotLoaded {
                        snapshot: row.value.snapshot,
                        age,
                        tag,
                    }
                }
                Ok(None) => Event::SnapshotAbsent { service },
                Err(_err) => Event::SnapshotUnreadable { service },
            };
            let _ended = inputs.send(Input::Burn(event));
        });
    }

    fn store_burn(&self, snapshot: Snapshot, tag: Option<String>) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = store(&platform, snapshot, tag).await;
            let _ended = inputs.send(Input::Burn(event));
        });
    }
}

async fn store(platform: &Platform, snapshot: Snapshot, tag: Option<String>) -> Event {
    let service = snapshot.service.clone();
    let condition = tag.map_or(Condition::Absent, |tag| Condition::Unchanged(tag.into()));
    let stored = Stored {
        at_ms: wall::clock_ms(),
        snapshot,
    };
    match platform
        .write(TABLE, service.as_str(), &stored, &condition)
        .await
    {
        Ok(Written::Done(tag)) => Event::SnapshotStored {
            service,
            tag: tag.to_string(),
        },
        Ok(Written::Conflict(_)) => Event::StoreConflict { service },
        Err(_err) => Event::StoreUnconfirmed { service },
    }
}

/// Converts percent to a share, rounded so that 99.9 does not become 0.9990000000000001.
fn share(percent: f64) -> f64 {
    (percent * 1e6).round() / 1e8
}
