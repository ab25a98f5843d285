//! The dispatcher's side of a request: from its arrival to its reply.

use std::time::Duration;

use chervildrift_core::dispatch::{self, Finish, JobId, Refusal};
use chervildrift_core::group::{Confirmation, GroupView};
use chervildrift_core::transaction::TransactionId;
use chervildrift_core::types::{Time, Upstream};
use serde_json::Value;
use slog::{debug, warn};

use super::Input;
use super::dispatcher::{Dispatcher, Held, Job, ReplyTo, not_run};
use super::group::Unconfirmed;
use super::node::{Node, outside};
use super::task::{OpenTransaction, Ran, Task, run};
use crate::peer::message::{Access, Request, Step};
use crate::peer::{Reply, State};
use crate::upstream::{Error, Record, Settled, Statement, Written};
use crate::work::Reason;

/// Greatest age of the primary's own data for a read that asks for current data.
///
/// A primary that was cut off and replaced would otherwise go on serving reads.
const CURRENT: Duration = Duration::from_secs(1);

impl Node {
    /// Takes a request that an entry sent to this VM as the dispatcher of its upstream.
    pub(super) fn serve_request(&mut self, request: Request, step: Option<Step>, reply: ReplyTo) {
        let now = self.clock.now();
        if !self.ensure_dispatcher(&request.upstream) {
            return self.answer(reply, not_run(Reason::Undeclared), None);
        }
        let name = request.upstream.clone();
        let deadline = now + request.remaining;
        match self.prepare(now, &request, step) {
            Ok(task) => {
                let sent = Time::default();
                let job = Job {
                    request,
                    step,
                    deadline,
                    task: Some(task),
                    sent,
                    running: None,
                    reply,
                };
                self.submit(now, &name, job);
            }
            Err(reason) => self.answer(reply, not_run(reason), Some(&name)),
        }
    }

    /// Checks what can be checked before the request takes a place in a queue.
    fn prepare(
        &mut self,
        now: Time,
        request: &Request,
        step: Option<Step>,
    ) -> Result<Task, Reason> {
        let statements = parse(request)?;
        let record = request.idempotency.as_ref().map(|it| Record {
            key: it.key.clone(),
            digest: it.digest.clone(),
        });
        match step {
            None if request.access == Access::Read => Ok(Task::Read(statements)),
            None => {
                self.check_primary(request)?;
                let record = record.ok_or(Reason::Malformed)?;
                if statements.is_empty() {
                    Ok(Task::Settle(record))
                } else {
                    Ok(Task::Write(record, statements))
                }
            }
            Some(Step::Open) => {
                self.check_primary(request)?;
                Ok(Task::Open(record, statements))
            }
            Some(Step::Execute) => {
                let transaction = self.take_transaction(now, request)?;
                Ok(Task::Execute(transaction, statements))
            }
            Some(Step::Commit) => Ok(Task::Commit(self.take_transaction(now, request)?)),
            Some(Step::Rollback) => Ok(Task::Rollback(self.take_transaction(now, request)?)),
        }
    }

    fn check_primary(&self, request: &Request) -> Result<(), Reason> {
        let dispatcher = self
            .dispatchers
            .get(&request.upstream)
            .ok_or(Reason::Undeclared)?;
        let group = self
            .groups
            .get(&dispatcher.group)
            .ok_or(Reason::Undeclared)?;
        let primary = group.coordinator.view().primary();
        if primary == Some(dispatcher.index) {
            Ok(())
        } else {
            Err(Reason::NotPrimary)
        }
    }

    /// Takes an idle transaction for its next step; only its own caller may.
    fn take_transaction(
        &mut self,
        now: Time,
        request: &Request,
    ) -> Result<OpenTransaction, Reason> {
        let dispatcher = self
            .dispatchers
            .get_mut(&request.upstream)
            .ok_or(Reason::Undeclared)?;
        let id = transaction_id(request).ok_or(Reason::UnknownTransaction)?;
        let held = dispatcher
            .held
            .get_mut(&id)
            .ok_or(Reason::UnknownTransaction)?;
        if held.caller != request.caller {
            return Err(Reason::UnknownTransaction);
        }
        let transaction = held.idle.take().ok_or(Reason::TransactionBusy)?;
        match dispatcher.transactions.start(now, id) {
            Ok(()) => Ok(transaction),
            Err(_expired) => {
                // Dropping the connection rolls the transaction back.
                dispatcher.held.remove(&id);
                dispatcher.transactions.end(id);
                Err(Reason::UnknownTransaction)
            }
        }
    }

