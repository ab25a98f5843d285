//! Session of one connection: its transaction and the execution of its statements.

use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::activity::Activity;
use super::call;
use super::database::{Description, StatementResult};
use super::error::SqlError;
use super::faults::Fault;
use super::function::Function;
use super::node::Node;
use super::reply::Reply;
use super::shared::Shared;
use super::sql::{Action, Command};
use super::value::Value;

/// Open transaction of a session.
#[derive(Debug)]
struct Transaction {
    /// Epoch of the upstream in which the transaction started.
    epoch: u64,
    /// Whether a statement has failed, after which only the end of the transaction is accepted.
    failed: bool,
    /// Whether the transaction is read-only.
    read_only: bool,
    /// Whether the transaction holds the write lock.
    writer: bool,
    /// Statement time to spend after the end of the transaction.
    deferred_time: Duration,
}

/// State of a connection.
#[derive(Debug)]
pub(super) struct Session {
    pub shared: Arc<Shared>,
    /// Requests the task of the connection to close it at once.
    pub close_request: Notify,
    /// Whether the connection counts against the limit.
    pub counted: AtomicBool,
    /// Whether the connection belongs to the user that sets faults.
    pub fault_control: AtomicBool,
    id: u64,
    transaction: Mutex<Option<Transaction>>,
    activity: Arc<Activity>,
}

