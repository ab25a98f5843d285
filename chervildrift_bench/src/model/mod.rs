//! A small fake of one database group, its candidates and its writers, in virtual time.
//!
//! It stands at the interfaces of `group`, `failover` and `route` only: upstreams that answer
//! status, fence, promote, follow, pull and write, VMs that run the core's decisions, and a network
//! with delays, cuts, losses, freezes and crashes. A run is repeated exactly by its seed.

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