    fn submit(&mut self, now: Time, name: &Upstream, job: Job) {
        let id = JobId(self.next_number());
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        dispatcher.used = now;
        if job.step == Some(Step::Open) && !enroll(dispatcher, now, &job.request) {
            return self.answer(job.reply, not_run(Reason::Overloaded), Some(name));
        }
        let wanted = dispatch::Job {
            id,
            kind: job.request.kind.clone(),
            caller: job.request.caller.clone(),
            deadline: job.deadline,
        };
        match dispatcher.scheduler.submit(now, wanted) {
            Ok(()) => {
                dispatcher.jobs.insert(id, job);
                self.pump(now, name);
            }
            Err(refusal) => self.refuse(now, name, job, reason(&refusal)),
        }
    }

    /// Answers a job that was not run and gives back the transaction that it held.
    fn refuse(&mut self, now: Time, name: &Upstream, mut job: Job, reason: Reason) {
        if let Some(dispatcher) = self.dispatchers.get_mut(name) {
            match job.task.take() {
                Some(Task::Execute(transaction, _) | Task::Commit(transaction)) => {
                    rest(dispatcher, now, &job.request, transaction);
                }
                Some(Task::Rollback(_) | Task::Open(..)) => end(dispatcher, &job.request),
                _ => {}
            }
        }
        self.answer(job.reply, not_run(reason), Some(name));
    }

    /// Starts the jobs that get a slot and answers those that no longer can finish in time.
    pub(super) fn pump(&mut self, now: Time, name: &Upstream) {
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        while let Some(id) = dispatcher.scheduler.next(now) {
            let Some(job) = dispatcher.jobs.get_mut(&id) else {
                continue;
            };
            let Some(task) = job.task.take() else {
                continue;
            };
            job.sent = now;
            let limit = job.deadline.since(now);
            let (pool, inputs) = (dispatcher.pool.clone(), self.inputs.clone());
            let name = name.clone();
            let running = self.io.spawn(async move {
                let ran = run(task, pool, limit).await;
                let _ended = inputs.send(Input::Ran(name, id, Box::new(ran)));
            });
            job.running = Some(running.abort_handle());
        }
        for id in dispatcher.scheduler.expire(now) {
            self.expire_job(now, name, id);
        }
    }

    fn expire_job(&mut self, now: Time, name: &Upstream, id: JobId) {
        let job = self
            .dispatchers
            .get_mut(name)
            .and_then(|it| it.jobs.remove(&id));
        if let Some(job) = job {
            self.refuse(now, name, job, Reason::Deadline);
        }
    }

    /// Takes the result of a job.
    pub(super) fn finish_job(&mut self, name: &Upstream, id: JobId, ran: Ran) {
        let now = self.clock.now();
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        // A job that was aborted has been answered already.
        if let Some(job) = dispatcher.jobs.remove(&id) {
            dispatcher.scheduler.finish(now, id, finish(&ran));
            self.conclude(now, name, job, ran);
        }
        self.pump(now, name);
    }

