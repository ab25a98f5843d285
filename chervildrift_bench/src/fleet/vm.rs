//! State of one VM: membership, configuration generations, burn counters and placement.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::burn::{BurnCounters, Limits as BurnLimits, Series};
use chervildrift_core::generation::{Generations, Limits as GenerationLimits};
use chervildrift_core::membership::{Change, Limits, LocalVm, Membership, Place, State};
use chervildrift_core::placement::Placement;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Kind, Rank, Service, Vm, Zone};

/// Number of services of the two-year size: 7,400 databases in groups of three, three instances
/// each.
const FLEET_SERVICES: usize = 820;

/// Number of VMs of the two-year size.
const FLEET_VMS: usize = 3_400;

/// Number of services that one VM dispatches for: 22,200 upstreams over 3,400 VMs.
const SERVICES_PER_VM: usize = 7;

/// Number of kinds that each service counts.
const KINDS_PER_SERVICE: usize = 3;

/// State of the process of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    Running,
    Frozen,
    Ended,
}

/// VM of a fleet.
#[derive(Debug)]
pub struct FleetVm {
    pub name: Vm,
    pub membership: Membership,
    pub generations: Generations,
    pub burn: BurnCounters,
    pub placement: Placement,
    pub series: Vec<Series>,
    pub boot: u64,
    pub process: Process,
    pub is_poller: bool,
    pub placement_changed: bool,
}

impl FleetVm {
    pub fn new(index: usize, zone: &Zone, boot: u64, seed: u64, interval: Duration) -> Self {
        let me = LocalVm {
            vm: vm_name(index),
            place: place(index, zone),
            boot,
        };
        let limits = Limits {
            probe_period: interval,
            ..Limits::default()
        };
        let mut rng = Rng::new(seed);
        let generations = Generations::new(Rng::new(rng.next()), GenerationLimits::default());
        Self {
            burn: BurnCounters::new(me.vm.clone(), boot, BurnLimits::default()),
            name: me.vm.clone(),
            membership: Membership::new(me, rng, limits),
            generations,
            placement: Placement::new(),
            series: Vec::new(),
            boot,
            process: Process::Running,
            is_poller: false,
            placement_changed: false,
        }
    }

    /// Chooses the services that the VM dispatches for.
    pub fn assign(&mut self, size: usize, index: usize) {
        let services = (FLEET_SERVICES * size / FLEET_VMS).max(1);
        let chosen =
            (0..SERVICES_PER_VM.min(services)).map(|step| (index * 31 + step * 97) % services);
        let series = |service: usize, kind: usize| Series {
            service: Service::from(format!("service-{service}")),
            kind: Kind::from(format!("kind-{kind}")),
            rank: Rank::ALL[kind % Rank::COUNT],
        };
        self.series = chosen
            .flat_map(|service| (0..KINDS_PER_SERVICE).map(move |kind| series(service, kind)))
            .collect();
    }

    pub const fn is_running(&self) -> bool {
        matches!(self.process, Process::Running)
    }

    /// Returns the record that the other VMs have of this one at the start.
    pub fn change(&self, index: usize, zone: &Zone) -> Change {
        Change {
            vm: self.name.clone(),
            incarnation: self.membership.incarnation(),
            state: State::Alive,
            place: Some(place(index, zone)),
        }
    }
}

pub fn vm_name(index: usize) -> Vm {
    Vm::from(format!("vm-{index:05}"))
}

pub fn vm_index(vm: &Vm) -> Option<usize> {
    vm.as_str().strip_prefix("vm-")?.parse().ok()
}

pub fn place(index: usize, zone: &Zone) -> Place {
    Place {
        zone: zone.clone(),
        address: address(index),
    }
}

pub fn address(index: usize) -> SocketAddr {
    let (high, low) = ((index / 250) as u8, (index % 250) as u8);
    SocketAddr::from(([10, 0, high, low], 7_000))
}

pub fn index_of_address(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
