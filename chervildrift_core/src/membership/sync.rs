//! Joins and anti-entropy.
//!
//! Both work by the same exchange: one side sends the digests of its buckets, the other answers
//! with pages of some buckets that differ. A VM that joins has empty buckets and asks often.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::apply::Origin;
use super::message::{BUCKETS, Body, Change, MAX_DATAGRAM_BYTES, Page, State, base_size};
use super::table::{Record, Table, bucket_of};
use super::{Action, Membership, Seed};
use crate::types::{Time, Vm};

/// Differing buckets at which a join counts as complete; changes under way make a few differ.
const JOINED_BUCKETS: u8 = 2;

/// Bytes of a page besides its entries: its bucket and two names.
const PAGE_BYTES: usize = 200;

/// Times that a seed is asked soon after it is named; later it is asked now and then.
const SEED_TRIES: u8 = 3;

/// Of the anti-entropy exchanges, one in this many goes to another availability zone, and one to
/// a failed VM or a seed that is not a member, which is how a healed partition is noticed.
const SYNC_TARGETS: u64 = 4;

impl Membership {
    /// Remembers seeds that are not members, up to a bound.
    pub(super) fn learn(&mut self, seeds: Vec<Seed>) {
        for seed in seeds {
            let own = seed.address == self.me.place.address;
            let known = seed
                .vm
                .as_ref()
                .is_some_and(|vm| self.table.get(vm).is_some());
            if own || known || self.seeds.contains_key(&seed.address) {
                continue;
            }
            if self.seeds.len() >= self.limits.max_seeds {
                let index = self.rng.below(self.seeds.len() as u64) as usize;
                let old = self.seeds.keys().nth(index).copied();
                old.map(|address| self.seeds.remove(&address));
            }
            self.seeds.insert(seed.address, 0);
        }
    }

    /// Starts the exchange that is due.
    pub(super) fn start_sync(&mut self, now: Time) {
        if now < self.next.sync {
            return;
        }
        if !self.joined {
            self.join(now);
            return;
        }
        self.next.sync = self.after(now, self.next.sync, self.limits.sync_period);
        if let Some(address) = self.untried() {
            self.next.sync = now + self.limits.repair_period;
            if self.rng.below(2) == 0 {
                self.ask_seed(address);
                return;
            }
        }
        let (vm, address) = match self.rng.below(SYNC_TARGETS) {
            0 => self.target(|this| this.table.random_far(this.zone, &mut this.rng).cloned()),
            1 => self.outsider(),
            _ => self.target(|this| this.table.random(this.zone, &mut this.rng).cloned()),
        };
        if let Some(address) = address {
            self.exchange(vm.as_ref(), address, self.limits.sync_buckets);
        }
    }

    /// Returns the seed that was asked least, unless all were asked often enough.
    fn untried(&self) -> Option<SocketAddr> {
        let (address, tries) = self.seeds.iter().min_by_key(|(_, tries)| **tries)?;
        (*tries < SEED_TRIES).then_some(*address)
    }

    fn ask_seed(&mut self, address: SocketAddr) {
        if let Some(tries) = self.seeds.get_mut(&address) {
            *tries += 1;
        }
        self.exchange(None, address, self.limits.sync_buckets);
    }

    /// Asks a seed or a member for more members.
    fn join(&mut self, now: Time) {
        self.next.sync = now + self.limits.join_period;
        let alone = self.table.members() == 0;
        let waited = self
            .opened
            .is_some_and(|at| now.since(at) >= self.limits.join_timeout);
        if alone && waited {
            self.finish_join();
            return;
        }
        let (vm, address) = if alone {
            (None, self.seed())
        } else {
            self.target(|this| this.table.random(this.zone, &mut this.rng).cloned())
        };
        let address = match address {
            Some(address) => Some(address),
            None => self.seed(),
        };
        if let Some(address) = address {
            self.exchange(vm.as_ref(), address, self.limits.join_buckets);
        }
    }

    fn finish_join(&mut self) {
        self.joined = true;
        self.out.push(Action::Joined);
    }

    /// Returns a failed VM, or a seed that is not a member.
    fn outsider(&mut self) -> (Option<Vm>, Option<SocketAddr>) {
        let known = self.seeds.len() as u64;
        let chosen = self.rng.below(known + u64::from(self.table.dead() > 0));
        if chosen < known {
            return (None, self.seed());
        }
        self.target(|this| this.table.random_dead(&mut this.rng).cloned())
    }

    fn target(
        &mut self,
        choose: impl FnOnce(&mut Self) -> Option<Vm>,
    ) -> (Option<Vm>, Option<SocketAddr>) {
        let vm = choose(self);
        let record = vm.as_ref().and_then(|vm| self.table.get(vm));
        let address = record.map(|record| record.address);
        (vm, address)
    }

    fn seed(&mut self) -> Option<SocketAddr> {
        let index = self.rng.below(self.seeds.len() as u64) as usize;
        self.seeds.keys().nth(index).copied()
    }

    fn exchange(&mut self, vm: Option<&Vm>, address: SocketAddr, budget: u8) {
        let digests = self.table.digests().to_vec();
        self.send(vm, address, Body::SyncRequest { digests, budget });
    }

    /// Answers an exchange.
    pub(super) fn compare(&mut self, from: SocketAddr, sender: &Vm, theirs: &[u32], budget: u8) {
        if theirs.len() != BUCKETS {
            return;
        }
        let own = Table::bucket_with(self.hash, self.incarnation, self.state);
        let other = self.table.part(sender);
        let mut differing: Vec<usize> = (0..BUCKETS)
            .filter(|index| self.differs(*index, theirs[*index], other, own))
            .collect();
        let body = Body::SyncReply {
            differing: differing.len() as u8,
        };
        self.send(Some(sender), from, body);
        if !differing.is_empty() {
            let start = self.rng.below(differing.len() as u64) as usize;
            differing.rotate_left(start);
        }
        let budget = budget.min(self.limits.join_buckets);
        for index in differing.into_iter().take(usize::from(budget)) {
            self.send_bucket(from, index);
        }
    }

