//! VM that relays the sessions of callers to the platform's upstreams.
//!
//! A single thread owns all state. Each caller has a task that reads its statements and runs them
//! on connections shared by all sessions. Further tasks follow the platform's store, sample the log
//! positions of the leaders, and replace leaders that have failed or are leaving.

mod attempts;
mod autocommit;
mod checkout;
mod clock;
mod confirm;
mod connection;
mod error;
mod failover;
mod holder;
mod leader_monitor;
mod leases;
mod line_codec;
mod link;
mod listener;
mod log_quotas;
mod metrics;
mod node;
mod orders;
mod peers;
mod pool;
mod presence;
mod remote;
mod replicas;
mod response;
mod selection;
mod session;
mod start;
mod stop;
mod store_feed;
mod transaction;
mod view;

pub use self::error::Error;
pub use self::start::run;
