//! Completion of jobs: the replies of a dispatcher once the work at its upstream has ended.

use std::time::Duration;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::group::{Confirmation, GroupView};
use chervildrift_core::types::{Time, Upstream};
use serde_json::Value;
use slog::{debug, warn};

use super::dispatcher::{Job, ReplyCallback, not_run};
use super::group::UnconfirmedWrite;
use super::jobs::return_transaction;
use super::node::{Node, io_context};
use super::task::TaskResult;
use crate::peer::{Reply, ReplyState};
use crate::upstream::{CommittedWrite, Error, WriteOutcome};
use crate::work::Reason;

/// Maximum age of the primary's data for a read that requires current data.
///
/// Without it, a primary that was cut off and replaced would continue to serve reads.
const CURRENT_READ_MAX_AGE: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn complete_job(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        result: TaskResult,
    ) {
        match result {
            TaskResult::NoConnection(err) => {
                debug!(self.log, "no connection"; "request" => format!("{:016x}", job.request.id),
                    "upstream" => %name, "error" => %err);
                let exhausted = matches!(err, Error::Exhausted);
                let reason = if exhausted {
                    Reason::Overloaded
                } else {
                    Reason::NoConnection
                };
                self.end_transaction(name, &job);
                self.send_reply(job.reply, not_run(reason), Some(name));
            }
            TaskResult::Read(result) => self.complete_read(now, name, job, result),
            TaskResult::Write(outcome) => {
                self.end_transaction(name, &job);
                self.complete_write(now, name, job, outcome);
            }
            TaskResult::TransactionIdle(transaction, results) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(name) {
                    return_transaction(dispatcher, now, &job.request, *transaction);
                }
                let mut reply = self.build_reply(ReplyState::Done, Some(name));
                reply.answer = results.into_bytes();
                (job.reply)(reply);
            }
            TaskResult::TransactionEnded(err) => {
                self.end_transaction(name, &job);
                let state = err.map_or(ReplyState::Done, |err| failed_state(&err));
                self.send_reply(job.reply, state, Some(name));
            }
        }
    }

    pub(super) fn complete_read(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        result: Result<crate::upstream::ReadResult, Error>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(err) => return self.send_reply(job.reply, read_error_state(&err), Some(name)),
        };
        self.record_status(name, job.sent_at, read.status);
        if !GroupView::may_serve(&read.status, job.request.min_position) {
            return self.send_reply(job.reply, not_run(Reason::Behind), Some(name));
        }
        let bound = job.request.age_bound.unwrap_or(CURRENT_READ_MAX_AGE);
        if self.data_age(now, name).is_none_or(|age| age > bound) {
            return self.send_reply(job.reply, not_run(Reason::TooOld), Some(name));
        }
        let mut reply = self.build_reply(ReplyState::Done, Some(name));
        reply.answer = Value::from(read.results).to_string().into_bytes();
        (job.reply)(reply);
    }

    pub(super) fn complete_write(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        outcome: WriteOutcome,
    ) {
        match outcome {
            WriteOutcome::Committed(committed) => {
                self.await_confirmation(now, name, job, committed);
            }
            WriteOutcome::RolledBack(Error::NotPrimary) => {
                self.send_reply(job.reply, not_run(Reason::NotPrimary), Some(name));
            }
            // A write that was rolled back can be retried under its key, like one without answer.
            WriteOutcome::RolledBack(err) if is_transient(&err) => {
                self.send_reply(job.reply, ReplyState::Unknown, Some(name));
            }
            WriteOutcome::RolledBack(err) => {
                self.send_reply(job.reply, failed_state(&err), Some(name));
            }
            WriteOutcome::Unknown(err) => {
                warn!(self.log, "outcome of a write is unknown";
                    "request" => format!("{:016x}", job.request.id),
                    "upstream" => %name, "error" => %err);
                self.send_reply(job.reply, ReplyState::Unknown, Some(name));
            }
        }
    }

    /// Defers the reply to a committed write until a majority of the group has received it.
    pub(super) fn await_confirmation(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        committed: CommittedWrite,
    ) {
        let state = if committed.cancelled {
            not_run(Reason::Cancelled)
        } else {
            ReplyState::Done
        };
        let mut success_reply = self.build_reply(state, Some(name));
        success_reply.position = Some(committed.position);
        success_reply.answer = committed.answer.into_bytes();
        let write = UnconfirmedWrite {
            position: committed.position,
            answered_at: now,
            deadline: job.deadline,
            success_reply,
            reply: job.reply,
        };
        let Some(dispatcher) = self.dispatchers.get(name) else {
            return;
        };
        let id = dispatcher.group.clone();
        let context = io_context!(self);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.unconfirmed.push(write);
        group.read_for_confirmations(now, &context);
    }

    /// Sends a reply without results.
    pub(super) fn send_reply(
        &mut self,
        reply: ReplyCallback,
        state: ReplyState,
        name: Option<&Upstream>,
    ) {
        let message = self.build_reply(state, name);
        reply(message);
    }

    /// Builds a reply with the state of the upstream's group and the load of its dispatcher.
    pub(super) fn build_reply(&mut self, state: ReplyState, name: Option<&Upstream>) -> Reply {
        let now = self.clock.now();
        let dispatcher = name.and_then(|name| self.dispatchers.get_mut(name));
        let load = dispatcher.as_ref().map(|it| it.load()).unwrap_or_default();
        let group = dispatcher.map(|it| it.group.clone());
        Reply {
            state,
            answer: Vec::new(),
            position: None,
            group: group.and_then(|id| self.group_state(now, &id)),
            load,
            generation: self.generation(),
        }
    }
}

