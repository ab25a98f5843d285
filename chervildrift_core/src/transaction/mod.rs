//! Limits on open transactions: maximum idle time, and connections held per rank.
//!
//! A transaction holds a connection from begin to end, but a slot only while one of its statements
//! runs, so slots and queues alone do not bound the connections in use.

mod limits;

pub use self::limits::{Limits, Refusal, TransactionId, Transactions};
