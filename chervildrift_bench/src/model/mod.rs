//! Simulation of one database group, its candidates for leader and its callers in virtual time.
//!
//! It only simulates what the core's `group`, `failover` and `route` modules need: upstreams that
//! answer status, fence, promote, follow, pull and write, VMs that run the core's decisions, and a
//! network with delays, cuts, losses, freezes and crashes. The same seed repeats a run exactly.

mod callers;
mod fault;
mod fault_injection;
mod ledger;
mod message;
mod network;
mod queue;
mod tasks;
mod upstream;
mod vm;
mod world;
mod write;

pub use self::fault::{Fault, FaultGenerator};
pub use self::ledger::{Ledger, PrimaryChange};
pub use self::message::{Entry, Party, Reply, Request};
pub use self::network::{Deployment, Network};
pub use self::upstream::FakeUpstream;
pub use self::vm::{FakeVm, Rule};
pub use self::world::{Options, World};
