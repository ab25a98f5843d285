//! Decision logic of the proxy, free of input and output.
//!
//! Every state machine takes the current time and an event and returns actions. Sockets, files and
//! timers live in the `chervildrift` program, so a test can drive any schedule of events and replay
//! it exactly.

pub mod burn;
pub mod config;
pub mod dispatch;
pub mod failover;
pub mod generation;
pub mod group;
pub mod invariant;
pub mod limit;
pub mod membership;
pub mod placement;
pub mod quota;
pub mod relay;
pub mod rng;
pub mod route;
pub mod token;
pub mod trace;
pub mod transaction;
pub mod types;
