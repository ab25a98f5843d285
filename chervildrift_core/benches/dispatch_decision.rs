//! Cost of a decision: submit, next and finish of one job while many others wait.

use std::hint::black_box;
use std::time::Duration;

use chervildrift_core::dispatch::{
    Finish, Job, JobId, KindPolicy, Policy, RAMP, Scheduler, WINDOW,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Caller, Kind, Rank, Time};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SLOTS: usize = 5;
const CALLERS: u64 = 5_000;
const KINDS: usize = 12;
const SERVICE_US: u64 = 10;
const DEADLINE: Duration = Duration::from_secs(10);

struct Load {
    scheduler: Scheduler,
    kinds: Vec<Kind>,
    callers: Vec<Caller>,
    rng: Rng,
    number: u64,
    now: Time,
    running: Vec<JobId>,
}

impl Load {
    fn open(queued: u64) -> Self {
        let kinds: Vec<Kind> = (0..KINDS)
            .map(|at| Kind::from(format!("kind-{at}")))
            .collect();
        let callers = (0..CALLERS).map(|at| Caller::from(format!("caller-{at}")));
        let mut load = Self {
            scheduler: Scheduler::open(&policy(&kinds)),
            callers: callers.collect(),
            kinds,
            rng: Rng::new(1),
            number: 0,
            now: Time(0),
            running: Vec::new(),
        };
        while load.number < queued {
            load.submit();
        }
        for _ in 0..SLOTS {
            load.start();
        }
        load
    }

    fn submit(&mut self) {
        self.number += 1;
        let caller = self.rng.below(CALLERS) as usize;
        let kind = self.rng.below(KINDS as u64) as usize;
        let spread = self.rng.jitter(DEADLINE);
        let job = Job {
            id: JobId(self.number),
            kind: self.kinds[kind].clone(),
            caller: self.callers[caller].clone(),
            deadline: self.now + DEADLINE + spread,
        };
        let taken = self.scheduler.submit(self.now, job);
        assert!(taken.is_ok(), "{taken:?}");
    }

    fn start(&mut self) {
        let started = self.scheduler.next(self.now);
        self.running.extend(started);
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_micros(SERVICE_US);
        self.submit();
        let slot = self.rng.below(self.running.len() as u64) as usize;
        let id = self.running.swap_remove(slot);
        self.scheduler.finish(self.now, id, Finish::Done);
        self.start();
    }
}

fn policy(kinds: &[Kind]) -> Policy {
    let service = Duration::from_micros(SERVICE_US * SLOTS as u64);
    let rules = |(at, kind): (usize, &Kind)| {
        KindPolicy::new(kind.clone(), Rank::ALL[at % Rank::COUNT], service)
    };
    Policy {
        slots: SLOTS,
        queue_limits: [usize::MAX / 8; Rank::COUNT],
        floors: [0.3, 0.2, 0.2],
        kinds: kinds.iter().enumerate().map(rules).collect(),
        window: WINDOW,
        reserve: 0.1,
        ramp: RAMP,
        adaptive: true,
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatch_decision");
    for queued in [10, 1_000, 100_000] {
        let mut load = Load::open(queued);
        group.bench_function(BenchmarkId::new("submit_next_finish", queued), |bencher| {
            bencher.iter(|| load.step());
        });
        group.bench_function(BenchmarkId::new("load", queued), |bencher| {
            bencher.iter(|| black_box(load.scheduler.load()));
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
