//! State of a request: whether any part of it may have reached an upstream.
//!
//! The state is part of the type, so that an answer "not run" can only be built from a request
//! that no VM has sent, from a dispatcher's refusal, or from a confirmed cancel record.

use crate::group::{Confirmation, GroupView};
use crate::types::{LogPosition, Time, Vm};

use super::answer::{Cause, ConfirmedWrite, NotRun, RequestFailure, UnknownOutcome};
use super::failure::UnconfirmedWrite;
use super::{DispatcherOrder, next_dispatcher};

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
    unresolved: u32,
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
    repeatability: Repeatability,
    deadline: Time,
    attempted: DispatcherOrder,
    state: S,
}

impl RoutedRequest<NotSent> {
    /// Opens the state of a request that has just been accepted.
    #[must_use]
    pub fn new(repeatability: Repeatability, deadline: Time) -> Self {
        Self {
            repeatability,
            deadline,
            attempted: DispatcherOrder::new(),
            state: NotSent(()),
        }
    }

    /// Notes that the request is about to be written to a dispatcher or an upstream.
    #[must_use]
    pub fn send(mut self, to: &Vm) -> RoutedRequest<MaybeSent> {
        self.record_attempt(to);
        self.with_state(MaybeSent { unresolved: 1 })
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
        self.withdraw_attempt()
    }

    /// Takes the proof that the dispatcher refused the last try.
    pub fn revert_refused(self, _proof: RefusedProof) -> Result<RoutedRequest<NotSent>, Self> {
        self.withdraw_attempt()
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
    pub fn resend(mut self, to: &Vm) -> Result<Self, UnknownOutcome> {
        if self.repeatability == Repeatability::Unkeyed {
            return Err(self.into_unknown());
        }
        self.record_attempt(to);
        self.state.unresolved += 1;
        Ok(self)
    }

    /// Ends the request: whether it ran is not known.
    #[must_use]
    pub fn into_unknown(self) -> UnknownOutcome {
        UnknownOutcome::new(self.repeatability)
    }

    fn withdraw_attempt(mut self) -> Result<RoutedRequest<NotSent>, Self> {
        self.state.unresolved -= 1;
        if self.state.unresolved == 0 {
            Ok(self.with_state(NotSent(())))
        } else {
            Err(self)
        }
    }
}

impl<S> RoutedRequest<S> {
    /// Returns whether the request may be repeated.
    #[must_use]
    pub const fn repeatability(&self) -> Repeatability {
        self.repeatability
    }

    /// Returns the VMs that the request was sent to.
    #[must_use]
    pub fn attempted(&self) -> &[Vm] {
        &self.attempted
    }

    /// Returns the dispatcher to send to next.
    #[must_use]
    pub fn next_dispatcher<'a>(&self, dispatchers: &'a [Vm]) -> Option<&'a Vm> {
        next_dispatcher(dispatchers, &self.attempted)
    }

    /// Tells whether the deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    fn record_attempt(&mut self, to: &Vm) {
        self.attempted.push(to.clone());
    }

    fn with_state<T>(self, state: T) -> RoutedRequest<T> {
        RoutedRequest {
            repeatability: self.repeatability,
            deadline: self.deadline,
            attempted: self.attempted,
            state,
        }
    }
}

impl From<NotRun> for RequestFailure {
    fn from(answer: NotRun) -> Self {
        Self::NotRun(answer)
    }
}

impl From<UnknownOutcome> for RequestFailure {
    fn from(answer: UnknownOutcome) -> Self {
        Self::Unknown(answer)
    }
}
