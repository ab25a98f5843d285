//! A small fake of one database group, its candidates and its writers, in virtual time.
//!
//! It stands at the interfaces of `group`, `failover` and `route` only: upstreams that answer
//! status, fence, promote, follow, pull and write, VMs that run the core's decisions, and a network
//! with delays, cuts, losses, freezes and crashes. A run is repeated exactly by its seed.

mod callers;
mod deliver;
mod fault;
mod ledger;
mod message;
mod network;
mod node;
mod outage;
mod queue;
mod vm;
mod world;
mod write;

pub use self::fault::{Fault, Faults};
pub use self::ledger::{Change, Ledger};
pub use self::message::{Entry, Party, Reply, Request};
pub use self::network::{Deployment, Network};
pub use self::node::Node;
pub use self::vm::{Rule, VmState};
pub use self::world::{Options, World};
