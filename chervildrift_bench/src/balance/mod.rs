//! Spread of reads over the upstreams of a group by old news, under several rules.
//!
//! All VMs hear the same waits at the same moments, which is the worst case for rules by which many
//! VMs choose alike. One region sends half of the reads, slots are uneven, one upstream is slow, and
//! the leader serves writes besides.

mod rule;

use std::collections::VecDeque;
use std::time::Duration;

use chervildrift_core::relay::Occupancy;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;
use clap::Args as ClapArgs;

use self::rule::{News, Rule};
use crate::fleet::event_queue::EventQueue;

/// Slots of the upstreams; the first one is the leader, and two are in each region.
const SLOTS: [usize; 6] = [4, 4, 4, 8, 2, 4];

/// Upstream that takes [`SLOW_FACTOR`] times as long.
const SLOW: usize = 3;

const SLOW_FACTOR: f64 = 4.0;

/// Mean time of a statement in a slot.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Round-trip times within a region and between regions.
const RTTS: [Duration; 2] = [Duration::from_millis(3), Duration::from_millis(40)];

/// Share of the leader's slots that writes take.
const WRITE_LOAD: f64 = 0.5;

/// Time in which statements are counted.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Seed of the runs.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Numbers of VMs.
    #[arg(long, value_delimiter = ',', default_values_t = [77, 300])]
    vms: Vec<usize>,
    /// Intervals between two news of the waits, in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [20, 200, 1_000, 2_000])]
    news_ms: Vec<u64>,
    /// Shares of the free capacity that the reads take, in percent.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 85])]
    load_percent: Vec<u64>,
}

/// Conditions of one run.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    vms: usize,
    news_interval: Duration,
    load: f64,
    rule: Rule,
}

/// Event at an upstream.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next read is sent.
    Send,
    /// The next write reaches the leader.
    Write,
    /// A statement reaches an upstream.
    Arrive(usize),
    /// A statement that started at a time ends at an upstream.
    End(usize, Time),
    /// The VMs hear the waits.
    Publish,
}

/// Upstream with its queue.
#[derive(Debug, Default)]
struct Upstream {
    busy: usize,
    queue: VecDeque<Time>,
    occupancy: Occupancy,
    arrivals: usize,
}

/// Measurements of one run.
#[derive(Debug, Default)]
struct Outcome {
    waits: Vec<Duration>,
    abroad: usize,
    reads: usize,
    idle_us: f64,
    busiest: f64,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    println!(
        "| VMs | News every | Load | Rule | Busiest / mean | Slots idle while others queue | Wait p50 | Wait p99 | Sent abroad |"
    );
    println!("|{}", " --- |".repeat(9));
    for vms in &args.vms {
        for load in &args.load_percent {
            for news in &args.news_ms {
                for rule in Rule::ALL {
                    let conditions = Conditions {
                        vms: *vms,
                        news_interval: Duration::from_millis(*news),
                        load: *load as f64 / 100.0,
                        rule,
                    };
                    print_row(conditions, &measure(args.seed, conditions), *load);
                }
            }
        }
    }
}

/// Returns the slots of an upstream in units of one at usual speed.
fn capacity(at: usize) -> f64 {
    SLOTS[at] as f64 / if at == SLOW { SLOW_FACTOR } else { 1.0 }
}

fn exponential(mean: Duration, rng: &mut Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.unit_f64()).ln())
}

