//! One connection's transaction and the statements that it runs.

use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::activity::Activity;
use super::call;
use super::database::{Description, Outcome};
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
    /// Whether a statement has failed, so that only the end is taken.
    failed: bool,
    /// Whether the transaction was opened for reading only.
    read_only: bool,
    /// Whether the transaction has become the one writer.
    writer: bool,
    /// Statement time that is charged after the end.
    owed: Duration,
}

/// State of one connection.
#[derive(Debug)]
pub(super) struct Session {
    pub shared: Arc<Shared>,
    /// Asks the connection's task to close it at once.
    pub kill: Notify,
    /// Whether the connection counts against the limit.
    pub counted: AtomicBool,
    /// Whether the connection is one that switches faults.
    pub control: AtomicBool,
    id: u64,
    transaction: Mutex<Option<Transaction>>,
    activity: Arc<Activity>,
}

impl Session {
    /// Opens the state of a new connection.
    pub fn open(shared: Arc<Shared>) -> Self {
        Self {
            id: shared.next_session(),
            shared,
            kill: Notify::new(),
            counted: AtomicBool::new(false),
            control: AtomicBool::new(false),
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

    /// Starts a batch of statements, which the delay fault delays once.
    pub async fn start_batch(&self) {
        if self.activity.start() {
            if self.is_counted() {
                self.shared.busy.fetch_add(1, Ordering::SeqCst);
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
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Closes the connection without an answer.
    pub async fn close(&self) {
        self.kill.notify_one();
        pending::<()>().await;
    }

    /// Finds the parameter types and result columns of a statement.
    pub fn describe(&self, command: &Command) -> Result<Arc<Description>, SqlError> {
        let described = self
            .check_open(command)
            .and_then(|()| match &command.action {
                Action::Call(call) => Ok(call::describe(call)),
                Action::Query => self.shared.node().describe(self.id, command),
                _ => Ok(Arc::default()),
            });
        self.note(described)
    }

    /// Runs one statement.
    pub async fn run(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        let reply = match self.check_open(command) {
            Ok(()) => self.dispatch(command, params).await,
            Err(err) => Err(err),
        };
        self.note(reply)
    }

    /// Starts the transaction that surrounds several statements of one simple query.
    pub fn begin(&self) {
        let epoch = self.shared.node().epoch();
        let mut transaction = self.transaction();
        if transaction.is_none() {
            *transaction = Some(Transaction {
                epoch,
                failed: false,
                read_only: false,
                writer: false,
                owed: Duration::ZERO,
            });
        }
    }

    /// Ends the transaction, if there is one, without keeping its changes.
    pub async fn rollback(&self) {
        self.shared.node().rollback(self.id);
        let ended = self.transaction().take();
        let owed = ended.map(|ended| ended.owed).unwrap_or_default();
        self.shared.work(owed).await;
    }

    /// Commits the transaction; one that has failed is rolled back instead.
    pub async fn commit(&self) -> Result<Reply, SqlError> {
        let Some(ended) = self.transaction().take() else {
            return Ok(Reply::Ended("COMMIT"));
        };
        if ended.failed {
            self.shared.node().rollback(self.id);
            return Ok(Reply::Ended("ROLLBACK"));
        }
        let wrote = self.commit_writes(&ended)?;
        self.shared.work(ended.owed).await;
        if wrote {
            self.answer_or_drop().await;
        }
        Ok(Reply::Ended("COMMIT"))
    }

    /// Marks the open transaction as failed.
    pub fn fail(&self) {
        if let Some(open) = &mut *self.transaction() {
            open.failed = true;
        }
    }

    /// Loses the answer to a statement that took effect, if the fault says so.
    pub async fn answer_or_drop(&self) {
        if self.shared.faults.take_dropped_answer() {
            self.close().await;
        }
    }

    async fn dispatch(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        match &command.action {
            Action::Begin { read_only } => {
                self.begin();
                if let (true, Some(open)) = (*read_only, &mut *self.transaction()) {
                    open.read_only = true;
                }
                Ok(Reply::Started(command.tag))
            }
            Action::Commit => self.commit().await,
            Action::Rollback => {
                self.rollback().await;
                Ok(Reply::Ended("ROLLBACK"))
            }
            Action::Savepoint { back } => self.savepoint(command, *back).await,
            Action::Setting(tag) => Ok(Reply::Done(tag, None)),
            Action::Call(call) => call::run(self, call, params).await,
            Action::Query => self.query(command, params).await,
        }
    }

    async fn query(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        let writes = self.shared.node().writes(self.id, command)?;
        if writes {
            self.check_read_only()?;
            self.shared.node().check_writable()?;
            command.check_repeatable()?;
        }
        self.charge().await;
        let outcome = if !writes {
            self.shared.node().read(self.id, command, params)?
        } else if self.transaction().is_some() {
            self.write(command, params).await?
        } else {
            self.write_alone(command, params).await?
        };
        Ok(Reply::of(command, outcome))
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

    /// Runs a write as a transaction of its own.
    async fn write_alone(&self, command: &Command, params: &[Value]) -> Result<Outcome, SqlError> {
        let permit = self.shared.writer().await?;
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
        self.answer_or_drop().await;
        Ok(outcome)
    }

    /// Runs a write in the open transaction, which becomes the one writer first.
    async fn write(&self, command: &Command, params: &[Value]) -> Result<Outcome, SqlError> {
        let is_writer = self.transaction().as_ref().is_some_and(|open| open.writer);
        if !is_writer {
            self.become_writer().await?;
        }
        // Fails if the transaction has been aborted since.
        self.shared.node().write(self.id, command, params)
    }

    async fn become_writer(&self) -> Result<(), SqlError> {
        let permit = self.shared.writer().await?;
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

    /// Runs a savepoint statement, which has no effect where nothing can be written.
    async fn savepoint(&self, command: &Command, back: bool) -> Result<Reply, SqlError> {
        let writable = self.shared.node().check_writable().is_ok();
        if writable && self.transaction().is_some() {
            self.write(command, &[]).await?;
        }
        if let (true, Some(open)) = (back, &mut *self.transaction()) {
            open.failed = false;
        }
        Ok(Reply::Done(command.tag, None))
    }

    fn commit_writes(&self, ended: &Transaction) -> Result<bool, SqlError> {
        let mut node = self.shared.node();
        if !self.is_intact(ended, &node) {
            return Err(SqlError::aborted());
        }
        if ended.writer {
            node.commit(self.id)?;
        }
        Ok(ended.writer)
    }

    /// Takes the time of one statement, at once or on account of the open write transaction.
    async fn charge(&self) {
        let time = self.shared.options.statement_time;
        let deferred = self.shared.node().is_writer(self.id);
        if let (true, Some(open)) = (deferred, &mut *self.transaction()) {
            open.owed += time;
        }
        let slow = self.shared.faults.duration(Fault::SlowStatementMs);
        let now = if deferred { slow } else { time + slow };
        self.shared.work(now).await;
        self.shared.faults.thawed().await;
    }

    /// Refuses a statement in a transaction that has failed or was aborted.
    fn check_open(&self, command: &Command) -> Result<(), SqlError> {
        let ends = matches!(
            command.action,
            Action::Commit | Action::Rollback | Action::Savepoint { back: true }
        );
        let switches =
            matches!(&command.action, Action::Call(call) if call.function == Function::Fault);
        if ends || switches {
            return Ok(());
        }
        let node = self.shared.node();
        match &*self.transaction() {
            Some(open) if open.failed => Err(SqlError::failed_transaction()),
            Some(open) if !self.is_intact(open, &node) => Err(SqlError::aborted()),
            _ => Ok(()),
        }
    }

    /// Tells whether the upstream has not aborted a transaction.
    fn is_intact(&self, open: &Transaction, node: &Node) -> bool {
        open.epoch == node.epoch() && (!open.writer || node.is_writer(self.id))
    }

    fn is_counted(&self) -> bool {
        self.counted.load(Ordering::SeqCst)
    }

    /// Marks the open transaction as failed after an error.
    fn note<T>(&self, result: Result<T, SqlError>) -> Result<T, SqlError> {
        if result.is_err() {
            self.fail();
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
