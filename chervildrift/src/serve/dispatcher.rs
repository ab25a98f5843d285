//! Dispatcher of one upstream: its connections, slots, queues and open transactions.

use std::collections::HashMap;
use std::time::Duration;

use chervildrift_core::config::{Declaration, UpstreamSpec};
use chervildrift_core::dispatch::{self, JobId, KindPolicy, Policy, Scheduler};
use chervildrift_core::transaction::{Limits, TransactionId, Transactions};
use chervildrift_core::types::{Caller, GroupId, Rank, Time};
use tokio::task::AbortHandle;

use super::task::{OpenTransaction, Task};
use crate::peer::message::{Load, Request, Step};
use crate::peer::{Reply, State};
use crate::upstream::{Login, Pool};
use crate::work::Reason;

/// Connections of an upstream that are kept for status reads and orders of all candidates.
const CONTROL_CONNECTIONS: usize = 6;

/// Waiting jobs of each rank for each slot.
const QUEUE_PER_SLOT: usize = 200;

/// Service time that is expected of a kind before its first statement has finished.
const FIRST_SERVICE: Duration = Duration::from_millis(5);

/// Part of all slot time that may stay idle to keep a slot free of long bulk statements.
const RESERVE: f64 = 0.1;

/// Longest time between two statements of a transaction.
const TRANSACTION_IDLE: Duration = Duration::from_secs(5);

/// Takes the reply to a request, wherever the request came from.
pub(super) type ReplyTo = Box<dyn FnOnce(Reply) + Send>;

/// A request that waits or runs here.
#[derive(derive_more::Debug)]
pub(super) struct Job {
    pub request: Request,
    pub step: Option<Step>,
    pub deadline: Time,
    /// Work that still has to start.
    pub task: Option<Task>,
    /// Time at which the work was handed to the upstream.
    pub sent: Time,
    /// Ends work that runs at the upstream.
    pub running: Option<AbortHandle>,
    #[debug("..")]
    pub reply: ReplyTo,
}

/// A transaction that is open here.
#[derive(Debug)]
pub(super) struct Held {
    pub caller: Caller,
    /// None while a statement of it runs.
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
    pub transactions: Transactions,
    pub held: HashMap<TransactionId, Held>,
    /// Time of the last request, after which a dispatcher that is no longer chosen is closed.
    pub used: Time,
}

impl Dispatcher {
    /// Opens the dispatcher of the upstream at `index` of a group.
    pub(super) fn open(
        declaration: &Declaration,
        group: GroupId,
        index: usize,
        spec: &UpstreamSpec,
        login: &Login,
    ) -> Self {
        let connections = connections(spec);
        Self {
            spec: spec.clone(),
            group,
            index,
            scheduler: Scheduler::open(&policy(declaration, spec)),
            pool: Pool::open(spec.address, login, connections),
            jobs: HashMap::new(),
            transactions: Transactions::new(&limits(spec)),
            held: HashMap::new(),
            used: Time::default(),
        }
    }

    /// Applies a new declaration to the queues and limits.
    pub(super) fn apply(&mut self, now: Time, declaration: &Declaration, spec: &UpstreamSpec) {
        self.scheduler.apply(now, &policy(declaration, spec));
        self.transactions.apply(&limits(spec));
        self.spec = spec.clone();
    }

    /// Tells whether nothing waits, runs or is held open here.
    pub(super) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.held.is_empty()
    }

    /// Returns the time that new work of each rank takes until its answer, in milliseconds.
    pub(super) fn load(&self) -> Load {
        let load = self.scheduler.load();
        Rank::ALL.map(|rank| {
            let rank = load.rank(rank);
            let answered = rank.wait + rank.service;
            u32::try_from(answered.as_millis()).unwrap_or(u32::MAX)
        })
    }
}

fn connections(spec: &UpstreamSpec) -> usize {
    let slots = usize::from(spec.slots);
    usize::from(spec.connections)
        .saturating_sub(CONTROL_CONNECTIONS)
        .max(slots)
}

fn policy(declaration: &Declaration, spec: &UpstreamSpec) -> Policy {
    let slots = usize::from(spec.slots);
    let floors = Rank::ALL.map(|rank| f64::from(declaration.floors.percent(rank)) / 100.0);
    let kinds = declaration.kinds.iter().map(|kind| KindPolicy {
        kind: kind.name.clone(),
        rank: kind.rank,
        share: f64::from(kind.share),
        concurrency: kind.concurrency.map_or(usize::MAX, usize::from),
        service: FIRST_SERVICE,
    });
    Policy {
        slots,
        queue_limits: [slots * QUEUE_PER_SLOT; Rank::COUNT],
        floors,
        kinds: kinds.collect(),
        window: dispatch::WINDOW,
        reserve: RESERVE,
        ramp: dispatch::RAMP,
        adaptive: true,
    }
}

/// Limits open transactions to the connections beyond the slots.
///
/// Running statements need a connection for each slot; what is left is divided by rank.
fn limits(spec: &UpstreamSpec) -> Limits {
    let spare = connections(spec).saturating_sub(usize::from(spec.slots));
    let tenths = |parts: usize| (spare * parts / 10).max(1);
    Limits {
        idle_timeout: TRANSACTION_IDLE,
        connections: [tenths(5), tenths(3), tenths(2)],
    }
}

/// Builds the state of a request that was not run.
pub(super) fn not_run(reason: Reason) -> State {
    State::NotRun {
        reason: reason.to_string(),
    }
}
