//! A database group that this VM observes, and the writes that wait for its confirmation.

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
use super::dispatcher::ReplyTo;
use super::record::{Recorder, Recording};
use crate::peer::Reply;
use crate::peer::message::{GroupState, UpstreamState};
use crate::upstream::{Control, Login, Vote};

/// Time limit of a status read or an order, below the detection time of a lost primary.
const CONTROL_LIMIT: Duration = Duration::from_millis(250);

/// Pause between two reads for a write that a slow replica has not received yet.
const CONFIRM_PAUSE: Duration = Duration::from_millis(2);

/// Time without an answer to a status read after which an upstream takes no work.
const SILENCE: Duration = Duration::from_millis(600);

/// A write that waits until a majority is seen to have received it.
#[derive(derive_more::Debug)]
pub(super) struct Unconfirmed {
    pub mark: LogPosition,
    /// Time at which the upstream's answer was taken.
    pub since: Time,
    pub deadline: Time,
    /// Reply to send when the write is confirmed.
    pub success: Reply,
    #[debug("..")]
    pub reply: ReplyTo,
}

/// A group that this VM observes.
#[derive(Debug)]
pub(super) struct Group {
    pub id: GroupId,
    pub spec: GroupSpec,
    pub coordinator: Coordinator,
    pub unconfirmed: Vec<Unconfirmed>,
    /// Primary at the last change.
    pub primary: Option<(usize, Term)>,
    recording: Option<Recording>,
    /// Time at which this VM began to observe the group.
    opened: Time,
    controls: Vec<Arc<Control>>,
    reading: SmallVec<[bool; 3]>,
}

/// This VM as a candidate for the coordination of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub promoter: &'a Promoter,
    pub rank: u32,
    pub seed: u64,
}

/// What an action needs to run outside the event loop.
#[derive(Debug)]
pub(super) struct Outside<'a> {
    pub io: &'a runtime::Handle,
    pub clock: Clock,
    pub log: &'a Logger,
    pub inputs: &'a UnboundedSender<Input>,
}

impl Group {
    /// Opens the observer of a group.
    pub(super) fn open(
        now: Time,
        id: GroupId,
        spec: &GroupSpec,
        candidate: &Candidate<'_>,
        login: &Login,
        recorder: Option<&Recorder>,
    ) -> Self {
        let names: Vec<Upstream> = spec.upstreams.iter().map(|it| it.name.clone()).collect();
        let reading = SmallVec::from_elem(false, names.len());
        let opened = Opened {
            upstreams: names,
            promoter: candidate.promoter.as_str().to_owned(),
            rank: candidate.rank,
            seed: candidate.seed,
        };
        let coordinator = trace::open(&opened);
        let recording = recorder.and_then(|it| it.start(&id, opened));
        let control = |address| Arc::new(Control::open(address, login, CONTROL_LIMIT));
        Self {
            id,
            spec: spec.clone(),
            coordinator,
            unconfirmed: Vec::new(),
            primary: None,
            opened: now,
            controls: spec
                .upstreams
                .iter()
                .map(|it| control(it.address))
                .collect(),
            reading,
            recording,
        }
    }

    /// Tells the coordinator of an event and starts what it asks for.
    ///
    /// Returns the orders that concern the queues of the dispatchers.
    pub(super) fn handle(
        &mut self,
        now: Time,
        event: Event,
        outside: &Outside<'_>,
    ) -> SmallVec<[Action; 1]> {
        if let Event::Observed { index, .. } = event
            && let Some(reading) = self.reading.get_mut(index)
        {
            *reading = false;
        }
        let actions = self.coordinator.handle(now, event);
        if let Some(recording) = &mut self.recording {
            recording.step(now, &event, &actions);
        }
        self.start(actions, outside)
    }

    fn start(&mut self, actions: Actions, outside: &Outside<'_>) -> SmallVec<[Action; 1]> {
        let mut rest = SmallVec::new();
        for action in actions {
            match action {
                Action::ReadStatus { index } => self.read(index, Duration::ZERO, outside),
                Action::Fence { index, term } => self.fence(index, term, outside),
                Action::Promote { index, term } => self.promote(index, term, outside),
                Action::Follow {
                    index,
                    primary,
                    term,
                } => {
                    self.follow(index, primary, term, outside);
                }
                Action::Hold | Action::Resume => rest.push(action),
            }
        }
        rest
    }

