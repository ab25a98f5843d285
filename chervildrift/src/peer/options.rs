//! Settings and limits of peer links.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::types::Vm;

use super::FleetKey;

/// Minimum period of a timer.
const MIN_PERIOD: Duration = Duration::from_millis(1);

/// Settings of the peer links of one VM.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 selects a free port.
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
    /// Number of peer threads.
    pub threads: usize,
    /// Maximum number of calls in flight on one link.
    pub max_calls: usize,
    /// Time limit for connecting an outgoing link, including the handshake.
    pub connect_timeout: Duration,
    /// Time during which further calls fail at once after a failure to connect.
    pub connect_backoff: Duration,
    /// Time without a call after which an outgoing link is closed.
    pub idle_timeout: Duration,
    /// Interval between pings while calls are in flight.
    pub ping_interval: Duration,
    /// Time after which the peer of an unanswered ping counts as unresponsive.
    pub ping_timeout: Duration,
    /// Time limit for the handshake of an inbound connection.
    pub handshake_timeout: Duration,
    /// Maximum number of inbound connections of one thread that are in the handshake.
    pub max_half_open: usize,
    /// Protocol version that this VM states in the handshake.
    pub version: u32,
}

impl Limits {
    /// Raises timer periods and counts that must not be zero to their minimum.
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
            handshake_timeout: Duration::from_secs(1),
            max_half_open: 256,
            version: super::peer_capnp::VERSION,
        }
    }
}
