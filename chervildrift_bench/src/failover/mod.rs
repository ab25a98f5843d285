//! Primary changes under writes.

mod behind;
mod changes;
mod detection;
mod figures;

use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_model::{Deployment, Network, Options, Rule};
use clap::Args as ClapArgs;

use self::changes::Cause;
use self::figures::Figures;

/// Candidate VMs of a group, one in each availability zone.
const VMS: usize = 3;

/// Mean time between two writes to the group.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// Time after which a caller gives up a write.
const PATIENCE: Duration = Duration::from_secs(4);

/// Time after which an unrenewed lease has lapsed.
const LEASE: Duration = Duration::from_secs(2);

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
    compare(args, zones);
    let regions = args.deployment.between_regions();
    println!("\n## Primary changes, group across regions ({regions:?} one way)\n");
    compare(args, regions);
    println!("\n## Planned changes\n");
    plan(args, &[zones, regions]);
    println!("\n## Both replicas two minutes behind, then the primary crashes for 30 s\n");
    behind::run(args.seed, zones);
    println!("\n## Detection time against false failovers\n");
    detection::run(args.seed, zones);
}

fn compare(args: &Args, latency: Duration) {
    let measured = RULES.map(|(rule, name)| {
        let figures = changes::run(args.seed, args.changes, rule, latency, Cause::Fault);
        (name, figures)
    });
    Figures::print(&measured);
}

fn plan(args: &Args, latencies: &[Duration]) {
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
        // A promotion has to wait until the former primary's lease has lapsed.
        Rule::Lease => LEASE,
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
        write_interval: WRITE_PAUSE,
        write_timeout: PATIENCE,
        write_timeout_spread: Duration::ZERO,
    }
}
