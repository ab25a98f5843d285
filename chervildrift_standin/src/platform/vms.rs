//! List of VMs with a history, so that readers can get a stale list.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of changes kept for stale reads.
const MAX_CHANGES: usize = 10_000;

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    #[default]
    Live,
    /// The VM will be stopped.
    Leaving,
}

/// Entry of the list of VMs, which includes upstream VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name; a `PUT` takes it from the path.
    #[serde(default)]
    pub name: String,
    /// IP address, with an optional port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the VM is live or leaving.
    #[serde(default)]
    pub state: VmState,
}

/// Change of the list.
#[derive(Debug)]
struct Change {
    at: Instant,
    name: String,
    /// New entry, or `None` if the VM was removed.
    vm: Option<Vm>,
}

/// List of VMs and its latest changes.
#[derive(Debug, Default)]
pub(super) struct VmList {
    /// List before the oldest kept change.
    base: BTreeMap<String, Vm>,
    changes: VecDeque<Change>,
}

impl VmList {
    /// Adds or replaces a VM.
    pub fn put(&mut self, vm: Vm) {
        self.record_change(vm.name.clone(), Some(vm));
    }

    /// Removes a VM.
    pub fn delete(&mut self, name: &str) {
        self.record_change(name.to_owned(), None);
    }

    /// Returns the list as of `lag` ago.
    pub fn list(&self, lag: Duration) -> Vec<Vm> {
        let now = Instant::now();
        let old_enough = |change: &&Change| now.duration_since(change.at) >= lag;
        let mut list = self.base.clone();
        for change in self.changes.iter().take_while(old_enough) {
            apply_change(&mut list, change.name.clone(), change.vm.clone());
        }
        list.into_values().collect()
    }

    fn record_change(&mut self, name: String, vm: Option<Vm>) {
        let at = Instant::now();
        self.changes.push_back(Change { at, name, vm });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            apply_change(&mut self.base, oldest.name, oldest.vm);
        }
    }
}

fn apply_change(list: &mut BTreeMap<String, Vm>, name: String, vm: Option<Vm>) {
    match vm {
        Some(vm) => list.insert(name, vm),
        None => list.remove(&name),
    };
}