/// Replies to a write, whose outcome is unknown unless it was confirmed.
pub(super) fn reply_to_write(outcome: Confirmation, write: UnconfirmedWrite) {
    let UnconfirmedWrite {
        mut success_reply,
        reply,
        ..
    } = write;
    if outcome != Confirmation::Confirmed {
        success_reply.state = ReplyState::Unknown;
        success_reply.answer = Vec::new();
        success_reply.position = None;
    }
    reply(success_reply);
}

/// Returns how a job ended for the scheduler; errors of a statement don't count as failures.
pub(super) fn job_completion(result: &TaskResult) -> Completion {
    let err = match result {
        TaskResult::NoConnection(Error::Exhausted) => return Completion::Abandoned,
        TaskResult::NoConnection(err)
        | TaskResult::Read(Err(err))
        | TaskResult::Write(WriteOutcome::RolledBack(err) | WriteOutcome::Unknown(err))
        | TaskResult::TransactionEnded(Some(err)) => err,
        _ => return Completion::Answered,
    };
    match err {
        Error::NotPrimary => Completion::Abandoned,
        Error::Timeout(_) | Error::Connect(_) => Completion::UpstreamFailed,
        Error::Statement(_) if err.sqlstate().is_none() => Completion::UpstreamFailed,
        _ => Completion::Answered,
    }
}

pub(super) fn failed_state(err: &Error) -> ReplyState {
    let code = match err {
        Error::KeyReused => "key-reused",
        Error::Statement(_) if err.sqlstate().is_some() => "statement-failed",
        Error::ColumnType(_) => "statement-failed",
        _ => "transaction-lost",
    };
    let message = err.message().map_or_else(|| err.to_string(), str::to_owned);
    let state = err
        .sqlstate()
        .map(|state| format!("SQLSTATE {state}: "))
        .unwrap_or_default();
    ReplyState::Failed {
        code: code.to_owned(),
        message: format!("{state}{message}"),
    }
}

/// Returns whether an error is due to the upstream's state and not to the statement.
pub(super) fn is_transient(err: &Error) -> bool {
    match err.sqlstate() {
        // Aborted by a fence, no longer the primary, too many connections, shutting down.
        Some(state) => matches!(state, "40001" | "25006" | "53300") || state.starts_with("57P"),
        None => matches!(err, Error::Statement(_) | Error::Timeout(_)),
    }
}

/// Converts the error of a read; a read has no effect, so one without an answer did not run.
pub(super) fn read_error_state(err: &Error) -> ReplyState {
    match err {
        Error::Timeout(_) => not_run(Reason::Deadline),
        Error::Statement(_) if err.sqlstate().is_none() => not_run(Reason::NoConnection),
        _ => failed_state(err),
    }
}
