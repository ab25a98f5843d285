//! Options and limits of peer links.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::types::Vm;

use super::FleetKey;

/// Shortest period of a timer.
const LEAST_PERIOD: Duration = Duration::from_millis(1);

/// Settings of the peer links of one VM.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// Name of this VM.
    pub name: Vm,
    /// Key of the fleet.
    pub key: FleetKey,
    /// Limits of links and connections.
    pub limits: Limits,
}

/// Limits of links and connections.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Threads that share the links.
    pub threads: usize,
    /// Calls in flight on one link.
    pub calls: usize,
    /// Time for the connection and the hello of an outgoing link.
    pub opening: Duration,
    /// Time for which a failed opening answers further calls.
    pub refusal: Duration,
    /// Time without a call after which an outgoing link is closed.
    pub idle: Duration,
    /// Time between pings while calls are in flight.
    pub ping: Duration,
    /// Age of an unanswered ping at which the peer counts as unresponsive.
    pub silence: Duration,
    /// Time for the hello of an inbound connection.
    pub hello: Duration,
    /// Inbound connections of one thread without a completed hello.
    pub half_open: usize,
    /// Version that this VM states in its hello.
    pub version: u32,
}

impl Limits {
    /// Raises periods of timers and counts that must not be zero.
    #[must_use]
    pub(super) fn raised(self) -> Self {
        Self {
            threads: self.threads.max(1),
            calls: self.calls.max(1),
            half_open: self.half_open.max(1),
            ping: self.ping.max(LEAST_PERIOD),
            idle: self.idle.max(LEAST_PERIOD),
            ..self
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: 3,
            calls: 4096,
            opening: Duration::from_millis(600),
            refusal: Duration::from_millis(100),
            idle: Duration::from_secs(30),
            ping: Duration::from_millis(200),
            silence: Duration::from_millis(600),
            hello: Duration::from_secs(1),
            half_open: 256,
            version: super::peer_capnp::VERSION,
        }
    }
}
