//! Settings of one VM.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::{Caller, Service, Vm, Zone};

/// Settings of one VM, as in its settings file.
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
    /// Link to the other VMs.
    pub peers: Peers,
    /// The platform.
    pub platform: Platform,
    /// Keys of the fleet.
    pub keys: Keys,
    /// Callers and the hashes of their credentials.
    #[serde(default)]
    pub credentials: Vec<Credential>,
    /// Login at the upstreams.
    #[serde(default)]
    pub upstreams: UpstreamLogin,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Planned stop.
    #[serde(default)]
    pub stop: Stop,
}

/// Listener for callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Worker threads of the listener.
    #[serde(default = "Callers::threads")]
    pub threads: usize,
    /// Connections that are open at a time.
    #[serde(default = "Callers::connections")]
    pub connections: usize,
    /// Time within which a request's head and body must arrive.
    #[serde(default = "Callers::receive_ms")]
    pub receive_ms: u64,
    /// Time after which an idle connection is closed.
    #[serde(default = "Callers::idle_ms")]
    pub idle_ms: u64,
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
}

/// Listener for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Links to the other VMs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on, for TCP links and for UDP membership messages.
    pub listen: SocketAddr,
    /// Addresses of VMs to join by when the platform is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the platform's service.
    pub address: SocketAddr,
}

/// Keys that all VMs of the fleet share.
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

/// A caller and the hash of its credential.
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
    /// Password, if the upstreams ask for one.
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

/// Logs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Least severe level that is written.
    #[serde(default)]
    pub level: LogLevel,
    /// Format of a line.
    #[serde(default)]
    pub format: LogFormat,
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Breaches of an invariant.
    Critical,
    /// Failures that need an operator.
    Error,
    /// Failures that the system handles.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Every request.
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// Planned stop.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time between the end of readiness and the close of the callers' listener.
    #[serde(default = "Stop::ready_ms")]
    pub ready_ms: u64,
    /// Time that open transactions get to finish.
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
