//! VM that relays the sessions of callers to the platform's upstreams.
//!
//! A single thread owns all state. Each caller has a task that reads its statements and runs them
//! on connections shared by all sessions. Further tasks follow the platform's store, sample the log
//! positions of the leaders, and replace leaders that have failed or are leaving.

mod clock;
mod connections;
mod error;
mod fleet;
mod groups;
mod line_codec;
mod log_quotas;
mod metrics;
mod node;
mod quotas;
mod routing;
mod sessions;
mod start;
mod stop;

pub use self::error::Error;
pub use self::start::run;
