//! The dispatcher's side of a request: from its arrival to its reply.

use chervildrift_core::dispatch::{self, Finish, JobId, Refusal};
use chervildrift_core::transaction::TransactionId;
use chervildrift_core::types::{Time, Upstream};

use super::Input;
use super::conclude::finish;
use super::dispatcher::{Dispatcher, Held, Job, ReplyTo, not_run};
use super::node::Node;
use super::task::{OpenTransaction, Ran, Task, run};
use crate::peer::State;
use crate::peer::message::{Access, Request, Step};
use crate::upstream::{Record, Statement};
use crate::work::Reason;

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
    pub(super) fn prepare(
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

    pub(super) fn check_primary(&self, request: &Request) -> Result<(), Reason> {
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
    pub(super) fn take_transaction(
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
        match dispatcher.transactions.start_statement(now, id) {
            Ok(()) => Ok(transaction),
            Err(_expired) => {
                // Dropping the connection rolls the transaction back.
                dispatcher.held.remove(&id);
                dispatcher.transactions.close(id);
                Err(Reason::UnknownTransaction)
            }
        }
    }

    pub(super) fn submit(&mut self, now: Time, name: &Upstream, job: Job) {
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
    pub(super) fn refuse(&mut self, now: Time, name: &Upstream, mut job: Job, reason: Reason) {
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

    pub(super) fn expire_job(&mut self, now: Time, name: &Upstream, id: JobId) {
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

    pub(super) fn end_transaction(&mut self, name: &Upstream, job: &Job) {
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
}

pub(super) fn parse(request: &Request) -> Result<Vec<Statement>, Reason> {
    let statement = |it: &crate::peer::message::Statement| {
        let params = serde_json::from_str(&it.params).map_err(|_err| Reason::Malformed)?;
        Ok(Statement {
            sql: it.sql.clone(),
            params,
        })
    };
    request.statements.iter().map(statement).collect()
}

pub(super) fn is_read(job: &Job) -> bool {
    job.step.is_none() && job.request.access == Access::Read
}

/// Returns the number of the transaction that a request names.
pub(super) fn transaction_id(request: &Request) -> Option<TransactionId> {
    let text = request.transaction.as_deref()?;
    let number = text.rsplit('.').next()?;
    u64::from_str_radix(number, 16).ok().map(TransactionId)
}

/// Opens the account of a transaction whose first statements are about to run.
pub(super) fn enroll(dispatcher: &mut Dispatcher, now: Time, request: &Request) -> bool {
    let Some(id) = transaction_id(request) else {
        return false;
    };
    let begun = dispatcher.transactions.begin(now, id, request.rank);
    if begun
        .and_then(|()| dispatcher.transactions.start_statement(now, id))
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

pub(super) fn rest(
    dispatcher: &mut Dispatcher,
    now: Time,
    request: &Request,
    transaction: OpenTransaction,
) {
    let held = transaction_id(request).and_then(|id| Some((id, dispatcher.held.get_mut(&id)?)));
    if let Some((id, held)) = held {
        held.idle = Some(transaction);
        dispatcher.transactions.finish_statement(now, id);
    }
}

pub(super) fn end(dispatcher: &mut Dispatcher, request: &Request) {
    if let Some(id) = transaction_id(request) {
        dispatcher.held.remove(&id);
        dispatcher.transactions.close(id);
    }
}

pub(super) const fn reason(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::UnknownKind(_) => Reason::Undeclared,
        Refusal::TooLate(..) => Reason::Deadline,
        _ => Reason::Overloaded,
    }
}
