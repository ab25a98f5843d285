//! One fleet through the phases of the measurement.

use std::time::Duration;

use chervildrift_core::membership::Event as MemberEvent;
use chervildrift_core::rng::Rng;

use super::cost::Costs;
use super::placed::{self, Placed};
use super::vm::{self, Process};
use super::world::{World, zone_of};

/// Phases of one run.
pub const PHASES: u32 = 5;

/// Time before the first phase, in which the first configuration spreads.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time between two events of a phase.
const EVENT_PERIOD: Duration = Duration::from_secs(2);

/// Time from leaving to the end of a process, and from there to the start of the next.
const RESTART_STEP: Duration = Duration::from_millis(500);

/// Time in which the last events of a phase have to settle.
const SETTLE: Duration = Duration::from_secs(4);

/// Longest wait for all VMs to agree after the cut.
const HEALING: Duration = Duration::from_secs(120);

/// Time over which the greatest traffic is taken.
const SAMPLE: Duration = Duration::from_secs(1);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub size: usize,
    pub seed: u64,
    pub phase: Duration,
    pub loss: u64,
    pub bundle: usize,
    pub probe: Duration,
    pub cut: Duration,
}

/// Costs of one phase, and the events in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    pub costs: Costs,
    pub seconds: f64,
    pub events: u64,
}

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub size: usize,
    pub quiet: Phase,
    pub lossy: Phase,
    pub failures: Phase,
    pub replacements: Phase,
    pub changes: Phase,
    pub state_mean: f64,
    pub state_max: f64,
    pub near: Vec<f64>,
    pub far: Vec<f64>,
    pub missed: usize,
    pub installs: Vec<f64>,
    pub behind: usize,
    pub false_failures: u64,
    pub vm_hours: f64,
    pub disagreeing: usize,
    pub platform_reads: f64,
    pub cut: Option<Cut>,
    pub placed: Placed,
}

/// Figures of an availability zone that is cut off and comes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    /// Seconds until all VMs hold only those in contact as members.
    pub split: Option<f64>,
    /// Seconds from the end of the cut until all hold all.
    pub healed: Option<f64>,
    /// Greatest mean of bytes sent by one VM in one second.
    pub peak: f64,
}

/// Runs one fleet.
pub fn run(plan: &Plan) -> Outcome {
    let mut world = World::open(plan);
    world.platform.publish();
    world.published.push(world.now);
    world.run(WARM_UP);
    let mut outcome = Outcome {
        size: plan.size,
        placed: placed::measure(plan.size),
        ..Outcome::default()
    };
    world.watch.installs.clear();
    outcome.quiet = phase(&mut world, plan, |_| 0);
    let reads = world.platform.reads;
    world.links.loss = plan.loss;
    outcome.lossy = phase(&mut world, plan, |_| 0);
    let seconds = plan.phase.as_secs_f64();
    outcome.platform_reads = (world.platform.reads - reads) as f64 / seconds;
    outcome.changes = phase(&mut world, plan, publish);
    world.run(SETTLE);
    outcome.behind = world.behind();
    outcome.installs = std::mem::take(&mut world.watch.installs);
    let mut chooser = Rng::new(plan.seed ^ 0x5eed);
    outcome.replacements = phase(&mut world, plan, |world| replace(world, &mut chooser));
    outcome.failures = phase(&mut world, plan, |world| kill(world, &mut chooser));
    world.run(SETTLE);
    outcome.near = std::mem::take(&mut world.watch.near);
    outcome.far = std::mem::take(&mut world.watch.far);
    outcome.missed = world.missed();
    outcome.false_failures = world.watch.wrong;
    outcome.vm_hours = plan.size as f64 * seconds * f64::from(PHASES - 1) / 3_600.0;
    outcome.disagreeing = world.disagreeing();
    if !plan.cut.is_zero() {
        outcome.cut = Some(cut(&mut world, plan.cut));
    }
    (outcome.state_mean, outcome.state_max) = world.state();
    outcome
}

/// Cuts one availability zone off and lets it come back.
fn cut(world: &mut World, span: Duration) -> Cut {
    let mut figures = Cut::default();
    let inside = |world: &World, index: usize| zone_of(world, index) == 0;
    world.links.cut = Some(0);
    let started = world.now;
    while world.now.since(started) < span {
        let apart = world.parted(inside) == 0;
        if apart && figures.split.is_none() {
            figures.split = Some(world.now.since(started).as_secs_f64());
        }
        sample(world, &mut figures);
    }
    world.links.cut = None;
    let started = world.now;
    while world.now.since(started) < HEALING && world.disagreeing() > 0 {
        sample(world, &mut figures);
    }
    let agreed = world.disagreeing() == 0;
    figures.healed = agreed.then(|| world.now.since(started).as_secs_f64());
    figures
}

fn sample(world: &mut World, figures: &mut Cut) {
    let before = world.costs.total().sent;
    world.run(SAMPLE);
    let running = world.nodes.iter().filter(|node| node.runs()).count();
    let sent = world.costs.total().sent - before;
    figures.peak = figures.peak.max(sent as f64 / running.max(1) as f64);
}

/// Runs one phase with an event every two seconds.
fn phase(world: &mut World, plan: &Plan, mut act: impl FnMut(&mut World) -> u64) -> Phase {
    let before = world.costs;
    let start = world.now;
    let end = start + plan.phase;
    let mut events = 0;
    while world.now < end {
        if world.now + EVENT_PERIOD <= end {
            events += act(world);
        }
        world.run(EVENT_PERIOD.min(end.since(world.now)));
    }
    Phase {
        costs: world.costs.since(&before),
        seconds: plan.phase.as_secs_f64(),
        events,
    }
}

fn publish(world: &mut World) -> u64 {
    world.platform.publish();
    world.published.push(world.now);
    1
}

/// Lets a random VM leave, end, and start again under its name.
fn replace(world: &mut World, chooser: &mut Rng) -> u64 {
    let Some(index) = running(world, chooser) else {
        return 0;
    };
    world.member(index, MemberEvent::Leave);
    world.run(RESTART_STEP);
    world.member(index, MemberEvent::Stop);
    world.nodes[index].process = Process::Ended;
    world.run(RESTART_STEP);
    world.restart(index);
    1
}

/// Kills a random VM, or freezes it in every other case.
fn kill(world: &mut World, chooser: &mut Rng) -> u64 {
    let alone = |world: &World, index: usize| {
        let others = (0..world.nodes.len()).filter(|other| *other != index);
        let mut inside = others.filter(|other| zone_of(world, *other) == zone_of(world, index));
        !inside.any(|other| world.nodes[other].runs())
    };
    let Some(index) = running(world, chooser).filter(|index| !alone(world, *index)) else {
        return 0;
    };
    if chooser.below(2) == 0 {
        world.nodes[index].process = Process::Ended;
    } else {
        world.nodes[index].process = Process::Frozen;
    }
    let name = vm::name(index);
    world.watch.victims.push((name, index, world.now));
    1
}

fn running(world: &World, chooser: &mut Rng) -> Option<usize> {
    let size = world.nodes.len();
    let mut tries = (0..size).map(|_| chooser.below(size as u64) as usize);
    tries.find(|index| world.nodes[*index].runs())
}
