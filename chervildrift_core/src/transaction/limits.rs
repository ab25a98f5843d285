//! Open transactions of one upstream and their limits.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::{Display, From, Into};
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::invariant;
use crate::types::{Rank, Time};

/// Id of an open transaction, unique within its dispatcher.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
pub struct TransactionId(pub u64);

/// Limits on the open transactions of one upstream.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum time between two statements of a transaction.
    pub idle_timeout: Duration,
    /// Maximum connections held by open transactions of each rank, indexed like [`Rank::ALL`].
    pub connections: [usize; Rank::COUNT],
}

quick_error! {
    /// Reason why a transaction or one of its statements is refused; nothing was run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The open transactions of the rank hold all connections available to it.
        RankFull(rank: Rank, limit: usize) {
            display("not run: open {rank} transactions hold all {limit} connections of the rank")
        }
        /// A transaction with this id is already open.
        DuplicateId(id: TransactionId) {
            display("not run: transaction {id} is already open")
        }
        /// No such transaction is open; it may have been idle for too long.
        NotOpen(id: TransactionId) {
            display("not run: transaction {id} is not open")
        }
        /// A statement of the transaction is still running.
        Busy(id: TransactionId) {
            display("not run: transaction {id} is running a statement")
        }
    }
}

#[derive(Clone, Debug)]
struct OpenTransaction {
    rank: Rank,
    /// Time at which an idle transaction expires; `None` while a statement runs.
    expiry: Option<Time>,
}

/// Open transactions of one upstream.
#[derive(Clone, Debug)]
pub struct Transactions {
    limits: Limits,
    open: HashMap<TransactionId, OpenTransaction>,
    expiries: BTreeSet<(Time, TransactionId)>,
    connections: [usize; Rank::COUNT],
}

impl Transactions {
    /// Creates the record of an upstream without open transactions.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            open: HashMap::new(),
            expiries: BTreeSet::new(),
            connections: [0; Rank::COUNT],
        }
    }

    /// Replaces the limits; open transactions stay open.
    pub fn apply(&mut self, limits: &Limits) {
        self.limits = limits.clone();
    }

    /// Opens a transaction, which is idle until its first statement.
    pub fn begin(&mut self, now: Time, id: TransactionId, rank: Rank) -> Result<(), Refusal> {
        if self.open.contains_key(&id) {
            return Err(Refusal::DuplicateId(id));
        }
        let limit = self.limits.connections[rank.index()];
        if self.connections[rank.index()] >= limit {
            return Err(Refusal::RankFull(rank, limit));
        }
        let expiry = now + self.limits.idle_timeout;
        self.connections[rank.index()] += 1;
        self.expiries.insert((expiry, id));
        self.open.insert(
            id,
            OpenTransaction {
                rank,
                expiry: Some(expiry),
            },
        );
        Ok(())
    }

    /// Marks a transaction as running a statement.
    pub fn start_statement(&mut self, now: Time, id: TransactionId) -> Result<(), Refusal> {
        let transaction = self.open.get_mut(&id).ok_or(Refusal::NotOpen(id))?;
        let expiry = transaction.expiry.ok_or(Refusal::Busy(id))?;
        // An expired transaction must be rolled back even if `expire` was not called in time.
        if expiry <= now {
            return Err(Refusal::NotOpen(id));
        }
        transaction.expiry = None;
        self.expiries.remove(&(expiry, id));
        Ok(())
    }

    /// Marks a transaction as idle after a statement.
    pub fn finish_statement(&mut self, now: Time, id: TransactionId) {
        let Some(transaction) = self.open.get_mut(&id) else {
            return;
        };
        if transaction.expiry.is_some() {
            invariant::breach("transaction-rest", "the transaction runs no statement");
            return;
        }
        let expiry = now + self.limits.idle_timeout;
        transaction.expiry = Some(expiry);
        self.expiries.insert((expiry, id));
    }

    /// Closes a transaction after a commit, a rollback or the loss of its connection.
    pub fn close(&mut self, id: TransactionId) -> bool {
        let Some(transaction) = self.open.remove(&id) else {
            return false;
        };
        if let Some(expiry) = transaction.expiry {
            self.expiries.remove(&(expiry, id));
        }
        self.release_connection(transaction.rank);
        true
    }

    /// Closes the transactions that were idle for too long; the caller has to roll them back.
    pub fn expire(&mut self, now: Time) -> SmallVec<[TransactionId; 4]> {
        let mut expired = SmallVec::new();
        while self.next_expiry().is_some_and(|due| due <= now) {
            let Some((_, id)) = self.expiries.pop_first() else {
                break;
            };
            self.close(id);
            expired.push(id);
        }
        expired
    }

    /// Returns the time at which the next idle transaction expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Returns the number of connections held by the open transactions of `rank`.
    #[must_use]
    pub const fn connections(&self, rank: Rank) -> usize {
        self.connections[rank.index()]
    }

    fn release_connection(&mut self, rank: Rank) {
        let connections = &mut self.connections[rank.index()];
        if *connections == 0 {
            invariant::breach("transaction-held", "rank released too many connections");
        }
        *connections = connections.saturating_sub(1);
    }
}
