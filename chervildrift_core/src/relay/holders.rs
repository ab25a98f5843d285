//! Holders of an upstream: the VMs that hold connections to it.
//!
//! An upstream accepts fewer connections than a large fleet has VMs. A bounded number of VMs
//! therefore holds all connections to one upstream, and the other VMs run their statements through
//! these. In a fleet that is small enough for an even share of several connections, every VM is a
//! holder. All VMs derive the holders from the names of the running VMs by rendezvous hashing, so a
//! VM that joins or leaves moves only the upstreams that it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::cached_view::Peer;
use crate::placement::{name_hash, weight};
use crate::types::{Organisation, Time, Upstream, Vm, Zone};

/// Share of each upstream's connections that stays free: connections of lost VMs linger for
/// seconds, and after a common power loss all VMs reconnect while the old connections linger.
const SPARE_SHARE: f64 = 0.35;

/// Even share of the connections from which every VM holds its own.
const MIN_EVEN_SHARE: usize = 2;

/// Connections per holder when not every VM is one; open transactions occupy some of them.
const HOLDER_CONNECTIONS: usize = 12;

/// Connections of all holders for each slot of an upstream.
///
/// Further statements wait at the holders, which serve urgent ones first, and not in the upstream's
/// own queue, which refuses work when it is full.
const CONNECTIONS_PER_SLOT: usize = 6;

/// Statements of all holders that may run at the upstream for each of its slots.
///
/// One waits at the upstream while another runs, so that no slot is idle while a holder fetches the
/// next one; all others wait at the holders, in the order of their ranks.
const STATEMENTS_PER_SLOT: usize = 2;

/// Minimum number of statements that a holder may run at once, so that a slow one does not keep the
/// others from running.
const MIN_STATEMENTS: usize = 2;

/// Minimum number of holders, so that one can be lost without an interruption.
pub(super) const MIN_HOLDERS: usize = 3;

/// VMs after the holders in an upstream's order that take over when no holder responds.
const DEPUTIES: usize = 2;

/// Time for which a VM that gave no response is asked last.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Number of holders of each upstream and the connections that each of them may open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderPlan {
    /// Number of holders.
    pub holders: usize,
    /// Connections of one holder.
    pub connections: usize,
    /// Statements that one holder runs at a time; open transactions between two statements don't
    /// count.
    pub running: usize,
}

impl HolderPlan {
    /// Plans the holders, in a fleet of `vms`, of an upstream that accepts `limit` connections and
    /// runs `slots` statements at a time.
    #[must_use]
    pub fn new(limit: usize, slots: usize, vms: usize) -> Self {
        let vms = vms.max(1);
        let spare = (limit as f64 * SPARE_SHARE).ceil() as usize;
        let useful = slots.max(1).saturating_mul(CONNECTIONS_PER_SLOT);
        let usable = limit.saturating_sub(spare).min(useful);
        let holders = if usable / vms >= MIN_EVEN_SHARE {
            vms
        } else {
            let wanted = (usable / HOLDER_CONNECTIONS).max(MIN_HOLDERS);
            wanted.min(vms).min(usable.max(1))
        };
        let connections = (usable / holders).max(1);
        let running = if holders < vms {
            let allowed = slots.max(1).saturating_mul(STATEMENTS_PER_SLOT);
            allowed
                .div_ceil(holders)
                .max(MIN_STATEMENTS)
                .min(connections)
        } else {
            connections
        };
        Self {
            holders,
            connections,
            running,
        }
    }

    /// Plans like [`Self::new`], with further connections that stay open for organisations that
    /// can't share theirs.
    #[must_use]
    pub fn with_kept(limit: usize, slots: usize, vms: usize) -> Self {
        let plan = Self::new(limit, slots, vms);
        let spare = (limit as f64 * SPARE_SHARE).ceil() as usize;
        let usable = limit.saturating_sub(spare);
        Self {
            connections: (usable / plan.holders).max(plan.connections),
            ..plan
        }
    }
}

