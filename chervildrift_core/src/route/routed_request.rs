//! State of a request: whether any part of it may have reached an upstream.
//!
//! The state is part of the type, so that an answer "not run" can only be built from a request
//! that no VM has sent, from a dispatcher's refusal, or from a confirmed cancel record.

use crate::group::{Confirmation, GroupView};
use crate::types::{LogPosition, Time, Vm};

use super::answer::{Answer, Cause, ConfirmedWrite, NotRun, Unknown};
use super::failure::UnconfirmedWrite;
use super::{DispatcherOrder, successor};

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// A read, which changes nothing.
    ReadOnly,
    /// A write with an idempotency key; a repeat finds the key's record.
    Keyed,
    /// A write without a key; it is sent once at most.
    Unkeyed,
}

/// No statement of the request has left a VM for an upstream.
#[derive(Debug)]
pub struct NotSent(());

/// A statement of the request may have left a VM for an upstream.
#[derive(Debug)]
pub struct MaybeSent {
    /// Tries whose fate is open, at least 1.
    open: u32,
}

/// Proof that a try ended before its first byte was written.
#[derive(Debug)]
pub struct UnsentProof(());

impl UnsentProof {
    /// Builds the proof from the number of bytes that the link has taken for the try.
    #[must_use]
    pub fn prove(written: usize) -> Option<Self> {
        (written == 0).then_some(Self(()))
    }
}

/// Proof that a dispatcher answered "not run" to the try itself.
#[derive(Debug)]
pub struct RefusedProof(());

impl RefusedProof {
    /// Builds the proof from the identifiers of the try and of the try the dispatcher answered.
    ///
    /// A late refusal of an earlier try proves nothing about a later one.
    #[must_use]
    pub fn prove(sent: u64, answered: u64) -> Option<Self> {
        (sent == answered).then_some(Self(()))
    }
}

/// Proof that the cancel record of a request's key is confirmed.
#[derive(Debug)]
pub struct CancelledProof(());

impl CancelledProof {
    /// Builds the proof for a cancel record at `mark`, which the upstream answered at `since`.
    #[must_use]
    pub fn prove(view: &GroupView, position: LogPosition, since: Time) -> Option<Self> {
        let confirmed = view.confirmation(position, since) == Confirmation::Confirmed;
        confirmed.then_some(Self(()))
    }
}

/// A request on its way through this VM.
#[derive(Debug)]
pub struct RoutedRequest<S> {
    repeat: Repeatability,
    deadline: Time,
    tried: DispatcherOrder,
    state: S,
}

impl RoutedRequest<NotSent> {
    /// Opens the state of a request that has just been accepted.
    #[must_use]
    pub fn new(repeat: Repeatability, deadline: Time) -> Self {
        Self {
            repeat,
            deadline,
            tried: DispatcherOrder::new(),
            state: NotSent(()),
        }
    }

    /// Notes that the request is about to be written to a dispatcher or an upstream.
    #[must_use]
    pub fn send(mut self, to: &Vm) -> RoutedRequest<MaybeSent> {
        self.note(to);
        self.turn(MaybeSent { open: 1 })
    }

    /// Ends the request: it did not run.
    #[must_use]
    pub fn into_not_run(self, cause: Cause) -> NotRun {
        NotRun::new(cause)
    }
}

impl RoutedRequest<MaybeSent> {
    /// Takes the proof that the last try never left.
    ///
    /// The request goes back to [`NotSent`] only if no earlier try may have left.
    pub fn revert_unsent(self, _proof: UnsentProof) -> Result<RoutedRequest<NotSent>, Self> {
        self.take_back()
    }

    /// Takes the proof that the dispatcher refused the last try.
    pub fn revert_refused(self, _proof: RefusedProof) -> Result<RoutedRequest<NotSent>, Self> {
        self.take_back()
    }

    /// Ends the request: its cancel record is confirmed, so it can never run.
    #[must_use]
    pub fn into_cancelled(self, _proof: CancelledProof) -> NotRun {
        NotRun::new(Cause::Cancelled)
    }

    /// Ends a write: its last status read showed `mark`, answered at `since`.
    pub fn confirm(
        self,
        view: &GroupView,
        position: LogPosition,
        since: Time,
    ) -> Result<ConfirmedWrite, UnconfirmedWrite> {
        match view.confirmation(position, since) {
            Confirmation::Confirmed => Ok(ConfirmedWrite::new(position)),
            Confirmation::Pending => Err(UnconfirmedWrite::Pending(self)),
            Confirmation::Superseded => Err(UnconfirmedWrite::Superseded(self)),
        }
    }

    /// Sends the request again, if it may be repeated.
    pub fn resend(mut self, to: &Vm) -> Result<Self, Unknown> {
        if self.repeat == Repeatability::Unkeyed {
            return Err(self.into_unknown());
        }
        self.note(to);
        self.state.open += 1;
        Ok(self)
    }

    /// Ends the request: whether it ran is not known.
    #[must_use]
    pub fn into_unknown(self) -> Unknown {
        Unknown::new(self.repeat)
    }

    fn take_back(mut self) -> Result<RoutedRequest<NotSent>, Self> {
        self.state.open -= 1;
        if self.state.open == 0 {
            Ok(self.turn(NotSent(())))
        } else {
            Err(self)
        }
    }
}

impl<S> RoutedRequest<S> {
    /// Returns whether the request may be repeated.
    #[must_use]
    pub const fn repeatability(&self) -> Repeatability {
        self.repeat
    }

    /// Returns the VMs that the request was sent to.
    #[must_use]
    pub fn attempted(&self) -> &[Vm] {
        &self.tried
    }

    /// Returns the dispatcher to send to next.
    #[must_use]
    pub fn next_dispatcher<'a>(&self, ranked: &'a [Vm]) -> Option<&'a Vm> {
        successor(ranked, &self.tried)
    }

    /// Tells whether the deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    fn note(&mut self, to: &Vm) {
        self.tried.push(to.clone());
    }

    fn turn<T>(self, state: T) -> RoutedRequest<T> {
        RoutedRequest {
            repeat: self.repeat,
            deadline: self.deadline,
            tried: self.tried,
            state,
        }
    }
}

impl From<NotRun> for Answer {
    fn from(answer: NotRun) -> Self {
        Self::NotRun(answer)
    }
}

impl From<Unknown> for Answer {
    fn from(answer: Unknown) -> Self {
        Self::Unknown(answer)
    }
}
