//! Request state: whether any part of a request may have reached an upstream.
//!
//! The state is part of the type, so that a "not run" answer can only be built from a request that
//! no VM has sent, from a dispatcher's refusal, or from a confirmed cancel record.

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
    /// A write with an idempotency key; a repeat finds the record of the key.
    Keyed,
    /// A write without a key, which is sent at most once.
    Unkeyed,
}

/// State of a request of which no statement has left a VM for an upstream.
#[derive(Debug)]
pub struct NotSent(());

/// State of a request of which a statement may have left a VM for an upstream.
#[derive(Debug)]
pub struct MaybeSent {
    /// Number of attempts whose outcome is unknown, at least 1.
    unresolved: u32,
}

/// Proof that an attempt ended before its first byte was written.
#[derive(Debug)]
pub struct UnsentProof(());

impl UnsentProof {
    /// Creates the proof if the connection has accepted no bytes of the attempt.
    #[must_use]
    pub fn prove(written: usize) -> Option<Self> {
        (written == 0).then_some(Self(()))
    }
}

/// Proof that a dispatcher answered "not run" to this very attempt.
#[derive(Debug)]
pub struct RefusedProof(());

impl RefusedProof {
    /// Creates the proof if the answered attempt is the one that was sent.
    ///
    /// A late refusal of an earlier attempt proves nothing about a later one.
    #[must_use]
    pub fn prove(sent_attempt: u64, answered_attempt: u64) -> Option<Self> {
        (sent_attempt == answered_attempt).then_some(Self(()))
    }
}

/// Proof that the cancel record of a request's key is confirmed.
#[derive(Debug)]
pub struct CancelledProof(());

impl CancelledProof {
    /// Creates the proof if the cancel record at `position`, answered at `since`, is confirmed.
    #[must_use]
    pub fn prove(view: &GroupView, position: LogPosition, since: Time) -> Option<Self> {
        let confirmed = view.confirmation(position, since) == Confirmation::Confirmed;
        confirmed.then_some(Self(()))
    }
}

/// Request that is routed by this VM.
#[derive(Debug)]
pub struct RoutedRequest<S> {
    repeatability: Repeatability,
    deadline: Time,
    attempted_vms: DispatcherOrder,
    state: S,
}

impl RoutedRequest<NotSent> {
    /// Creates the state of a request that has just been accepted.
    #[must_use]
    pub fn new(repeatability: Repeatability, deadline: Time) -> Self {
        Self {
            repeatability,
            deadline,
            attempted_vms: DispatcherOrder::new(),
            state: NotSent(()),
        }
    }

    /// Records that the request is about to be written to a dispatcher or an upstream.
    #[must_use]
    pub fn send(mut self, to: &Vm) -> RoutedRequest<MaybeSent> {
        self.record_attempt(to);
        self.with_state(MaybeSent { unresolved: 1 })
    }

    /// Ends the request as not run.
    #[must_use]
    pub fn into_not_run(self, cause: Cause) -> NotRun {
        NotRun::new(cause)
    }
}

impl RoutedRequest<MaybeSent> {
    /// Withdraws the last attempt, which never left this VM.
    ///
    /// The request returns to [`NotSent`] only if no earlier attempt may have left.
    pub fn revert_unsent(self, _proof: UnsentProof) -> Result<RoutedRequest<NotSent>, Self> {
        self.withdraw_attempt()
    }

    /// Withdraws the last attempt, which the dispatcher refused.
    pub fn revert_refused(self, _proof: RefusedProof) -> Result<RoutedRequest<NotSent>, Self> {
        self.withdraw_attempt()
    }

    /// Ends the request as not run, since its confirmed cancel record rules out that it ever runs.
    #[must_use]
    pub fn into_cancelled(self, _proof: CancelledProof) -> NotRun {
        NotRun::new(Cause::Cancelled)
    }

    /// Ends a write at `position`, answered at `since`, if it is confirmed.
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

    /// Records another attempt if the request may be repeated.
    pub fn resend(mut self, to: &Vm) -> Result<Self, UnknownOutcome> {
        if self.repeatability == Repeatability::Unkeyed {
            return Err(self.into_unknown());
        }
        self.record_attempt(to);
        self.state.unresolved += 1;
        Ok(self)
    }

    /// Ends the request with an unknown outcome.
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

    /// Returns the VMs to which the request was sent.
    #[must_use]
    pub fn attempted_vms(&self) -> &[Vm] {
        &self.attempted_vms
    }

    /// Returns the dispatcher for the next attempt.
    #[must_use]
    pub fn next_dispatcher<'a>(&self, dispatchers: &'a [Vm]) -> Option<&'a Vm> {
        next_dispatcher(dispatchers, &self.attempted_vms)
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    fn record_attempt(&mut self, to: &Vm) {
        self.attempted_vms.push(to.clone());
    }

    fn with_state<T>(self, state: T) -> RoutedRequest<T> {
        RoutedRequest {
            repeatability: self.repeatability,
            deadline: self.deadline,
            attempted_vms: self.attempted_vms,
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
