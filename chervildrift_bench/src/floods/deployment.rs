//! Current sizes of the two deployments and the work they serve.

use std::time::Duration;

use chervildrift_core::dispatch::{DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, KindPolicy, Policy};
use chervildrift_core::types::{Kind, Rank};
use clap::ValueEnum;

/// Deployments that can be modelled.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DeploymentName {
    /// Booking pool for farms' machines.
    Federation,
    /// Quotes for polishing workshops.
    Barnizados,
}

/// Sizes of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// VMs that take requests.
    pub entries: usize,
    /// Upstreams, each with a dispatcher of its own.
    pub upstreams: usize,
    /// Callers.
    pub callers: u64,
    /// One-way delay between an entry and a dispatcher.
    pub hop_delay: Duration,
    /// Time from a request's arrival to its deadline, by rank.
    pub deadlines: [Duration; Rank::COUNT],
    /// Kinds of work.
    pub work_kinds: Vec<WorkKind>,
    /// Dispatch policy of each upstream.
    pub policy: Policy,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub struct WorkKind {
    /// Name of the kind.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Share of the rank's requests.
    pub share: f64,
    /// Mean service time.
    pub service_time: Duration,
    /// Statements of the kind that may run at once.
    pub concurrency: usize,
}

impl Deployment {
    /// Returns the mean service time of a rank in seconds.
    pub fn mean(&self, rank: Rank) -> f64 {
        let work_kinds = self.work_kinds.iter().filter(|work| work.rank == rank);
        work_kinds
            .map(|work| work.share * work.service_time.as_secs_f64())
            .sum()
    }

    /// Returns the deployment with the service times of bulk work multiplied by `factor`.
    pub fn stretch_bulk(&self, factor: u32) -> Self {
        let mut stretched = self.clone();
        for (work, kind_policy) in stretched
            .work_kinds
            .iter_mut()
            .zip(&mut stretched.policy.kinds)
        {
            if work.rank == Rank::Bulk {
                work.service_time *= factor;
                kind_policy.service_time *= factor;
            }
        }
        stretched
    }

    /// Returns the total number of slots of all upstreams.
    pub fn slots(&self) -> f64 {
        (self.upstreams * self.policy.slots) as f64
    }
}

/// Returns the sizes of a deployment.
pub fn sizes(name: DeploymentName) -> Deployment {
    match name {
        DeploymentName::Federation => federation(),
        DeploymentName::Barnizados => barnizados(),
    }
}

fn federation() -> Deployment {
    let work_kinds = vec![
        work("confirm", Rank::Urgent, 0.7, 4, 5),
        work("accept", Rank::Urgent, 0.3, 5, 5),
        work("edit", Rank::Routine, 0.7, 6, 5),
        work("plan", Rank::Routine, 0.3, 8, 5),
        work("browse", Rank::Bulk, 0.85, 8, 5),
        work("report", Rank::Bulk, 0.15, 20, 1),
    ];
    Deployment {
        entries: 9,
        upstreams: 9,
        callers: 3_000,
        hop_delay: Duration::from_millis(1),
        deadlines: [500, 1_000, 2_000].map(Duration::from_millis),
        policy: policy(5, &work_kinds),
        work_kinds,
    }
}

fn barnizados() -> Deployment {
    let work_kinds = vec![
        work("accept", Rank::Urgent, 1.0, 5, 3),
        work("edit", Rank::Routine, 1.0, 7, 3),
        work("browse", Rank::Bulk, 0.85, 8, 3),
        work("history", Rank::Bulk, 0.15, 20, 1),
    ];
    Deployment {
        entries: 7,
        upstreams: 9,
        callers: 1_200,
        hop_delay: Duration::from_micros(500),
        deadlines: [500, 1_000, 2_000].map(Duration::from_millis),
        policy: policy(3, &work_kinds),
        work_kinds,
    }
}

fn work(name: &str, rank: Rank, share: f64, service_ms: u64, concurrency: usize) -> WorkKind {
    WorkKind {
        kind: Kind::from(name),
        rank,
        share,
        service_time: Duration::from_millis(service_ms),
        concurrency,
    }
}

fn policy(slots: usize, work_kinds: &[WorkKind]) -> Policy {
    Policy {
        slots,
        queue_limits: [400, 300, 300],
        guaranteed_shares: [0.30, 0.20, 0.15],
        kinds: work_kinds.iter().map(kind_policy).collect(),
        usage_window: DEFAULT_USAGE_WINDOW,
        reserved_share: 0.1,
        ramp: DEFAULT_RAMP,
        adaptive: true,
    }
}

fn kind_policy(work: &WorkKind) -> KindPolicy {
    KindPolicy {
        concurrency: work.concurrency,
        ..KindPolicy::new(work.kind.clone(), work.rank, work.service_time)
    }
}
