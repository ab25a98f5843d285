//! Service gap and safety of primary changes while callers write.

mod changes;
mod detection;
mod figures;
mod lag;

use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_model::{Deployment, Network, Options, Rule};
use clap::Args as ClapArgs;

use self::changes::Cause;
use self::figures::Figures;

/// Candidate VMs of a group, one in each availability zone.
const VMS: usize = 3;

/// Mean time between two writes to the group.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a caller gives up a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a lease expires unless it is renewed.
const LEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Rules that are compared, with their names in the tables.
const RULES: [(Rule, &str); 4] = [
    (Rule::Majority, "majority confirmation"),
    (Rule::Gated, "ack at primary, gated promotion"),
    (Rule::Lease, "lease"),
    (Rule::Primary, "ack at primary, no guard"),
];

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Deployment whose latencies are used.
    #[arg(long, value_enum, default_value = "federation")]
    deployment: Deployment,
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of primary changes of each run.
    #[arg(long, default_value_t = 240)]
    changes: usize,
}

/// Runs the measurement and prints its tables.
pub fn run(args: &Args) {
    let zones = args.deployment.between_zones();
    println!("## Primary changes, group across availability zones ({zones:?} one way)\n");
    compare_rules(args, zones);
    let regions = args.deployment.between_regions();
    println!("\n## Primary changes, group across regions ({regions:?} one way)\n");
    compare_rules(args, regions);
    println!("\n## Planned changes\n");
    measure_planned(args, &[zones, regions]);
    println!("\n## Both replicas two minutes behind, then the primary crashes for 30 s\n");
    lag::run(args.seed, zones);
    println!("\n## Detection time against false failovers\n");
    detection::run(args.seed, zones);
}

fn compare_rules(args: &Args, latency: Duration) {
    let measured = RULES.map(|(rule, name)| {
        let figures = changes::run(args.seed, args.changes, rule, latency, Cause::Fault);
        (name, figures)
    });
    Figures::print(&measured);
}

fn measure_planned(args: &Args, latencies: &[Duration]) {
    let names = latencies
        .iter()
        .map(|latency| format!("{latency:?} one way"));
    let names: Vec<_> = names.collect();
    let measured = latencies.iter().zip(&names).map(|(&latency, name)| {
        let rule = Rule::Majority;
        let figures = changes::run(args.seed, args.changes, rule, latency, Cause::Leave);
        (name.as_str(), figures)
    });
    Figures::print(&measured.collect::<Vec<_>>());
}

fn options(seed: u64, rule: Rule, latency: Duration) -> Options {
    let detection_timeout = match rule {
        // A promotion has to wait until the former primary's lease has expired.
        Rule::Lease => LEASE_TIMEOUT,
        Rule::Majority | Rule::Gated | Rule::Primary => Limits::default().detection_timeout,
    };
    Options {
        seed,
        vms: VMS,
        rule,
        limits: Limits {
            detection_timeout,
            ..Limits::default()
        },
        network: Network::new(latency),
        write_interval: WRITE_INTERVAL,
        write_timeout: WRITE_TIMEOUT,
        write_timeout_spread: Duration::ZERO,
    }
}
