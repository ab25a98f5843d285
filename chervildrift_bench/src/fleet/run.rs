//! Phases of the measurement of one fleet.

use std::time::Duration;

use chervildrift_core::membership::Event as MemberEvent;
use chervildrift_core::rng::Rng;

use super::cost::Costs;
use super::dispatchers::{self, DispatcherFigures};
use super::vm::{self, Process};
use super::world::{World, zone_of};

/// Number of phases of one run.
pub const PHASE_COUNT: u32 = 5;

/// Time before the first phase, in which the first configuration reaches all VMs.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time between two events of a phase.
const EVENT_PERIOD: Duration = Duration::from_secs(2);

/// Time from a leave to the end of the process, and from there to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time after a phase within which its last events have to take effect.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Longest wait after the cut for all VMs to agree on the members.
const MAX_HEAL_TIME: Duration = Duration::from_secs(120);

/// Interval over which peak traffic is measured.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub size: usize,
    pub seed: u64,
    pub phase_length: Duration,
    pub loss_percent: u64,
    pub bundle_bytes: usize,
    pub probe_period: Duration,
    pub cut_length: Duration,
}

/// Costs of one phase and the number of its events.
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
    pub local_detections: Vec<f64>,
    pub remote_detections: Vec<f64>,
    pub missed_pairs: usize,
    pub install_times: Vec<f64>,
    pub vms_behind: usize,
    pub false_failures: u64,
    pub vm_hours: f64,
    pub disagreeing: usize,
    pub platform_reads: f64,
    pub zone_cut: Option<ZoneCut>,
    pub dispatchers: DispatcherFigures,
}

/// Figures of an availability zone that is cut off and reconnected.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneCut {
    /// Seconds until every VM has only the VMs on its side of the cut as members.
    pub seconds_to_split: Option<f64>,
    /// Seconds from the end of the cut until every VM has all running VMs as members.
    pub seconds_to_heal: Option<f64>,
    /// Greatest number of bytes sent in one second by a VM, as a mean over the VMs.
    pub peak_bytes: f64,
}

/// Runs one fleet through all phases.
pub fn run(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    world.platform.publish();
    world.publish_times.push(world.now);
    world.run(WARM_UP);
    let mut outcome = Outcome {
        size: plan.size,
        dispatchers: dispatchers::measure(plan.size),
        ..Outcome::default()
    };
    world.observations.install_times.clear();
    outcome.quiet = phase(&mut world, plan, |_| 0);
    let reads = world.platform.reads;
    world.links.loss_percent = plan.loss_percent;
    outcome.lossy = phase(&mut world, plan, |_| 0);
    let seconds = plan.phase_length.as_secs_f64();
    outcome.platform_reads = (world.platform.reads - reads) as f64 / seconds;
    outcome.changes = phase(&mut world, plan, publish);
    world.run(SETTLE_TIME);
    outcome.vms_behind = world.count_behind();
    outcome.install_times = std::mem::take(&mut world.observations.install_times);
    let mut rng = Rng::new(plan.seed ^ 0x5eed);
    outcome.replacements = phase(&mut world, plan, |world| replace_vm(world, &mut rng));
    outcome.failures = phase(&mut world, plan, |world| fail_vm(world, &mut rng));
    world.run(SETTLE_TIME);
    outcome.local_detections = std::mem::take(&mut world.observations.local_detections);
    outcome.remote_detections = std::mem::take(&mut world.observations.remote_detections);
    outcome.missed_pairs = world.count_missed();
    outcome.false_failures = world.observations.false_failures;
    outcome.vm_hours = plan.size as f64 * seconds * f64::from(PHASE_COUNT - 1) / 3_600.0;
    outcome.disagreeing = world.count_disagreeing();
    if !plan.cut_length.is_zero() {
        outcome.zone_cut = Some(cut_zone(&mut world, plan.cut_length));
    }
    (outcome.state_mean, outcome.state_max) = world.state_bytes();
    outcome
}

/// Cuts off one availability zone, reconnects it and waits for all VMs to agree.
fn cut_zone(world: &mut World, span: Duration) -> ZoneCut {
    let mut figures = ZoneCut::default();
    let inside = |world: &World, index: usize| zone_of(world, index) == 0;
    world.links.cut_zone = Some(0);
    let started = world.now;
    while world.now.since(started) < span {
        let apart = world.count_unsplit(inside) == 0;
        if apart && figures.seconds_to_split.is_none() {
            figures.seconds_to_split = Some(world.now.since(started).as_secs_f64());
        }
        sample(world, &mut figures);
    }
    world.links.cut_zone = None;
    let started = world.now;
    while world.now.since(started) < MAX_HEAL_TIME && world.count_disagreeing() > 0 {
        sample(world, &mut figures);
    }
    let agreed = world.count_disagreeing() == 0;
    figures.seconds_to_heal = agreed.then(|| world.now.since(started).as_secs_f64());
    figures
}

fn sample(world: &mut World, figures: &mut ZoneCut) {
    let before = world.costs.total().sent;
    world.run(SAMPLE_PERIOD);
    let running = world.vms.iter().filter(|vm| vm.is_running()).count();
    let sent = world.costs.total().sent - before;
    figures.peak_bytes = figures.peak_bytes.max(sent as f64 / running.max(1) as f64);
}

/// Runs one phase with an event every two seconds.
fn phase(world: &mut World, plan: &Plan, mut trigger: impl FnMut(&mut World) -> u64) -> Phase {
    let before = world.costs;
    let start = world.now;
    let end = start + plan.phase_length;
    let mut events = 0;
    while world.now < end {
        if world.now + EVENT_PERIOD <= end {
            events += trigger(world);
        }
        world.run(EVENT_PERIOD.min(end.since(world.now)));
    }
    Phase {
        costs: world.costs.since(&before),
        seconds: plan.phase_length.as_secs_f64(),
        events,
    }
}

fn publish(world: &mut World) -> u64 {
    world.platform.publish();
    world.publish_times.push(world.now);
    1
}

/// Lets a random VM leave, ends its process and starts a new one under the same name.
fn replace_vm(world: &mut World, rng: &mut Rng) -> u64 {
    let Some(index) = random_running_vm(world, rng) else {
        return 0;
    };
    world.handle_membership(index, MemberEvent::Leave);
    world.run(RESTART_DELAY);
    world.handle_membership(index, MemberEvent::Stop);
    world.vms[index].process = Process::Ended;
    world.run(RESTART_DELAY);
    world.restart(index);
    1
}

/// Ends or freezes a random VM, unless it is the last one that runs in its availability zone.
fn fail_vm(world: &mut World, rng: &mut Rng) -> u64 {
    let alone = |world: &World, index: usize| {
        let others = (0..world.vms.len()).filter(|other| *other != index);
        let mut inside = others.filter(|other| zone_of(world, *other) == zone_of(world, index));
        !inside.any(|other| world.vms[other].is_running())
    };
    let Some(index) = random_running_vm(world, rng).filter(|index| !alone(world, *index)) else {
        return 0;
    };
    if rng.below(2) == 0 {
        world.vms[index].process = Process::Ended;
    } else {
        world.vms[index].process = Process::Frozen;
    }
    let name = vm::vm_name(index);
    world.observations.failed_vms.push((name, index, world.now));
    1
}

fn random_running_vm(world: &World, rng: &mut Rng) -> Option<usize> {
    let size = world.vms.len();
    let mut indexes = (0..size).map(|_| rng.below(size as u64) as usize);
    indexes.find(|index| world.vms[*index].is_running())
}
