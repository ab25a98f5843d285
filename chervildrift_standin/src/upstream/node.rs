//! State of one upstream: its role, terms, log and databases.
//!
//! The log rules are those of Raft without its elections: a fence is granted once a term, only
//! the promoter that fenced may promote, and a replica whose last entry is not in its primary's
//! log truncates back to the common prefix.
//!
//! Two databases hold the same state. Open write transactions run on `work`, one at a time, and
//! everything else reads `committed`, so that no reader sees uncommitted changes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, watch};

use super::activity::Activity;
use super::database::{Database, Description, Outcome};
use super::error::SqlError;
use super::log::{Entry, Log, Mark, Statement};
use super::sql::Command;
use super::value::Value;

/// Term that a group's first primary starts in.
const FIRST_TERM: i64 = 1;

/// Entries that are applied without giving the lock away.
const APPLY_LIMIT: usize = 256;

/// Role of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary, or waits to be told to.
    Replica,
}

/// State of an upstream as its status read shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Highest term that the upstream was fenced at.
    pub fenced: i64,
    /// Last entry of the log.
    pub received: Mark,
    /// Last entry that reads can see.
    pub applied: Mark,
    /// Time since the last successful pull from a primary.
    pub heard: Option<Duration>,
}

/// Primary that a replica pulls from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Source {
    pub address: String,
}

/// The one open write transaction.
#[derive(Debug)]
struct Writer {
    session: u64,
    activity: Arc<Activity>,
    statements: Vec<Statement>,
    /// Returned when the transaction ends, which lets the next writer in.
    _permit: OwnedSemaphorePermit,
}

/// Lags of a replica, read from its faults at each use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lags {
    pub receive: Duration,
    pub apply: Duration,
}

/// Whole state of an upstream, behind one lock.
#[derive(Debug)]
pub(super) struct Node {
    role: Role,
    fenced: i64,
    fenced_by: Option<String>,
    log: Log,
    applied: usize,
    /// Pulled entries that the receive lag still holds back, with their time of arrival.
    pending: VecDeque<(Instant, Entry)>,
    /// Times of receipt of the last entries of the log, which the apply lag still holds back.
    lagging: VecDeque<Instant>,
    heard: Option<Instant>,
    source: watch::Sender<Option<Source>>,
    /// Mark of the log's end, for pulls that wait for new entries.
    tail: watch::Sender<Mark>,
    /// Changes whenever open transactions must end.
    epoch: u64,
    writer: Option<Writer>,
    committed: Database,
    work: Database,
}

impl Node {
    /// Opens a replica with an empty log.
    pub fn open() -> Result<Self, rusqlite::Error> {
        Ok(Self {
            role: Role::Replica,
            fenced: 0,
            fenced_by: None,
            log: Log::default(),
            applied: 0,
            pending: VecDeque::new(),
            lagging: VecDeque::new(),
            heard: None,
            source: watch::Sender::new(None),
            tail: watch::Sender::new(Mark::default()),
            epoch: 0,
            writer: None,
            committed: Database::open()?,
            work: Database::open()?,
        })
    }

    /// Makes the upstream the first primary of its group.
    pub fn start_primary(&mut self) {
        self.fenced = FIRST_TERM;
        self.become_primary(FIRST_TERM);
    }

