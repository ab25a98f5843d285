//! State of one write, tracked with the typed request states of `route`.

use chervildrift_core::group::GroupView;
use chervildrift_core::route::{
    AttemptFailure, CancelledProof, Cause, FailureAction, MaybeSent, NotSent, RefusedProof,
    Repeatability, RequestFailure, RoutedRequest, UnconfirmedWrite, on_failure,
};
use chervildrift_core::types::{LogPosition, Time, Vm};

/// A write of a caller, or its cancel record.
#[derive(Debug)]
pub(super) struct Write {
    pub(super) key: u64,
    pub(super) is_cancel: bool,
    /// Whether an earlier request of the caller with this key may have run.
    is_retry: bool,
    state: State,
}

#[derive(Debug)]
enum State {
    Unsent(RoutedRequest<NotSent>),
    Unanswered(RoutedRequest<MaybeSent>),
    Sent(RoutedRequest<MaybeSent>, u64),
    Confirming(RoutedRequest<MaybeSent>, Record),
    Ended,
}

/// Record of a write at the primary.
#[derive(Clone, Copy, Debug)]
struct Record {
    position: LogPosition,
    written_at: Time,
    cancelled: bool,
}

/// Outcome of a request that a caller learns.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outcome {
    /// The write is acknowledged.
    Acked {
        key: u64,
        position: LogPosition,
        written_at: Time,
    },
    /// The write did not run.
    NotRun { key: u64 },
    /// Whether the write ran is not known.
    Unknown { key: u64 },
    /// A read with a minimum position was served.
    Served { key: u64, visible: bool },
}

impl Write {
    pub(super) fn new(key: u64, deadline: Time) -> Self {
        Self {
            key,
            is_cancel: false,
            is_retry: false,
            state: State::Unsent(RoutedRequest::new(Repeatability::Keyed, deadline)),
        }
    }

    /// Creates a retry of a write whose outcome is unknown, or a cancel that resolves the outcome.
    pub(super) fn retry(key: u64, is_cancel: bool, deadline: Time) -> Self {
        Self {
            key,
            is_cancel,
            is_retry: true,
            state: State::Unsent(RoutedRequest::new(Repeatability::Keyed, deadline)),
        }
    }

    /// Tells whether the write has no outcome yet.
    pub(super) const fn is_open(&self) -> bool {
        !matches!(self.state, State::Ended)
    }

    pub(super) const fn needs_send(&self) -> bool {
        matches!(self.state, State::Unsent(_) | State::Unanswered(_))
    }

    pub(super) const fn is_confirming(&self) -> bool {
        matches!(self.state, State::Confirming(..))
    }

    pub(super) fn awaits_call(&self, id: u64) -> bool {
        matches!(&self.state, State::Sent(_, call) if *call == id)
    }

    /// Marks the write as sent with call `id`, and returns false if it may not be sent.
    pub(super) fn send(&mut self, me: &Vm, id: u64) -> bool {
        let sent = match std::mem::replace(&mut self.state, State::Ended) {
            State::Unsent(request) => Some(request.send(me)),
            State::Unanswered(request) => request.resend(me).ok(),
            other => {
                self.state = other;
                return false;
            }
        };
        if let Some(request) = sent {
            self.state = State::Sent(request, id);
        }
        self.is_open()
    }

    /// Handles the answer of the primary that the record is in its log.
    pub(super) fn handle_record(&mut self, now: Time, position: LogPosition, cancelled: bool) {
        if let State::Sent(request, _) = std::mem::replace(&mut self.state, State::Ended) {
            let record = Record {
                position,
                written_at: now,
                cancelled,
            };
            self.state = State::Confirming(request, record);
        }
    }

    /// Handles the answer of the upstream that it is not the primary.
    pub(super) fn handle_refusal(&mut self, now: Time, id: u64) -> Option<Outcome> {
        let State::Sent(request, sent_id) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        let failure = match RefusedProof::prove(sent_id, id) {
            Some(proof) => AttemptFailure::Refused(proof, Cause::NoPrimary),
            None => AttemptFailure::Lost,
        };
        self.fail(now, request, failure)
    }