fn measure(seed: u64, conditions: Conditions) -> Outcome {
    let mut rng = Rng::new(seed);
    let mut upstreams: Vec<Upstream> = SLOTS.iter().map(|_| Upstream::default()).collect();
    let mut known = vec![vec![News::default(); SLOTS.len()]; conditions.vms];
    let mut outcome = Outcome::default();
    let write_rate = WRITE_LOAD * capacity(0);
    let total: f64 = (0..SLOTS.len()).map(capacity).sum();
    let read_rate = (total - write_rate) * conditions.load;
    let (read_gap, write_gap) = (
        SERVICE_TIME.div_f64(read_rate),
        SERVICE_TIME.div_f64(write_rate),
    );
    let mut events = EventQueue::new();
    for event in [Event::Send, Event::Write, Event::Publish] {
        events.push(Time(0), event);
    }
    let mut last = Time(0);
    while let Some((now, event)) = events.pop(Time(0) + MEASURED_TIME) {
        if upstreams.iter().any(|it| !it.queue.is_empty()) {
            let busy: usize = upstreams.iter().map(|it| it.busy).sum();
            let idle = SLOTS.iter().sum::<usize>() - busy;
            outcome.idle_us += idle as f64 * now.since(last).as_micros() as f64;
        }
        last = now;
        match event {
            Event::Send => {
                events.push(now + exponential(read_gap, &mut rng), Event::Send);
                let vm = rng.below(conditions.vms as u64) as usize;
                // Half of the reads come from the leader's region.
                let region = [0, 0, 1, 2][rng.below(4) as usize];
                let rtt = |at: usize| RTTS[usize::from(at / 2 != region)];
                let at = conditions
                    .rule
                    .choose(now, &known[vm], &SLOTS, rtt, &mut rng);
                outcome.reads += 1;
                outcome.abroad += usize::from(at / 2 != region);
                events.push(now + rtt(at) / 2, Event::Arrive(at));
                // The VM learns of the end by its reply; half a round trip and one service later
                // stand in for it.
                known[vm][at].record_request(now, now + rtt(at) + SERVICE_TIME);
            }
            Event::Write => {
                events.push(now + exponential(write_gap, &mut rng), Event::Write);
                events.push(now, Event::Arrive(0));
            }
            Event::Arrive(at) => {
                let upstream = &mut upstreams[at];
                upstream.occupancy.start(now);
                upstream.arrivals += 1;
                upstream.queue.push_back(now);
            }
            Event::End(at, arrived) => {
                upstreams[at].busy -= 1;
                upstreams[at].occupancy.finish(now, arrived);
            }
            Event::Publish => {
                events.push(now + conditions.news_interval, Event::Publish);
                for (at, upstream) in upstreams.iter().enumerate() {
                    let wait = upstream.occupancy.wait(now, 1, SLOTS[at]);
                    for vm in &mut known {
                        vm[at].hear(now, wait);
                    }
                }
            }
        }
        for (at, upstream) in upstreams.iter_mut().enumerate() {
            while upstream.busy < SLOTS[at]
                && let Some(arrived) = upstream.queue.pop_front()
            {
                upstream.busy += 1;
                outcome.waits.push(now.since(arrived));
                let mean = SERVICE_TIME.mul_f64(if at == SLOW { SLOW_FACTOR } else { 1.0 });
                events.push(now + exponential(mean, &mut rng), Event::End(at, arrived));
            }
        }
    }
    let shares = upstreams.iter().enumerate();
    let per_slot: Vec<f64> = shares
        .map(|(at, it)| it.arrivals as f64 / capacity(at))
        .collect();
    let mean = upstreams.iter().map(|it| it.arrivals).sum::<usize>() as f64 / total;
    outcome.busiest = per_slot.iter().copied().fold(0.0, f64::max) / mean;
    // Statements that still wait count with their wait so far.
    let waiting = upstreams.iter().flat_map(|it| &it.queue);
    outcome.waits.extend(waiting.map(|at| last.since(*at)));
    outcome.waits.sort_unstable();
    outcome
}

fn print_row(conditions: Conditions, outcome: &Outcome, load: u64) {
    let Conditions {
        vms,
        news_interval,
        rule,
        ..
    } = conditions;
    let quantile = |share: f64| {
        let at = (outcome.waits.len() as f64 * share) as usize;
        outcome.waits.get(at).copied().unwrap_or_default()
    };
    println!(
        "| {vms} | {news_interval:?} | {load}% | {rule} | {:.2} | {:.1}% | {:.0} ms | {:.0} ms | {:.0}% |",
        outcome.busiest,
        100.0 * outcome.idle_us
            / MEASURED_TIME.as_micros() as f64
            / SLOTS.iter().sum::<usize>() as f64,
        quantile(0.5).as_secs_f64() * 1_000.0,
        quantile(0.99).as_secs_f64() * 1_000.0,
        outcome.abroad as f64 * 100.0 / outcome.reads.max(1) as f64,
    );
}