    /// Returns the state for a status read.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            fenced: self.fenced,
            received: self.log.last(),
            applied: self.log.mark_of(self.applied),
            heard: self.heard.map(|heard| heard.elapsed()),
        }
    }

    /// Returns the number that changes whenever open transactions must end.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Observes the primary that the upstream is told to follow.
    pub fn watch_source(&self) -> watch::Receiver<Option<Source>> {
        self.source.subscribe()
    }

    /// Observes the end of the log.
    pub fn watch_tail(&self) -> watch::Receiver<Mark> {
        self.tail.subscribe()
    }

    /// Grants a fence once a term; a repeat by the same promoter is granted again.
    pub fn fence(&mut self, term: i64, promoter: &str) -> bool {
        if term > self.fenced {
            self.raise_fence(term);
            self.fenced_by = Some(promoter.to_owned());
            return true;
        }
        self.is_fenced_by(term, promoter)
    }

    /// Promotes the upstream if this promoter fenced it at this term.
    pub fn promote(&mut self, term: i64, promoter: &str) -> bool {
        if !self.is_fenced_by(term, promoter) {
            return false;
        }
        if self.role == Role::Replica {
            self.become_primary(term);
        }
        true
    }

    /// Starts to pull from a primary of at least this term.
    pub fn follow(&mut self, address: &str, term: i64) -> bool {
        let is_primary = self.role == Role::Primary;
        if term < self.fenced || (is_primary && term == self.fenced) {
            return false;
        }
        if term > self.fenced {
            self.raise_fence(term);
        }
        let address = address.to_owned();
        let next = Some(Source { address });
        // A repeated order must not interrupt the pull that it asks for.
        self.source.send_if_modified(|source| {
            let changed = *source != next;
            source.clone_from(&next);
            changed
        });
        true
    }

    fn is_fenced_by(&self, term: i64, promoter: &str) -> bool {
        term == self.fenced && self.fenced_by.as_deref() == Some(promoter)
    }

    /// Refuses everything below a term from now on.
    fn raise_fence(&mut self, term: i64) {
        self.fenced = term;
        self.fenced_by = None;
        self.pending.clear();
        if self.role == Role::Primary {
            self.role = Role::Replica;
            self.abort_transactions();
        }
    }

    fn become_primary(&mut self, term: i64) {
        self.pending.clear();
        self.apply_all();
        self.abort_transactions();
        self.role = Role::Primary;
        self.heard = None;
        self.source.send_replace(None);
        self.append(term, Vec::new());
    }

    fn append(&mut self, term: i64, statements: Vec<Statement>) {
        self.log.append(term, statements);
        self.applied = self.log.len();
        self.tail.send_replace(self.log.last());
    }

    fn abort_transactions(&mut self) {
        self.epoch += 1;
        self.drop_writer();
    }

    fn drop_writer(&mut self) {
        if self.writer.take().is_some() {
            // A transaction that SQLite has already ended itself has nothing left to roll back.
            drop(self.work.run("ROLLBACK"));
        }
    }
}

/// Statements of sessions.
impl Node {
    /// Describes a statement as the session would see it.
    pub fn describe(&self, session: u64, command: &Command) -> Result<Description, SqlError> {
        self.database(session).describe(command)
    }

    /// Tells whether a statement writes.
    pub fn writes(&self, session: u64, command: &Command) -> Result<bool, SqlError> {
        self.database(session).writes(&command.sql)
    }

    /// Runs a read, within the session's write transaction if it has one.
    pub fn read(
        &self,
        session: u64,
        command: &Command,
        params: &[Value],
    ) -> Result<Outcome, SqlError> {
        self.database(session).execute(&command.sql, params)
    }

    /// Refuses a write unless the upstream is the primary.
    pub fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::read_only()),
        }
    }

    /// Tells whether the session has the open write transaction.
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
        self.work.run("BEGIN")?;
        self.writer = Some(Writer {
            session,
            activity: Arc::clone(activity),
            statements: Vec::new(),
            _permit: permit,
        });
        Ok(())
    }

    /// Runs a statement in the session's write transaction and keeps it for the log.
    pub fn write(
        &mut self,
        session: u64,
        command: &Command,
        params: &[Value],
    ) -> Result<Outcome, SqlError> {
        let writer = self.writer.as_mut().filter(|w| w.session == session);
        let writer = writer.ok_or_else(SqlError::aborted)?;
        let outcome = self.work.execute(&command.sql, params)?;
        writer.statements.push(Statement {
            sql: command.sql.to_string(),
            params: params.to_vec(),
        });
        Ok(outcome)
    }

    /// Commits the session's write transaction as one entry of the log.
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
        self.work.run(end)?;
        committed?;
        if !writer.statements.is_empty() {
            self.append(self.fenced, writer.statements);
        }
        Ok(())
    }

    /// Rolls the session's write transaction back, if it has one.
    pub fn rollback(&mut self, session: u64) {
        if self.is_writer(session) {
            self.drop_writer();
        }
    }

    /// Aborts the open write transaction if it has run no statement for longer than the limit.
    pub fn abort_idle_writer(&mut self, limit: Duration) {
        let idle = |writer: &Writer| writer.activity.idle() > limit;
        if self.writer.as_ref().is_some_and(idle) {
            self.drop_writer();
        }
    }

    fn database(&self, session: u64) -> &Database {
        if self.is_writer(session) {
            &self.work
        } else {
            &self.committed
        }
    }
}

