//! Joins and anti-entropy.
//!
//! Both use the same exchange: one side sends the digests of its buckets, the other answers with
//! pages of some buckets that differ. A VM that joins starts with empty buckets and sends
//! its digests often.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::conflict::Origin;
use super::message::{BUCKETS, Body, Change, MAX_DATAGRAM_BYTES, Page, State, base_size};
use super::table::{Record, Table, bucket_of};
use super::{Action, Membership, Seed};
use crate::types::{Time, Vm};

/// Maximum number of differing buckets at which a join is complete; changes in transit make a few
/// differ.
const JOIN_COMPLETE_BUCKETS: u8 = 2;

/// Bytes of a page besides its entries: its bucket and two names.
const PAGE_OVERHEAD_BYTES: usize = 200;

/// Number of early exchanges with a new seed; later ones are only occasional.
const EARLY_SEED_ATTEMPTS: u8 = 3;

/// Of the anti-entropy exchanges, one in this many goes to another availability zone, and one to a
/// failed VM or a seed that is not a member, by which a healed partition is noticed.
const SYNC_TARGET_ODDS: u64 = 4;

impl Membership {
    /// Remembers seeds that are not members; at the bound, a new one replaces a random one.
    pub(super) fn add_seeds(&mut self, seeds: Vec<Seed>) {
        for seed in seeds {
            let is_own = seed.address == self.local.place.address;
            let is_known = seed
                .vm
                .as_ref()
                .is_some_and(|vm| self.table.get(vm).is_some());
            if is_own || is_known || self.seeds.contains_key(&seed.address) {
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
            self.continue_join(now);
            return;
        }
        self.next.sync = self.next_due(now, self.next.sync, self.limits.sync_period);
        if let Some(address) = self.next_early_seed() {
            self.next.sync = now + self.limits.repair_period;
            if self.rng.below(2) == 0 {
                self.sync_with_seed(address);
                return;
            }
        }
        let (vm, address) = match self.rng.below(SYNC_TARGET_ODDS) {
            0 => self
                .choose_member(|this| this.table.random_remote(this.zone, &mut this.rng).cloned()),
            1 => self.choose_non_member(),
            _ => self.choose_member(|this| this.table.random(this.zone, &mut this.rng).cloned()),
        };
        if let Some(address) = address {
            self.request_sync(vm.as_ref(), address, self.limits.sync_buckets);
        }
    }

    /// Returns the seed with the fewest attempts, unless all have had their early attempts.
    fn next_early_seed(&self) -> Option<SocketAddr> {
        let (address, attempts) = self.seeds.iter().min_by_key(|(_, attempts)| **attempts)?;
        (*attempts < EARLY_SEED_ATTEMPTS).then_some(*address)
    }

    fn sync_with_seed(&mut self, address: SocketAddr) {
        if let Some(attempts) = self.seeds.get_mut(&address) {
            *attempts += 1;
        }
        self.request_sync(None, address, self.limits.sync_buckets);
    }

    /// Requests more members from a seed or a member, or completes the join if none answers in
    /// time.
    fn continue_join(&mut self, now: Time) {
        self.next.sync = now + self.limits.join_period;
        let alone = self.table.member_count() == 0;
        let timed_out = self
            .first_tick
            .is_some_and(|at| now.since(at) >= self.limits.join_timeout);
        if alone && timed_out {
            self.finish_join();
            return;
        }
        let (vm, address) = if alone {
            (None, self.random_seed())
        } else {
            self.choose_member(|this| this.table.random(this.zone, &mut this.rng).cloned())
        };
        let address = match address {
            Some(address) => Some(address),
            None => self.random_seed(),
        };
        if let Some(address) = address {
            self.request_sync(vm.as_ref(), address, self.limits.join_buckets);
        }
    }

    fn finish_join(&mut self) {
        self.joined = true;
        self.actions.push(Action::Joined);
    }

    /// Returns a random VM that failed or left, or a random seed that is not a member.
    fn choose_non_member(&mut self) -> (Option<Vm>, Option<SocketAddr>) {
        let seed_count = self.seeds.len() as u64;
        let chosen = self
            .rng
            .below(seed_count + u64::from(self.table.dead_count() > 0));
        if chosen < seed_count {
            return (None, self.random_seed());
        }
        self.choose_member(|this| this.table.random_dead(&mut this.rng).cloned())
    }

    fn choose_member(
        &mut self,
        select: impl FnOnce(&mut Self) -> Option<Vm>,
    ) -> (Option<Vm>, Option<SocketAddr>) {
        let vm = select(self);
        let record = vm.as_ref().and_then(|vm| self.table.get(vm));
        let address = record.map(|record| record.address);
        (vm, address)
    }

    fn random_seed(&mut self) -> Option<SocketAddr> {
        let index = self.rng.below(self.seeds.len() as u64) as usize;
        self.seeds.keys().nth(index).copied()
    }

    fn request_sync(&mut self, vm: Option<&Vm>, address: SocketAddr, budget: u8) {
        let digests = self.table.digests().to_vec();
        self.send(vm, address, Body::SyncRequest { digests, budget });
    }

    /// Compares the sender's digests with the own ones, and answers with the number of buckets that
    /// differ and the pages of some of them.
    pub(super) fn compare(&mut self, from: SocketAddr, sender: &Vm, theirs: &[u32], budget: u8) {
        if theirs.len() != BUCKETS {
            return;
        }
        let own_part = Table::digest_part_of(self.hash, self.incarnation, self.state);
        let sender_part = self.table.digest_part(sender);
        let mut differing: Vec<usize> = (0..BUCKETS)
            .filter(|index| self.differs(*index, theirs[*index], sender_part, own_part))
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

    /// Returns whether a bucket differs. A table does not contain its own VM, so the sender is
    /// removed from the own digest and this VM is added to it.
    fn differs(
        &self,
        index: usize,
        theirs: u32,
        sender_part: (usize, u32),
        own_part: (usize, u32),
    ) -> bool {
        let in_bucket = |(bucket, part): (usize, u32)| if bucket == index { part } else { 0 };
        let ours = self.table.digests()[index] ^ in_bucket(sender_part) ^ in_bucket(own_part);
        ours != theirs
    }

    /// Sends the pages of a bucket, as far as the allowance permits.
    fn send_bucket(&mut self, to: SocketAddr, index: usize) {
        let max_page_bytes = MAX_DATAGRAM_BYTES - base_size(&self.local.vm) - PAGE_OVERHEAD_BYTES;
        let mut after: Option<Vm> = None;
        let mut page: Vec<Change> = Vec::new();
        let mut size = 0;
        for entry in self.bucket_entries(index) {
            if size + entry.size() > max_page_bytes {
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
        let message = self.bare_message(Body::Page(Page {
            bucket: bucket as u8,
            after,
            until,
            wants_reply,
            entries,
        }));
        let cost = message.size() as u32;
        if cost <= self.page_allowance {
            self.page_allowance -= cost;
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Returns the members of a bucket in order of name, this VM included.
    fn bucket_entries(&self, index: usize) -> Vec<Change> {
        let known = self.table.bucket(index).iter();
        let members = known.filter_map(|vm| self.table.get(vm));
        let mut entries: Vec<Change> = members
            .filter(|record| record.state.is_member())
            .map(|record| self.page_entry(record))
            .collect();
        if bucket_of(self.hash) == index && self.state.is_member() {
            let own = self.own_change();
            let insert_at = entries.partition_point(|entry| entry.vm < own.vm);
            entries.insert(insert_at, own);
        }
        entries
    }

    /// Returns the page entry of a member. It omits a suspicion, which only the member's own
    /// availability zone needs to know.
    fn page_entry(&self, record: &Record) -> Change {
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

    /// Completes a join when few buckets differ, and otherwise brings the next exchange forward.
    pub(super) fn handle_sync_reply(&mut self, now: Time, differing: u8) {
        if !self.joined && differing <= JOIN_COMPLETE_BUCKETS {
            self.finish_join();
            self.next.sync = now + self.limits.sync_period;
            return;
        }
        if self.joined && differing > 0 {
            let soon = now + self.limits.repair_period;
            self.next.sync = self.next.sync.min(soon);
        }
    }

    /// Applies the entries of a page, and answers with newer and missing ones.
    pub(super) fn merge_page(&mut self, now: Time, from: SocketAddr, sender: &Vm, page: &Page) {
        let mut corrections = if page.wants_reply && self.joined {
            self.unlisted_entries(sender, page)
        } else {
            Vec::new()
        };
        let origin = match self.origin(sender) {
            Origin::Local => Origin::LocalPage,
            _ => Origin::RemotePage,
        };
        for entry in &page.entries {
            self.apply_change(now, entry, origin);
            corrections.extend(self.correction(entry));
        }
        let max_page_bytes = MAX_DATAGRAM_BYTES - base_size(&self.local.vm) - PAGE_OVERHEAD_BYTES;
        let mut size = 0;
        corrections.retain(|change| {
            size += change.size();
            size <= max_page_bytes
        });
        if !corrections.is_empty() {
            let bucket = usize::from(page.bucket);
            self.send_page(from, bucket, None, None, false, corrections);
        }
    }

    /// Returns the known state of a VM if it overrides an entry by more than a suspicion. A failure
    /// is reported only by the VM's own availability zone, since after a partition the other side
    /// holds live VMs as failed.
    fn correction(&self, entry: &Change) -> Option<Change> {
        let record = self.table.get(&entry.vm)?;
        if !record.state.is_member() {
            let is_authoritative = record.zone == self.zone || record.state == State::Left;
            let newer = record.incarnation >= entry.incarnation;
            return (is_authoritative && newer).then(|| self.table.change(record));
        }
        let known = self.page_entry(record);
        let newer = (known.incarnation, known.state) > (entry.incarnation, entry.state);
        newer.then_some(known)
    }

    /// Returns the members in the range of a page that the page does not list.
    fn unlisted_entries(&self, sender: &Vm, page: &Page) -> Vec<Change> {
        let listed: HashSet<&Vm> = page.entries.iter().map(|entry| &entry.vm).collect();
        let in_range = |entry: &Change| {
            page.after.as_ref().is_none_or(|after| entry.vm > *after)
                && page.until.as_ref().is_none_or(|until| entry.vm <= *until)
        };
        let mut entries = self.bucket_entries(usize::from(page.bucket));
        entries.retain(|entry| in_range(entry) && entry.vm != *sender);
        entries.retain(|entry| !listed.contains(&entry.vm));
        entries
    }
}
