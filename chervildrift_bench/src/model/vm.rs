//! Simulated VM: runs the core's decisions and makes the calls that they demand.

use std::collections::BTreeMap;
use std::time::Duration;

use chervildrift_core::failover::{Action, Answer, Coordinator, Event, Limits, Phase, Promoter};
use chervildrift_core::group::GroupView;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{LogPosition, Time, Upstream, Vm};

use super::message::{Reply, Request};
use super::write::{Outcome, Write};

/// Number of promoter identities of one VM; each restart of the VM takes the next one.
pub(super) const IDENTITIES_PER_VM: u64 = 64;

/// Interval between two status reads of one upstream while writes wait for confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(2);

/// When a write is acknowledged, and what a promotion waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A majority has received the write.
    Majority,
    /// The primary has the write.
    Primary,
    /// The primary has the write; only an upstream with all acknowledged writes is promoted.
    Gated,
    /// The primary has the write, and its lease had not expired when the write was sent.
    Lease,
}

/// A call to an upstream that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Call {
    index: usize,
    sent: Time,
    request: Request,
    is_confirm_read: bool,
}

/// Calls and outcomes that one input produces at a VM.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// Identifier, upstream, request and delay before sending of each call.
    pub(super) calls: Vec<(u64, usize, Request, Duration)>,
    pub(super) outcomes: Vec<Outcome>,
}

/// Simulated VM.
#[derive(Debug)]
pub struct FakeVm {
    name: Vm,
    coordinator: Coordinator,
    promoter_id: u64,
    rule: Rule,
    /// Time after which a lease expires unless it is renewed.
    lease_timeout: Duration,
    next_call: u64,
    calls: BTreeMap<u64, Call>,
    pub(super) writes: Vec<Write>,
    /// Greatest acknowledged position that this VM knows of.
    pub(super) acked_position: LogPosition,
    granted_positions: BTreeMap<usize, LogPosition>,
    read_pending: [bool; 3],
    writes_paused: bool,
    /// Start of the check, fence and promote phases of the last round.
    pub(super) phase_starts: [Time; 3],
}

impl FakeVm {
    pub(super) fn new(index: usize, boot: u64, rule: Rule, limits: Limits, seed: u64) -> Self {
        let names: Vec<Upstream> = ["a", "b", "c"].map(Upstream::from).to_vec();
        let name = Vm::from(format!("vm-{index}"));
        let me = Promoter::new(&name, boot);
        let view = GroupView::new(&names);
        let rng = Rng::new(seed);
        Self {
            name,
            coordinator: Coordinator::new(view, me, index as u32, rng, limits),
            promoter_id: index as u64 * IDENTITIES_PER_VM + boot,
            rule,
            lease_timeout: limits.detection_timeout,
            next_call: boot << 40,
            calls: BTreeMap::new(),
            writes: Vec::new(),
            acked_position: LogPosition::default(),
            granted_positions: BTreeMap::new(),
            read_pending: [false; 3],
            writes_paused: false,
            phase_starts: [Time::default(); 3],
        }
    }

    /// Returns the VM's view of the group.
    #[must_use]
    pub const fn view(&self) -> &GroupView {
        self.coordinator.view()
    }

