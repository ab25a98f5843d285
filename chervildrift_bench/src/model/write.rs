//! A write on its way, with the typed states of `route`.

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
    pub(super) cancels: bool,
    /// Whether an earlier request of the caller with this key may have run.
    repeats: bool,
    state: State,
}

#[derive(Debug)]
enum State {
    Held(RoutedRequest<NotSent>),
    Lost(RoutedRequest<MaybeSent>),
    Sent(RoutedRequest<MaybeSent>, u64),
    Confirming(RoutedRequest<MaybeSent>, Record),
    Ended,
}

/// Record of a write at the primary.
#[derive(Clone, Copy, Debug)]
struct Record {
    mark: LogPosition,
    since: Time,
    cancelled: bool,
}

/// Outcome of a write as its caller learns it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outcome {
    /// The write is acknowledged.
    Acked {
        key: u64,
        mark: LogPosition,
        since: Time,
    },
    /// The write did not run.
    NotRun { key: u64 },
    /// Whether the write ran is not known.
    Unknown { key: u64 },
    /// A read under a token was served.
    Served { key: u64, visible: bool },
}

impl Write {
    pub(super) fn open(key: u64, deadline: Time) -> Self {
        Self {
            key,
            cancels: false,
            repeats: false,
            state: State::Held(RoutedRequest::new(Repeatability::Keyed, deadline)),
        }
    }

    /// Opens a repeat of a write whose outcome is unknown, or the question for its outcome.
    pub(super) fn reopen(key: u64, cancels: bool, deadline: Time) -> Self {
        Self {
            key,
            cancels,
            repeats: true,
            state: State::Held(RoutedRequest::new(Repeatability::Keyed, deadline)),
        }
    }

    /// Tells whether the write has no outcome yet.
    pub(super) const fn is_open(&self) -> bool {
        !matches!(self.state, State::Ended)
    }

    pub(super) const fn waits(&self) -> bool {
        matches!(self.state, State::Held(_) | State::Lost(_))
    }

    pub(super) const fn is_confirming(&self) -> bool {
        matches!(self.state, State::Confirming(..))
    }

    pub(super) fn is_call(&self, id: u64) -> bool {
        matches!(&self.state, State::Sent(_, call) if *call == id)
    }

    /// Notes that the write leaves as call `id`; tells whether it may.
    pub(super) fn send(&mut self, me: &Vm, id: u64) -> bool {
        let sent = match std::mem::replace(&mut self.state, State::Ended) {
            State::Held(attempt) => Some(attempt.send(me)),
            State::Lost(attempt) => attempt.resend(me).ok(),
            other => {
                self.state = other;
                return false;
            }
        };
        if let Some(attempt) = sent {
            self.state = State::Sent(attempt, id);
        }
        self.is_open()
    }

    /// Takes the record that the primary wrote.
    pub(super) fn record(&mut self, now: Time, mark: LogPosition, cancelled: bool) {
        if let State::Sent(attempt, _) = std::mem::replace(&mut self.state, State::Ended) {
            let record = Record {
                mark,
                since: now,
                cancelled,
            };
            self.state = State::Confirming(attempt, record);
        }
    }

    /// Takes the upstream's answer that it is not the primary.
    pub(super) fn refuse(&mut self, now: Time, id: u64) -> Option<Outcome> {
        let State::Sent(attempt, sent) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        let failure = match RefusedProof::prove(sent, id) {
            Some(proof) => AttemptFailure::Refused(proof, Cause::NoPrimary),
            None => AttemptFailure::Lost,
        };
        self.fail(now, attempt, failure)
    }

    /// Notes that no answer came.
    pub(super) fn lose(&mut self, now: Time) -> Option<Outcome> {
        let State::Sent(attempt, _) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        self.fail(now, attempt, AttemptFailure::Lost)
    }

    /// Ends the write when it is confirmed or too late.
    pub(super) fn advance(&mut self, now: Time, view: &GroupView) -> Option<Outcome> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Held(attempt) if attempt.is_expired(now) => {
                let answer = attempt.into_not_run(Cause::Deadline);
                Some(self.outcome(answer.into()))
            }
            State::Lost(attempt) if attempt.is_expired(now) => {
                Some(self.outcome(attempt.into_unknown().into()))
            }
            State::Confirming(attempt, record) => self.confirm(now, attempt, record, view),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Acknowledges without a majority; only the rules that are measured against use it.
    pub(super) fn acknowledge(&mut self) -> Option<Outcome> {
        let State::Confirming(_, record) = std::mem::replace(&mut self.state, State::Ended) else {
            return None;
        };
        Some(self.settled(record))
    }

    fn confirm(
        &mut self,
        now: Time,
        attempt: RoutedRequest<MaybeSent>,
        record: Record,
        view: &GroupView,
    ) -> Option<Outcome> {
        if record.cancelled {
            return self.confirm_cancel(now, attempt, record, view);
        }
        match attempt.confirm(view, record.mark, record.since) {
            Ok(done) => Some(Outcome::Acked {
                key: self.key,
                mark: done.position(),
                since: record.since,
            }),
            Err(UnconfirmedWrite::Superseded(attempt)) => {
                self.fail(now, attempt, AttemptFailure::Lost)
            }
            Err(UnconfirmedWrite::Pending(attempt)) => self.wait(now, attempt, record),
        }
    }

    fn confirm_cancel(
        &mut self,
        now: Time,
        attempt: RoutedRequest<MaybeSent>,
        record: Record,
        view: &GroupView,
    ) -> Option<Outcome> {
        if let Some(proof) = CancelledProof::prove(view, record.mark, record.since) {
            let answer = attempt.into_cancelled(proof);
            return Some(self.outcome(answer.into()));
        }
        if record.mark.term < view.term() {
            return self.fail(now, attempt, AttemptFailure::Lost);
        }
        self.wait(now, attempt, record)
    }

    fn wait(
        &mut self,
        now: Time,
        attempt: RoutedRequest<MaybeSent>,
        record: Record,
    ) -> Option<Outcome> {
        if attempt.is_expired(now) {
            return Some(self.outcome(attempt.into_unknown().into()));
        }
        self.state = State::Confirming(attempt, record);
        None
    }

    fn fail(
        &mut self,
        now: Time,
        attempt: RoutedRequest<MaybeSent>,
        failure: AttemptFailure,
    ) -> Option<Outcome> {
        match on_failure(now, attempt, failure, true) {
            FailureAction::Retry(attempt) => self.state = State::Held(attempt),
            FailureAction::Resend(attempt) => self.state = State::Lost(attempt),
            FailureAction::Fail(answer) => return Some(self.outcome(answer)),
        }
        None
    }

    fn settled(&self, record: Record) -> Outcome {
        if record.cancelled {
            return Outcome::NotRun { key: self.key };
        }
        Outcome::Acked {
            key: self.key,
            mark: record.mark,
            since: record.since,
        }
    }

    const fn outcome(&self, answer: RequestFailure) -> Outcome {
        match answer {
            // That this request did not run says nothing about the earlier one.
            RequestFailure::NotRun(not_run) if self.repeats => match not_run.cause() {
                Cause::Cancelled => Outcome::NotRun { key: self.key },
                _ => Outcome::Unknown { key: self.key },
            },
            RequestFailure::NotRun(_) => Outcome::NotRun { key: self.key },
            RequestFailure::Unknown(_) => Outcome::Unknown { key: self.key },
        }
    }
}
