//! Execution of the statements of sessions, and the open write transaction.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;

use super::super::activity::Activity;
use super::super::database::{Database, Description, StatementResult};
use super::super::error::SqlError;
use super::super::log::Statement;
use super::super::sql::Command;
use super::super::value::Value;
use super::{Node, Role, WriteTransaction};

impl Node {
    /// Describes a statement on the database that the session uses.
    pub fn describe(&self, session: u64, command: &Command) -> Result<Arc<Description>, SqlError> {
        self.database(session).describe(command)
    }

    /// Checks whether a statement writes.
    pub fn is_write(&self, session: u64, command: &Command) -> Result<bool, SqlError> {
        self.database(session).is_write(&command.sql)
    }

    /// Runs a read, in the write transaction of the session if it has one.
    pub fn read(
        &self,
        session: u64,
        command: &Command,
        params: &[Value],
    ) -> Result<StatementResult, SqlError> {
        self.database(session).execute(&command.sql, params)
    }

    /// Returns an error unless the upstream is the primary.
    pub fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::read_only()),
        }
    }

    /// Checks whether the session has the open write transaction.
    pub fn is_writer(&self, session: u64) -> bool {
        self.writer
            .as_ref()
            .is_some_and(|writer| writer.session == session)
    }

    /// Opens the write transaction of a session.
    pub fn begin(
        &mut self,
        session: u64,
        activity: &Arc<Activity>,
        permit: OwnedSemaphorePermit,
    ) -> Result<(), SqlError> {
        self.check_writable()?;
        self.uncommitted.run("BEGIN")?;
        self.writer = Some(WriteTransaction {
            session,
            activity: Arc::clone(activity),
            statements: Vec::new(),
            _permit: permit,
        });
        Ok(())
    }

    /// Runs a statement in the write transaction of the session and records it for the log.
    pub fn write(
        &mut self,
        session: u64,
        command: &Command,
        params: &[Value],
    ) -> Result<StatementResult, SqlError> {
        let writer = self.writer.as_mut().filter(|w| w.session == session);
        let writer = writer.ok_or_else(SqlError::aborted)?;
        let outcome = self.uncommitted.execute(&command.sql, params)?;
        writer.statements.push(Statement {
            sql: command.sql.to_string(),
            params: params.to_vec(),
        });
        Ok(outcome)
    }

    /// Commits the write transaction of the session and appends it to the log as one entry.
    pub fn commit(&mut self, session: u64) -> Result<(), SqlError> {
        if !self.is_writer(session) {
            return Err(SqlError::aborted());
        }
        let Some(writer) = self.writer.take() else {
            return Err(SqlError::aborted());
        };
        let committed = self.committed.apply(&writer.statements);
        let end = if committed.is_ok() {
            "COMMIT"
        } else {
            "ROLLBACK"
        };
        self.uncommitted.run(end)?;
        committed?;
        if !writer.statements.is_empty() {
            self.append(self.fence_term, writer.statements);
        }
        Ok(())
    }

    /// Rolls back the write transaction of the session, if it has one.
    pub fn rollback(&mut self, session: u64) {
        if self.is_writer(session) {
            self.rollback_writer();
        }
    }

    /// Aborts the open write transaction if it has been idle for longer than the limit.
    pub fn abort_idle_writer(&mut self, limit: Duration) {
        let idle = |writer: &WriteTransaction| writer.activity.idle_time() > limit;
        if self.writer.as_ref().is_some_and(idle) {
            self.rollback_writer();
        }
    }

    fn database(&self, session: u64) -> &Database {
        if self.is_writer(session) {
            &self.uncommitted
        } else {
            &self.committed
        }
    }
}
