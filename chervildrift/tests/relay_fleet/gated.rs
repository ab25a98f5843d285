//! Fleet of one zone whose VMs reach the store at addresses of their own.

use chervildrift_standin::deployment::{Handle, Options};

use super::{Fleet, Vm, await_true};

/// Number of observers of a zone that is the only one.
const OBSERVERS: usize = 7;

/// Number of VMs of one zone of which one is not an observer.
pub const VM_COUNT: usize = OBSERVERS + 1;

/// Fleet with followers, which receive the views of observers.
pub struct GatedFleet {
    pub fleet: Fleet,
    /// Addresses of the store, by VM.
    pub gates: Vec<Handle>,
}

impl GatedFleet {
    /// Starts a fleet of [`VM_COUNT`] VMs with one follower.
    pub async fn spawn() -> Self {
        Self::spawn_with(VM_COUNT).await
    }

    /// Starts a fleet and waits until its VMs know their roles.
    pub async fn spawn_with(vms: usize) -> Self {
        let mut fleet = Fleet::spawn(0, &Options::default()).await;
        let mut gates = Vec::new();
        for _ in 0..vms {
            let gate = fleet.platform.with_own_address().await.expect("a gate");
            fleet.store_address = gate.address;
            fleet.add_vm("");
            gates.push(gate);
        }
        await_true("settled fleet", async || has_settled(&fleet)).await;
        Self { fleet, gates }
    }

    /// Leaves the observers' reads of a table without a response.
    pub fn mute_observers(&self, table: &'static str) {
        for (vm, gate) in self.fleet.vms.iter().zip(&self.gates) {
            if logged_role(vm) == Some(true) {
                gate.mute_reads(table);
            }
        }
    }

    /// Returns a VM that is not an observer.
    pub fn follower(&self) -> &Vm {
        let mut vms = self.fleet.vms.iter();
        let follower = vms.find(|vm| logged_role(vm) == Some(false));
        follower.expect("a VM that follows observers")
    }
}

/// Returns the role that a VM has logged last: whether it is an observer.
fn logged_role(vm: &Vm) -> Option<bool> {
    let log = vm.log();
    let mut roles = log.iter().rev().filter(|line| line["event"] == "observer");
    roles.find_map(|line| line["observer"].as_bool())
}

/// Returns whether all VMs know each other, and one of them is not an observer.
fn has_settled(fleet: &Fleet) -> bool {
    let knows_all = |vm: &Vm| {
        let log = vm.log();
        let mut counts = log.iter().rev().filter(|line| line["event"] == "presence");
        counts.find_map(|line| line["vms"].as_u64()) == Some(fleet.vms.len() as u64)
    };
    let followers = fleet.vms.iter().filter(|vm| logged_role(vm) == Some(false));
    fleet.vms.iter().all(knows_all) && followers.count() == fleet.vms.len() - OBSERVERS
}
