//! Table of the VMs of the fleet as known to one VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::{BUCKETS, Change, Incarnation, Place, State};
use crate::placement::name_hash;
use crate::rng::{Rng, mix};
use crate::types::{Time, Vm, Zone};

/// One VM in the table.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub vm: Vm,
    pub hash: u64,
    pub zone: u16,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub state: State,
    pub leaving: bool,
    pub changed_at: Time,
}

/// Members of one availability zone in ring order.
#[derive(Debug)]
struct Ring {
    zone: Zone,
    nodes: Vec<(u64, Vm)>,
}

/// All known VMs, with indexes by availability zone and by anti-entropy bucket.
#[derive(Debug)]
pub(super) struct Table {
    records: HashMap<Vm, Record>,
    rings: Vec<Ring>,
    buckets: Vec<Vec<Vm>>,
    digests: Vec<u32>,
    dead: Vec<Vm>,
    member_count: usize,
}

impl Table {
    pub fn new() -> Self {
        Self {
            records: HashMap::new(),
            rings: Vec::new(),
            buckets: vec![Vec::new(); BUCKETS],
            digests: vec![0; BUCKETS],
            dead: Vec::new(),
            member_count: 0,
        }
    }

    pub fn get(&self, vm: &Vm) -> Option<&Record> {
        self.records.get(vm)
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the VMs that may be dispatchers.
    pub fn live(&self) -> impl Iterator<Item = (&Vm, &Zone)> + Clone {
        let eligible = |record: &&Record| record.state.is_member() && !record.leaving;
        let zone_of = |record: &Record| self.zone(record.zone);
        self.records
            .values()
            .filter(eligible)
            .map(move |record| (&record.vm, zone_of(record)))
    }

    /// Returns the VMs that failed or left longer than `retention` ago.
    pub fn expired(&self, now: Time, retention: Duration) -> Vec<Vm> {
        let is_expired = |vm: &&Vm| {
            self.get(vm)
                .is_some_and(|record| now.since(record.changed_at) > retention)
        };
        self.dead.iter().filter(is_expired).cloned().collect()
    }

    pub const fn member_count(&self) -> usize {
        self.member_count
    }

    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    pub fn bucket(&self, index: usize) -> &[Vm] {
        self.buckets.get(index).map_or(&[], Vec::as_slice)
    }

    pub fn zone(&self, index: u16) -> &Zone {
        &self.rings[usize::from(index)].zone
    }

    /// Returns the index of `zone`, adding the zone when it is new.
    pub fn zone_index(&mut self, zone: &Zone) -> u16 {
        if let Some(index) = self.rings.iter().position(|ring| ring.zone == *zone) {
            return index as u16;
        }
        let zone = zone.clone();
        let nodes = Vec::new();
        self.rings.push(Ring { zone, nodes });
        (self.rings.len() - 1) as u16
    }

    /// Returns the members of an availability zone.
    pub fn ring(&self, zone: u16) -> &[(u64, Vm)] {
        &self.rings[usize::from(zone)].nodes
    }

    /// Returns the number of other availability zones with members.
    pub fn other_zone_count(&self, zone: u16) -> usize {
        let is_populated =
            |(index, ring): &(usize, &Ring)| *index != usize::from(zone) && !ring.nodes.is_empty();
        self.rings.iter().enumerate().filter(is_populated).count()
    }

    /// Returns a random member of an availability zone.
    pub fn random(&self, zone: u16, rng: &mut Rng) -> Option<&Vm> {
        let nodes = self.ring(zone);
        let index = rng.below(nodes.len() as u64) as usize;
        nodes.get(index).map(|(_, vm)| vm)
    }

    /// Returns a random member of a random other availability zone.
    pub fn random_remote(&self, zone: u16, rng: &mut Rng) -> Option<&Vm> {
        self.random_excluding(zone, zone, rng)
    }

    /// Returns the member at `position`, modulo their number, in the fixed order of the members of
    /// all other availability zones.
    pub fn remote_at(&self, zone: u16, position: usize) -> Option<&Vm> {
        let other = |(index, _): &(usize, &Ring)| *index != usize::from(zone);
        let others = || self.rings.iter().enumerate().filter(other);
        let total: usize = others().map(|(_, ring)| ring.nodes.len()).sum();
        let mut offset = position % total.max(1);
        for (_, ring) in others() {
            if let Some((_, vm)) = ring.nodes.get(offset) {
                return Some(vm);
            }
            offset -= ring.nodes.len();
        }
        None
    }

    /// Returns a random member of a random availability zone other than the two given.
    pub fn random_excluding(&self, first: u16, second: u16, rng: &mut Rng) -> Option<&Vm> {
        let is_populated = |index: &usize| !self.rings[*index].nodes.is_empty();
        let other = |index: &usize| *index != usize::from(first) && *index != usize::from(second);
        let others = (0..self.rings.len()).filter(other).filter(is_populated);
        let chosen = rng.below(others.clone().count() as u64) as usize;
        let index = others.clone().nth(chosen)?;
        self.random(index as u16, rng)
    }

    /// Returns the number of VMs that failed or left.
    pub const fn dead_count(&self) -> usize {
        self.dead.len()
    }

    /// Returns the bucket and the digest part of a VM that is not in the table, such as this one.
    pub fn digest_part_of(hash: u64, incarnation: Incarnation, state: State) -> (usize, u32) {
        let part = if state.is_member() {
            fingerprint(hash, incarnation, state == State::Leaving)
        } else {
            0
        };
        (bucket_of(hash), part)
    }

    /// Returns the bucket of a VM and its digest part there, which is 0 unless it is a member.
    pub fn digest_part(&self, vm: &Vm) -> (usize, u32) {
        let known = self.get(vm).filter(|record| record.state.is_member());
        known.map_or((0, 0), |it| (bucket_of(it.hash), it.fingerprint()))
    }

    /// Returns a random VM that failed or left.
    pub fn random_dead(&self, rng: &mut Rng) -> Option<&Vm> {
        let index = rng.below(self.dead.len() as u64) as usize;
        self.dead.get(index)
    }

    /// Returns the member at `offset` places after `hash` in the ring of an availability zone.
    pub fn successor(&self, zone: u16, hash: u64, offset: usize) -> Option<&Vm> {
        let nodes = self.ring(zone);
        let start = nodes.partition_point(|(other, _)| *other <= hash);
        let index = (start + offset) % nodes.len().max(1);
        nodes.get(index).map(|(_, vm)| vm)
    }

    /// Adds a VM.
    pub fn insert(&mut self, change: &Change, place: &Place, now: Time) {
        let hash = name_hash(change.vm.as_str());
        let record = Record {
            vm: change.vm.clone(),
            hash,
            zone: self.zone_index(&place.zone),
            address: place.address,
            incarnation: change.incarnation,
            state: change.state,
            leaving: change.state == State::Leaving,
            changed_at: now,
        };
        let bucket = &mut self.buckets[bucket_of(hash)];
        let index = bucket.partition_point(|vm| *vm < record.vm);
        bucket.insert(index, record.vm.clone());
        self.add_to_indexes(&record);
        self.records.insert(record.vm.clone(), record);
    }

    /// Applies a change to a known VM, with the new place if it has one.
    pub fn update(&mut self, change: &Change, now: Time) {
        let Some(mut record) = self.records.remove(&change.vm) else {
            return;
        };
        self.remove_from_indexes(&record);
        let same_boot = record.incarnation.boot == change.incarnation.boot;
        let still_leaving = same_boot && record.leaving && change.state == State::Suspect;
        record.leaving = still_leaving || change.state == State::Leaving;
        record.incarnation = change.incarnation;
        record.state = change.state;
        record.changed_at = now;
        if let Some(place) = &change.place {
            record.zone = self.zone_index(&place.zone);
            record.address = place.address;
        }
        self.add_to_indexes(&record);
        self.records.insert(record.vm.clone(), record);
    }

    /// Clears the suspicion of a VM at the same incarnation.
    pub fn clear_suspicion(&mut self, vm: &Vm) {
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        if record.state == State::Suspect {
            record.state = if record.leaving {
                State::Leaving
            } else {
                State::Alive
            };
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &Vm) {
        let Some(record) = self.records.remove(vm) else {
            return;
        };
        self.remove_from_indexes(&record);
        self.buckets[bucket_of(record.hash)].retain(|other| other != vm);
    }

    /// Returns the change that announces the state of `record`.
    pub fn change(&self, record: &Record) -> Change {
        let includes_place = matches!(record.state, State::Alive | State::Leaving);
        let place = includes_place.then(|| self.place(record));
        Change {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            state: record.state,
            place,
        }
    }

    pub fn place(&self, record: &Record) -> Place {
        Place {
            zone: self.zone(record.zone).clone(),
            address: record.address,
        }
    }

    /// Estimates the memory used in bytes, with each name counted once.
    pub fn bytes(&self) -> usize {
        let record = size_of::<(Vm, Record)>() + 1;
        let names: usize = self.records.keys().map(|vm| vm.as_str().len() + 16).sum();
        let indexes = size_of::<(u64, Vm)>() + 2 * size_of::<Vm>();
        self.records.capacity() * record + names + self.records.len() * indexes
    }

    fn add_to_indexes(&mut self, record: &Record) {
        if !record.state.is_member() {
            self.dead.push(record.vm.clone());
            return;
        }
        self.member_count += 1;
        self.digests[bucket_of(record.hash)] ^= record.fingerprint();
        let node = (record.hash, record.vm.clone());
        let nodes = &mut self.rings[usize::from(record.zone)].nodes;
        let index = nodes.partition_point(|other| *other < node);
        nodes.insert(index, node);
    }

    fn remove_from_indexes(&mut self, record: &Record) {
        if !record.state.is_member() {
            self.dead.retain(|vm| *vm != record.vm);
            return;
        }
        self.member_count -= 1;
        self.digests[bucket_of(record.hash)] ^= record.fingerprint();
        let nodes = &mut self.rings[usize::from(record.zone)].nodes;
        let found =
            nodes.binary_search_by(|(hash, vm)| (*hash, vm).cmp(&(record.hash, &record.vm)));
        if let Ok(index) = found {
            nodes.remove(index);
        }
    }
}

/// Returns the anti-entropy bucket of a name's hash.
pub(super) const fn bucket_of(hash: u64) -> usize {
    (hash >> 32) as usize % BUCKETS
}

/// Returns the contribution of one member to the digest of its bucket.
///
/// The count of the incarnation is left out, since a refuted suspicion raises it only in the
/// availability zone where it arose.
const fn fingerprint(hash: u64, incarnation: Incarnation, leaving: bool) -> u32 {
    let salt = incarnation.boot ^ ((leaving as u64) << 63);
    (mix(hash ^ mix(salt)) >> 32) as u32
}

impl Record {
    const fn fingerprint(&self) -> u32 {
        fingerprint(self.hash, self.incarnation, self.leaving)
    }
}
