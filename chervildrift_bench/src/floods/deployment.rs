//! Current sizes of the two deployments and the work they serve.

use std::time::Duration;

use chervildrift_core::dispatch::{DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, KindPolicy, Policy};
use chervildrift_core::types::{Kind, Rank};
use clap::ValueEnum;

/// Deployments that can be modelled.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Name {
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
    pub hop: Duration,
    /// Time from a request's arrival to its deadline, by rank.
    pub deadlines: [Duration; Rank::COUNT],
    /// Kinds of work.
    pub works: Vec<Work>,
    /// Rules of each upstream.
    pub policy: Policy,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub struct Work {
    /// Name of the kind.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Part of the rank's requests.
    pub part: f64,
    /// Mean service time.
    pub service: Duration,
    /// Statements of the kind that may run at once.
    pub concurrency: usize,
}

impl Deployment {
    /// Returns the mean service time of a rank in seconds.
    pub fn mean(&self, rank: Rank) -> f64 {
        let works = self.works.iter().filter(|work| work.rank == rank);
        works
            .map(|work| work.part * work.service.as_secs_f64())
            .sum()
    }

    /// Returns the deployment with the service times of bulk work multiplied.
    pub fn stretch(&self, factor: u32) -> Self {
        let mut stretched = self.clone();
        for (work, rules) in stretched.works.iter_mut().zip(&mut stretched.policy.kinds) {
            if work.rank == Rank::Bulk {
                work.service *= factor;
                rules.service_time *= factor;
            }
        }
        stretched
    }

    /// Returns the slots of all upstreams.
    pub fn slots(&self) -> f64 {
        (self.upstreams * self.policy.slots) as f64
    }
}

/// Returns the sizes of a deployment.
pub fn of(name: Name) -> Deployment {
    match name {
        Name::Federation => federation(),
        Name::Barnizados => barnizados(),
    }
}

fn federation() -> Deployment {
    let works = vec![
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
        hop: Duration::from_millis(1),
        deadlines: [500, 1_000, 2_000].map(Duration::from_millis),
        policy: policy(5, &works),
        works,
    }
}

fn barnizados() -> Deployment {
    let works = vec![
        work("accept", Rank::Urgent, 1.0, 5, 3),
        work("edit", Rank::Routine, 1.0, 7, 3),
        work("browse", Rank::Bulk, 0.85, 8, 3),
        work("history", Rank::Bulk, 0.15, 20, 1),
    ];
    Deployment {
        entries: 7,
        upstreams: 9,
        callers: 1_200,
        hop: Duration::from_micros(500),
        deadlines: [500, 1_000, 2_000].map(Duration::from_millis),
        policy: policy(3, &works),
        works,
    }
}

fn work(name: &str, rank: Rank, part: f64, service_ms: u64, concurrency: usize) -> Work {
    Work {
        kind: Kind::from(name),
        rank,
        part,
        service: Duration::from_millis(service_ms),
        concurrency,
    }
}

fn policy(slots: usize, works: &[Work]) -> Policy {
    Policy {
        slots,
        queue_limits: [400, 300, 300],
        guaranteed_shares: [0.30, 0.20, 0.15],
        kinds: works.iter().map(rules).collect(),
        usage_window: DEFAULT_USAGE_WINDOW,
        reserved_share: 0.1,
        ramp: DEFAULT_RAMP,
        adaptive: true,
    }
}

fn rules(work: &Work) -> KindPolicy {
    KindPolicy {
        concurrency: work.concurrency,
        ..KindPolicy::new(work.kind.clone(), work.rank, work.service)
    }
}
