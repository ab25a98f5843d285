//! Adapter to the upstreams over `PostgreSQL`'s wire protocol.
//!
//! Only this module contains the statements for status, fencing, promotion and following, and for
//! the table of idempotency records. To support another database, only this module must change.

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
