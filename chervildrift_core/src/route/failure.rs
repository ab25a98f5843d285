//! Handling of failed attempts.

use crate::types::Time;

use super::{
    Cause, MaybeSent, NotSent, RefusedProof, Repeatability, RequestFailure, RoutedRequest,
    UnsentProof,
};

/// Way in which an attempt failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The attempt never left this VM.
    Unsent(UnsentProof),
    /// The dispatcher answered "not run".
    Refused(RefusedProof, Cause),
    /// The connection broke, or no answer arrived, after the attempt may have left.
    Lost,
}

/// Write that is not confirmed.
#[derive(Debug)]
pub enum UnconfirmedWrite {
    /// A later status read may still confirm the write.
    Pending(RoutedRequest<MaybeSent>),
    /// A later term has started, so only a repeat with the same key can determine the outcome.
    Superseded(RoutedRequest<MaybeSent>),
}

/// What to do after a failed attempt.
#[derive(Debug)]
pub enum FailureAction {
    /// Route the request again; it has not run.
    Retry(RoutedRequest<NotSent>),
    /// Send the request again with the same key; it may have run.
    Resend(RoutedRequest<MaybeSent>),
    /// Report the failure to the caller.
    Fail(RequestFailure),
}

/// Decides what to do after a failed attempt; `retry_allowed` is the answer of the retry budget.
#[must_use]
pub fn on_failure(
    now: Time,
    request: RoutedRequest<MaybeSent>,
    failure: AttemptFailure,
    retry_allowed: bool,
) -> FailureAction {
    let (reverted, cause) = match failure {
        AttemptFailure::Unsent(proof) => (request.revert_unsent(proof), Cause::OutOfReach),
        AttemptFailure::Refused(proof, cause) => (request.revert_refused(proof), cause),
        AttemptFailure::Lost => (Err(request), Cause::OutOfReach),
    };
    match reverted {
        Ok(request) => after_refusal(now, request, cause, retry_allowed),
        Err(request) => after_loss(now, request, retry_allowed),
    }
}

fn after_refusal(
    now: Time,
    request: RoutedRequest<NotSent>,
    cause: Cause,
    retry_allowed: bool,
) -> FailureAction {
    if request.is_expired(now) {
        return FailureAction::Fail(request.into_not_run(Cause::Deadline).into());
    }
    if cause.is_transient() && retry_allowed {
        return FailureAction::Retry(request);
    }
    FailureAction::Fail(request.into_not_run(cause).into())
}

fn after_loss(now: Time, request: RoutedRequest<MaybeSent>, retry_allowed: bool) -> FailureAction {
    let repeatable = request.repeatability() != Repeatability::Unkeyed;
    if repeatable && retry_allowed && !request.is_expired(now) {
        return FailureAction::Resend(request);
    }
    FailureAction::Fail(request.into_unknown().into())
}
