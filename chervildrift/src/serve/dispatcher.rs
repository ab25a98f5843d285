//! Dispatcher of one upstream: its connections, slots, queues and open transactions.

use std::collections::HashMap;
use std::time::Duration;

use chervildrift_core::config::{Declaration, UpstreamSpec};
use chervildrift_core::dispatch::{self, JobId, KindPolicy, Policy, Scheduler};
use chervildrift_core::transaction::{Limits, TransactionId, Transactions};
use chervildrift_core::types::{Caller, GroupId, Rank, Time};
use tokio::task::AbortHandle;

use super::task::{OpenTransaction, Task};
use crate::peer::message::{Load, Request, TransactionStep};
use crate::peer::{Reply, ReplyState};
use crate::upstream::{Login, Pool};
use crate::work::Reason;

/// Connections of an upstream that are reserved for status reads and orders of all candidates.
const CONTROL_CONNECTIONS: usize = 6;

/// Maximum number of queued jobs of each rank per slot.
const QUEUED_JOBS_PER_SLOT: usize = 200;

/// Estimated service time of a kind until its first statement has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Fraction of all slot time that may stay idle to keep a slot free of long bulk statements.
const IDLE_RESERVE_FRACTION: f64 = 0.1;

/// Maximum time between two statements of a transaction.
const TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Callback that sends a reply to the entry, on this VM or another.
pub(super) type ReplyCallback = Box<dyn FnOnce(Reply) + Send>;

/// Request that is queued or running at a dispatcher.
#[derive(derive_more::Debug)]
pub(super) struct Job {
    pub request: Request,
    pub step: Option<TransactionStep>,
    pub deadline: Time,
    /// Work of the job; none once it has started.
    pub task: Option<Task>,
    /// Time at which the work was started.
    pub sent_at: Time,
    /// Handle that aborts the work; none before it has started.
    pub abort_handle: Option<AbortHandle>,
    #[debug("..")]
    pub reply: ReplyCallback,
}

/// Transaction that is open at a dispatcher.
#[derive(Debug)]
pub(super) struct TransactionHandle {
    pub caller: Caller,
    /// None while a step of the transaction is queued or running.
    pub idle: Option<OpenTransaction>,
}

/// Dispatcher of one upstream.
#[derive(Debug)]
pub(super) struct Dispatcher {
    pub spec: UpstreamSpec,
    pub group: GroupId,
    /// Index of the upstream in its group.
    pub index: usize,
    pub scheduler: Scheduler,
    pub pool: Pool,
    pub jobs: HashMap<JobId, Job>,
    /// Limits and idle times of the open transactions.
    pub transactions: Transactions,
    /// Callers and connections of the open transactions.
    pub open_transactions: HashMap<TransactionId, TransactionHandle>,
    /// Time of the last request, from which the idle timeout is measured.
    pub last_request: Time,
}

impl Dispatcher {
    /// Creates the dispatcher of the upstream at `index` of a group.
    pub(super) fn new(
        declaration: &Declaration,
        group: GroupId,
        index: usize,
        spec: &UpstreamSpec,
        login: &Login,
    ) -> Self {
        let connections = request_connections(spec);
        Self {
            spec: spec.clone(),
            group,
            index,
            scheduler: Scheduler::new(&scheduling_policy(declaration, spec)),
            pool: Pool::new(spec.address, login, connections),
            jobs: HashMap::new(),
            transactions: Transactions::new(&transaction_limits(spec)),
            open_transactions: HashMap::new(),
            last_request: Time::default(),
        }
    }

    /// Applies a new declaration to the queues and limits.
    pub(super) fn apply_declaration(
        &mut self,
        now: Time,
        declaration: &Declaration,
        spec: &UpstreamSpec,
    ) {
        self.scheduler
            .apply(now, &scheduling_policy(declaration, spec));
        self.transactions.apply(&transaction_limits(spec));
        self.spec = spec.clone();
    }

    /// Returns whether no job is queued or running and no transaction is open.
    pub(super) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.open_transactions.is_empty()
    }

    /// Returns the expected time in queue and in service of new work of each rank, in milliseconds.
    pub(super) fn load(&self) -> Load {
        let load = self.scheduler.load();
        Rank::ALL.map(|rank| {
            let rank = load.rank(rank);
            let total = rank.wait + rank.service;
            u32::try_from(total.as_millis()).unwrap_or(u32::MAX)
        })
    }
}

fn request_connections(spec: &UpstreamSpec) -> usize {
    let slots = usize::from(spec.slots);
    usize::from(spec.connections)
        .saturating_sub(CONTROL_CONNECTIONS)
        .max(slots)
}

fn scheduling_policy(declaration: &Declaration, spec: &UpstreamSpec) -> Policy {
    let slots = usize::from(spec.slots);
    let guaranteed_shares =
        Rank::ALL.map(|rank| f64::from(declaration.floors.percent(rank)) / 100.0);
    let kinds = declaration.kinds.iter().map(|kind| KindPolicy {
        kind: kind.name.clone(),
        rank: kind.rank,
        weight: f64::from(kind.share),
        concurrency: kind.concurrency.map_or(usize::MAX, usize::from),
        service_time: INITIAL_SERVICE_TIME,
    });
    Policy {
        slots,
        queue_limits: [slots * QUEUED_JOBS_PER_SLOT; Rank::COUNT],
        guaranteed_shares,
        kinds: kinds.collect(),
        usage_window: dispatch::DEFAULT_USAGE_WINDOW,
        reserved_share: IDLE_RESERVE_FRACTION,
        ramp: dispatch::DEFAULT_RAMP,
        adaptive: true,
    }
}

/// Limits open transactions to the connections beyond the slots.
///
/// Running statements need a connection for each slot; the ranks share the rest.
fn transaction_limits(spec: &UpstreamSpec) -> Limits {
    let spare = request_connections(spec).saturating_sub(usize::from(spec.slots));
    let tenths = |parts: usize| (spare * parts / 10).max(1);
    Limits {
        idle_timeout: TRANSACTION_IDLE_TIMEOUT,
        connections: [tenths(5), tenths(3), tenths(2)],
    }
}

/// Builds the state of a request that was not run.
pub(super) fn not_run(reason: Reason) -> ReplyState {
    ReplyState::NotRun {
        reason: reason.to_string(),
    }
}
