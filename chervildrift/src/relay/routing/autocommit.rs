//! Statements outside transactions: attempts and outcome.
//!
//! A statement that has certainly not run is retried at once, possibly at another upstream. A read
//! is also retried after a lost reply; a write is not, and its outcome is unknown then.

use std::rc::Rc;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::relay::{Access, Code, MinPosition, PreparedStatement, Route, Session};
use chervildrift_core::types::{Caller, Organisation, Time};
use chervildrift_platform::wire::Command;
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::connections::checkout::FirstRun;
use crate::relay::connections::connection::Reply;
use crate::relay::groups::confirm::{Commit, await_confirmation};
use crate::relay::metrics::StatementPart;
use crate::relay::node::Node;
use crate::relay::routing::attempts::{Attempts, RETRY_DELAY, Target};
use crate::relay::sessions::response::{Failure, Response};

/// Share of the statement timeout that one attempt of a read may take, so that time for a retry is
/// left.
const READ_ATTEMPT_SHARE: f64 = 0.6;

/// Statement outside a transaction.
pub(in crate::relay) struct AutocommitStatement<'a> {
    pub node: &'a Rc<Node>,
    pub route: &'a Route,
    pub caller: &'a Caller,
    /// Organisation of the caller, if the route needs a key.
    pub organisation: Option<&'a Organisation>,
    pub id: &'a str,
    pub text: &'a str,
    pub access: Access,
    pub prepared: Option<&'a PreparedStatement>,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The response is final.
    Completed(Response),
    /// The statement may be retried.
    Retry,
}

/// Runs a statement until its response is final.
pub(in crate::relay) async fn run(
    statement: &AutocommitStatement<'_>,
    session: &mut Session,
) -> Response {
    let mut attempts = Attempts::new(
        statement.node,
        statement.route,
        statement.caller,
        statement.organisation,
        statement.id,
    );
    loop {
        match attempt_once(statement, &mut attempts, session).await {
            Ok(AttemptOutcome::Completed(response)) => return response,
            Ok(AttemptOutcome::Retry) => {}
            Err(failure) => return failure.into(),
        }
    }
}

async fn attempt_once(
    statement: &AutocommitStatement<'_>,
    attempts: &mut Attempts<'_>,
    session: &mut Session,
) -> Result<AttemptOutcome, Failure> {
    attempts.reserve().await?;
    let target = attempts.next_target(statement.access, session).await?;
    let is_read = statement.access == Access::Read;
    let in_transaction = is_read && target.min_position == MinPosition::LeaderOnly;
    let command = Command::Run {
        id: statement.id,
        min_position: match target.min_position {
            MinPosition::AtLeast(position) => Some(position),
            MinPosition::LeaderOnly => None,
        },
        text: statement.text,
    };
    let commands: &[Command<'_>] = if in_transaction {
        // An upstream that is no longer the leader still serves a plain read, but refuses a writing
        // begin.
        &[
            Command::Begin(Access::Write, None),
            command,
            Command::Rollback,
        ]
    } else {
        &[command]
    };
    let limit = if is_read {
        attempts.statement_timeout().mul_f64(READ_ATTEMPT_SHARE)
    } else {
        attempts.statement_timeout()
    };
    let started = clock::now();
    let first = FirstRun {
        commands,
        in_session: true,
        limit,
    };
    // A write may run only once, and a lost link would leave open whether it did. The permit of an
    // organisation is checked once there is a connection, before anything is sent.
    let may_run_first = is_read && statement.organisation.is_none();
    let first = may_run_first.then_some(&first);
    let opened = attempts
        .checkout(&target, session, statement.prepared, first)
        .await;
    let mut checkout = match opened {
        Ok(checkout) => checkout,
        Err(err) => {
            return attempts
                .handle_checkout_error(&target, statement.access, err, started)
                .await
                .map(|()| AttemptOutcome::Retry);
        }
    };
    attempts.use_permit().await?;
    let first_run_time = checkout.first_run_time();
    let sent_at = if first_run_time.is_some() {
        started
    } else {
        clock::now()
    };
    let result = checkout
        .run_in_session(session, statement.prepared, commands, limit)
        .await;
    checkout.set_completion(if result.is_ok() {
        Completion::Answered
    } else {
        Completion::UpstreamFailed
    });
    drop(checkout);
    if result.is_ok() {
        let elapsed = first_run_time.unwrap_or_else(|| clock::now().since(sent_at));
        let metrics = &statement.node.metrics;
        metrics.record_part(StatementPart::Upstream, elapsed);
    }
    let replies = match result {
        Ok(replies) => replies,
        Err(err) if is_read => {
            return attempts
                .handle_connection_error(&target, &err, sent_at)
                .await
                .map(|()| AttemptOutcome::Retry);
        }
        Err(err) => {
            attempts.record_no_reply(&target, &err, sent_at);
            return Err(Failure::new(Code::InDoubt, err.to_string()));
        }
    };
    evaluate_replies(
        statement,
        attempts,
        session,
        &target,
        sent_at,
        in_transaction,
        replies,
    )
    .await
}

/// Evaluates the replies of one attempt.
async fn evaluate_replies(
    statement: &AutocommitStatement<'_>,
    attempts: &mut Attempts<'_>,
    session: &mut Session,
    target: &Target,
    sent_at: Time,
    in_transaction: bool,
    replies: Vec<Reply>,
) -> Result<AttemptOutcome, Failure> {
    let mut replies = replies.into_iter();
    if in_transaction && let Some(begin) = replies.next() {
        if let Err(refusal) = begin.result {
            // The read ran outside a transaction, so its reply may come from an upstream that does
            // not lead.
            attempts
                .handle_refusal(target, Some(refusal), sent_at)
                .await?;
            return Ok(AttemptOutcome::Retry);
        }
        attempts.record_leader_position(target, sent_at, begin.position);
    }
    let Some(reply) = replies.next() else {
        return Err(Failure::new(Code::InDoubt, "no answer"));
    };
    attempts.record_reply(target, reply.position);
    match reply.result {
        Ok(signature) => {
            if statement.access == Access::Write {
                attempts.record_leader_position(target, sent_at, reply.position);
                let service = &statement.route.service;
                if let Some(position) = reply.position {
                    let commit = Commit {
                        id: statement.id,
                        service,
                        leader: &target.upstream,
                        position,
                    };
                    await_confirmation(statement.node, &commit).await?;
                }
                let last_commit = statement.node.with_group(service, |group| {
                    group.tag_commit(clock::now(), reply.position)
                });
                session.last_commit = Some(last_commit);
            }
            let rows = reply.rows;
            Ok(AttemptOutcome::Completed(Response::Upstream {
                rows,
                signature,
            }))
        }
        Err((Code::Failed | Code::Timeout, _)) if statement.access == Access::Read => {
            sleep(RETRY_DELAY).await;
            Ok(AttemptOutcome::Retry)
        }
        Err(refusal) => {
            attempts
                .handle_refusal(target, Some(refusal), sent_at)
                .await?;
            Ok(AttemptOutcome::Retry)
        }
    }
}
