//! Random histories of promotions with late or missing commits, unresponsive replicas, fences and
//! orders, in which the core decides which replica is promoted and when.
//!
//! `CHERVILDRIFT_CASES` sets the number of histories; proptest prints a failing history, and
//! `PROPTEST_RNG_SEED` repeats a run.

use chervildrift_core::relay::{FencedLogs, Replica, quorum, select_leader};
use chervildrift_core::types::{LogPosition, Upstream};
use proptest::prelude::*;

/// Default number of histories, used in CI.
const DEFAULT_CASES: u32 = 1_000;

/// Event concurrent to the promotion.
#[derive(Clone, Debug)]
enum Step {
    /// The old leader accepts a commit.
    Commit,
    /// A replica receives the leader's whole log, unless it is fenced.
    Receive(usize),
}

/// History: the replicas, those that do not answer the VM, and the events between the steps of the
/// promotion.
#[derive(Clone, Debug)]
struct History {
    replicas: usize,
    sync: usize,
    unresponsive: Vec<bool>,
    /// Replicas that a fence request does not reach.
    unfenceable: Vec<bool>,
    phases: Vec<Vec<Step>>,
}

/// Number of phases: before the states are read, before the fences, before the chosen replica is
/// read again, and before the promotion takes effect.
const PHASES: usize = 4;

fn history() -> impl Strategy<Value = History> {
    (2_usize..6).prop_flat_map(|replicas| {
        let step = prop_oneof![
            2 => Just(Step::Commit),
            3 => (0..replicas).prop_map(Step::Receive),
        ];
        let phase = prop::collection::vec(step, 0..10);
        (
            1..replicas,
            prop::collection::vec(prop::bool::weighted(0.2), replicas),
            prop::collection::vec(prop::bool::weighted(0.2), replicas),
            prop::collection::vec(phase, PHASES),
        )
            .prop_map(move |(sync, unresponsive, unfenceable, phases)| History {
                replicas,
                sync,
                unresponsive,
                unfenceable,
                phases,
            })
    })
}

struct Cluster {
    log: u64,
    received: Vec<u64>,
    fenced: Vec<bool>,
    /// Last commit that was acknowledged because enough replicas had received it.
    acknowledged: u64,
}

impl Cluster {
    fn run(&mut self, sync: usize, steps: &[Step]) {
        for step in steps {
            match step {
                Step::Commit => self.log += 1,
                Step::Receive(at) if !self.fenced[*at] => self.received[*at] = self.log,
                Step::Receive(_) => {}
            }
            let mut received = self.received.clone();
            received.sort_unstable_by(|a, b| b.cmp(a));
            self.acknowledged = self.acknowledged.max(received[sync - 1]);
        }
    }

    fn received_position(&self, at: usize) -> LogPosition {
        LogPosition::new(1, self.received[at])
    }
}

/// Runs a history and returns the last acknowledged commit and the new leader's last one, if a
/// replica is promoted.
fn run_history(history: &History) -> Option<(u64, u64)> {
    let mut cluster = Cluster {
        log: 0,
        received: vec![0; history.replicas],
        fenced: vec![false; history.replicas],
        acknowledged: 0,
    };
    let name = |at: usize| Upstream::from(format!("r{at}"));
    let needed = quorum(history.replicas, history.sync);
    let answering: Vec<usize> = (0..history.replicas)
        .filter(|at| !history.unresponsive[*at])
        .collect();
    cluster.run(history.sync, &history.phases[0]);
    let reported: Vec<Replica> = answering
        .iter()
        .map(|at| Replica {
            upstream: name(*at),
            received: cluster.received_position(*at),
            eligible: true,
        })
        .collect();
    let chosen = select_leader(&reported, None, needed, false).ok()?;
    let chosen = answering.iter().find(|at| name(**at) == chosen.upstream)?;
    cluster.run(history.sync, &history.phases[1]);
    let rest = answering
        .iter()
        .filter(|at| *at != chosen && !history.unfenceable[**at]);
    let others: Vec<LogPosition> = rest
        .map(|at| {
            cluster.fenced[*at] = true;
            cluster.received_position(*at)
        })
        .collect();
    cluster.run(history.sync, &history.phases[2]);
    let fenced = FencedLogs {
        chosen: cluster.received_position(*chosen),
        others: &others,
        required: None,
    };
    if !fenced.is_safe(needed) {
        return None;
    }
    cluster.run(history.sync, &history.phases[3]);
    Some((cluster.acknowledged, cluster.received[*chosen]))
}

fn cases() -> u32 {
    let cases = std::env::var("CHERVILDRIFT_CASES").ok();
    cases
        .and_then(|it| it.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Guards against a promotion that loses a commit acknowledged at any time before the promotion
    /// took effect, since enough replicas had received it.
    #[test]
    fn kept_commits(history in history()) {
        if let Some((acknowledged, kept)) = run_history(&history) {
            prop_assert!(kept >= acknowledged, "{kept} of {acknowledged} kept");
        }
    }
}

/// Guards against decisions that lose nothing only because no replica is ever promoted.
#[test]
fn promotion_happens() {
    let history = History {
        replicas: 3,
        sync: 1,
        unresponsive: vec![false; 3],
        unfenceable: vec![false; 3],
        phases: vec![vec![Step::Commit, Step::Receive(1)]; PHASES],
    };
    assert_eq!(run_history(&history), Some((4, 4)));
}
