//! Requests at the dispatcher: validation, queueing, execution and transactions.

use chervildrift_core::dispatch::{self, Completion, JobId, Refusal};
use chervildrift_core::transaction::TransactionId;
use chervildrift_core::types::{Time, Upstream};

use super::Input;
use super::completion::job_completion;
use super::dispatcher::{Dispatcher, Job, ReplyCallback, TransactionHandle, not_run};
use super::node::Node;
use super::task::{OpenTransaction, Task, TaskResult, run_task};
use crate::peer::ReplyState;
use crate::peer::message::{Access, Request, TransactionStep};
use crate::upstream::{IdempotencyRecord, Statement};
use crate::work::Reason;

impl Node {
    /// Queues a request that an entry sent to this VM as the dispatcher of its upstream.
    pub(super) fn serve_request(
        &mut self,
        request: Request,
        step: Option<TransactionStep>,
        reply: ReplyCallback,
    ) {
        let now = self.clock.now();
        if !self.ensure_dispatcher(&request.upstream) {
            return self.send_reply(reply, not_run(Reason::Undeclared), None);
        }
        let name = request.upstream.clone();
        let deadline = now + request.remaining;
        match self.prepare_task(now, &request, step) {
            Ok(task) => {
                let sent_at = Time::default();
                let job = Job {
                    request,
                    step,
                    deadline,
                    task: Some(task),
                    sent_at,
                    abort_handle: None,
                    reply,
                };
                self.submit_job(now, &name, job);
            }
            Err(reason) => self.send_reply(reply, not_run(reason), Some(&name)),
        }
    }

