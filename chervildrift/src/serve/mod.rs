//! One VM: an event loop that owns all state, and the I/O tasks and listeners around it.

mod admission;
mod burn;
mod clock;
mod completion;
mod dispatcher;
mod entry;
mod error;
mod fleet;
mod forwarding;
mod group;
mod group_cache;
mod jobs;
mod node;
mod replies;
mod start;
mod stop;
mod task;
mod telemetry;
mod trace_writer;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use chervildrift_core::dispatch::JobId;
use chervildrift_core::failover::Event;
use chervildrift_core::generation::{self, BundleHash};
use chervildrift_core::membership::Seed;
use chervildrift_core::types::{GroupId, Time, Upstream};
use tokio::sync::oneshot;

use crate::gossip::Datagram;
use crate::metrics::Metrics;
use crate::peer;
use crate::peer::message::{GroupState, Inbound, Reply};
use crate::work::{Call, CallResult};

pub use self::error::Error;
pub use self::fleet::{HEAD_KEY, HEAD_TABLE};
pub use self::start::{Handle, spawn};

/// Period of the event loop's ticks.
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Time without requests after which a dispatcher that is no longer assigned to a VM is closed.
const DISPATCHER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Input of the event loop.
#[derive(Debug)]
enum Input {
    /// Call of a caller.
    Call(Call, oneshot::Sender<CallResult>),
    /// Call of another VM.
    PeerCall(Inbound),
    /// Result of an attempt, with the identifier of the call and the number of the attempt.
    AttemptResult(u64, u64, Result<Reply, peer::Error>),
    /// State of a group that a dispatcher reported, and the time of the request for it.
    GroupState(GroupId, Time, Option<GroupState>),
    /// Result of a job at an upstream.
    JobResult(Upstream, JobId, Box<task::TaskResult>),
    /// Result of a status read or an order.
    GroupEvent(GroupId, Event),
    /// Membership message.
    Datagram(Datagram),
    /// Result of a read of the platform's head record.
    HeadRecord(generation::Event),
    /// Result of fetching the bundle with this hash; none if it is not available.
    BundleBody(BundleHash, Option<generation::Body>),
    /// Platform's list of VMs: seeds of the membership, and names that are leaving.
    VmList(Vec<Seed>, Vec<String>),
    /// Result of a read or write of a snapshot of the burn rate counters.
    BurnEvent(chervildrift_core::burn::Event),
    /// Start of a planned stop.
    Leave,
    /// End of a planned stop, after the callers' listener; the reply tells whether no work is left.
    Stop(oneshot::Sender<bool>),
}

/// Burn rate report as JSON and as text.
#[derive(Debug, Default)]
struct BurnReport {
    json: Vec<u8>,
    text: Vec<u8>,
}

/// State that the event loop shares with the listeners' threads.
#[derive(Debug)]
struct SharedState {
    ready: AtomicBool,
    /// Time of the last tick, in microseconds since the start.
    last_tick: AtomicU64,
    metrics: Metrics,
    /// Whether another process has taken this VM's name.
    replaced: AtomicBool,
    /// Latest burn rate report.
    burn: Mutex<BurnReport>,
}
