//! Elections: whether a VM may replace the leader of a service.
//!
//! No component reports a failed leader. A VM that suspects a leader records a vote in the
//! platform's store. A majority of the running VMs must agree, since the leader may be unreachable
//! from some VMs only. The VM that then raises the number of the service's lease by a conditional
//! write may order promotions, and derives their fencing tokens from that number.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{Time, Upstream, Vm};

/// Age at which a vote expires; votes are renewed every second.
const VOTE_TTL: Duration = Duration::from_millis(2_500);

/// Time from the acquisition of a lease during which orders are issued under it.
pub const ORDER_WINDOW: Duration = Duration::from_secs(2);

/// Time that a promotion takes after the order was accepted, including the start of the new leader.
pub const PROMOTION_DURATION: Duration = Duration::from_secs(4);

/// Time after which an unanswered order is no longer carried out; the platform's documentation
/// speaks of seconds.
pub(super) const ORDER_TTL: Duration = Duration::from_secs(12);

/// Time from an order until it is answered or abandoned and the upstream has started as leader.
///
/// The platform's documentation gives some hundred milliseconds for the start.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time between leases of different VMs on one service, so that the later holder sees the
/// outcome of the earlier one's orders.
const LEASE_DURATION: Duration = ORDER_WINDOW.saturating_add(START_TIMEOUT);

/// Additional delay of each VM relative to the previous one in the service's order.
const STAGGER_STEP: Duration = Duration::from_millis(300);

/// Vote of a VM that a service needs a new leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// VM that votes.
    pub vm: Vm,
    /// Leader that does not answer; `None` if none is known.
    pub leader: Option<Upstream>,
    /// Time of the vote by the clock of the platform's store, in milliseconds.
    pub at: u64,
}

/// Record of the VM that may order promotions of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// VM that holds the lease.
    pub vm: Vm,
    /// Start of its process, which distinguishes restarts of one VM.
    pub boot: u64,
    /// Number of the lease, the upper part of its fencing tokens; later leases have greater
    /// numbers.
    ///
    /// Stored records keep the name `token` from when the number itself was the fencing token.
    #[serde(rename = "token")]
    pub number: u64,
    /// Leader to be replaced, if one is known.
    pub replaces: Option<Upstream>,
    /// Time of the acquisition by the clock of the platform's store, in milliseconds.
    pub at: u64,
}

impl Lease {
    /// Returns whether the outcome of all orders under the lease can be seen, so that another process
    /// may acquire the next one before it is needed.
    #[must_use]
    pub fn is_settled(&self, store_now_ms: u64) -> bool {
        Duration::from_millis(store_now_ms.saturating_sub(self.at)) >= LEASE_DURATION
    }
}

/// Fencing tokens per lease, more than any failover issues.
///
/// A token combines the number of the lease with that of the order, and stays exact in 53 bits.
const TOKENS_PER_LEASE: u64 = 1 << 20;

/// Order without an answer, which the platform may still carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnansweredOrder {
    target: Upstream,
    /// Time by which the target leads if the order is carried out at all.
    expiry: Time,
}

/// The right to order promotions of a service under a lease, and the state of the orders.
///
/// Each order has its own fencing token, so that an order that was left unanswered can't take
/// effect after a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authority {
    lease_number: u64,
    /// Number of fencing tokens issued under the lease.
    issued_tokens: u64,
    /// Whether the lease is still the latest one, so that promotions may be ordered under it.
    lease_held: bool,
    /// Target of an order in progress.
    pending_target: Option<Upstream>,
    /// Latest unanswered order for each target.
    unanswered_orders: SmallVec<[UnansweredOrder; 2]>,
}

impl Authority {
    /// Creates the authority of a lease, given by its number.
    #[must_use]
    pub fn new(lease_number: u64) -> Self {
        Self {
            lease_number,
            issued_tokens: 0,
            lease_held: true,
            pending_target: None,
            unanswered_orders: SmallVec::new(),
        }
    }

    /// Begins an order and returns its fencing token, or `None` if the lease has to be renewed
    /// first.
    pub fn begin_order(&mut self, target: &Upstream) -> Option<u64> {
        if self.issued_tokens == TOKENS_PER_LEASE {
            return None;
        }
        let token = self.lease_number * TOKENS_PER_LEASE + self.issued_tokens;
        self.issued_tokens += 1;
        self.pending_target = Some(target.clone());
        Some(token)
    }

    /// Continues under a later lease; orders under the earlier one may still take effect.
    pub const fn renew(&mut self, lease_number: u64) {
        self.lease_number = lease_number;
        self.issued_tokens = 0;
        self.lease_held = true;
    }

    /// Records that another VM holds the lease, and returns whether this VM still has orders to
    /// revoke.
    ///
    /// The revoking orders carry lower fencing tokens than those of the other VM.
    pub fn mark_lost(&mut self) -> bool {
        self.lease_held = false;
        self.pending_target.is_some() || !self.unanswered_orders.is_empty()
    }