    /// Reads the status of an upstream unless a read of it is under way.
    fn read(&mut self, index: usize, pause: Duration, outside: &Outside<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        if std::mem::replace(&mut self.reading[index], true) {
            return;
        }
        let (group, clock, inputs) = (self.id.clone(), outside.clock, outside.inputs.clone());
        let log = outside.log.clone();
        outside.io.spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let sent = clock.now();
            let status = control.status().await;
            let status = status.inspect_err(|err| {
                debug!(log, "status read failed"; "group" => %group, "index" => index,
                    "error" => %err);
            });
            let status = status.ok();
            // The event loop has ended if nobody takes the answer.
            let _ended = inputs.send(Input::Group(
                group,
                Event::Observed {
                    index,
                    sent,
                    status,
                },
            ));
        });
    }

    fn fence(&self, index: usize, term: Term, outside: &Outside<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let promoter = self.coordinator.promoter().clone();
        self.order(outside, async move {
            let vote = control.fence(term, promoter.as_str()).await.ok();
            Some(Event::Fenced {
                index,
                term,
                answer: vote.map(answer),
            })
        });
    }

    fn promote(&self, index: usize, term: Term, outside: &Outside<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let promoter = self.coordinator.promoter().clone();
        self.order(outside, async move {
            let vote = control.promote(term, promoter.as_str()).await.ok();
            Some(Event::Promoted {
                index,
                term,
                answer: vote.map(answer),
            })
        });
    }

    fn follow(&self, index: usize, primary: usize, term: Term, outside: &Outside<'_>) {
        let Some(control) = self.control(index) else {
            return;
        };
        let Some(address) = self.address(primary) else {
            return;
        };
        self.order(outside, async move {
            // The next status read shows whether the upstream follows.
            let _result = control.follow(address, term).await;
            None
        });
    }

    /// Runs an order outside the event loop and brings its result back.
    fn order(
        &self,
        outside: &Outside<'_>,
        run: impl Future<Output = Option<Event>> + Send + 'static,
    ) {
        let (group, inputs) = (self.id.clone(), outside.inputs.clone());
        outside.io.spawn(async move {
            if let Some(event) = run.await {
                let _ended = inputs.send(Input::Group(group, event));
            }
        });
    }

    fn control(&self, index: usize) -> Option<Arc<Control>> {
        self.controls.get(index).map(Arc::clone)
    }

    fn address(&self, index: usize) -> Option<SocketAddr> {
        self.spec.upstreams.get(index).map(|it| it.address)
    }

    /// Reads the statuses that the waiting writes need.
    pub(super) fn seek_confirmation(&mut self, now: Time, outside: &Outside<'_>) {
        let Some(oldest) = self.unconfirmed.first() else {
            return;
        };
        let patient = now.since(oldest.since) > CONFIRM_PAUSE;
        let pause = if patient {
            CONFIRM_PAUSE
        } else {
            Duration::ZERO
        };
        for index in 0..self.controls.len() {
            self.read(index, pause, outside);
        }
    }

    /// Takes out the writes whose wait is over, with what became of them.
    pub(super) fn confirmations(&mut self, now: Time) -> Vec<(Confirmation, Unconfirmed)> {
        let view = self.coordinator.view();
        let mut ended = Vec::new();
        let mut rest = Vec::with_capacity(self.unconfirmed.len());
        for write in self.unconfirmed.drain(..) {
            match view.confirmation(write.mark, write.since) {
                Confirmation::Pending if write.deadline > now => rest.push(write),
                outcome => ended.push((outcome, write)),
            }
        }
        self.unconfirmed = rest;
        ended
    }

    /// Returns the primary and its term if they changed since the last call.
    pub(super) fn changed_primary(&mut self) -> Option<(usize, Term)> {
        let view = self.coordinator.view();
        let current = view.primary().map(|index| (index, view.term()));
        if current.is_none() || current == self.primary {
            return None;
        }
        self.primary = current;
        current
    }

    /// Tells whether an upstream has not answered for so long that waiting for it is pointless.
    pub(super) fn is_silent(&self, now: Time, index: usize) -> bool {
        let seen = self.coordinator.view().reads(index);
        let answered = seen
            .and_then(UpstreamReads::answered_at)
            .unwrap_or(self.opened);
        now.since(answered) > SILENCE
    }

    /// Returns the state that replies carry to the entries.
    pub(super) fn state(&self, now: Time) -> GroupState {
        let view = self.coordinator.view();
        let upstream = |index| {
            let status = view.status(index);
            UpstreamState {
                received: status.map(|it| it.received).unwrap_or_default(),
                applied: status.map(|it| it.applied).unwrap_or_default(),
                // An upstream without an age takes no new work.
                age: view
                    .data_age(now, index)
                    .filter(|_age| !self.is_silent(now, index)),
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

fn answer(vote: Vote) -> failover::Answer {
    if vote.granted {
        failover::Answer::Granted {
            received: vote.received,
        }
    } else {
        failover::Answer::Refused {
            fenced: vote.fenced,
        }
    }
}