    fn conclude(&mut self, now: Time, name: &Upstream, job: Job, ran: Ran) {
        match ran {
            Ran::NoConnection(err) => {
                debug!(self.log, "no connection"; "upstream" => %name, "error" => %err);
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

    fn conclude_read(
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

    fn conclude_write(&mut self, now: Time, name: &Upstream, job: Job, settled: Settled) {
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

    /// Ends the work that runs at an upstream which no longer answers or no longer is the primary.
    ///
    /// Its connections close. A write may have been committed, which its key settles; a read goes
    /// elsewhere.
    pub(super) fn abort_running(&mut self, name: &Upstream, reads: bool) {
        let now = self.clock.now();
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        let wanted = |job: &Job| job.running.is_some() && (reads || !is_read(job));
        let ids: Vec<JobId> = dispatcher
            .jobs
            .iter()
            .filter(|(_, job)| wanted(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(dispatcher) = self.dispatchers.get_mut(name) else {
                return;
            };
            let Some(job) = dispatcher.jobs.remove(&id) else {
                continue;
            };
            if let Some(running) = &job.running {
                running.abort();
            }
            dispatcher.scheduler.finish(now, id, Finish::Failed);
            self.end_transaction(name, &job);
            let state = if is_read(&job) {
                not_run(Reason::NoConnection)
            } else {
                State::Unknown
            };
            self.answer(job.reply, state, Some(name));
        }
    }

    /// Keeps a committed write until a majority of the group has received it.
    fn await_confirmation(&mut self, now: Time, name: &Upstream, job: Job, written: Written) {
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

    fn end_transaction(&mut self, name: &Upstream, job: &Job) {
        if let (Some(dispatcher), Some(_)) = (self.dispatchers.get_mut(name), job.step) {
            end(dispatcher, &job.request);
        }
    }

    /// Rolls back the transactions that were idle for too long.
    pub(super) fn expire_transactions(&mut self, now: Time) {
        for dispatcher in self.dispatchers.values_mut() {
            for id in dispatcher.transactions.expire(now) {
                dispatcher.held.remove(&id);
            }
        }
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

fn parse(request: &Request) -> Result<Vec<Statement>, Reason> {
    let statement = |it: &crate::peer::message::Statement| {
        let params = serde_json::from_str(&it.params).map_err(|_err| Reason::Malformed)?;
        Ok(Statement {
            sql: it.sql.clone(),
            params,
        })
    };
    request.statements.iter().map(statement).collect()
}

fn is_read(job: &Job) -> bool {
    job.step.is_none() && job.request.access == Access::Read
}

/// Returns the number of the transaction that a request names.
fn transaction_id(request: &Request) -> Option<TransactionId> {
    let text = request.transaction.as_deref()?;
    let number = text.rsplit('.').next()?;
    u64::from_str_radix(number, 16).ok().map(TransactionId)
}

/// Opens the account of a transaction whose first statements are about to run.
fn enroll(dispatcher: &mut Dispatcher, now: Time, request: &Request) -> bool {
    let Some(id) = transaction_id(request) else {
        return false;
    };
    let begun = dispatcher.transactions.begin(now, id, request.rank);
    if begun
        .and_then(|()| dispatcher.transactions.start(now, id))
        .is_err()
    {
        return false;
    }
    dispatcher.held.insert(
        id,
        Held {
            caller: request.caller.clone(),
            idle: None,
        },
    );
    true
}

fn rest(dispatcher: &mut Dispatcher, now: Time, request: &Request, transaction: OpenTransaction) {
    let held = transaction_id(request).and_then(|id| Some((id, dispatcher.held.get_mut(&id)?)));
    if let Some((id, held)) = held {
        held.idle = Some(transaction);
        dispatcher.transactions.rest(now, id);
    }
}

fn end(dispatcher: &mut Dispatcher, request: &Request) {
    if let Some(id) = transaction_id(request) {
        dispatcher.held.remove(&id);
        dispatcher.transactions.end(id);
    }
}

const fn reason(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::UnknownKind(_) => Reason::Undeclared,
        Refusal::TooLate(..) => Reason::Deadline,
        _ => Reason::Overloaded,
    }
}

/// Tells the scheduler whether the upstream worked; errors of a statement are its caller's.
fn finish(ran: &Ran) -> Finish {
    let err = match ran {
        Ran::NoConnection(Error::Exhausted) => return Finish::Abandoned,
        Ran::NoConnection(err)
        | Ran::Read(Err(err))
        | Ran::Settled(Settled::RolledBack(err) | Settled::Unknown(err))
        | Ran::Ended(Some(err)) => err,
        _ => return Finish::Done,
    };
    match err {
        Error::NotPrimary => Finish::Abandoned,
        Error::Timeout(_) | Error::Connect(_) => Finish::Failed,
        Error::Statement(_) if err.sqlstate().is_none() => Finish::Failed,
        _ => Finish::Done,
    }
}

fn failed(err: &Error) -> State {
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
fn is_passing(err: &Error) -> bool {
    match err.sqlstate() {
        // Aborted by a fence, not the primary any more, too many connections, shutting down.
        Some(state) => matches!(state, "40001" | "25006" | "53300") || state.starts_with("57P"),
        None => matches!(err, Error::Statement(_) | Error::Timeout(_)),
    }
}

/// A read has no effect, so one that got no answer counts as not run.
fn failed_read(err: &Error) -> State {
    match err {
        Error::Timeout(_) => not_run(Reason::Deadline),
        Error::Statement(_) if err.sqlstate().is_none() => not_run(Reason::NoConnection),
        _ => failed(err),
    }
}
