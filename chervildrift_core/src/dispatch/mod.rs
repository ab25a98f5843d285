//! Admission control and scheduling of the statements of one upstream.
//!
//! A job is admitted only if it is expected to finish before its deadline. The next free slot goes
//! to a rank that is below its guaranteed share of slot time, otherwise to the most urgent rank.
//! Within a rank the kinds share the slots by weight, within a kind the organisations take turns, and
//! within an organisation its callers. A caller of no organisation has a turn of its own.

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
mod start_interval;
mod usage;

pub use self::job::{Completion, Job, JobId, JobIds, Load, RankLoad, Refusal};
pub use self::policy::{DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, KindPolicy, Policy};
pub use self::scheduler::Scheduler;
