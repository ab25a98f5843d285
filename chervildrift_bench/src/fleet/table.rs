//! Tables that the measurement prints.

use super::cost::{Cost, PARTS};
use super::fit::{Shape, fit};
use super::run::{Outcome, Phase};

/// Number of VMs of the two-year size.
const FLEET_VMS: f64 = 3_400.0;

/// Seconds in a day.
const DAY_SECONDS: f64 = 86_400.0;

/// Daily VM failures, replacements and configuration changes of the two-year size.
const DAILY_EVENTS: [f64; 3] = [54.0, 960.0, 6_400.0];

/// Limits of the control cost per VM: percent of a core, MB and KB/s.
const COST_LIMITS: [f64; 3] = [1.6, 256.0, 14.0];

/// Cost of one VM per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    messages: f64,
    sent: f64,
    received: f64,
    cpu: f64,
}

impl Rate {
    fn of(cost: Cost, vm_seconds: f64) -> Self {
        Self {
            messages: cost.messages as f64 / vm_seconds,
            sent: cost.sent as f64 / vm_seconds,
            received: cost.received as f64 / vm_seconds,
            cpu: cost.cpu_time.as_secs_f64() / vm_seconds * 100.0,
        }
    }

    fn plus(self, other: Self, times: f64) -> Self {
        Self {
            messages: self.messages + other.messages * times,
            sent: self.sent + other.sent * times,
            received: self.received + other.received * times,
            cpu: self.cpu + other.cpu * times,
        }
    }

    fn kilobytes(self) -> f64 {
        (self.sent + self.received) / 1_000.0
    }
}

fn rate(outcome: &Outcome, phase: &Phase) -> Rate {
    Rate::of(phase.costs.total(), outcome.size as f64 * phase.seconds)
}

/// Returns the cost that one event adds at one VM to that of the lossy phase without events.
fn event_cost(outcome: &Outcome, phase: &Phase) -> Rate {
    let extra = phase.costs.total() - outcome.lossy.costs.total();
    let count = phase.events.max(1) as f64;
    Rate::of(extra, outcome.size as f64 * count)
}

/// Returns the cost including daily events, whose number is proportional to the fleet size.
fn daily_cost(outcome: &Outcome, base: &Phase) -> Rate {
    let share = outcome.size as f64 / FLEET_VMS / DAY_SECONDS;
    let phases = [&outcome.failures, &outcome.replacements, &outcome.changes];
    let extra = phases.map(|phase| event_cost(outcome, phase));
    let base = rate(outcome, base);
    extra
        .into_iter()
        .zip(DAILY_EVENTS)
        .fold(base, |sum, (one, count)| sum.plus(one, count * share))
}

/// Prints all tables.
pub fn print(outcomes: &[Outcome]) {
    print_rates(outcomes);
    print_parts(outcomes);
    print_events(outcomes);
    print_times(outcomes);
    print_cut(outcomes);
    print_placement(outcomes);
    print_fits(outcomes);
}

fn print_rates(outcomes: &[Outcome]) {
    println!("## Cost of one VM\n");
    println!(
        "| VMs | phase | messages/s sent | bytes/s sent | bytes/s received | core % | state mean KB | state max KB |"
    );
    println!("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    for outcome in outcomes {
        let rows = [
            ("quiet", rate(outcome, &outcome.quiet)),
            ("lossy", rate(outcome, &outcome.lossy)),
            (
                "quiet and daily events",
                daily_cost(outcome, &outcome.quiet),
            ),
            (
                "lossy and daily events",
                daily_cost(outcome, &outcome.lossy),
            ),
        ];
        for (name, rate) in rows {
            println!(
                "| {} | {name} | {:.1} | {:.0} | {:.0} | {:.4} | {:.1} | {:.1} |",
                outcome.size,
                rate.messages,
                rate.sent,
                rate.received,
                rate.cpu,
                outcome.state_mean / 1_000.0,
                outcome.state_max / 1_000.0,
            );
        }
    }
}

fn print_parts(outcomes: &[Outcome]) {
    println!("\n## Cost of one VM by part, lossy phase\n");
    println!("| VMs | part | messages/s sent | bytes/s sent | bytes/s received | core % |");
    println!("| ---: | --- | ---: | ---: | ---: | ---: |");
    for outcome in outcomes {
        let vm_seconds = outcome.size as f64 * outcome.lossy.seconds;
        for (name, cost) in PARTS.iter().zip(outcome.lossy.costs.parts) {
            let rate = Rate::of(cost, vm_seconds);
            println!(
                "| {} | {name} | {:.2} | {:.0} | {:.0} | {:.4} |",
                outcome.size, rate.messages, rate.sent, rate.received, rate.cpu
            );
        }
    }
}

fn print_events(outcomes: &[Outcome]) {
    println!("\n## Cost of one event at one VM\n");
    println!("| VMs | event | number | messages | bytes sent | bytes received | core ms |");
    println!("| ---: | --- | ---: | ---: | ---: | ---: | ---: |");
    for outcome in outcomes {
        let rows = [
            ("failure", &outcome.failures),
            ("replacement", &outcome.replacements),
            ("configuration change", &outcome.changes),
        ];
        for (name, phase) in rows {
            let one = event_cost(outcome, phase);
            println!(
                "| {} | {name} | {} | {:.1} | {:.0} | {:.0} | {:.3} |",
                outcome.size,
                phase.events,
                one.messages,
                one.sent,
                one.received,
                one.cpu * 10.0
            );
        }
    }
}

