//! Random writes, replication cuts, lags and failovers of a group of three upstreams.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use chervildrift_standin::upstream::{Fault, Handle, LogPosition, Role};
use common::{cases, connect, create, grant, insert, primary, replica, seed, wait_caught_up};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::time::sleep;
use tokio_postgres::Client;

const GROUP_SIZE: usize = 3;
const DEFAULT_CASES: u32 = 16;
const LAG_MS: i64 = 10;

/// Number and interval of checks for a write at a majority.
const CONFIRM_ATTEMPTS: u32 = 10;
const CONFIRM_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug)]
enum Step {
    Write(usize),
    Cut(usize, bool),
    Lag(usize, bool),
    /// Fences all but one upstream.
    Fence(usize),
    /// Promotes the most advanced upstream of the last fence.
    Promote,
}

fn step() -> impl Strategy<Value = Step> {
    let flag = proptest::bool::ANY;
    prop_oneof![
        6 => (0..GROUP_SIZE).prop_map(Step::Write),
        2 => (0..GROUP_SIZE, flag).prop_map(|(at, on)| Step::Cut(at, on)),
        1 => (0..GROUP_SIZE, flag).prop_map(|(at, on)| Step::Lag(at, on)),
        2 => (0..GROUP_SIZE).prop_map(Step::Fence),
        2 => Just(Step::Promote),
    ]
}

struct Group {
    handles: Vec<Handle>,
    clients: Vec<Client>,
    term: i64,
    written: i64,
    confirmed: BTreeSet<i64>,
    pending: Option<PendingFailover>,
}

/// Failover whose upstreams are fenced, before its promotion.
struct PendingFailover {
    term: i64,
    members: Vec<usize>,
    best: usize,
}

impl Group {
    async fn spawn() -> Self {
        let mut handles = vec![primary()];
        handles.extend(
            (1..GROUP_SIZE)
                .map(|_| replica(&handles[0]))
                .collect::<Vec<_>>(),
        );
        let mut clients = Vec::new();
        for handle in &handles {
            clients.push(connect(handle).await);
        }
        create(&clients[0]).await;
        let (term, written) = (1, 0);
        let confirmed = BTreeSet::new();
        let pending = None;
        Self {
            handles,
            clients,
            term,
            written,
            confirmed,
            pending,
        }
    }

    async fn run(&mut self, step: Step) {
        match step {
            Step::Write(at) => self.write(at).await,
            Step::Cut(at, on) => self.handles[at].set_fault(Fault::CutReplication, on.into()),
            Step::Lag(at, on) => {
                let lag = if on { LAG_MS } else { 0 };
                self.handles[at].set_fault(Fault::ReceiveLagMs, lag);
            }
            Step::Fence(spared) => {
                let members = (0..GROUP_SIZE).filter(|at| *at != spared).collect();
                self.fence(members).await;
            }
            Step::Promote => self.promote().await,
        }
    }

    async fn write(&mut self, at: usize) {
        self.written += 1;
        let before = self.handles[at].status();
        if insert(&self.clients[at], self.written).await.is_err() {
            return;
        }
        let after = self.handles[at].status();
        let same = before.role == Role::Primary && before.received.term == after.received.term;
        if same && after.role == Role::Primary && self.reaches_majority(after.received).await {
            self.confirmed.insert(self.written);
        }
    }

    async fn reaches_majority(&self, log_position: LogPosition) -> bool {
        for _ in 0..CONFIRM_ATTEMPTS {
            let covers = |handle: &&Handle| {
                let last = handle.status().received;
                last.term == log_position.term && last.position >= log_position.position
            };
            if self.handles.iter().filter(covers).count() > GROUP_SIZE / 2 {
                return true;
            }
            sleep(CONFIRM_INTERVAL).await;
        }
        false
    }

    /// Fences members and selects the one with the most advanced log at that time.
    async fn fence(&mut self, members: Vec<usize>) {
        self.term += 1;
        let fence = format!("chervildrift_fence({}, 'test')", self.term);
        for &at in &members {
            assert!(grant(&self.clients[at], &fence).await);
        }
        let last = |at: &usize| self.handles[*at].status().received;
        let best = *members.iter().max_by_key(|at| last(at)).expect("members");
        let term = self.term;
        self.pending = Some(PendingFailover {
            term,
            members,
            best,
        });
    }

    /// Completes the failover of the last fence.
    async fn promote(&mut self) {
        let Some(PendingFailover {
            term,
            members,
            best,
        }) = self.pending.take()
        else {
            return;
        };
        let promote = format!("chervildrift_promote({term}, 'test')");
        assert!(grant(&self.clients[best], &promote).await);
        let follow = format!(
            "chervildrift_follow('{}', {term})",
            self.handles[best].address()
        );
        for at in members.into_iter().filter(|at| *at != best) {
            assert!(grant(&self.clients[at], &follow).await);
        }
    }

    async fn ids(&self, at: usize) -> BTreeSet<i64> {
        let sql = "SELECT id FROM notes";
        let rows = self.clients[at].query(sql, &[]).await.expect("ids");
        rows.iter().map(|row| row.get(0)).collect()
    }

    async fn check(&mut self) {
        for handle in &self.handles {
            handle.set_fault(Fault::CutReplication, 0);
            handle.set_fault(Fault::ReceiveLagMs, 0);
        }
        self.fence((0..GROUP_SIZE).collect()).await;
        let best = self.pending.as_ref().expect("a pending failover").best;
        self.promote().await;
        let ids = self.ids(best).await;
        assert!(
            self.confirmed.is_subset(&ids),
            "lost {:?}",
            self.confirmed.difference(&ids)
        );
        for at in 0..GROUP_SIZE {
            wait_caught_up(&self.handles[at], &self.handles[best]).await;
            assert_eq!(self.ids(at).await, ids);
        }
    }
}

/// Guards against a failover that loses confirmed writes, and logs that don't converge afterwards.
#[test]
fn random_failovers() {
    let config = Config {
        cases: cases(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..Config::default()
    };
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let run = |steps: Vec<Step>| {
        runtime.block_on(async {
            let mut group = Group::spawn().await;
            for step in steps {
                group.run(step).await;
            }
            group.check().await;
        });
        Ok(())
    };
    TestRunner::new(config)
        .run(&vec(step(), 5..40), run)
        .expect("no failure");
}
