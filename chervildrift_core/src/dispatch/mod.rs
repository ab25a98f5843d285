//! Queues and slots of one upstream.
//!
//! The scheduler decides at once whether a job can be run before its deadline and which waiting job
//! gets the next free slot. A rank below its floor of slot time goes first, otherwise the most
//! urgent rank does; within a rank the kinds share by weight, and within a kind the callers take
//! turns.

mod admission;
mod gate;
mod job;
mod kind_queue;
mod kind_set;
mod kind_state;
mod latest_starts;
mod list_arena;
mod policy;
mod scheduler;
mod selection;
mod service_time;
mod usage;

pub use self::job::{Completion, Job, JobId, JobIds, Load, RankLoad, Refusal};
pub use self::policy::{DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, KindPolicy, Policy};
pub use self::scheduler::Scheduler;
