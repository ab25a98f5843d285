//! Tables that the measurement prints.

use std::time::Duration;

use chervildrift_core::invariant;
use chervildrift_core::types::{Rank, Time};

use super::Args;
use super::deployment::{self, Deployment};
use super::dispatcher::Fault;
use super::load::Loads;
use super::model::{Run, simulate};
use super::outcome::Outcome;
use super::variant::Variant;

/// Time before the measured time, in which queues and estimates settle.
const WARM_UP: Duration = Duration::from_secs(3);

/// Load of the flooding rank as a multiple of all slots.
const FLOOD_LOAD: f64 = 10.0;

/// Load of the other ranks in a flood as a multiple of their guaranteed shares.
const ORDINARY_LOAD: f64 = 1.1;

/// Load of every rank in the unloaded scenario as a multiple of its guaranteed share.
const UNLOADED_LOAD: f64 = 0.2;

/// Factors on the service time of bulk work, which show how far the reserved share matters.
const BULK_STRETCHES: [u32; 3] = [1, 2, 4];

/// Shares of the slot time that may stay idle to keep a slot free of long bulk statements.
const RESERVED_SHARES: [f64; 4] = [0.0, 0.05, 0.1, 0.15];

/// One load that is measured.
struct Scenario {
    name: String,
    flood: Option<Rank>,
    loads: Loads,
}

/// Runs all measurements and prints their tables.
pub fn print(args: &Args) {
    let deployment = deployment::sizes(args.deployment);
    println!(
        "# Floods: {:?}, seed {}, {} s",
        args.deployment, args.seed, args.seconds
    );
    let scenarios = scenarios(&deployment);
    for (name, variant) in variants() {
        println!("\n## {name}\n");
        let outcomes = scenarios.iter().map(|scenario| {
            let run = flood_run(args, scenario, variant);
            simulate(&deployment, &run)
        });
        print_floods(&deployment, &scenarios, &outcomes.collect::<Vec<_>>());
    }
    println!("\n## Bulk flood, with the last free slot kept from bulk work\n");
    print_reserves(args, &deployment);
    println!("\n## Faulty upstream, all ranks at their ordinary load\n");
    print_faults(args, &deployment);
    println!("\nInvariant breaches: {}", invariant::count());
}

fn variants() -> Vec<(&'static str, Variant)> {
    let with = |change: fn(&mut Variant)| {
        let mut variant = Variant::default();
        change(&mut variant);
        variant
    };
    let unprotected = |variant: &mut Variant| {
        variant.unlimited_retries = true;
        variant.no_shedding = true;
    };
    vec![
        ("Policy as designed", Variant::default()),
        ("One FIFO queue", with(|variant| variant.fifo = true)),
        (
            "Strict ranks without floors",
            with(|variant| variant.strict = true),
        ),
        (
            "No early refusal",
            with(|variant| variant.ignore_deadlines = true),
        ),
        (
            "Entries that do not shed",
            with(|variant| variant.no_shedding = true),
        ),
        (
            "Retries without a budget",
            with(|variant| variant.unlimited_retries = true),
        ),
        (
            "Retries without a budget, entries that do not shed",
            with(unprotected),
        ),
    ]
}

fn scenarios(deployment: &Deployment) -> Vec<Scenario> {
    let shares = deployment.policy.guaranteed_shares;
    let unloaded = Scenario {
        name: "unloaded".into(),
        flood: None,
        loads: shares.map(|share| share * UNLOADED_LOAD),
    };
    let flooded = Rank::ALL.into_iter().rev().map(|rank| {
        let mut loads = shares.map(|share| share * ORDINARY_LOAD);
        loads[rank.index()] = FLOOD_LOAD;
        Scenario {
            name: format!("{rank} flood"),
            flood: Some(rank),
            loads,
        }
    });
    std::iter::once(unloaded).chain(flooded).collect()
}

fn flood_run(args: &Args, scenario: &Scenario, variant: Variant) -> Run {
    let start = Time::default() + WARM_UP;
    Run {
        seed: args.seed,
        loads: scenario.loads,
        variant,
        fault: Fault::None,
        fault_span: (Time::default(), Time::default()),
        measured_span: (start, start + Duration::from_secs(args.seconds)),
    }
}

fn print_floods(deployment: &Deployment, scenarios: &[Scenario], outcomes: &[Outcome]) {
    println!(
        "| Load | Rank | Offered | In deadline | Refused | Late | p50 ms | p99 ms | p99 / unloaded \
         | Slot time | Floor | Of floor | Goodput | Forwards |"
    );
    println!("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for (scenario, outcome) in scenarios.iter().zip(outcomes) {
        for rank in Rank::ALL {
            print_rank(deployment, scenario, outcome, &outcomes[0], rank);
        }
    }
}

