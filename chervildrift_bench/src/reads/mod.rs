//! Share of reads served by replicas.

mod policy;
mod replicas;

use std::time::Duration;

use chervildrift_core::rng::Rng;
use chervildrift_core::types::{LogPosition, Time};
use chervildrift_model::Deployment;
use clap::Args as ClapArgs;

use self::policy::{Policy, Served};
use self::replicas::Replicas;

/// Sessions that read and write.
const SESSIONS: usize = 200;

/// Mean pause of a session between two requests.
const THINKING: Duration = Duration::from_secs(1);

/// Share of writes among the requests.
const WRITES: f64 = 0.1;

/// Time without counting, in which the replicas reach their lag.
const WARMUP: Duration = Duration::from_secs(600);

/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(300);

/// Conditions that are compared.
const CASES: [Case; 5] = [
    Case::new(Duration::from_millis(200), Duration::from_secs(30), 1),
    Case::new(Duration::from_millis(200), Duration::from_secs(30), 5),
    Case::new(Duration::from_secs(120), Duration::from_secs(600), 1),
    Case::new(Duration::from_secs(120), Duration::from_secs(600), 5),
    Case::new(Duration::from_secs(120), Duration::from_secs(30), 5),
];

/// Conditions of one comparison.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Mean lag of the replicas.
    lag: Duration,
    /// Age that the kind of the reads declares.
    age: Duration,
    /// One session in this many writes; the share of writes is the same.
    writers: usize,
}

impl Case {
    const fn new(lag: Duration, age: Duration, writers: usize) -> Self {
        Self { lag, age, writers }
    }

    /// Tells whether the next request of a session is a write.
    fn writes(&self, session: usize, rng: &mut Rng) -> bool {
        let share = WRITES * self.writers as f64;
        session.is_multiple_of(self.writers) && rng.unit_f64() < share
    }
}

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Deployment whose latencies are used.
    #[arg(long, value_enum, default_value = "barnizados")]
    deployment: Deployment,
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Counts of one policy.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    reads: u64,
    allowed: u64,
    replica: u64,
    replica_allowed: u64,
    waited: u64,
    second_trips: u64,
    missed: u64,
    too_old: u64,
    time: Duration,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    println!(
        "| Lag | Declared age | Sessions that write | Policy | Reads | A replica may serve | Served by a replica \
         | Share of those it may | Waited | Second trips | Own write missed | Too old \
         | Mean time |"
    );
    println!("|{}", " --- |".repeat(13));
    for case in CASES {
        for policy in Policy::ALL {
            let counts = measure(args, case, policy);
            print_row(case, policy, &counts);
        }
    }
}

fn measure(args: &Args, case: Case, policy: Policy) -> Counts {
    let mut rng = Rng::new(args.seed);
    let mut replicas = Replicas::open(case.lag, args.deployment.between_zones());
    let mut tokens: Vec<Option<(LogPosition, Time)>> = vec![None; SESSIONS];
    let mut counts = Counts::default();
    let mut now = Time(0);
    let mut turn = 0;
    while now < Time(0) + WARMUP + COUNTED {
        now = now + pause(&mut rng);
        let session = rng.below(SESSIONS as u64) as usize;
        if case.writes(session, &mut rng) {
            tokens[session] = Some((replicas.write(now), now));
            continue;
        }
        turn += 1;
        let token = tokens[session];
        let served = policy::serve(policy, now, token, case.age, turn, &replicas);
        if now >= Time(0) + WARMUP {
            count(&mut counts, now, token, case.age, &served, &replicas);
        }
        replicas.reply(now);
    }
    counts
}

/// Returns a random pause between two requests of all sessions.
fn pause(rng: &mut Rng) -> Duration {
    let mean = THINKING / SESSIONS as u32;
    mean.mul_f64(-(1.0 - rng.unit_f64()).ln())
}

fn count(
    counts: &mut Counts,
    now: Time,
    token: Option<(LogPosition, Time)>,
    age: Duration,
    served: &Served,
    replicas: &Replicas,
) {
    let mark = token.map(|(mark, _written)| mark);
    let allowed = (1..=2).any(|index| replicas.may_serve(now, index, mark, age));
    let by_replica = served.upstream != 0;
    let missed = mark.is_some_and(|mark| served.applied.position < mark.position);
    counts.reads += 1;
    counts.allowed += u64::from(allowed);
    counts.replica += u64::from(by_replica);
    counts.replica_allowed += u64::from(by_replica && allowed);
    counts.waited += u64::from(served.waited);
    counts.second_trips += u64::from(served.second_trip);
    counts.missed += u64::from(missed);
    counts.too_old += u64::from(by_replica && replicas.lag(now, served.upstream) > age);
    counts.time += served.time;
}

fn print_row(case: Case, policy: Policy, counts: &Counts) {
    let Case { lag, age, writers } = case;
    let share = match counts.allowed {
        0 => "none may".to_owned(),
        allowed => format!(
            "{:.1}%",
            counts.replica_allowed as f64 * 100.0 / allowed as f64
        ),
    };
    println!(
        "| {lag:?} | {age:?} | 1 in {writers} | {policy} | {} | {} | {} | {share} | {} | {} | {} | {} | {:.2} ms |",
        counts.reads,
        counts.allowed,
        counts.replica,
        counts.waited,
        counts.second_trips,
        counts.missed,
        counts.too_old,
        counts.time.as_secs_f64() * 1_000.0 / counts.reads.max(1) as f64,
    );
}
