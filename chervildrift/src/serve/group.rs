//! Observation of a database group, and the writes that wait for its confirmation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::config::GroupSpec;
use chervildrift_core::failover::{self, Action, Actions, Coordinator, Event, Promoter};
use chervildrift_core::group::{Confirmation, UpstreamReads};
use chervildrift_core::trace::{self, Opened};
use chervildrift_core::types::{GroupId, LogPosition, Term, Time, Upstream};
use slog::{Logger, debug};
use smallvec::SmallVec;
use tokio::runtime;
use tokio::sync::mpsc::UnboundedSender;

use super::Input;
use super::clock::Clock;
use super::dispatcher::ReplyCallback;
use super::trace_writer::{TraceDirectory, TraceWriter};
use crate::peer::Reply;
use crate::peer::message::{GroupState, UpstreamState};
use crate::upstream::{Control, Login, OrderReply};

/// Time limit of a status read or an order; below the time in which a lost primary is detected.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay between two status reads for a write that a slow replica has not received yet.
const CONFIRMATION_READ_DELAY: Duration = Duration::from_millis(2);

/// Time without an answer to a status read after which an upstream gets no work.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Committed write that waits until a majority of the group is known to have received it.
#[derive(derive_more::Debug)]
pub(super) struct UnconfirmedWrite {
    pub position: LogPosition,
    /// Time at which the upstream's answer was handled.
    pub answered_at: Time,
    pub deadline: Time,
    /// Reply to send when the write is confirmed.
    pub success_reply: Reply,
    #[debug("..")]
    pub reply: ReplyCallback,
}

/// Database group that this VM observes.
#[derive(Debug)]
pub(super) struct Group {
    pub id: GroupId,
    pub spec: GroupSpec,
    pub coordinator: Coordinator,
    pub unconfirmed: Vec<UnconfirmedWrite>,
    /// Primary and term after the last change.
    pub last_primary: Option<(usize, Term)>,
    trace_writer: Option<TraceWriter>,
    /// Time at which this VM started to observe the group.
    observed_since: Time,
    controls: Vec<Arc<Control>>,
    /// Whether a status read of each upstream is in flight.
    reads_in_flight: SmallVec<[bool; 3]>,
}

/// This VM as a candidate for the coordination of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub promoter: &'a Promoter,
    pub rank: u32,
    pub seed: u64,
}

/// Handles that actions need to run outside the event loop.
#[derive(Debug)]
pub(super) struct IoContext<'a> {
    pub io: &'a runtime::Handle,
    pub clock: Clock,
    pub log: &'a Logger,
    pub inputs: &'a UnboundedSender<Input>,
}

impl Group {
    /// Creates a group that this VM starts to observe.
    pub(super) fn new(
        now: Time,
        id: GroupId,
        spec: &GroupSpec,
        candidate: &Candidate<'_>,
        login: &Login,
        trace_directory: Option<&TraceDirectory>,
    ) -> Self {
        let names: Vec<Upstream> = spec.upstreams.iter().map(|it| it.name.clone()).collect();
        let reads_in_flight = SmallVec::from_elem(false, names.len());
        let opened = Opened {
            upstreams: names,
            promoter: candidate.promoter.as_str().to_owned(),
            rank: candidate.rank,
            seed: candidate.seed,
        };
        let coordinator = trace::new_coordinator(&opened);
        let trace_writer = trace_directory.and_then(|it| it.create_trace(&id, opened));
        let control = |address| Arc::new(Control::new(address, login, CONTROL_TIMEOUT));
        Self {
            id,
            spec: spec.clone(),
            coordinator,
            unconfirmed: Vec::new(),
            last_primary: None,
            observed_since: now,
            controls: spec
                .upstreams
                .iter()
                .map(|it| control(it.address))
                .collect(),
            reads_in_flight,
            trace_writer,
        }
    }

