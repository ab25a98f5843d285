//! Share of reads that replicas serve under several policies.

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

/// Mean time between two requests of a session.
const THINK_TIME: Duration = Duration::from_secs(1);

/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.1;

/// Time before reads are counted, in which the replicas reach their lag.
const WARM_UP: Duration = Duration::from_secs(600);

/// Time in which reads are counted.
const MEASURED_TIME: Duration = Duration::from_secs(300);

/// Conditions that are compared.
const CONDITIONS: [Condition; 5] = [
    Condition::new(Duration::from_millis(200), Duration::from_secs(30), 1),
    Condition::new(Duration::from_millis(200), Duration::from_secs(30), 5),
    Condition::new(Duration::from_secs(120), Duration::from_secs(600), 1),
    Condition::new(Duration::from_secs(120), Duration::from_secs(600), 5),
    Condition::new(Duration::from_secs(120), Duration::from_secs(30), 5),
];

/// Conditions of one comparison.
#[derive(Clone, Copy, Debug)]
struct Condition {
    /// Mean lag of the replicas.
    lag: Duration,
    /// Greatest age of the data that the kind of the reads declares.
    max_age: Duration,
    /// Number of sessions for each one that writes; the share of writes is the same for all values.
    sessions_per_writer: usize,
}

impl Condition {
    const fn new(lag: Duration, max_age: Duration, sessions_per_writer: usize) -> Self {
        Self {
            lag,
            max_age,
            sessions_per_writer,
        }
    }

    /// Tells whether the next request of a session is a write.
    fn is_write(&self, session: usize, rng: &mut Rng) -> bool {
        let share = WRITE_SHARE * self.sessions_per_writer as f64;
        session.is_multiple_of(self.sessions_per_writer) && rng.unit_f64() < share
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
    by_replica: u64,
    replica_allowed: u64,
    waited: u64,
    second_trips: u64,
    missed_writes: u64,
    too_old: u64,
    total_time: Duration,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    println!(
        "| Lag | Declared age | Sessions that write | Policy | Reads | A replica may serve | Served by a replica \
         | Share of those it may | Waited | Second trips | Own write missed | Too old \
         | Mean time |"
    );
    println!("|{}", " --- |".repeat(13));
    for condition in CONDITIONS {
        for policy in Policy::ALL {
            let counts = measure(args, condition, policy);
            print_row(condition, policy, &counts);
        }
    }
}

fn measure(args: &Args, condition: Condition, policy: Policy) -> Counts {
    let mut rng = Rng::new(args.seed);
    let mut replicas = Replicas::new(condition.lag, args.deployment.between_zones());
    let mut last_writes: Vec<Option<(LogPosition, Time)>> = vec![None; SESSIONS];
    let mut counts = Counts::default();
    let mut now = Time(0);
    let mut read_count = 0;
    while now < Time(0) + WARM_UP + MEASURED_TIME {
        now = now + next_gap(&mut rng);
        let session = rng.below(SESSIONS as u64) as usize;
        if condition.is_write(session, &mut rng) {
            last_writes[session] = Some((replicas.write(now), now));
            continue;
        }
        read_count += 1;
        let last_write = last_writes[session];
        let served = policy::serve(
            policy,
            now,
            last_write,
            condition.max_age,
            read_count,
            &replicas,
        );
        if now >= Time(0) + WARM_UP {
            count_read(
                &mut counts,
                now,
                last_write,
                condition.max_age,
                &served,
                &replicas,
            );
        }
        replicas.update_cache(now);
    }
    counts
}

/// Returns the random time between two requests, over all sessions.
fn next_gap(rng: &mut Rng) -> Duration {
    let mean = THINK_TIME / SESSIONS as u32;
    mean.mul_f64(-(1.0 - rng.unit_f64()).ln())
}

fn count_read(
    counts: &mut Counts,
    now: Time,
    last_write: Option<(LogPosition, Time)>,
    max_age: Duration,
    served: &Served,
    replicas: &Replicas,
) {
    let min_position = last_write.map(|(position, _written)| position);
    let allowed = (1..=2).any(|index| replicas.may_serve(now, index, min_position, max_age));
    let by_replica = served.upstream != 0;
    let missed =
        min_position.is_some_and(|min_position| served.applied.position < min_position.position);
    counts.reads += 1;
    counts.allowed += u64::from(allowed);
    counts.by_replica += u64::from(by_replica);
    counts.replica_allowed += u64::from(by_replica && allowed);
    counts.waited += u64::from(served.waited);
    counts.second_trips += u64::from(served.second_trip);
    counts.missed_writes += u64::from(missed);
    counts.too_old += u64::from(by_replica && replicas.lag(now, served.upstream) > max_age);
    counts.total_time += served.time;
}

fn print_row(condition: Condition, policy: Policy, counts: &Counts) {
    let Condition {
        lag,
        max_age,
        sessions_per_writer,
    } = condition;
    let share = match counts.allowed {
        0 => "none may".to_owned(),
        allowed => format!(
            "{:.1}%",
            counts.replica_allowed as f64 * 100.0 / allowed as f64
        ),
    };
    println!(
        "| {lag:?} | {max_age:?} | 1 in {sessions_per_writer} | {policy} | {} | {} | {} | {share} | {} | {} | {} | {} | {:.2} ms |",
        counts.reads,
        counts.allowed,
        counts.by_replica,
        counts.waited,
        counts.second_trips,
        counts.missed_writes,
        counts.too_old,
        counts.total_time.as_secs_f64() * 1_000.0 / counts.reads.max(1) as f64,
    );
}