    /// Returns the phase of the VM's failover round.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.coordinator.phase()
    }

    pub(super) fn tick(&mut self, now: Time, effects: &mut Effects) {
        self.run_coordinator(now, Event::Tick, effects);
        self.send_writes(now, effects);
        self.advance_writes(now, effects);
    }

    pub(super) fn handle_event(&mut self, now: Time, event: Event, effects: &mut Effects) {
        self.run_coordinator(now, event, effects);
    }

    pub(super) fn start_write(&mut self, now: Time, write: Write, effects: &mut Effects) {
        self.writes.push(write);
        self.send_writes(now, effects);
    }

    pub(super) fn read(&mut self, now: Time, index: usize, read: Request, effects: &mut Effects) {
        self.call(now, index, read, false, effects);
    }

    /// Handles the answer to a call, or `None` when the call has timed out.
    pub(super) fn end_call(
        &mut self,
        now: Time,
        id: u64,
        reply: Option<Reply>,
        effects: &mut Effects,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match (call.request, reply) {
            (Request::Status, reply) => self.end_status(now, call, reply.as_ref(), effects),
            (Request::Write { .. }, reply) => self.end_write(now, id, reply.as_ref(), effects),
            (Request::Read { key, min_position }, Some(Reply::Read { status, visible }))
                if GroupView::may_serve(&status, Some(min_position)) =>
            {
                effects.outcomes.push(Outcome::Served { key, visible });
            }
            (Request::Fence { term, .. }, reply) => {
                let answer = answer_of(reply.as_ref());
                self.record_grant(call.index, answer);
                let index = call.index;
                let event = Event::Fenced {
                    index,
                    term,
                    answer,
                };
                self.run_coordinator(now, event, effects);
            }
            (Request::Promote { term, .. }, reply) => {
                let event = Event::Promoted {
                    index: call.index,
                    term,
                    answer: answer_of(reply.as_ref()),
                };
                self.run_coordinator(now, event, effects);
            }
            _ => {}
        }
    }

    fn run_coordinator(&mut self, now: Time, event: Event, effects: &mut Effects) {
        let before = self.coordinator.phase();
        let actions = self.coordinator.handle(now, event);
        self.record_phase(now, before);
        for action in actions {
            self.run_action(now, action, effects);
        }
    }

    fn record_phase(&mut self, now: Time, before: Phase) {
        let phase = self.coordinator.phase();
        if phase == before {
            return;
        }
        match phase {
            Phase::Check => self.phase_starts = [now; 3],
            Phase::Fence => self.phase_starts[1..].fill(now),
            Phase::Promote => self.phase_starts[2] = now,
            Phase::CatchUp | Phase::Idle => {}
        }
    }

    fn run_action(&mut self, now: Time, action: Action, effects: &mut Effects) {
        let promoter = self.promoter_id;
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
                self.run_coordinator(now, event, effects);
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
            Action::Hold => self.writes_paused = true,
            Action::Resume => self.writes_paused = false,
        }
    }

    fn is_gated(&self, index: usize) -> bool {
        let behind = self
            .granted_positions
            .get(&index)
            .is_none_or(|m| *m < self.acked_position);
        self.rule == Rule::Gated && behind
    }

    fn record_grant(&mut self, index: usize, answer: Option<Answer>) {
        if let Some(Answer::Granted { received }) = answer {
            self.granted_positions.insert(index, received);
        }
    }

    fn end_status(&mut self, now: Time, call: Call, reply: Option<&Reply>, effects: &mut Effects) {
        let status = match reply {
            Some(Reply::Status(status)) => Some(*status),
            _ => None,
        };
        if call.is_confirm_read {
            self.read_pending[call.index] = false;
        }
        let event = Event::Observed {
            index: call.index,
            sent: call.sent,
            status,
        };
        self.run_coordinator(now, event, effects);
        self.advance_writes(now, effects);
        self.start_confirm_reads(now, CONFIRM_INTERVAL, effects);
    }

    fn end_write(&mut self, now: Time, id: u64, reply: Option<&Reply>, effects: &mut Effects) {
        let Some(write) = self.writes.iter_mut().find(|write| write.awaits_call(id)) else {
            return;
        };
        let outcome = match reply {
            Some(Reply::Written {
                position,
                cancelled,
            }) => {
                write.handle_record(now, *position, *cancelled);
                (self.rule != Rule::Majority)
                    .then(|| write.acknowledge())
                    .flatten()
            }
            Some(Reply::NotPrimary) => write.handle_refusal(now, id),
            _ => write.handle_no_answer(now),
        };
        if let Some(Outcome::Acked { position, .. }) = outcome {
            self.acked_position = self.acked_position.max(position);
        }
        effects.outcomes.extend(outcome);
        self.start_confirm_reads(now, Duration::ZERO, effects);
    }

    /// Reads the status of all upstreams while writes wait for confirmation.
    fn start_confirm_reads(&mut self, now: Time, delay: Duration, effects: &mut Effects) {
        if !self.writes.iter().any(Write::is_confirming) {
            return;
        }
        for index in 0..self.read_pending.len() {
            if !std::mem::replace(&mut self.read_pending[index], true) {
                let sent = now + delay;
                let id = self.call(sent, index, Request::Status, true, effects);
                if let Some(call) = effects.calls.iter_mut().find(|call| call.0 == id) {
                    call.3 = delay;
                }
            }
        }
    }

    fn send_writes(&mut self, now: Time, effects: &mut Effects) {
        let Some(index) = self.view().primary().filter(|_index| self.may_send(now)) else {
            return;
        };
        for at in 0..self.writes.len() {
            if !self.writes[at].needs_send() {
                continue;
            }
            let id = self.next_call;
            let write = &mut self.writes[at];
            let (key, is_cancel) = (write.key, write.is_cancel);
            if write.send(&self.name, id) {
                let request = Request::Write { key, is_cancel };
                self.call(now, index, request, false, effects);
            }
        }
    }

    fn may_send(&self, now: Time) -> bool {
        let last_answer = self.view().primary_answered_at();
        let lease_valid =
            last_answer.is_some_and(|last_answer| now.since(last_answer) < self.lease_timeout);
        !self.writes_paused && (self.rule != Rule::Lease || lease_valid)
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
        is_confirm_read: bool,
        effects: &mut Effects,
    ) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        let call = Call {
            index,
            sent,
            request,
            is_confirm_read,
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
