//! List of VMs, which can be given out as it was some time ago.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Changes of the list that are kept for a lagging reader.
const MAX_CHANGES: usize = 10_000;

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Runs and stays.
    #[default]
    Live,
    /// Is going to be stopped.
    Leaving,
}

/// VM as the list shows it; upstream VMs are listed too.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name, which the path gives in a `PUT`.
    #[serde(default)]
    pub name: String,
    /// IP address, with or without a port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the VM stays.
    #[serde(default)]
    pub state: VmState,
}

/// One change of the list.
#[derive(Debug)]
struct Change {
    at: Instant,
    name: String,
    /// New entry; none if the VM was removed.
    vm: Option<Vm>,
}

/// List of VMs with its latest changes.
#[derive(Debug, Default)]
pub(super) struct VmList {
    /// List before the changes.
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

    /// Returns the list as it was `lag` ago.
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
