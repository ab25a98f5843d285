//! A VM that relays callers' sessions to the upstreams of the platform.
//!
//! One thread owns all state. Each caller has a task that reads its statements and runs them on
//! connections that all sessions share; further tasks follow the platform's store, sample the
//! leaders' logs and replace leaders that are dead or leave.

mod answer;
mod claims;
mod clock;
mod confirm;
mod error;
mod failover;
mod keeper;
mod lines;
mod link;
mod listener;
mod metrics;
mod node;
mod orders;
mod peers;
mod pool;
mod presence;
mod replicas;
mod session;
mod single;
mod start;
mod stop;
mod succession;
mod transaction;
mod turn;
mod watch;

pub use self::error::Error;
pub use self::start::run;
