//! Settings file of one VM.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::{Caller, Service, Vm, Zone};

/// Settings file of one VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Listener for callers.
    pub callers: Callers,
    /// Listener for operators.
    pub operators: Operators,
    /// Listener for other VMs, and the VMs to join.
    pub peers: Peers,
    /// Table service and object store of the platform.
    pub platform: Platform,
    /// Keys that all VMs share.
    pub keys: Keys,
    /// Callers and the hashes of their credentials.
    #[serde(default)]
    pub credentials: Vec<Credential>,
    /// Login at the upstreams.
    #[serde(default)]
    pub upstreams: UpstreamLogin,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Planned shutdown.
    #[serde(default)]
    pub stop: Stop,
}

/// Listener for callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "Callers::threads")]
    pub threads: usize,
    /// Maximum number of open connections.
    #[serde(default = "Callers::connections")]
    pub connections: usize,
    /// Time within which the head and body of a request must arrive, in milliseconds.
    #[serde(default = "Callers::receive_ms")]
    pub receive_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    #[serde(default = "Callers::idle_ms")]
    pub idle_ms: u64,
    /// Time without progress after which an answer that a caller doesn't read is given up, in
    /// milliseconds.
    #[serde(default = "Callers::unread_ms")]
    pub unread_ms: u64,
    /// Memory of the VM, in MiB; a quarter of it is for the bodies of requests.
    #[serde(default = "Callers::memory_mb")]
    pub memory_mb: usize,
}

impl Callers {
    const fn threads() -> usize {
        2
    }

    const fn connections() -> usize {
        10_000
    }

    const fn receive_ms() -> u64 {
        5_000
    }

    const fn idle_ms() -> u64 {
        15_000
    }

    /// Longer than callers wait for an answer, and than a network fault lasts.
    const fn unread_ms() -> u64 {
        30_000
    }

    /// Memory of the smallest VM that the program was first planned for.
    const fn memory_mb() -> usize {
        512
    }
}

/// Listener for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Listener for other VMs, and the VMs to join.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on, for TCP connections and for UDP membership messages.
    pub listen: SocketAddr,
    /// Addresses of VMs to join the fleet through when the platform is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Table service and object store of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of both services.
    pub address: SocketAddr,
}

/// Keys that all VMs share.
#[derive(Clone, Deserialize, Serialize, derive_more::Debug)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Key that authenticates VMs to each other, in hexadecimal.
    #[debug("...")]
    pub fleet_hex: String,
    /// Key that authenticates session tokens, in hexadecimal.
    #[debug("...")]
    pub session_hex: String,
}

/// Caller and the hash of its credential.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// Name of the caller.
    pub caller: Caller,
    /// Service that the caller may use.
    pub service: Service,
    /// SHA-256 of the bearer credential, in hexadecimal.
    pub sha256_hex: String,
}

/// Login at the upstreams.
#[derive(Clone, Deserialize, Serialize, derive_more::Debug)]
#[serde(deny_unknown_fields)]
pub struct UpstreamLogin {
    /// User name.
    #[serde(default = "UpstreamLogin::name")]
    pub user: String,
    /// Password, if the upstreams require one.
    #[debug("...")]
    #[serde(default)]
    pub password: Option<String>,
    /// Database name.
    #[serde(default = "UpstreamLogin::name")]
    pub database: String,
}

impl UpstreamLogin {
    fn name() -> String {
        "chervildrift".to_owned()
    }
}

impl Default for UpstreamLogin {
    fn default() -> Self {
        Self {
            user: Self::name(),
            password: None,
            database: Self::name(),
        }
    }
}

/// Logging.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Lowest severity that is logged.
    #[serde(default)]
    pub level: LogLevel,
    /// Format of a log line.
    #[serde(default)]
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Violated invariants.
    Critical,
    /// Failures that require an operator.
    Error,
    /// Failures that the system handles itself.
    Warning,
    /// State changes.
    #[default]
    Info,
    /// Every request.
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Terminal,
}

/// Planned shutdown.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time between the end of readiness and the close of the callers' listener, in milliseconds.
    #[serde(default = "Stop::ready_ms")]
    pub ready_ms: u64,
    /// Time that open transactions get to finish, in milliseconds.
    #[serde(default = "Stop::drain_ms")]
    pub drain_ms: u64,
}

impl Stop {
    const fn ready_ms() -> u64 {
        2_000
    }

    const fn drain_ms() -> u64 {
        10_000
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            ready_ms: Self::ready_ms(),
            drain_ms: Self::drain_ms(),
        }
    }
}