    /// Passes an event to the coordinator and starts the resulting reads and orders.
    ///
    /// Returns the actions that concern the queues of the dispatchers.
    pub(super) fn handle(
        &mut self,
        now: Time,
        event: Event,
        context: &IoContext<'_>,
    ) -> SmallVec<[Action; 1]> {
        if let Event::Observed { index, .. } = event
            && let Some(in_flight) = self.reads_in_flight.get_mut(index)
        {
            *in_flight = false;
        }
        let actions = self.coordinator.handle(now, event);
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.write_step(now, &event, &actions);
        }
        self.start_actions(actions, context)
    }

    fn start_actions(
        &mut self,
        actions: Actions,
        context: &IoContext<'_>,
    ) -> SmallVec<[Action; 1]> {
        let mut queue_actions = SmallVec::new();
        for action in actions {
            match action {
                Action::ReadStatus { index } => self.read_status(index, Duration::ZERO, context),
                Action::Fence { index, term } => self.fence(index, term, context),
                Action::Promote { index, term } => self.promote(index, term, context),
                Action::Follow {
                    index,
                    primary,
                    term,
                } => {
                    self.follow(index, primary, term, context);
                }
                Action::Hold | Action::Resume => queue_actions.push(action),
            }
        }
        queue_actions
    }

    /// Reads the status of an upstream unless a read of it is in flight.
    fn read_status(&mut self, index: usize, delay: Duration, context: &IoContext<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        if std::mem::replace(&mut self.reads_in_flight[index], true) {
            return;
        }
        let (group, clock, inputs) = (self.id.clone(), context.clock, context.inputs.clone());
        let log = context.log.clone();
        context.io.spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let sent = clock.now();
            let status = control.status().await;
            let status = status.inspect_err(|err| {
                debug!(log, "status read failed"; "group" => %group, "index" => index,
                    "error" => %err);
            });
            let status = status.ok();
            // Sending fails only after the event loop has ended.
            let _result = inputs.send(Input::GroupEvent(
                group,
                Event::Observed {
                    index,
                    sent,
                    status,
                },
            ));
        });
    }

    fn fence(&self, index: usize, term: Term, context: &IoContext<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let promoter = self.coordinator.promoter().clone();
        self.spawn_order(context, async move {
            let reply = control.fence(term, promoter.as_str()).await.ok();
            Some(Event::Fenced {
                index,
                term,
                answer: reply.map(order_answer),
            })
        });
    }

    fn promote(&self, index: usize, term: Term, context: &IoContext<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let promoter = self.coordinator.promoter().clone();
        self.spawn_order(context, async move {
            let reply = control.promote(term, promoter.as_str()).await.ok();
            Some(Event::Promoted {
                index,
                term,
                answer: reply.map(order_answer),
            })
        });
    }

    fn follow(&self, index: usize, primary: usize, term: Term, context: &IoContext<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let Some(address) = self.upstream_address(primary) else {
            return;
        };
        self.spawn_order(context, async move {
            // The next status read shows whether the upstream follows.
            let _result = control.follow(address, term).await;
            None
        });
    }

    /// Runs an order outside the event loop and sends the result back to it.
    fn spawn_order(
        &self,
        context: &IoContext<'_>,
        order: impl Future<Output = Option<Event>> + Send + 'static,
    ) {
        let (group, inputs) = (self.id.clone(), context.inputs.clone());
        context.io.spawn(async move {
            if let Some(event) = order.await {
                let _result = inputs.send(Input::GroupEvent(group, event));
            }
        });
    }

    fn control(&self, index: usize) -> Option<Arc<Control>> {
        self.controls.get(index).map(Arc::clone)
    }

    fn upstream_address(&self, index: usize) -> Option<SocketAddr> {
        self.spec.upstreams.get(index).map(|it| it.address)
    }

    /// Reads the statuses that unconfirmed writes wait for.
    pub(super) fn read_for_confirmations(&mut self, now: Time, context: &IoContext<'_>) {
        let Some(oldest) = self.unconfirmed.first() else {
            return;
        };
        let slow = now.since(oldest.answered_at) > CONFIRMATION_READ_DELAY;
        let delay = if slow {
            CONFIRMATION_READ_DELAY
        } else {
            Duration::ZERO
        };
        for index in 0..self.controls.len() {
            self.read_status(index, delay, context);
        }
    }

    /// Removes and returns the writes whose wait is over, with their outcomes.
    pub(super) fn take_completed_writes(
        &mut self,
        now: Time,
    ) -> Vec<(Confirmation, UnconfirmedWrite)> {
        let view = self.coordinator.view();
        let mut ended = Vec::new();
        let mut waiting = Vec::with_capacity(self.unconfirmed.len());
        for write in self.unconfirmed.drain(..) {
            match view.confirmation(write.position, write.answered_at) {
                Confirmation::Pending if write.deadline > now => waiting.push(write),
                outcome => ended.push((outcome, write)),
            }
        }
        self.unconfirmed = waiting;
        ended
    }

    /// Returns the primary and its term if they changed since the last call.
    pub(super) fn take_primary_change(&mut self) -> Option<(usize, Term)> {
        let view = self.coordinator.view();
        let current = view.primary().map(|index| (index, view.term()));
        if current.is_none() || current == self.last_primary {
            return None;
        }
        self.last_primary = current;
        current
    }

    /// Returns whether an upstream has not answered status reads within the response timeout.
    pub(super) fn is_unresponsive(&self, now: Time, index: usize) -> bool {
        let seen = self.coordinator.view().reads(index);
        let answered = seen
            .and_then(UpstreamReads::answered_at)
            .unwrap_or(self.observed_since);
        now.since(answered) > RESPONSE_TIMEOUT
    }

    /// Returns the state of the group for replies to entries, without the loads.
    pub(super) fn group_state(&self, now: Time) -> GroupState {
        let view = self.coordinator.view();
        let upstream = |index| {
            let status = view.status(index);
            UpstreamState {
                received: status.map(|it| it.received).unwrap_or_default(),
                applied: status.map(|it| it.applied).unwrap_or_default(),
                // An upstream without an age gets no new work.
                age: view
                    .data_age(now, index)
                    .filter(|_age| !self.is_unresponsive(now, index)),
                load: Default::default(),
            }
        };
        GroupState {
            primary: view.primary().map(|index| index as u32),
            term: view.term(),
            upstreams: (0..view.len()).map(upstream).collect(),
        }
    }
}

fn order_answer(reply: OrderReply) -> failover::Answer {
    if reply.granted {
        failover::Answer::Granted {
            received: reply.received,
        }
    } else {
        failover::Answer::Refused {
            fenced: reply.fenced,
        }
    }
}
