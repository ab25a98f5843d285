//! What to do when a try of a request fails.

use crate::types::Time;

use super::{Answer, Cause, MaybeSent, NotSent, Refused, Repeatability, RequestState, Unsent};

/// How a try failed.
#[derive(Debug)]
pub enum Failure {
    /// The try never left.
    Unsent(Unsent),
    /// The dispatcher answered "not run".
    Refused(Refused, Cause),
    /// The link broke or no answer came after the try may have left.
    Lost,
}

/// State of a write whose confirmation is not there.
#[derive(Debug)]
pub enum Sent {
    /// A later status read may still confirm it.
    Waiting(RequestState<MaybeSent>),
    /// A later term has started, so only a repeat with the same key can settle it.
    Replaced(RequestState<MaybeSent>),
}

/// What to do after a failed try.
#[derive(Debug)]
pub enum Next {
    /// Route the request again; it has not run.
    Retry(RequestState<NotSent>),
    /// Send the request again with the same key; it may have run.
    Resend(RequestState<MaybeSent>),
    /// Answer the caller.
    Answer(Answer),
}

/// Decides what to do after a failed try; `budget` tells whether a retry is allowed.
#[must_use]
pub fn on_failure(
    now: Time,
    attempt: RequestState<MaybeSent>,
    failure: Failure,
    budget: bool,
) -> Next {
    let (taken_back, cause) = match failure {
        Failure::Unsent(proof) => (attempt.unsent(proof), Cause::OutOfReach),
        Failure::Refused(proof, cause) => (attempt.refused(proof), cause),
        Failure::Lost => (Err(attempt), Cause::OutOfReach),
    };
    match taken_back {
        Ok(attempt) => after_refusal(now, attempt, cause, budget),
        Err(attempt) => after_loss(now, attempt, budget),
    }
}

fn after_refusal(now: Time, attempt: RequestState<NotSent>, cause: Cause, budget: bool) -> Next {
    if attempt.is_late(now) {
        return Next::Answer(attempt.not_run(Cause::Deadline).into());
    }
    if cause.may_pass() && budget {
        return Next::Retry(attempt);
    }
    Next::Answer(attempt.not_run(cause).into())
}

fn after_loss(now: Time, attempt: RequestState<MaybeSent>, budget: bool) -> Next {
    let repeatable = attempt.repeat() != Repeatability::Unkeyed;
    if repeatable && budget && !attempt.is_late(now) {
        return Next::Resend(attempt);
    }
    Next::Answer(attempt.unknown().into())
}
