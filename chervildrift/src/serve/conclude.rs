//! What a dispatcher answers once the work at its upstream has ended.

use std::time::Duration;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::group::{Confirmation, GroupView};
use chervildrift_core::types::{Time, Upstream};
use serde_json::Value;
use slog::{debug, warn};

use super::dispatcher::{Job, ReplyTo, not_run};
use super::group::Unconfirmed;
use super::node::{Node, outside};
use super::serving::rest;
use super::task::Ran;
use crate::peer::{Reply, State};
use crate::upstream::{Error, Settled, Written};
use crate::work::Reason;

/// Greatest age of the primary's own data for a read that asks for current data.
///
/// A primary that was cut off and replaced would otherwise go on serving reads.
const CURRENT: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn conclude(&mut self, now: Time, name: &Upstream, job: Job, ran: Ran) {
        match ran {
            Ran::NoConnection(err) => {
                debug!(self.log, "no connection"; "request" => format!("{:016x}", job.request.id),
                    "upstream" => %name, "error" => %err);
                let exhausted = matches!(err, Error::Exhausted);
                let reason = if exhausted {
                    Reason::Overloaded
                } else {
                    Reason::NoConnection
                };
                self.end_transaction(name, &job);
                self.answer(job.reply, not_run(reason), Some(name));
            }
            Ran::Read(result) => self.conclude_read(now, name, job, result),
            Ran::Settled(settled) => {
                self.end_transaction(name, &job);
                self.conclude_write(now, name, job, settled);
            }
            Ran::Idle(transaction, results) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(name) {
                    rest(dispatcher, now, &job.request, *transaction);
                }
                let mut reply = self.reply(State::Done, Some(name));
                reply.answer = results.into_bytes();
                (job.reply)(reply);
            }
            Ran::Ended(err) => {
                self.end_transaction(name, &job);
                let state = err.map_or(State::Done, |err| failed(&err));
                self.answer(job.reply, state, Some(name));
            }
        }
    }

    pub(super) fn conclude_read(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        result: Result<crate::upstream::Read, Error>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(err) => return self.answer(job.reply, failed_read(&err), Some(name)),
        };
        self.observe(name, job.sent, read.status);
        if !GroupView::may_serve(&read.status, job.request.token) {
            return self.answer(job.reply, not_run(Reason::Behind), Some(name));
        }
        let bound = job.request.age_bound.unwrap_or(CURRENT);
        if self.age(now, name).is_none_or(|age| age > bound) {
            return self.answer(job.reply, not_run(Reason::TooOld), Some(name));
        }
        let mut reply = self.reply(State::Done, Some(name));
        reply.answer = Value::from(read.results).to_string().into_bytes();
        (job.reply)(reply);
    }

    pub(super) fn conclude_write(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        settled: Settled,
    ) {
        match settled {
            Settled::Written(written) => self.await_confirmation(now, name, job, written),
            Settled::RolledBack(Error::NotPrimary) => {
                self.answer(job.reply, not_run(Reason::NotPrimary), Some(name));
            }
            // A rolled-back write may be tried again under its key, like one that was lost.
            Settled::RolledBack(err) if is_passing(&err) => {
                self.answer(job.reply, State::Unknown, Some(name));
            }
            Settled::RolledBack(err) => self.answer(job.reply, failed(&err), Some(name)),
            Settled::Unknown(err) => {
                warn!(self.log, "outcome of a write is unknown";
                    "request" => format!("{:016x}", job.request.id),
                    "upstream" => %name, "error" => %err);
                self.answer(job.reply, State::Unknown, Some(name));
            }
        }
    }

    /// Keeps a committed write until a majority of the group has received it.
    pub(super) fn await_confirmation(
        &mut self,
        now: Time,
        name: &Upstream,
        job: Job,
        written: Written,
    ) {
        let state = if written.cancelled {
            not_run(Reason::Cancelled)
        } else {
            State::Done
        };
        let mut success = self.reply(state, Some(name));
        success.mark = Some(written.mark);
        success.answer = written.answer.into_bytes();
        let write = Unconfirmed {
            mark: written.mark,
            since: now,
            deadline: job.deadline,
            success,
            reply: job.reply,
        };
        let Some(dispatcher) = self.dispatchers.get(name) else {
            return;
        };
        let id = dispatcher.group.clone();
        let outside = outside!(self);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.unconfirmed.push(write);
        group.seek_confirmation(now, &outside);
    }

    /// Sends a reply without results.
    pub(super) fn answer(&mut self, reply: ReplyTo, state: State, name: Option<&Upstream>) {
        let message = self.reply(state, name);
        reply(message);
    }

    /// Builds a reply with the state of the upstream's group and the load of its dispatcher.
    pub(super) fn reply(&mut self, state: State, name: Option<&Upstream>) -> Reply {
        let now = self.clock.now();
        let dispatcher = name.and_then(|name| self.dispatchers.get_mut(name));
        let load = dispatcher.as_ref().map(|it| it.load()).unwrap_or_default();
        let group = dispatcher.map(|it| it.group.clone());
        Reply {
            state,
            answer: Vec::new(),
            mark: None,
            group: group.and_then(|id| self.group_state(now, &id)),
            load,
            generation: self.generation(),
        }
    }
}

/// Answers a write whose wait for confirmation is over.
pub(super) fn confirm(outcome: Confirmation, write: Unconfirmed) {
    let Unconfirmed {
        mut success, reply, ..
    } = write;
    if outcome != Confirmation::Confirmed {
        success.state = State::Unknown;
        success.answer = Vec::new();
        success.mark = None;
    }
    reply(success);
}

/// Tells the scheduler whether the upstream worked; errors of a statement are its caller's.
pub(super) fn finish(ran: &Ran) -> Completion {
    let err = match ran {
        Ran::NoConnection(Error::Exhausted) => return Completion::Abandoned,
        Ran::NoConnection(err)
        | Ran::Read(Err(err))
        | Ran::Settled(Settled::RolledBack(err) | Settled::Unknown(err))
        | Ran::Ended(Some(err)) => err,
        _ => return Completion::Answered,
    };
    match err {
        Error::NotPrimary => Completion::Abandoned,
        Error::Timeout(_) | Error::Connect(_) => Completion::UpstreamFailed,
        Error::Statement(_) if err.sqlstate().is_none() => Completion::UpstreamFailed,
        _ => Completion::Answered,
    }
}

pub(super) fn failed(err: &Error) -> State {
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
    State::Failed {
        code: code.to_owned(),
        message: format!("{state}{message}"),
    }
}

/// Tells whether a failure has to do with the upstream's state and not with the statement.
pub(super) fn is_passing(err: &Error) -> bool {
    match err.sqlstate() {
        // Aborted by a fence, not the primary any more, too many connections, shutting down.
        Some(state) => matches!(state, "40001" | "25006" | "53300") || state.starts_with("57P"),
        None => matches!(err, Error::Statement(_) | Error::Timeout(_)),
    }
}

/// A read has no effect, so one that got no answer counts as not run.
pub(super) fn failed_read(err: &Error) -> State {
    match err {
        Error::Timeout(_) => not_run(Reason::Deadline),
        Error::Statement(_) if err.sqlstate().is_none() => not_run(Reason::NoConnection),
        _ => failed(err),
    }
}
