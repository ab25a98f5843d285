//! Connections of organisations to one upstream under several rules of which one is closed.

mod model;

use clap::Args as ClapArgs;

use self::model::{Load, Rule, run_model};

/// Organisations that send steadily.
const ORGANISATIONS: usize = 28;

/// Connections that a holder may keep open.
const CONNECTIONS: usize = 12;

/// Rates of statements a second, at a quiet time and at a busy one.
const RATES: [f64; 2] = [12.0, 150.0];

/// Shares of the statements that come from organisations seen once.
const ONCE_SHARES: [f64; 2] = [0.0, 0.2];

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time of each run, in virtual seconds.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    println!(
        "| rule | statements/s | seen once | opened a statement | mean wait ms | slot time spent on opening |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for rate in RATES {
        for once_share in ONCE_SHARES {
            for rule in Rule::ALL {
                let load = Load {
                    organisations: ORGANISATIONS,
                    connections: CONNECTIONS,
                    rate,
                    once_share,
                    seconds: args.seconds,
                };
                let outcome = run_model(&load, rule, args.seed);
                println!(
                    "| {} | {rate} | {once_share} | {:.3} | {:.1} | {:.3} |",
                    rule.label(),
                    outcome.opened_share,
                    outcome.mean_wait.as_secs_f64() * 1_000.0,
                    outcome.opening_share
                );
            }
        }
    }
}