    /// Validates a request before it is queued, and returns its task.
    pub(super) fn prepare_task(
        &mut self,
        now: Time,
        request: &Request,
        step: Option<TransactionStep>,
    ) -> Result<Task, Reason> {
        let statements = parse_statements(request)?;
        let record = request.idempotency.as_ref().map(|it| IdempotencyRecord {
            key: it.key.clone(),
            digest: it.digest.clone(),
        });
        match step {
            None if request.access == Access::Read => Ok(Task::Read(statements)),
            None => {
                self.check_primary(request)?;
                let record = record.ok_or(Reason::Malformed)?;
                if statements.is_empty() {
                    Ok(Task::ResolveOutcome(record))
                } else {
                    Ok(Task::Write(record, statements))
                }
            }
            Some(TransactionStep::Open) => {
                self.check_primary(request)?;
                Ok(Task::Open(record, statements))
            }
            Some(TransactionStep::Execute) => {
                let transaction = self.check_out_transaction(now, request)?;
                Ok(Task::Execute(transaction, statements))
            }
            Some(TransactionStep::Commit) => {
                Ok(Task::Commit(self.check_out_transaction(now, request)?))
            }
            Some(TransactionStep::Rollback) => {
                Ok(Task::Rollback(self.check_out_transaction(now, request)?))
            }
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

    /// Takes the connection of an idle transaction for a step, which only its own caller may send.
    pub(super) fn check_out_transaction(
        &mut self,
        now: Time,
        request: &Request,
    ) -> Result<OpenTransaction, Reason> {
        let dispatcher = self
            .dispatchers
            .get_mut(&request.upstream)
            .ok_or(Reason::Undeclared)?;
        let id = transaction_id(request).ok_or(Reason::UnknownTransaction)?;
        let handle = dispatcher
            .open_transactions
            .get_mut(&id)
            .ok_or(Reason::UnknownTransaction)?;
        if handle.caller != request.caller {
            return Err(Reason::UnknownTransaction);
        }
        let transaction = handle.idle.take().ok_or(Reason::TransactionBusy)?;
        match dispatcher.transactions.start_statement(now, id) {
            Ok(()) => Ok(transaction),
            Err(_expired) => {
                // Dropping the connection rolls the transaction back.
                dispatcher.open_transactions.remove(&id);
                dispatcher.transactions.close(id);
                Err(Reason::UnknownTransaction)
            }
        }
    }

    pub(super) fn submit_job(&mut self, now: Time, name: &Upstream, job: Job) {
        let id = JobId(self.next_number());
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        dispatcher.last_request = now;
        if job.step == Some(TransactionStep::Open)
            && !register_transaction(dispatcher, now, &job.request)
        {
            return self.send_reply(job.reply, not_run(Reason::Overloaded), Some(name));
        }
        let scheduled = dispatch::Job {
            id,
            kind: job.request.kind.clone(),
            caller: job.request.caller.clone(),
            organisation: None,
            deadline: job.deadline,
        };
        match dispatcher.scheduler.submit(now, scheduled) {
            Ok(()) => {
                dispatcher.jobs.insert(id, job);
                self.start_jobs(now, name);
            }
            Err(refusal) => self.refuse_job(now, name, job, refusal_reason(&refusal)),
        }
    }

    /// Refuses a job that did not run, and returns or ends its transaction.
    pub(super) fn refuse_job(&mut self, now: Time, name: &Upstream, mut job: Job, reason: Reason) {
        if let Some(dispatcher) = self.dispatchers.get_mut(name) {
            match job.task.take() {
                Some(Task::Execute(transaction, _) | Task::Commit(transaction)) => {
                    return_transaction(dispatcher, now, &job.request, transaction);
                }
                Some(Task::Rollback(_) | Task::Open(..)) => {
                    unregister_transaction(dispatcher, &job.request);
                }
                _ => {}
            }
        }
        self.send_reply(job.reply, not_run(reason), Some(name));
    }

    /// Starts the jobs that get a slot and refuses those that can no longer finish in time.
    pub(super) fn start_jobs(&mut self, now: Time, name: &Upstream) {
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        while let Some(id) = dispatcher.scheduler.start_next(now) {
            let Some(job) = dispatcher.jobs.get_mut(&id) else {
                continue;
            };
            let Some(task) = job.task.take() else {
                continue;
            };
            job.sent_at = now;
            let timeout = job.deadline.since(now);
            let (pool, inputs) = (dispatcher.pool.clone(), self.inputs.clone());
            let name = name.clone();
            let join_handle = self.io.spawn(async move {
                let result = run_task(task, pool, timeout).await;
                let _result = inputs.send(Input::JobResult(name, id, Box::new(result)));
            });
            job.abort_handle = Some(join_handle.abort_handle());
        }
        for id in dispatcher.scheduler.expire(now) {
            self.refuse_expired_job(now, name, id);
        }
    }

    pub(super) fn refuse_expired_job(&mut self, now: Time, name: &Upstream, id: JobId) {
        let job = self
            .dispatchers
            .get_mut(name)
            .and_then(|it| it.jobs.remove(&id));
        if let Some(job) = job {
            self.refuse_job(now, name, job, Reason::Deadline);
        }
    }

    /// Handles the result of a job.
    pub(super) fn handle_job_result(&mut self, name: &Upstream, id: JobId, result: TaskResult) {
        let now = self.clock.now();
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        // A job that was aborted has been answered already.
        if let Some(job) = dispatcher.jobs.remove(&id) {
            dispatcher
                .scheduler
                .finish(now, id, job_completion(&result));
            self.complete_job(now, name, job, result);
        }
        self.start_jobs(now, name);
    }

    /// Aborts jobs that run at an upstream that no longer answers or is no longer the primary.
    ///
    /// Their connections close. A write may have been committed, which a retry under its key finds
    /// out; a read is retried elsewhere.
    pub(super) fn abort_running_jobs(&mut self, name: &Upstream, include_reads: bool) {
        let now = self.clock.now();
        let Some(dispatcher) = self.dispatchers.get_mut(name) else {
            return;
        };
        let selected = |job: &Job| job.abort_handle.is_some() && (include_reads || !is_read(job));
        let ids: Vec<JobId> = dispatcher
            .jobs
            .iter()
            .filter(|(_, job)| selected(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(dispatcher) = self.dispatchers.get_mut(name) else {
                return;
            };
            let Some(job) = dispatcher.jobs.remove(&id) else {
                continue;
            };
            if let Some(abort_handle) = &job.abort_handle {
                abort_handle.abort();
            }
            dispatcher
                .scheduler
                .finish(now, id, Completion::UpstreamFailed);
            self.end_transaction(name, &job);
            let state = if is_read(&job) {
                not_run(Reason::NoConnection)
            } else {
                ReplyState::Unknown
            };
            self.send_reply(job.reply, state, Some(name));
        }
    }

    pub(super) fn end_transaction(&mut self, name: &Upstream, job: &Job) {
        if let (Some(dispatcher), Some(_)) = (self.dispatchers.get_mut(name), job.step) {
            unregister_transaction(dispatcher, &job.request);
        }
    }

    /// Rolls back the transactions that have exceeded the idle timeout.
    pub(super) fn expire_transactions(&mut self, now: Time) {
        for dispatcher in self.dispatchers.values_mut() {
            for id in dispatcher.transactions.expire(now) {
                dispatcher.open_transactions.remove(&id);
            }
        }
    }
}

pub(super) fn parse_statements(request: &Request) -> Result<Vec<Statement>, Reason> {
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

/// Returns the identifier of the transaction that a request names.
pub(super) fn transaction_id(request: &Request) -> Option<TransactionId> {
    let text = request.transaction.as_deref()?;
    let number = text.rsplit('.').next()?;
    u64::from_str_radix(number, 16).ok().map(TransactionId)
}

/// Registers a transaction before its first statements run; false if no more may be opened.
pub(super) fn register_transaction(
    dispatcher: &mut Dispatcher,
    now: Time,
    request: &Request,
) -> bool {
    let Some(id) = transaction_id(request) else {
        return false;
    };
    let begin_result = dispatcher.transactions.begin(now, id, request.rank);
    if begin_result
        .and_then(|()| dispatcher.transactions.start_statement(now, id))
        .is_err()
    {
        return false;
    }
    dispatcher.open_transactions.insert(
        id,
        TransactionHandle {
            caller: request.caller.clone(),
            idle: None,
        },
    );
    true
}

/// Stores the connection of an open transaction until its next step.
pub(super) fn return_transaction(
    dispatcher: &mut Dispatcher,
    now: Time,
    request: &Request,
    transaction: OpenTransaction,
) {
    let handle = transaction_id(request)
        .and_then(|id| Some((id, dispatcher.open_transactions.get_mut(&id)?)));
    if let Some((id, handle)) = handle {
        handle.idle = Some(transaction);
        dispatcher.transactions.finish_statement(now, id);
    }
}

/// Removes a transaction that has ended.
pub(super) fn unregister_transaction(dispatcher: &mut Dispatcher, request: &Request) {
    if let Some(id) = transaction_id(request) {
        dispatcher.open_transactions.remove(&id);
        dispatcher.transactions.close(id);
    }
}

pub(super) const fn refusal_reason(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::UnknownKind(_) => Reason::Undeclared,
        Refusal::TooLate(..) => Reason::Deadline,
        _ => Reason::Overloaded,
    }
}