    /// Tells whether a bucket differs. Each side's table lacks the side itself, so the sender is
    /// taken out of the own digest and this VM is added to it.
    fn differs(&self, index: usize, theirs: u32, other: (usize, u32), own: (usize, u32)) -> bool {
        let part = |(bucket, part): (usize, u32)| if bucket == index { part } else { 0 };
        let ours = self.table.digests()[index] ^ part(other) ^ part(own);
        ours != theirs
    }

    /// Sends all pages of a bucket, as far as the allowance reaches.
    fn send_bucket(&mut self, to: SocketAddr, index: usize) {
        let room = MAX_DATAGRAM_BYTES - base_size(&self.me.vm) - PAGE_BYTES;
        let mut after: Option<Vm> = None;
        let mut page: Vec<Change> = Vec::new();
        let mut size = 0;
        for entry in self.entries(index) {
            if size + entry.size() > room {
                let until = page.last().map(|last| last.vm.clone());
                let entries = std::mem::take(&mut page);
                self.send_page(to, index, after, until.clone(), true, entries);
                after = until;
                size = 0;
            }
            size += entry.size();
            page.push(entry);
        }
        self.send_page(to, index, after, None, true, page);
    }

    fn send_page(
        &mut self,
        to: SocketAddr,
        bucket: usize,
        after: Option<Vm>,
        until: Option<Vm>,
        wants_reply: bool,
        entries: Vec<Change>,
    ) {
        let message = self.bare(Body::Page(Page {
            bucket: bucket as u8,
            after,
            until,
            wants_reply,
            entries,
        }));
        let cost = message.size() as u32;
        if cost <= self.page_allowance {
            self.page_allowance -= cost;
            self.out.push(Action::Send { to, message });
        }
    }

    /// Returns the members of a bucket in order of name, this VM included.
    fn entries(&self, index: usize) -> Vec<Change> {
        let known = self.table.bucket(index).iter();
        let members = known.filter_map(|vm| self.table.get(vm));
        let mut entries: Vec<Change> = members
            .filter(|record| record.state.is_member())
            .map(|record| self.entry(record))
            .collect();
        if bucket_of(self.hash) == index && self.state.is_member() {
            let own = self.own_change();
            let place = entries.partition_point(|entry| entry.vm < own.vm);
            entries.insert(place, own);
        }
        entries
    }

    /// Returns a member as pages carry it: without suspicion, which only its own availability
    /// zone needs to know.
    fn entry(&self, record: &Record) -> Change {
        let state = if record.leaving {
            State::Leaving
        } else {
            State::Alive
        };
        Change {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            state,
            place: Some(self.table.place(record)),
        }
    }

    /// Takes the answer to an exchange.
    pub(super) fn synced(&mut self, now: Time, differing: u8) {
        if !self.joined && differing <= JOINED_BUCKETS {
            self.finish_join();
            self.next.sync = now + self.limits.sync_period;
            return;
        }
        if self.joined && differing > 0 {
            let soon = now + self.limits.repair_period;
            self.next.sync = self.next.sync.min(soon);
        }
    }

    /// Takes a page, and answers with what this VM knows better.
    pub(super) fn merge(&mut self, now: Time, from: SocketAddr, sender: &Vm, page: &Page) {
        let mut better = if page.wants_reply && self.joined {
            self.missing(sender, page)
        } else {
            Vec::new()
        };
        let origin = match self.origin(sender) {
            Origin::Near => Origin::NearPage,
            _ => Origin::FarPage,
        };
        for entry in &page.entries {
            self.apply(now, entry, origin);
            better.extend(self.correction(entry));
        }
        let room = MAX_DATAGRAM_BYTES - base_size(&self.me.vm) - PAGE_BYTES;
        let mut size = 0;
        better.retain(|change| {
            size += change.size();
            size <= room
        });
        if !better.is_empty() {
            let bucket = usize::from(page.bucket);
            self.send_page(from, bucket, None, None, false, better);
        }
    }

    /// Returns what is known of a VM when it overrules an entry in more than a suspicion. Only its
    /// own availability zone tells of a failure here: after a partition the other side holds VMs
    /// as failed that are not.
    fn correction(&self, entry: &Change) -> Option<Change> {
        let record = self.table.get(&entry.vm)?;
        if !record.state.is_member() {
            let certain = record.zone == self.zone || record.state == State::Left;
            let newer = record.incarnation >= entry.incarnation;
            return (certain && newer).then(|| self.table.change(record));
        }
        let known = self.entry(record);
        let newer = (known.incarnation, known.state) > (entry.incarnation, entry.state);
        newer.then_some(known)
    }

    /// Returns the members in the part of the bucket that a page covers but does not list.
    fn missing(&self, sender: &Vm, page: &Page) -> Vec<Change> {
        let listed: HashSet<&Vm> = page.entries.iter().map(|entry| &entry.vm).collect();
        let inside = |entry: &Change| {
            page.after.as_ref().is_none_or(|after| entry.vm > *after)
                && page.until.as_ref().is_none_or(|until| entry.vm <= *until)
        };
        let mut entries = self.entries(usize::from(page.bucket));
        entries.retain(|entry| inside(entry) && entry.vm != *sender);
        entries.retain(|entry| !listed.contains(&entry.vm));
        entries
    }
}