fn print_times(outcomes: &[Outcome]) {
    println!("\n## Times in seconds\n");
    println!(
        "| VMs | in force p50 | p99 | max | VMs behind after 4 s | failed in zone p50 | p99 | max | pairs missed | failed elsewhere p50 | max | false failures | VM hours | VMs that disagree | platform reads/s |"
    );
    println!("|{}", " ---: |".repeat(15));
    for outcome in outcomes {
        let (install_times, local_detections, remote_detections) = (
            &outcome.install_times,
            &outcome.local_detections,
            &outcome.remote_detections,
        );
        println!(
            "| {} | {:.3} | {:.3} | {:.3} | {} | {:.3} | {:.3} | {:.3} | {} | {:.3} | {:.3} | {} | {:.1} | {} | {:.1} |",
            outcome.size,
            quantile(install_times, 0.5),
            quantile(install_times, 0.99),
            quantile(install_times, 1.0),
            outcome.vms_behind,
            quantile(local_detections, 0.5),
            quantile(local_detections, 0.99),
            quantile(local_detections, 1.0),
            outcome.missed_pairs,
            quantile(remote_detections, 0.5),
            quantile(remote_detections, 1.0),
            outcome.false_failures,
            outcome.vm_hours,
            outcome.disagreeing,
            outcome.platform_reads,
        );
    }
}

fn print_cut(outcomes: &[Outcome]) {
    println!("\n## An availability zone cut off\n");
    println!(
        "| VMs | seconds until split | seconds until healed | greatest KB/s sent by a VM, mean over VMs |"
    );
    println!("|{}", " ---: |".repeat(4));
    let seconds =
        |time: Option<f64>| time.map_or("not in time".to_owned(), |at| format!("{at:.0}"));
    for outcome in outcomes {
        let Some(cut) = outcome.zone_cut else {
            continue;
        };
        println!(
            "| {} | {} | {} | {:.1} |",
            outcome.size,
            seconds(cut.seconds_to_split),
            seconds(cut.seconds_to_heal),
            cut.peak_bytes / 1_000.0
        );
    }
}

fn print_placement(outcomes: &[Outcome]) {
    println!("\n## Dispatchers\n");
    println!(
        "| VMs | upstreams | greatest over mean | moved with a lost VM | moved besides | computed ns | cached ns |"
    );
    println!("|{}", " ---: |".repeat(7));
    for outcome in outcomes {
        let figures = outcome.dispatchers;
        println!(
            "| {} | {} | {:.2} | {} | {} | {:.0} | {:.0} |",
            outcome.size,
            figures.upstreams,
            figures.imbalance,
            figures.moved_lost,
            figures.moved_others,
            figures.cold_ns,
            figures.warm_ns,
        );
    }
}

fn print_fits(outcomes: &[Outcome]) {
    println!("\n## Fits and the two-year size\n");
    println!("| column | shape | intercept | slope | at 3,400 VMs | limit | share of limit |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
    let none = f64::NAN;
    let lossy = |one: &Outcome| daily_cost(one, &one.lossy);
    print_fit(outcomes, "messages/s sent", none, |one| lossy(one).messages);
    print_fit(outcomes, "core %", COST_LIMITS[0], |one| lossy(one).cpu);
    print_fit(outcomes, "state max MB", COST_LIMITS[1], |one| {
        one.state_max / 1e6
    });
    print_fit(outcomes, "KB/s sent", COST_LIMITS[2], |one| {
        lossy(one).sent / 1_000.0
    });
    print_fit(outcomes, "KB/s sent and received", COST_LIMITS[2], |one| {
        lossy(one).kilobytes()
    });
    print_fit(outcomes, "in force max s", 4.0, |one| {
        quantile(&one.install_times, 1.0)
    });
    print_fit(outcomes, "failed in zone max s", 1.0, |one| {
        quantile(&one.local_detections, 1.0)
    });
    print_fit(outcomes, "greatest over mean", none, |one| {
        one.dispatchers.imbalance
    });
}

fn print_fit(outcomes: &[Outcome], name: &str, limit: f64, column: impl Fn(&Outcome) -> f64) {
    let points: Vec<(f64, f64)> = outcomes
        .iter()
        .map(|outcome| (outcome.size as f64, column(outcome)))
        .collect();
    let fit = fit(&points);
    let value = fit.at(FLEET_VMS);
    let shape = match fit.shape {
        Shape::Linear => "linear",
        Shape::Logarithmic => "log10",
    };
    let (limit, used) = if limit.is_nan() {
        ("-".to_owned(), "-".to_owned())
    } else {
        (limit.to_string(), format!("{:.0}%", value / limit * 100.0))
    };
    println!(
        "| {name} | {shape} | {:.5} | {:.6} | {value:.4} | {limit} | {used} |",
        fit.intercept, fit.slope
    );
}

fn quantile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let index = ((sorted.len() as f64 * share).ceil() as usize).max(1) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
