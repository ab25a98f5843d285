//! Options and limits of peer links.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::types::Vm;

use super::FleetKey;

/// Shortest period of a timer.
const MIN_PERIOD: Duration = Duration::from_millis(1);

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
    pub max_calls: usize,
    /// Time for the connection and the hello of an outgoing link.
    pub connect_timeout: Duration,
    /// Time for which a failed opening answers further calls.
    pub connect_backoff: Duration,
    /// Time without a call after which an outgoing link is closed.
    pub idle_timeout: Duration,
    /// Time between pings while calls are in flight.
    pub ping_interval: Duration,
    /// Age of an unanswered ping at which the peer counts as unresponsive.
    pub ping_timeout: Duration,
    /// Time for the hello of an inbound connection.
    pub hello_timeout: Duration,
    /// Inbound connections of one thread without a completed hello.
    pub max_half_open: usize,
    /// Version that this VM states in its hello.
    pub version: u32,
}

impl Limits {
    /// Raises periods of timers and counts that must not be zero.
    #[must_use]
    pub(super) fn clamped(self) -> Self {
        Self {
            threads: self.threads.max(1),
            max_calls: self.max_calls.max(1),
            max_half_open: self.max_half_open.max(1),
            ping_interval: self.ping_interval.max(MIN_PERIOD),
            idle_timeout: self.idle_timeout.max(MIN_PERIOD),
            ..self
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: 3,
            max_calls: 4096,
            connect_timeout: Duration::from_millis(600),
            connect_backoff: Duration::from_millis(100),
            idle_timeout: Duration::from_secs(30),
            ping_interval: Duration::from_millis(200),
            ping_timeout: Duration::from_millis(600),
            hello_timeout: Duration::from_secs(1),
            max_half_open: 256,
            version: super::peer_capnp::VERSION,
        }
    }
}
