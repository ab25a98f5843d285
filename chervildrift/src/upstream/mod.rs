//! Adapter to the upstreams over `PostgreSQL`'s wire protocol.
//!
//! This module alone knows the statements for status, fence, promotion and following, and the
//! table of idempotency records. Another database needs this module and nothing else.

mod connection;
mod control;
mod error;
mod pool;
mod read;
mod sql;
mod value;
mod write;

pub use self::connection::{Connection, Login};
pub use self::control::{Control, OrderReply};
pub use self::error::Error;
pub use self::pool::{Pool, PooledConnection};
pub use self::read::{ReadResult, read};
pub use self::value::Statement;
pub use self::write::{
    CommittedWrite, IdempotencyRecord, WriteOutcome, begin_transaction, commit, execute, resolve,
    rollback, write,
};