fn print_rank(
    deployment: &Deployment,
    scenario: &Scenario,
    outcome: &Outcome,
    unloaded: &Outcome,
    rank: Rank,
) {
    let counts = &outcome.ranks[rank.index()];
    let floor = deployment.policy.guaranteed_shares[rank.index()];
    let ratio = counts.quantile(0.99) / unloaded.ranks[rank.index()].quantile(0.99).max(0.001);
    let entitled_share = floor.min(scenario.loads[rank.index()]);
    let is_flooding = scenario.flood == Some(rank);
    println!(
        "| {}{} | {rank} | {} | {:.3}% | {} | {} | {:.1} | {:.1} | {ratio:.2} | {:.2}% | {:.0}% \
         | {:.1}% | {:.1}% | {} |",
        scenario.name,
        if is_flooding { " (*)" } else { "" },
        counts.offered,
        counts.served_share() * 100.0,
        counts.refused,
        counts.late,
        counts.quantile(0.5),
        counts.quantile(0.99),
        outcome.slot_time_share(rank) * 100.0,
        floor * 100.0,
        outcome.slot_time_share(rank) / entitled_share * 100.0,
        outcome.goodput() * 100.0,
        outcome.forwards,
    );
}

fn print_reserves(args: &Args, deployment: &Deployment) {
    println!(
        "| Bulk service | Reserve | Urgent in deadline | Urgent p99 ms | p99 / unloaded \
         | Routine p99 / unloaded | Goodput |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|");
    for stretch in BULK_STRETCHES {
        let stretched = deployment.stretch_bulk(stretch);
        let scenarios = scenarios(&stretched);
        let unloaded = simulate(
            &stretched,
            &flood_run(args, &scenarios[0], Variant::default()),
        );
        for reserve in RESERVED_SHARES {
            let variant = Variant {
                reserve: Some(reserve),
                ..Variant::default()
            };
            let outcome = simulate(&stretched, &flood_run(args, &scenarios[1], variant));
            let ratio = |rank: usize| {
                outcome.ranks[rank].quantile(0.99) / unloaded.ranks[rank].quantile(0.99)
            };
            println!(
                "| x{stretch} | {reserve} | {:.3}% | {:.1} | {:.2} | {:.2} | {:.1}% |",
                outcome.ranks[0].served_share() * 100.0,
                outcome.ranks[0].quantile(0.99),
                ratio(0),
                ratio(1),
                outcome.goodput() * 100.0,
            );
        }
    }
}

fn print_faults(args: &Args, deployment: &Deployment) {
    println!(
        "| Fault | Limit | Breaker | When | In deadline | Urgent in deadline | Refused | Late \
         | Failed | Urgent p99 ms | Goodput |"
    );
    println!("|---|---|---|---|--:|--:|--:|--:|--:|--:|--:|");
    for fault in [Fault::Slow, Fault::Silent, Fault::Failing] {
        for (fixed_limit, breaker) in [(true, false), (true, true), (false, false), (false, true)] {
            let variant = Variant {
                fixed_limit,
                breaker,
                ..Variant::default()
            };
            for after in [false, true] {
                print_fault(args, deployment, variant, fault, after);
            }
        }
    }
}

fn print_fault(args: &Args, deployment: &Deployment, variant: Variant, fault: Fault, after: bool) {
    let start = Time::default() + WARM_UP;
    let span = Duration::from_secs(args.seconds.div_ceil(3));
    let (middle, end) = (start + span, start + span + span);
    let run = Run {
        seed: args.seed,
        loads: deployment
            .policy
            .guaranteed_shares
            .map(|floor| floor * ORDINARY_LOAD),
        variant,
        fault,
        fault_span: (start, middle),
        measured_span: if after {
            (middle, end)
        } else {
            (start, middle)
        },
    };
    let outcome = simulate(deployment, &run);
    let sum = |count: fn(&super::outcome::RankOutcome) -> u64| -> u64 {
        outcome.ranks.iter().map(count).sum()
    };
    let offered = sum(|rank| rank.offered).max(1);
    println!(
        "| {fault:?} | {} | {} | {} | {:.2}% | {:.2}% | {} | {} | {} | {:.1} | {:.1}% |",
        if variant.fixed_limit {
            "fixed"
        } else {
            "adaptive"
        },
        if variant.breaker { "yes" } else { "no" },
        if after { "after" } else { "during" },
        sum(|rank| rank.served) as f64 / offered as f64 * 100.0,
        outcome.ranks[0].served_share() * 100.0,
        sum(|rank| rank.refused),
        sum(|rank| rank.late),
        sum(|rank| rank.failed),
        outcome.ranks[0].quantile(0.99),
        outcome.goodput() * 100.0,
    );
}
