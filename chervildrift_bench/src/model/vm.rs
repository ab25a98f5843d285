//! Fake of a VM: the core's decisions and the calls they make.

use std::collections::BTreeMap;
use std::time::Duration;

use chervildrift_core::failover::{Action, Answer, Coordinator, Event, Limits, Phase, Promoter};
use chervildrift_core::group::GroupView;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{LogPosition, Time, Upstream, Vm};

use super::message::{Reply, Request};
use super::write::{Outcome, Write};

/// Number of promoter identities of one VM; each restart of the VM takes the next one.
pub(super) const IDENTITIES: u64 = 64;

/// Pause between two status reads of one upstream while writes wait for confirmation.
const CONFIRM_PAUSE: Duration = Duration::from_millis(2);

/// When a write is acknowledged, and what a promotion waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A majority has received the write.
    Majority,
    /// The primary has the write.
    Primary,
    /// The primary has the write; only an upstream with all acknowledged writes is promoted.
    Gated,
    /// The primary has the write and its lease had not lapsed when the write was sent.
    Lease,
}

/// A call to an upstream that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Call {
    index: usize,
    sent: Time,
    request: Request,
    quick: bool,
}

/// What a VM does in answer to one input.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// Calls with their identifiers and pauses before sending.
    pub(super) calls: Vec<(u64, usize, Request, Duration)>,
    pub(super) outcomes: Vec<Outcome>,
}

/// Fake of a VM.
#[derive(Debug)]
pub struct VmState {
    name: Vm,
    coordinator: Coordinator,
    identity: u64,
    rule: Rule,
    /// Time after which an unrenewed lease has lapsed.
    lease: Duration,
    next_call: u64,
    calls: BTreeMap<u64, Call>,
    pub(super) writes: Vec<Write>,
    /// Greatest acknowledged mark that this VM knows of.
    pub(super) acked: LogPosition,
    granted: BTreeMap<usize, LogPosition>,
    reading: [bool; 3],
    held: bool,
    /// Start of the last round's stages: check, fence and promote.
    pub(super) entered: [Time; 3],
}

impl VmState {
    pub(super) fn open(index: usize, start: u64, rule: Rule, limits: Limits, seed: u64) -> Self {
        let names: Vec<Upstream> = ["a", "b", "c"].map(Upstream::from).to_vec();
        let name = Vm::from(format!("vm-{index}"));
        let me = Promoter::new(&name, start);
        let view = GroupView::new(&names);
        let rng = Rng::new(seed);
        Self {
            name,
            coordinator: Coordinator::new(view, me, index as u32, rng, limits),
            identity: index as u64 * IDENTITIES + start,
            rule,
            lease: limits.detection_timeout,
            next_call: start << 40,
            calls: BTreeMap::new(),
            writes: Vec::new(),
            acked: LogPosition::default(),
            granted: BTreeMap::new(),
            reading: [false; 3],
            held: false,
            entered: [Time::default(); 3],
        }
    }

    /// Returns the VM's view of the group.
    #[must_use]
    pub const fn view(&self) -> &GroupView {
        self.coordinator.view()
    }

    /// Returns the stage of the VM's round.
    #[must_use]
    pub fn stage(&self) -> Phase {
        self.coordinator.phase()
    }

    pub(super) fn tick(&mut self, now: Time, effects: &mut Effects) {
        self.decide(now, Event::Tick, effects);
        self.send_writes(now, effects);
        self.advance_writes(now, effects);
    }

    pub(super) fn event(&mut self, now: Time, event: Event, effects: &mut Effects) {
        self.decide(now, event, effects);
    }

    pub(super) fn start(&mut self, now: Time, write: Write, effects: &mut Effects) {
        self.writes.push(write);
        self.send_writes(now, effects);
    }

    pub(super) fn read(&mut self, now: Time, index: usize, read: Request, effects: &mut Effects) {
        self.call(now, index, read, false, effects);
    }