/// Holders of one upstream in their order, followed by the deputies.
#[derive(Clone, Debug, Default)]
pub struct HolderSet {
    members: SmallVec<[Peer; 8]>,
    holders: usize,
}

impl HolderSet {
    /// Selects the holders among the running VMs: those in the upstream's zone come first, then
    /// those in its region.
    #[must_use]
    pub fn select(
        upstream: &Upstream,
        zone: &Zone,
        regions: &BTreeMap<Zone, String>,
        peers: &[Peer],
        holders: usize,
    ) -> Self {
        let key = name_hash(upstream.as_str());
        let distance = |peer: &Peer| match () {
            () if peer.zone == *zone => 0,
            () if regions.get(&peer.zone) == regions.get(zone) => 1,
            () => 2,
        };
        let mut ranked: Vec<(u8, u64, &Peer)> = peers
            .iter()
            .map(|peer| {
                (
                    distance(peer),
                    !weight(key, name_hash(peer.vm.as_str())),
                    peer,
                )
            })
            .collect();
        ranked.sort_unstable_by(|a, b| (a.0, a.1, &a.2.vm).cmp(&(b.0, b.1, &b.2.vm)));
        let members = ranked.iter().take(holders + DEPUTIES);
        Self {
            members: members.map(|(_, _, peer)| (*peer).clone()).collect(),
            holders: holders.min(ranked.len()),
        }
    }

    /// Returns the number of holders.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.holders
    }

    /// Returns whether a VM holds connections to the upstream.
    #[must_use]
    pub fn is_holder(&self, vm: &Vm) -> bool {
        self.members[..self.holders].iter().any(|it| it.vm == *vm)
    }

    /// Returns whether a VM holds connections, or takes over when no holder responds.
    #[must_use]
    pub fn may_hold(&self, vm: &Vm) -> bool {
        self.members.iter().any(|it| it.vm == *vm)
    }

    /// Returns the other VMs to ask for a connection, in the order in which `vm` asks them.
    ///
    /// Each VM begins at a holder of its own choice, so that the load is spread. VMs that gave no
    /// response recently come last.
    pub fn candidates(
        &self,
        vm: &Vm,
        now: Time,
        failed_at: impl Fn(&Peer) -> Option<Time>,
    ) -> SmallVec<[Peer; 8]> {
        self.candidates_of(vm.as_str(), vm, now, failed_at)
    }

    /// Returns whether `vm` is the holder that keeps the connections of an organisation.
    #[must_use]
    pub fn is_first(&self, vm: &Vm, organisation: &Organisation) -> bool {
        let key = name_hash(organisation.as_str());
        let holders = self.members[..self.holders].iter();
        let first = holders.min_by_key(|it| weight(key, name_hash(it.vm.as_str())));
        first.is_some_and(|it| it.vm == *vm)
    }

    /// Returns the other VMs to ask for a connection, in an order that follows from a name.
    ///
    /// All VMs ask for an organisation's connections in the order of its name, so that they meet
    /// those that are open.
    pub fn candidates_of(
        &self,
        name: &str,
        vm: &Vm,
        now: Time,
        failed_at: impl Fn(&Peer) -> Option<Time>,
    ) -> SmallVec<[Peer; 8]> {
        let (holders, deputies) = self.members.split_at(self.holders);
        let own = name_hash(name);
        let mut ranked: SmallVec<[(bool, bool, u64, &Peer); 8]> = SmallVec::new();
        for (is_deputy, group) in [(false, holders), (true, deputies)] {
            for peer in group.iter().filter(|it| it.vm != *vm) {
                let failed = failed_at(peer).is_some_and(|at| now.since(at) < FAILURE_BACKOFF);
                let order = weight(own, name_hash(peer.vm.as_str()));
                ranked.push((failed, is_deputy, order, peer));
            }
        }
        ranked.sort_unstable_by_key(|(failed, is_deputy, order, _)| (*failed, *is_deputy, *order));
        ranked.into_iter().map(|(.., peer)| peer.clone()).collect()
    }
}
