//! One VM of the system: an event loop that owns all state, and the sockets round it.

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

/// Time for which a dispatcher that is no longer chosen keeps its connections.
const DISPATCHER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the event loop is told.
#[derive(Debug)]
enum Input {
    /// A caller's call.
    Call(Call, oneshot::Sender<CallResult>),
    /// A call of another VM.
    PeerCall(Inbound),
    /// The end of a try of a call, by the call's identifier and the number of the try.
    AttemptResult(u64, u64, Result<Reply, peer::Error>),
    /// The state of a group as a dispatcher told it, and when it was asked.
    GroupState(GroupId, Time, Option<GroupState>),
    /// The end of a job at an upstream.
    JobResult(Upstream, JobId, Box<task::TaskResult>),
    /// The end of a status read or an order.
    GroupEvent(GroupId, Event),
    /// A membership message.
    Datagram(Datagram),
    /// The end of a read of the platform's head record.
    HeadRecord(generation::Event),
    /// A bundle by its hash; none when it could not be had.
    BundleBody(BundleHash, Option<generation::Body>),
    /// The platform's list of VMs: seeds, and names that are leaving.
    VmList(Vec<Seed>, Vec<String>),
    /// The end of a read or write of a burn snapshot.
    BurnEvent(chervildrift_core::burn::Event),
    /// A planned stop begins.
    Leave,
    /// All callers have their answers; the reply tells whether all other work has ended too.
    Stop(oneshot::Sender<bool>),
}

/// Report on service-level burn in both of its forms.
#[derive(Debug, Default)]
struct BurnReport {
    json: Vec<u8>,
    text: Vec<u8>,
}

/// What the listeners' threads share with the event loop.
#[derive(Debug)]
struct SharedState {
    ready: AtomicBool,
    /// Time of the last tick, in microseconds since the start.
    last_tick: AtomicU64,
    metrics: Metrics,
    /// Whether another process has taken this VM's name.
    replaced: AtomicBool,
    /// Report on service-level burn.
    burn: Mutex<BurnReport>,
}
