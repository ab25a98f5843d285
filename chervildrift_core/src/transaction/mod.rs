//! Limits on open transactions: how long one may rest and how many connections a rank may hold.
//!
//! A transaction holds a connection from its start to its end but a slot only while one of its
//! statements runs, so slots and queues alone do not bound the connections held.

mod limits;

pub use self::limits::{Limits, Refusal, TransactionId, Transactions};
