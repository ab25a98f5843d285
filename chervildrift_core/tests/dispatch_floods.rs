//! Floods of one rank against the targets of the design page, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use chervildrift_core::dispatch::{
    Finish, Job, JobId, KindPolicy, Policy, RAMP, Scheduler, WINDOW,
};
use chervildrift_core::invariant;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Caller, Kind, Rank, Time};

const SLOTS: usize = 3;
const SECOND: u64 = 1_000_000;
const WARM: u64 = SECOND;
const END: u64 = 9 * SECOND;
/// Arrivals that are counted; the last of them are answered before the end.
const COUNTED: std::ops::Range<u64> = WARM..END - SECOND;
const FLOORS: [f64; Rank::COUNT] = [0.3, 0.2, 0.15];
const SERVICE_US: [u64; Rank::COUNT] = [5_000, 7_000, 9_000];
const DEADLINE_US: [u64; Rank::COUNT] = [500_000, 1_000_000, 2_000_000];

/// Work of one job; its rank and what has become of it.
struct Work {
    rank: usize,
    arrived: u64,
    started: Option<u64>,
}

#[derive(Default)]
struct Counts {
    offered: [u64; Rank::COUNT],
    served: [u64; Rank::COUNT],
    used: [u64; Rank::COUNT],
    good: u64,
    waits: Vec<u64>,
}

impl Counts {
    fn share(&self, rank: Rank) -> f64 {
        self.used[rank.index()] as f64 / (SLOTS as u64 * (END - WARM)) as f64
    }

    fn goodput(&self) -> f64 {
        self.good as f64 / (SLOTS as u64 * (END - WARM)) as f64
    }

    /// Returns the 99th percentile of the urgent latency.
    fn p99(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 99 / 100]
    }
}

fn policy(floors: [f64; Rank::COUNT]) -> Policy {
    let rules = |rank: Rank| {
        let service = Duration::from_micros(SERVICE_US[rank.index()]);
        KindPolicy::new(Kind::from(rank.to_string()), rank, service)
    };
    Policy {
        slots: SLOTS,
        queue_limits: [300; Rank::COUNT],
        floors,
        kinds: Rank::ALL.into_iter().map(rules).collect(),
        window: WINDOW,
        reserve: 0.1,
        ramp: RAMP,
        adaptive: true,
    }
}

/// Runs `loads` (shares of all slots) and applies `replaced` at the end of the warm-up.
fn run(loads: [f64; Rank::COUNT], replaced: Option<&Policy>) -> Counts {
    let mut rng = Rng::new(11);
    let mut scheduler = Scheduler::open(&policy(FLOORS));
    let mut counts = Counts::default();
    let mut works: HashMap<JobId, Work> = HashMap::new();
    let mut next = [0_u64; Rank::COUNT];
    let mut ends: BinaryHeap<Reverse<(u64, JobId)>> = BinaryHeap::new();
    let mut number = 0;
    let mut replaced = replaced;
    loop {
        let arrival = next.iter().copied().min().expect("there are ranks");
        let end = ends.peek().map_or(u64::MAX, |Reverse((end, _))| *end);
        let due = scheduler
            .due(Time(arrival.min(end)))
            .map_or(u64::MAX, |due| due.0);
        let now = arrival.min(end).min(due.max(1));
        if now >= END {
            break;
        }
        if now >= WARM
            && let Some(policy) = replaced.take()
        {
            scheduler.apply(Time(now), policy);
        }
        if end == now {
            let Some(Reverse((_, id))) = ends.pop() else {
                break;
            };
            let work = works.remove(&id).expect("a job ends once");
            scheduler.finish(Time(now), id, Finish::Done);
            let started = work.started.expect("a job that ends has started");
            let span = now.saturating_sub(started.max(WARM));
            let timely = now - work.arrived <= DEADLINE_US[work.rank];
            counts.used[work.rank] += span;
            counts.good += if timely { span } else { 0 };
            if COUNTED.contains(&work.arrived) {
                counts.served[work.rank] += u64::from(timely);
                if work.rank == 0 {
                    counts.waits.push(now - work.arrived);
                }
            }
        } else if arrival == now {
            let rank = next.iter().position(|at| *at == now).expect("an arrival");
            let rate = loads[rank] * SLOTS as f64 / SERVICE_US[rank] as f64;
            let gap = -(1.0 - rng.unit_f64()).ln() / rate;
            next[rank] = now + 1 + gap as u64;
            number += 1;
            let job = Job {
                id: JobId(number),
                kind: Kind::from(Rank::ALL[rank].to_string()),
                caller: Caller::from(rng.below(500).to_string()),
                deadline: Time(now + DEADLINE_US[rank]),
            };
            counts.offered[rank] += u64::from(COUNTED.contains(&now));
            if scheduler.submit(Time(now), job).is_ok() {
                let work = Work {
                    rank,
                    arrived: now,
                    started: None,
                };
                works.insert(JobId(number), work);
            }
        }
        while let Some(id) = scheduler.next(Time(now)) {
            let work = works
                .get_mut(&id)
                .expect("a refused or ended job was handed out");
            assert!(
                work.started.replace(now).is_none(),
                "job {id} was handed out twice"
            );
            let mean = SERVICE_US[work.rank];
            ends.push(Reverse((now + mean / 2 + rng.below(mean), id)));
            assert!(ends.len() <= SLOTS, "more jobs run than slots");
        }
        for id in scheduler.expire(Time(now)) {
            let work = works.remove(&id).expect("a job expires once");
            assert!(work.started.is_none(), "job {id} expired while it ran");
        }
    }
    assert_eq!(invariant::count(), 0, "the scheduler breached an invariant");
    counts
}

fn flood(rank: Rank) -> Counts {
    let mut loads = FLOORS.map(|floor| floor * 1.1);
    loads[rank.index()] = 10.0;
    run(loads, None)
}

fn check_others(counts: &Counts, flooding: Rank) {
    for rank in Rank::ALL.into_iter().filter(|rank| *rank != flooding) {
        let part = counts.share(rank) / FLOORS[rank.index()];
        assert!(part >= 0.95, "{rank} got {part} of its floor");
    }
    assert!(counts.goodput() >= 0.9, "goodput {}", counts.goodput());
}

/// Guards against browsing and reports that hold up urgent work.
#[test]
fn bulk_flood() {
    let mut unloaded = run(FLOORS.map(|floor| floor * 0.2), None);
    let mut counts = flood(Rank::Bulk);
    check_others(&counts, Rank::Bulk);
    let served = counts.served[0] as f64 / counts.offered[0] as f64;
    assert!(
        served >= 0.999,
        "only {served} of urgent jobs were served in time"
    );
    let (flooded, unloaded) = (counts.p99(), unloaded.p99());
    assert!(
        flooded <= 2 * unloaded,
        "p99 {flooded} us against {unloaded} us"
    );
}

/// Guards against edits that take the slots of the other ranks.
#[test]
fn routine_flood() {
    check_others(&flood(Rank::Routine), Rank::Routine);
}

/// Guards against urgent work that starves the less urgent ranks.
#[test]
fn urgent_flood() {
    check_others(&flood(Rank::Urgent), Rank::Urgent);
}

/// Guards against new floors that take effect only after the queues have drained.
#[test]
fn replaced_policy() {
    let swapped = policy([0.15, 0.2, 0.5]);
    let counts = run([10.0, 0.22, 0.6], Some(&swapped));
    let part = counts.share(Rank::Bulk) / 0.5;
    assert!(part >= 0.95, "bulk got {part} of its new floor");
    assert!(counts.goodput() >= 0.9, "goodput {}", counts.goodput());
}