    /// Handles a call that ended without an answer.
    pub(super) fn handle_no_answer(&mut self, now: Time) -> Option<Outcome> {
        let State::Sent(request, _) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        self.fail(now, request, AttemptFailure::Lost)
    }

    /// Ends the write when it is confirmed or past its deadline.
    pub(super) fn advance(&mut self, now: Time, view: &GroupView) -> Option<Outcome> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Unsent(request) if request.is_expired(now) => {
                let answer = request.into_not_run(Cause::Deadline);
                Some(self.outcome(answer.into()))
            }
            State::Unanswered(request) if request.is_expired(now) => {
                Some(self.outcome(request.into_unknown().into()))
            }
            State::Confirming(request, record) => self.confirm(now, request, record, view),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Acknowledges without a majority; only the rules compared with the majority rule use it.
    pub(super) fn acknowledge(&mut self) -> Option<Outcome> {
        let State::Confirming(_, record) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        Some(self.outcome_of(record))
    }

    fn confirm(
        &mut self,
        now: Time,
        request: RoutedRequest<MaybeSent>,
        record: Record,
        view: &GroupView,
    ) -> Option<Outcome> {
        if record.cancelled {
            return self.confirm_cancel(now, request, record, view);
        }
        match request.confirm(view, record.position, record.written_at) {
            Ok(done) => Some(Outcome::Acked {
                key: self.key,
                position: done.position(),
                written_at: record.written_at,
            }),
            Err(UnconfirmedWrite::Superseded(request)) => {
                self.fail(now, request, AttemptFailure::Lost)
            }
            Err(UnconfirmedWrite::Pending(request)) => self.wait(now, request, record),
        }
    }

    fn confirm_cancel(
        &mut self,
        now: Time,
        request: RoutedRequest<MaybeSent>,
        record: Record,
        view: &GroupView,
    ) -> Option<Outcome> {
        if let Some(proof) = CancelledProof::prove(view, record.position, record.written_at) {
            let answer = request.into_cancelled(proof);
            return Some(self.outcome(answer.into()));
        }
        if record.position.term < view.term() {
            return self.fail(now, request, AttemptFailure::Lost);
        }
        self.wait(now, request, record)
    }

    fn wait(
        &mut self,
        now: Time,
        request: RoutedRequest<MaybeSent>,
        record: Record,
    ) -> Option<Outcome> {
        if request.is_expired(now) {
            return Some(self.outcome(request.into_unknown().into()));
        }
        self.state = State::Confirming(request, record);
        None
    }

    fn fail(
        &mut self,
        now: Time,
        request: RoutedRequest<MaybeSent>,
        failure: AttemptFailure,
    ) -> Option<Outcome> {
        match on_failure(now, request, failure, true) {
            FailureAction::Retry(request) => self.state = State::Unsent(request),
            FailureAction::Resend(request) => self.state = State::Unanswered(request),
            FailureAction::Fail(answer) => return Some(self.outcome(answer)),
        }
        None
    }

    fn outcome_of(&self, record: Record) -> Outcome {
        if record.cancelled {
            return Outcome::NotRun { key: self.key };
        }
        Outcome::Acked {
            key: self.key,
            position: record.position,
            written_at: record.written_at,
        }
    }

    const fn outcome(&self, answer: RequestFailure) -> Outcome {
        match answer {
            // That this retry did not run says nothing about the earlier request.
            RequestFailure::NotRun(not_run) if self.is_retry => match not_run.cause() {
                Cause::Cancelled => Outcome::NotRun { key: self.key },
                _ => Outcome::Unknown { key: self.key },
            },
            RequestFailure::NotRun(_) => Outcome::NotRun { key: self.key },
            RequestFailure::Unknown(_) => Outcome::Unknown { key: self.key },
        }
    }
}