    /// Returns whether promotions may be ordered.
    #[must_use]
    pub const fn may_promote(&self) -> bool {
        self.lease_held
    }

    /// Ends an order that had no effect.
    pub fn cancel_order(&mut self) {
        self.pending_target = None;
    }

    /// Ends an order without an answer, which may still take effect.
    pub fn mark_unanswered(&mut self, now: Time) {
        let Some(target) = self.pending_target.take() else {
            return;
        };
        self.unanswered_orders.retain(|it| it.target != target);
        self.unanswered_orders.push(UnansweredOrder {
            target,
            expiry: now + ORDER_TTL + PROMOTION_DURATION,
        });
    }

    /// Ends all orders, since one was accepted, which invalidates the earlier ones.
    pub fn clear_orders(&mut self) {
        self.pending_target = None;
        self.unanswered_orders.clear();
    }

    /// Drops unanswered orders that are too old to take effect; returns whether there were any.
    pub fn expire_orders(&mut self, now: Time) -> bool {
        let count = self.unanswered_orders.len();
        self.unanswered_orders.retain(|it| now < it.expiry);
        self.unanswered_orders.len() < count
    }

    /// Returns the upstreams that an outstanding order may still make leader in place of this one.
    #[must_use]
    pub fn replacements(&self, leader: Option<&Upstream>) -> SmallVec<[Upstream; 2]> {
        let unanswered = self.unanswered_orders.iter().map(|it| &it.target);
        let mut targets: SmallVec<[Upstream; 2]> = unanswered
            .chain(&self.pending_target)
            .filter(|it| Some(*it) != leader)
            .cloned()
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns whether an outstanding order may still replace this leader.
    #[must_use]
    pub fn may_replace(&self, leader: &Upstream) -> bool {
        !self.replacements(Some(leader)).is_empty()
    }
}

/// Next step of a VM towards the replacement of a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionAction {
    /// Wait, since too few VMs agree or another VM is acting.
    Wait,
    /// Retry after this delay, since another VM goes first.
    RetryAfter(Duration),
    /// Acquire the lease with this number.
    Acquire(u64),
}

/// Inputs of an election for a service whose leader has to be replaced.
#[derive(Clone, Copy, Debug)]
pub struct ElectionState<'a> {
    /// Leader to be replaced, if one is known.
    pub leader: Option<&'a Upstream>,
    /// Whether the leader leaves as planned, which requires no votes.
    pub planned: bool,
    /// Running VMs, ordered by name.
    pub live: &'a [Vm],
    /// Votes on the service.
    pub votes: &'a [Vote],
    /// Record of the latest lease.
    pub lease: Option<&'a Lease>,
    /// Whether that lease belongs to this process, which knows the orders under it.
    pub is_own_lease: bool,
    /// Current time by the clock of the platform's store, in milliseconds.
    pub store_now_ms: u64,
    /// Time since this VM first wanted to replace the leader.
    pub elapsed: Duration,
    /// Hash of the service name, which distributes the services over the VMs.
    pub service_hash: u64,
}

/// Decides the next step of this VM.
#[must_use]
pub fn decide_election(me: &Vm, state: &ElectionState<'_>) -> ElectionAction {
    let age = |at: u64| Duration::from_millis(state.store_now_ms.saturating_sub(at));
    if let Some(lease) = state.lease
        && !state.is_own_lease
        && !lease.is_settled(state.store_now_ms)
    {
        return ElectionAction::Wait;
    }
    if !state.planned {
        // Two VMs agree if they suspect the same leader or one of them knows none.
        let agrees = |vote: &Vote| {
            vote.leader.is_none() || state.leader.is_none() || vote.leader.as_ref() == state.leader
        };
        let is_valid = |vote: &&Vote| agrees(vote) && age(vote.at) < VOTE_TTL;
        let votes = state.votes.iter().filter(is_valid).count();
        if votes * 2 <= state.live.len() {
            return ElectionAction::Wait;
        }
    }
    let delay = STAGGER_STEP * stagger_index(me, state);
    if state.elapsed < delay {
        return ElectionAction::RetryAfter(delay.saturating_sub(state.elapsed));
    }
    ElectionAction::Acquire(state.lease.map_or(0, |lease| lease.number) + 1)
}

/// Returns the index of a VM in the service's order, which begins at a VM chosen by the hash.
fn stagger_index(me: &Vm, state: &ElectionState<'_>) -> u32 {
    let count = state.live.len().max(1);
    let own_index = state.live.iter().position(|vm| vm == me).unwrap_or(count);
    let first = (state.service_hash % count as u64) as usize;
    ((own_index + count - first) % count) as u32
}
