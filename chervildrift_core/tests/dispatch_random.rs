//! Random event sequences against the scheduler, checked for the fate of every job.

use std::collections::HashSet;
use std::env;
use std::time::Duration;

use chervildrift_core::dispatch::{
    Completion, DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, Job, JobId, KindPolicy, Policy, Scheduler,
};
use chervildrift_core::invariant;
use chervildrift_core::types::{Caller, Kind, Rank, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KINDS: [&str; 4] = ["confirm", "edit", "browse", "report"];

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Submit {
        kind: usize,
        caller: u8,
        deadline: u64,
    },
    Next,
    Finish(usize, Completion),
    Cancel(usize),
    Expire,
    Pause,
    Resume,
    Apply {
        slots: usize,
        queue: usize,
        kinds: usize,
        moved: bool,
    },
}

/// Fates of the jobs so far.
#[derive(Default)]
struct Fates {
    waiting: Vec<JobId>,
    running: Vec<JobId>,
    ended: HashSet<JobId>,
}

impl Fates {
    fn end_waiting(&mut self, id: JobId) {
        let at = self.waiting.iter().position(|other| *other == id);
        self.waiting
            .remove(at.expect("only a waiting job ends without running"));
        assert!(self.ended.insert(id), "job {id} ended twice");
    }

    fn hand_out(&mut self, id: JobId) {
        let at = self.waiting.iter().position(|other| *other == id);
        self.waiting
            .remove(at.expect("only a waiting job is handed out"));
        self.running.push(id);
    }
}

fn policy(slots: usize, queue: usize, kinds: usize, moved: bool) -> Policy {
    let ranks = [
        Rank::Urgent,
        Rank::Routine,
        Rank::Bulk,
        if moved { Rank::Routine } else { Rank::Bulk },
    ];
    let rules = |(name, rank): (&str, Rank)| {
        let mut rules = KindPolicy::new(Kind::from(name), rank, Duration::from_millis(5));
        rules.concurrency = if name == "report" { 1 } else { usize::MAX };
        rules
    };
    Policy {
        slots,
        queue_limits: [queue; Rank::COUNT],
        guaranteed_shares: [0.3, 0.2, 0.2],
        kinds: KINDS
            .into_iter()
            .zip(ranks)
            .take(kinds)
            .map(rules)
            .collect(),
        usage_window: DEFAULT_USAGE_WINDOW,
        reserved_share: 0.1,
        ramp: DEFAULT_RAMP,
        adaptive: true,
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let finish = prop_oneof![
        8 => Just(Completion::Answered),
        1 => Just(Completion::UpstreamFailed),
        1 => Just(Completion::Abandoned)
    ];
    let submit = (0..KINDS.len(), 0_u8..6, 0_u64..400_000);
    let apply = (0_usize..8, 0_usize..30, 1..=KINDS.len(), any::<bool>());
    let step = prop_oneof![
        10 => (0_u64..20_000).prop_map(Step::Wait),
        30 => submit.prop_map(|(kind, caller, deadline)| Step::Submit { kind, caller, deadline }),
        20 => Just(Step::Next),
        20 => (any::<usize>(), finish).prop_map(|(at, finish)| Step::Finish(at, finish)),
        3 => any::<usize>().prop_map(Step::Cancel),
        3 => Just(Step::Expire),
        1 => Just(Step::Pause),
        2 => Just(Step::Resume),
        1 => apply.prop_map(|(slots, queue, kinds, moved)| {
            Step::Apply { slots, queue, kinds, moved }
        }),
    ];
    prop::collection::vec(step, 1..600)
}

fn pick(ids: &[JobId], at: usize) -> Option<JobId> {
    ids.get(at.checked_rem(ids.len())?).copied()
}

fn run(steps: &[Step]) {
    let mut scheduler = Scheduler::open(&policy(5, 20, KINDS.len(), false));
    let mut slots = 5;
    let mut fates = Fates::default();
    let mut now = Time(0);
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Wait(micros) => now = now + Duration::from_micros(*micros),
            Step::Submit {
                kind,
                caller,
                deadline,
            } => {
                let id = JobId(number as u64);
                let job = Job {
                    id,
                    kind: Kind::from(KINDS[*kind]),
                    caller: Caller::from(caller.to_string()),
                    deadline: now + Duration::from_micros(*deadline),
                };
                if scheduler.submit(now, job).is_ok() {
                    fates.waiting.push(id);
                }
            }
            Step::Next => {
                if let Some(id) = scheduler.start_next(now) {
                    fates.hand_out(id);
                    assert!(fates.running.len() <= slots, "more jobs run than slots");
                }
            }
            Step::Finish(at, finish) => {
                if let Some(id) = pick(&fates.running, *at) {
                    scheduler.finish(now, id, *finish);
                    fates.running.retain(|other| *other != id);
                    assert!(fates.ended.insert(id), "job {id} ended twice");
                }
            }
            Step::Cancel(at) => {
                if let Some(id) = pick(&fates.waiting, *at).filter(|id| scheduler.cancel(*id)) {
                    fates.end_waiting(id);
                }
            }
            Step::Expire => {
                let expired = scheduler.expire(now);
                expired.into_iter().for_each(|id| fates.end_waiting(id));
            }
            Step::Pause => scheduler.pause(now),
            Step::Resume => scheduler.resume(now),
            Step::Apply {
                slots: count,
                queue,
                kinds,
                moved,
            } => {
                slots = *count;
                scheduler.apply(now, &policy(*count, *queue, *kinds, *moved));
            }
        }
    }
    drain(&mut scheduler, &mut fates, now);
}

/// Lets every job end and checks that none is left over.
fn drain(scheduler: &mut Scheduler, fates: &mut Fates, mut now: Time) {
    scheduler.resume(now);
    scheduler.apply(now, &policy(5, 20, KINDS.len(), false));
    while !(fates.waiting.is_empty() && fates.running.is_empty()) {
        now = now + Duration::from_millis(1);
        while let Some(id) = scheduler.start_next(now) {
            fates.hand_out(id);
        }
        for id in std::mem::take(&mut fates.running) {
            scheduler.finish(now, id, Completion::Answered);
            assert!(fates.ended.insert(id), "job {id} ended twice");
        }
        for id in scheduler.expire(now) {
            fates.end_waiting(id);
        }
        assert!(now < Time(60_000_000), "jobs are lost: {:?}", fates.waiting);
    }
    let left: usize = Rank::ALL.iter().map(|rank| scheduler.queued(*rank)).sum();
    assert_eq!(left, 0, "the scheduler holds jobs that were never accepted");
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Guards against a lost, repeated or refused job being handed out and against too many running.
#[test]
fn random_events() {
    let config = ProptestConfig {
        cases: number("CHERVILDRIFT_CASES", 128) as u32,
        rng_seed: RngSeed::Fixed(number("CHERVILDRIFT_SEED", 7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(steps in steps())| run(&steps));
    assert_eq!(invariant::count(), 0, "the scheduler breached an invariant");
}