impl Session {
    /// Creates the state of a new connection.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            id: shared.next_session_id(),
            shared,
            close_request: Notify::new(),
            counted: AtomicBool::new(false),
            fault_control: AtomicBool::new(false),
            transaction: Mutex::new(None),
            activity: Arc::new(Activity::new()),
        }
    }

    /// Returns the transaction status for the client.
    pub fn status(&self) -> TransactionStatus {
        match &*self.transaction() {
            None => TransactionStatus::Idle,
            Some(open) if open.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        }
    }

    /// Starts a batch of statements if none is active, and applies the delay fault to it.
    pub async fn start_batch(&self) {
        if self.activity.start() {
            if self.is_counted() {
                self.shared.active_batches.fetch_add(1, Ordering::SeqCst);
            }
            let delay = self.shared.faults.duration(Fault::DelayMs);
            if !delay.is_zero() {
                sleep(delay).await;
            }
        }
    }

    /// Ends a batch of statements.
    pub fn end_batch(&self) {
        if self.activity.end() && self.is_counted() {
            self.shared.active_batches.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Closes the connection without a reply; never returns.
    pub async fn close(&self) {
        self.close_request.notify_one();
        pending::<()>().await;
    }

    /// Returns the parameter types and result columns of a statement.
    pub fn describe(&self, command: &Command) -> Result<Arc<Description>, SqlError> {
        let description = self
            .check_transaction(command)
            .and_then(|()| match &command.action {
                Action::Call(call) => Ok(call::describe(call)),
                Action::Query => self.shared.node().describe(self.id, command),
                _ => Ok(Arc::default()),
            });
        self.fail_on_error(description)
    }

    /// Runs a statement; an error fails the open transaction.
    pub async fn run(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        let reply = match self.check_transaction(command) {
            Ok(()) => self.execute(command, params).await,
            Err(err) => Err(err),
        };
        self.fail_on_error(reply)
    }

    /// Starts a transaction unless one is open.
    pub fn begin(&self) {
        let epoch = self.shared.node().epoch();
        let mut transaction = self.transaction();
        if transaction.is_none() {
            *transaction = Some(Transaction {
                epoch,
                failed: false,
                read_only: false,
                writer: false,
                deferred_time: Duration::ZERO,
            });
        }
    }

    /// Rolls back the transaction, if there is one.
    pub async fn rollback(&self) {
        self.shared.node().rollback(self.id);
        let transaction = self.transaction().take();
        let deferred_time = transaction
            .map(|transaction| transaction.deferred_time)
            .unwrap_or_default();
        self.shared.occupy_slot(deferred_time).await;
    }

    /// Commits the transaction, or rolls it back if it has failed.
    pub async fn commit(&self) -> Result<Reply, SqlError> {
        let Some(transaction) = self.transaction().take() else {
            return Ok(Reply::TransactionEnded("COMMIT"));
        };
        if transaction.failed {
            self.shared.node().rollback(self.id);
            return Ok(Reply::TransactionEnded("ROLLBACK"));
        }
        let wrote = self.commit_writes(&transaction)?;
        self.shared.occupy_slot(transaction.deferred_time).await;
        if wrote {
            self.close_if_answer_dropped().await;
        }
        Ok(Reply::TransactionEnded("COMMIT"))
    }

    /// Marks the open transaction as failed.
    pub fn mark_failed(&self) {
        if let Some(open) = &mut *self.transaction() {
            open.failed = true;
        }
    }

    /// Closes the connection if the fault drops the answer to a statement that took effect.
    pub async fn close_if_answer_dropped(&self) {
        if self.shared.faults.consume_dropped_answer() {
            self.close().await;
        }
    }

    async fn execute(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        match &command.action {
            Action::Begin { read_only } => {
                self.begin();
                if let (true, Some(open)) = (*read_only, &mut *self.transaction()) {
                    open.read_only = true;
                }
                Ok(Reply::TransactionStarted(command.tag))
            }
            Action::Commit => self.commit().await,
            Action::Rollback => {
                self.rollback().await;
                Ok(Reply::TransactionEnded("ROLLBACK"))
            }
            Action::Savepoint { rolls_back } => self.savepoint(command, *rolls_back).await,
            Action::Setting(tag) => Ok(Reply::Done(tag, None)),
            Action::Call(call) => call::run(self, call, params).await,
            Action::Query => self.query(command, params).await,
        }
    }

    async fn query(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        let writes = self.shared.node().is_write(self.id, command)?;
        if writes {
            self.check_read_only()?;
            self.shared.node().check_writable()?;
            command.check_deterministic()?;
        }
        self.spend_statement_time().await;
        let outcome = if !writes {
            self.shared.node().read(self.id, command, params)?
        } else if self.transaction().is_some() {
            self.write(command, params).await?
        } else {
            self.write_autocommit(command, params).await?
        };
        Ok(Reply::new(command, outcome))
    }

    fn check_read_only(&self) -> Result<(), SqlError> {
        let read_only = self
            .transaction()
            .as_ref()
            .is_some_and(|open| open.read_only);
        if read_only {
            Err(SqlError::read_only_transaction())
        } else {
            Ok(())
        }
    }

    /// Runs a write outside a transaction and commits it.
    async fn write_autocommit(
        &self,
        command: &Command,
        params: &[Value],
    ) -> Result<StatementResult, SqlError> {
        let permit = self.shared.acquire_writer().await?;
        let outcome = {
            let mut node = self.shared.node();
            node.begin(self.id, &self.activity, permit)?;
            let outcome = node.write(self.id, command, params);
            if outcome.is_err() {
                node.rollback(self.id);
            }
            let outcome = outcome?;
            node.commit(self.id)?;
            outcome
        };
        self.close_if_answer_dropped().await;
        Ok(outcome)
    }

    /// Runs a write in the open transaction, which first acquires the write lock.
    async fn write(
        &self,
        command: &Command,
        params: &[Value],
    ) -> Result<StatementResult, SqlError> {
        let is_writer = self.transaction().as_ref().is_some_and(|open| open.writer);
        if !is_writer {
            self.become_writer().await?;
        }
        // Returns an error if the transaction has been aborted in the meantime.
        self.shared.node().write(self.id, command, params)
    }

    async fn become_writer(&self) -> Result<(), SqlError> {
        let permit = self.shared.acquire_writer().await?;
        let mut node = self.shared.node();
        let mut transaction = self.transaction();
        let Some(open) = transaction
            .as_mut()
            .filter(|open| open.epoch == node.epoch())
        else {
            return Err(SqlError::aborted());
        };
        node.begin(self.id, &self.activity, permit)?;
        open.writer = true;
        Ok(())
    }

    /// Runs a savepoint statement, except outside a transaction or on a replica.
    async fn savepoint(&self, command: &Command, rolls_back: bool) -> Result<Reply, SqlError> {
        let writable = self.shared.node().check_writable().is_ok();
        if writable && self.transaction().is_some() {
            self.write(command, &[]).await?;
        }
        if let (true, Some(open)) = (rolls_back, &mut *self.transaction()) {
            open.failed = false;
        }
        Ok(Reply::Done(command.tag, None))
    }

    fn commit_writes(&self, transaction: &Transaction) -> Result<bool, SqlError> {
        let mut node = self.shared.node();
        if !self.is_intact(transaction, &node) {
            return Err(SqlError::aborted());
        }
        if transaction.writer {
            node.commit(self.id)?;
        }
        Ok(transaction.writer)
    }

    /// Spends the time of a statement, or defers it to the end of the open write transaction.
    async fn spend_statement_time(&self) {
        let time = self.shared.options.statement_time;
        let deferred = self.shared.node().is_writer(self.id);
        if let (true, Some(open)) = (deferred, &mut *self.transaction()) {
            open.deferred_time += time;
        }
        let extra = self.shared.faults.duration(Fault::SlowStatementMs);
        let immediate = if deferred { extra } else { time + extra };
        self.shared.occupy_slot(immediate).await;
        self.shared.faults.wait_unfrozen().await;
    }

    /// Returns an error for a statement in a transaction that has failed or was aborted.
    fn check_transaction(&self, command: &Command) -> Result<(), SqlError> {
        let ends_transaction = matches!(
            command.action,
            Action::Commit | Action::Rollback | Action::Savepoint { rolls_back: true }
        );
        let is_fault_call =
            matches!(&command.action, Action::Call(call) if call.function == Function::Fault);
        if ends_transaction || is_fault_call {
            return Ok(());
        }
        let node = self.shared.node();
        match &*self.transaction() {
            Some(open) if open.failed => Err(SqlError::failed_transaction()),
            Some(open) if !self.is_intact(open, &node) => Err(SqlError::aborted()),
            _ => Ok(()),
        }
    }

    /// Checks that the upstream hasn't aborted a transaction.
    fn is_intact(&self, open: &Transaction, node: &Node) -> bool {
        open.epoch == node.epoch() && (!open.writer || node.is_writer(self.id))
    }

    fn is_counted(&self) -> bool {
        self.counted.load(Ordering::SeqCst)
    }

    /// Marks the open transaction as failed if the result is an error.
    fn fail_on_error<T>(&self, result: Result<T, SqlError>) -> Result<T, SqlError> {
        if result.is_err() {
            self.mark_failed();
        }
        result
    }

    fn transaction(&self) -> MutexGuard<'_, Option<Transaction>> {
        self.transaction
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.end_batch();
        self.shared.node().rollback(self.id);
        if self.is_counted() {
            self.shared.connections.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
