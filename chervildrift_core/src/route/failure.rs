//! What to do when a try of a request fails.

use crate::types::Time;

use super::{
    Cause, MaybeSent, NotSent, RefusedProof, Repeatability, RequestFailure, RoutedRequest,
    UnsentProof,
};

/// How a try failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The try never left.
    Unsent(UnsentProof),
    /// The dispatcher answered "not run".
    Refused(RefusedProof, Cause),
    /// The link broke or no answer came after the try may have left.
    Lost,
}

/// State of a write whose confirmation is not there.
#[derive(Debug)]
pub enum UnconfirmedWrite {
    /// A later status read may still confirm it.
    Pending(RoutedRequest<MaybeSent>),
    /// A later term has started, so only a repeat with the same key can settle it.
    Superseded(RoutedRequest<MaybeSent>),
}

/// What to do after a failed try.
#[derive(Debug)]
pub enum FailureAction {
    /// Route the request again; it has not run.
    Retry(RoutedRequest<NotSent>),
    /// Send the request again with the same key; it may have run.
    Resend(RoutedRequest<MaybeSent>),
    /// Answer the caller.
    Fail(RequestFailure),
}

/// Decides what to do after a failed try; `budget` tells whether a retry is allowed.
#[must_use]
pub fn on_failure(
    now: Time,
    request: RoutedRequest<MaybeSent>,
    failure: AttemptFailure,
    budget: bool,
) -> FailureAction {
    let (reverted, cause) = match failure {
        AttemptFailure::Unsent(proof) => (request.revert_unsent(proof), Cause::OutOfReach),
        AttemptFailure::Refused(proof, cause) => (request.revert_refused(proof), cause),
        AttemptFailure::Lost => (Err(request), Cause::OutOfReach),
    };
    match reverted {
        Ok(request) => after_refusal(now, request, cause, budget),
        Err(request) => after_loss(now, request, budget),
    }
}

fn after_refusal(
    now: Time,
    request: RoutedRequest<NotSent>,
    cause: Cause,
    budget: bool,
) -> FailureAction {
    if request.is_expired(now) {
        return FailureAction::Fail(request.into_not_run(Cause::Deadline).into());
    }
    if cause.is_transient() && budget {
        return FailureAction::Retry(request);
    }
    FailureAction::Fail(request.into_not_run(cause).into())
}

fn after_loss(now: Time, request: RoutedRequest<MaybeSent>, budget: bool) -> FailureAction {
    let repeatable = request.repeatability() != Repeatability::Unkeyed;
    if repeatable && budget && !request.is_expired(now) {
        return FailureAction::Resend(request);
    }
    FailureAction::Fail(request.into_unknown().into())
}