    /// Takes the answer to a call, or its absence.
    pub(super) fn end(&mut self, now: Time, id: u64, reply: Option<Reply>, effects: &mut Effects) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match (call.request, reply) {
            (Request::Status, reply) => self.end_status(now, call, reply.as_ref(), effects),
            (Request::Write { .. }, reply) => self.end_write(now, id, reply.as_ref(), effects),
            (Request::Read { key, token }, Some(Reply::Read { status, visible }))
                if GroupView::may_serve(&status, Some(token)) =>
            {
                effects.outcomes.push(Outcome::Served { key, visible });
            }
            (Request::Fence { term, .. }, reply) => {
                let answer = answer_of(reply.as_ref());
                self.note_grant(call.index, answer);
                let index = call.index;
                let event = Event::Fenced {
                    index,
                    term,
                    answer,
                };
                self.decide(now, event, effects);
            }
            (Request::Promote { term, .. }, reply) => {
                let event = Event::Promoted {
                    index: call.index,
                    term,
                    answer: answer_of(reply.as_ref()),
                };
                self.decide(now, event, effects);
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: Time, event: Event, effects: &mut Effects) {
        let before = self.coordinator.phase();
        let actions = self.coordinator.handle(now, event);
        self.note_stage(now, before);
        for action in actions {
            self.act(now, action, effects);
        }
    }

    fn note_stage(&mut self, now: Time, before: Phase) {
        let stage = self.coordinator.phase();
        if stage == before {
            return;
        }
        match stage {
            Phase::Check => self.entered = [now; 3],
            Phase::Fence => self.entered[1..].fill(now),
            Phase::Promote => self.entered[2] = now,
            Phase::CatchUp | Phase::Idle => {}
        }
    }

    fn act(&mut self, now: Time, action: Action, effects: &mut Effects) {
        let promoter = self.identity;
        match action {
            Action::ReadStatus { index } => {
                self.call(now, index, Request::Status, false, effects);
            }
            Action::Fence { index, term } => {
                let request = Request::Fence { term, promoter };
                self.call(now, index, request, false, effects);
            }
            Action::Promote { index, term } if self.is_gated(index) => {
                let answer = Some(Answer::Refused { fenced: term });
                let event = Event::Promoted {
                    index,
                    term,
                    answer,
                };
                self.decide(now, event, effects);
            }
            Action::Promote { index, term } => {
                let request = Request::Promote { term, promoter };
                self.call(now, index, request, false, effects);
            }
            Action::Follow {
                index,
                primary,
                term,
            } => {
                let request = Request::Follow { primary, term };
                self.call(now, index, request, false, effects);
            }
            Action::Hold => self.held = true,
            Action::Resume => self.held = false,
        }
    }

    fn is_gated(&self, index: usize) -> bool {
        let short = self.granted.get(&index).is_none_or(|m| *m < self.acked);
        self.rule == Rule::Gated && short
    }

    fn note_grant(&mut self, index: usize, answer: Option<Answer>) {
        if let Some(Answer::Granted { received }) = answer {
            self.granted.insert(index, received);
        }
    }

    fn end_status(&mut self, now: Time, call: Call, reply: Option<&Reply>, effects: &mut Effects) {
        let status = match reply {
            Some(Reply::Status(status)) => Some(*status),
            _ => None,
        };
        if call.quick {
            self.reading[call.index] = false;
        }
        let event = Event::Observed {
            index: call.index,
            sent: call.sent,
            status,
        };
        self.decide(now, event, effects);
        self.advance_writes(now, effects);
        self.confirm_reads(now, CONFIRM_PAUSE, effects);
    }

    fn end_write(&mut self, now: Time, id: u64, reply: Option<&Reply>, effects: &mut Effects) {
        let Some(write) = self.writes.iter_mut().find(|write| write.is_call(id)) else {
            return;
        };
        let outcome = match reply {
            Some(Reply::Written { mark, cancelled }) => {
                write.record(now, *mark, *cancelled);
                (self.rule != Rule::Majority)
                    .then(|| write.acknowledge())
                    .flatten()
            }
            Some(Reply::NotPrimary) => write.refuse(now, id),
            _ => write.lose(now),
        };
        if let Some(Outcome::Acked { mark, .. }) = outcome {
            self.acked = self.acked.max(mark);
        }
        effects.outcomes.extend(outcome);
        self.confirm_reads(now, Duration::ZERO, effects);
    }

    /// Reads all upstreams while writes wait for confirmation.
    fn confirm_reads(&mut self, now: Time, pause: Duration, effects: &mut Effects) {
        if !self.writes.iter().any(Write::is_confirming) {
            return;
        }
        for index in 0..self.reading.len() {
            if !std::mem::replace(&mut self.reading[index], true) {
                let sent = now + pause;
                let id = self.call(sent, index, Request::Status, true, effects);
                if let Some(call) = effects.calls.iter_mut().find(|call| call.0 == id) {
                    call.3 = pause;
                }
            }
        }
    }

    fn send_writes(&mut self, now: Time, effects: &mut Effects) {
        let Some(index) = self.view().primary().filter(|_index| self.may_send(now)) else {
            return;
        };
        for at in 0..self.writes.len() {
            if !self.writes[at].waits() {
                continue;
            }
            let id = self.next_call;
            let write = &mut self.writes[at];
            let (key, cancels) = (write.key, write.cancels);
            if write.send(&self.name, id) {
                let request = Request::Write { key, cancels };
                self.call(now, index, request, false, effects);
            }
        }
    }

    fn may_send(&self, now: Time) -> bool {
        let answered = self.view().primary_answered_at();
        let lease = answered.is_some_and(|answered| now.since(answered) < self.lease);
        !self.held && (self.rule != Rule::Lease || lease)
    }

    fn advance_writes(&mut self, now: Time, effects: &mut Effects) {
        let view = self.coordinator.view();
        for write in &mut self.writes {
            effects.outcomes.extend(write.advance(now, view));
        }
        self.writes.retain(Write::is_open);
    }

    fn call(
        &mut self,
        sent: Time,
        index: usize,
        request: Request,
        quick: bool,
        effects: &mut Effects,
    ) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        let call = Call {
            index,
            sent,
            request,
            quick,
        };
        self.calls.insert(id, call);
        effects.calls.push((id, index, request, Duration::ZERO));
        id
    }
}

fn answer_of(reply: Option<&Reply>) -> Option<Answer> {
    match reply {
        Some(Reply::Fence(answer) | Reply::Promote(answer)) => Some(*answer),
        _ => None,
    }
}