/// Replication.
impl Node {
    /// Returns the entries after the last common mark, if the upstream is a primary.
    pub fn entries_after(&self, mark: Mark, limit: usize) -> Option<(i64, Mark, &[Entry])> {
        if self.role != Role::Primary {
            return None;
        }
        let common = self.log.last_common(mark);
        Some((self.fenced, common, self.log.after(common.position, limit)))
    }

    /// Returns the mark after which the next pull continues.
    pub fn pulled(&self) -> Mark {
        let pending = self.pending.back().map(|(_, entry)| entry.mark);
        pending.unwrap_or_else(|| self.log.last())
    }

    /// Notes an answer of a primary, unless its term is below the fence.
    pub fn hear(&mut self, term: i64, now: Instant) -> bool {
        if self.role == Role::Primary || term < self.fenced {
            return false;
        }
        // From here on this term has a primary, so no other promoter may use it.
        self.fenced = term;
        self.fenced_by = None;
        self.heard = Some(now);
        true
    }

    /// Takes pulled entries that follow `common`; returns where to ask again on a mismatch.
    pub fn receive(&mut self, common: Mark, entries: Vec<Entry>, now: Instant) -> Option<Mark> {
        if common != self.pulled() {
            self.pending.clear();
            if !self.log.contains(common) {
                return Some(self.log.last_common(common));
            }
            self.truncate(common.position);
        }
        self.pending
            .extend(entries.into_iter().map(|entry| (now, entry)));
        None
    }

    fn truncate(&mut self, position: i64) {
        let before = self.log.len();
        self.log.truncate(position);
        let removed = before - self.log.len();
        self.lagging
            .truncate(self.lagging.len().saturating_sub(removed));
        if self.applied > self.log.len() {
            self.restart();
        }
        self.tail.send_replace(self.log.last());
    }

    /// Empties the databases, so that `advance` applies the whole log again.
    fn restart(&mut self) {
        self.abort_transactions();
        let databases = Database::open().and_then(|first| Ok((first, Database::open()?)));
        // Opening a database in memory fails only without memory, which nothing here outlives.
        if let Ok((committed, work)) = databases {
            self.committed = committed;
            self.work = work;
            self.applied = 0;
        }
    }

    /// Moves entries on whose lag has passed; returns when to call again.
    ///
    /// Applies a limited number of entries, so that status reads get their turn in between.
    pub fn advance(&mut self, now: Instant, lags: Lags) -> Option<Instant> {
        self.receive_due(now, lags.receive);
        while self
            .lagging
            .front()
            .is_some_and(|at| *at + lags.apply <= now)
        {
            self.lagging.pop_front();
        }
        let due = self.log.len() - self.lagging.len();
        let end = due.min(self.applied + APPLY_LIMIT);
        while self.applied < end {
            self.apply_next();
        }
        if self.applied < due {
            return Some(now);
        }
        let receive = self.pending.front().map(|(at, _)| *at + lags.receive);
        let apply = self.lagging.front().map(|at| *at + lags.apply);
        receive.into_iter().chain(apply).min()
    }

    fn receive_due(&mut self, now: Instant, lag: Duration) {
        let due = |(at, _): &(Instant, Entry)| *at + lag <= now;
        let count = self.pending.iter().take_while(|item| due(item)).count();
        if count == 0 {
            return;
        }
        for (_, entry) in self.pending.drain(..count) {
            if self.log.receive(entry) {
                self.lagging.push_back(now);
            }
        }
        self.tail.send_replace(self.log.last());
    }

    fn apply_all(&mut self) {
        self.lagging.clear();
        while self.applied < self.log.len() {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        if let Some(entry) = self.log.get(self.applied) {
            // The primary has run the same statements on the same state, so that a failure here
            // would be one of the stand-in itself; the entry then has no effect on both databases.
            drop(self.committed.apply(&entry.statements));
            drop(self.work.apply(&entry.statements));
        }
        self.applied += 1;
    }
}
