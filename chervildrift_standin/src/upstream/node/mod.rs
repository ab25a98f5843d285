//! State of an upstream: its role, terms, log and databases.
//!
//! The log follows the rules of Raft without elections: a fence is granted once per term, only the
//! promoter that fenced may promote, and a replica whose last entry isn't in the log of its primary
//! truncates its log to the common prefix.
//!
//! Two databases hold the same state. The one open write transaction runs on `uncommitted`, and
//! everything else reads `committed`, so that no reader sees uncommitted changes.

mod replication;
mod statements;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, watch};

use super::activity::Activity;
use super::database::Database;
use super::log::{Entry, Log, LogPosition, Statement};

pub(in crate::upstream) use self::replication::Lags;

/// Term of the first primary of a group.
const FIRST_TERM: i64 = 1;

/// Role of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary, or waits for an order to do so.
    Replica,
}

/// State of an upstream as its status read shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Term of the fence: the upstream refuses lower terms.
    pub fence_term: i64,
    /// Position of the last entry of the log.
    pub received: LogPosition,
    /// Position of the last entry that reads can see.
    pub applied: LogPosition,
    /// Time since the last successful pull from a primary.
    pub since_pull: Option<Duration>,
}

/// Primary that a replica pulls from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::upstream) struct PullSource {
    pub address: String,
}

/// The one open write transaction.
#[derive(Debug)]
struct WriteTransaction {
    session: u64,
    activity: Arc<Activity>,
    statements: Vec<Statement>,
    /// Returned when the transaction ends, which lets the next writer in.
    _permit: OwnedSemaphorePermit,
}

/// State of an upstream, protected by one lock.
#[derive(Debug)]
pub(in crate::upstream) struct Node {
    role: Role,
    fence_term: i64,
    fenced_by: Option<String>,
    log: Log,
    applied_count: usize,
    /// Pulled entries that the receive lag still delays, with their time of arrival.
    pending: VecDeque<(Instant, Entry)>,
    /// Times of receipt of the last log entries, which the apply lag still delays.
    receipt_times: VecDeque<Instant>,
    last_pull: Option<Instant>,
    source: watch::Sender<Option<PullSource>>,
    /// Position of the last log entry, for pulls that wait for new entries.
    tail: watch::Sender<LogPosition>,
    /// Incremented to abort open transactions.
    epoch: u64,
    writer: Option<WriteTransaction>,
    committed: Database,
    uncommitted: Database,
}

impl Node {
    /// Opens a replica with an empty log.
    pub fn open() -> Result<Self, rusqlite::Error> {
        Ok(Self {
            role: Role::Replica,
            fence_term: 0,
            fenced_by: None,
            log: Log::default(),
            applied_count: 0,
            pending: VecDeque::new(),
            receipt_times: VecDeque::new(),
            last_pull: None,
            source: watch::Sender::new(None),
            tail: watch::Sender::new(LogPosition::default()),
            epoch: 0,
            writer: None,
            committed: Database::open()?,
            uncommitted: Database::open()?,
        })
    }

    /// Makes the upstream the first primary of its group.
    pub fn start_primary(&mut self) {
        self.fence_term = FIRST_TERM;
        self.become_primary(FIRST_TERM);
    }

    /// Returns the state for a status read.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            fence_term: self.fence_term,
            received: self.log.last_position(),
            applied: self.log.last_position_of(self.applied_count),
            since_pull: self.last_pull.map(|at| at.elapsed()),
        }
    }

    /// Returns the epoch, which changes when open transactions are aborted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Subscribes to changes of the primary that the upstream follows.
    pub fn watch_source(&self) -> watch::Receiver<Option<PullSource>> {
        self.source.subscribe()
    }

    /// Subscribes to the position of the last log entry.
    pub fn watch_tail(&self) -> watch::Receiver<LogPosition> {
        self.tail.subscribe()
    }

    /// Grants a fence once per term, and again if the same promoter repeats the request.
    pub fn fence(&mut self, term: i64, promoter: &str) -> bool {
        if term > self.fence_term {
            self.raise_fence(term);
            self.fenced_by = Some(promoter.to_owned());
            return true;
        }
        self.is_fenced_by(term, promoter)
    }

    /// Promotes the upstream if this promoter holds the fence of this term.
    pub fn promote(&mut self, term: i64, promoter: &str) -> bool {
        if !self.is_fenced_by(term, promoter) {
            return false;
        }
        if self.role == Role::Replica {
            self.become_primary(term);
        }
        true
    }

    /// Starts to pull from a primary, unless its term is too low.
    pub fn follow(&mut self, address: &str, term: i64) -> bool {
        let is_primary = self.role == Role::Primary;
        if term < self.fence_term || (is_primary && term == self.fence_term) {
            return false;
        }
        if term > self.fence_term {
            self.raise_fence(term);
        }
        let address = address.to_owned();
        let next = Some(PullSource { address });
        // A repeated order must not interrupt the active pull.
        self.source.send_if_modified(|source| {
            let changed = *source != next;
            source.clone_from(&next);
            changed
        });
        true
    }

    fn is_fenced_by(&self, term: i64, promoter: &str) -> bool {
        term == self.fence_term && self.fenced_by.as_deref() == Some(promoter)
    }

    /// Raises the fence to a term, drops pending entries and demotes a primary.
    fn raise_fence(&mut self, term: i64) {
        self.fence_term = term;
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
        self.last_pull = None;
        self.source.send_replace(None);
        self.append(term, Vec::new());
    }

    fn append(&mut self, term: i64, statements: Vec<Statement>) {
        self.log.append(term, statements);
        self.applied_count = self.log.len();
        self.tail.send_replace(self.log.last_position());
    }

    fn abort_transactions(&mut self) {
        self.epoch += 1;
        self.rollback_writer();
    }

    fn rollback_writer(&mut self) {
        if self.writer.take().is_some() {
            // The rollback fails if SQLite has already ended the transaction itself.
            drop(self.uncommitted.run("ROLLBACK"));
        }
    }
}
