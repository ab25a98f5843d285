//! Whether a VM may replace the leader of a service.
//!
//! Nobody reports a dead leader. A VM that suspects one says so in the platform's store; a majority
//! of the VMs that run must agree, since a leader may be cut off from some VMs only. Whoever then
//! raises the number in the service's record by a conditional write may order promotions, whose
//! fencing tokens follow from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{Upstream, Vm};

/// Age from which a vote no longer counts; votes are renewed every second.
const VOTE_TTL: Duration = Duration::from_millis(2_500);

/// Time from a claim for which orders are given under it.
pub const ORDER_WINDOW: Duration = Duration::from_secs(2);

/// Time from an order until it is answered or given up, and the upstream has started as leader.
///
/// The platform's pages speak of some hundred milliseconds for the start.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two claims of different VMs on one service, so that the second one sees what came of
/// the first one's orders.
const LEASE_DURATION: Duration = ORDER_WINDOW.saturating_add(START_TIMEOUT);

/// Time that each VM waits longer than the one before it in the service's order.
const STAGGER_STEP: Duration = Duration::from_millis(300);

/// A VM's word that a service needs another leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// VM that votes.
    pub vm: Vm,
    /// Leader that does not answer, or none if none is known.
    pub leader: Option<Upstream>,
    /// Time of the platform's store at the vote, in milliseconds.
    pub at: u64,
}

/// Record of the VM that may order promotions of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// VM that holds the claim.
    pub vm: Vm,
    /// Start of its process, which tells apart two processes of one VM.
    pub boot: u64,
    /// Number of the claim, which its fencing tokens begin with; a greater one belongs to a later
    /// claim. Records keep the name that it had when it was the token itself.
    #[serde(rename = "token")]
    pub number: u64,
    /// Leader that is to be replaced, if one is known.
    pub replaces: Option<Upstream>,
    /// Time of the platform's store at the claim, in milliseconds.
    pub at: u64,
}

/// Fencing tokens of one claim; more orders than any failover gives, and both parts of a token stay
/// exact in 53 bits.
const TOKENS_PER_LEASE: u64 = 1 << 20;

/// The right to order promotions of a service, under a claim.
///
/// Each order has a fencing token of its own, so that one which was left without an answer can't be
/// carried out after a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authority {
    lease_number: u64,
    issued: u64,
    /// Whether the claim is still the last one, so that promotions may be ordered under it.
    held: bool,
    /// Target of an order that is under way.
    pending: Option<Upstream>,
    /// Targets of orders without an answer, which may still be carried out.
    unanswered: SmallVec<[Upstream; 2]>,
}

impl Authority {
    /// Opens the authority of a claim, by its number.
    #[must_use]
    pub fn new(lease_number: u64) -> Self {
        Self {
            lease_number,
            issued: 0,
            held: true,
            pending: None,
            unanswered: SmallVec::new(),
        }
    }

    /// Begins an order and returns its fencing token, or none once the claim has to be renewed.
    pub fn begin_order(&mut self, target: &Upstream) -> Option<u64> {
        if self.issued == TOKENS_PER_LEASE {
            return None;
        }
        let token = self.lease_number * TOKENS_PER_LEASE + self.issued;
        self.issued += 1;
        self.pending = Some(target.clone());
        Some(token)
    }

    /// Goes on under a later claim; orders under the earlier one may still be carried out.
    pub const fn renew(&mut self, lease_number: u64) {
        self.lease_number = lease_number;
        self.issued = 0;
        self.held = true;
    }

    /// Notes that another VM has claimed the service; tells whether this one still has orders to
    /// revoke, under tokens that the other's are greater than.
    pub fn mark_lost(&mut self) -> bool {
        self.held = false;
        self.pending.is_some() || !self.unanswered.is_empty()
    }

    /// Tells whether promotions may be ordered.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held
    }

    /// Ends an order that had no effect.
    pub fn cancel_order(&mut self) {
        self.pending = None;
    }

    /// Ends an order without an answer, which may still be carried out.
    pub fn mark_unanswered(&mut self) {
        if let Some(target) = self.pending.take()
            && !self.unanswered.contains(&target)
        {
            self.unanswered.push(target);
        }
    }

    /// Ends all orders: one was taken, which outdates the earlier ones, or they are too old to come.
    pub fn clear_orders(&mut self) {
        self.pending = None;
        self.unanswered.clear();
    }

    /// Tells whether an order may still be carried out that would replace this leader.
    #[must_use]
    pub fn may_replace(&self, leader: &Upstream) -> bool {
        let mut targets = self.unanswered.iter().chain(&self.pending);
        targets.any(|it| it != leader)
    }
}

/// What a VM does about a leader that is to be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionAction {
    /// Too few VMs agree, or another VM acts already.
    Wait,
    /// Another VM goes first.
    RetryAfter(Duration),
    /// Claims the service with this number.
    Acquire(u64),
}

/// What is known of a service whose leader is to be replaced.
#[derive(Clone, Copy, Debug)]
pub struct ElectionState<'a> {
    /// Leader to be replaced, if one is known.
    pub leader: Option<&'a Upstream>,
    /// Whether it leaves as planned, for which no votes are needed.
    pub planned: bool,
    /// VMs that run, in the order of their names.
    pub live: &'a [Vm],
    /// Votes on the service.
    pub votes: &'a [Vote],
    /// Record of the last claim.
    pub lease: Option<&'a Lease>,
    /// Whether that claim is one of this process, which knows what it has ordered.
    pub is_own_lease: bool,
    /// Time of the platform's store, in milliseconds.
    pub store_now_ms: u64,
    /// Time since this VM first wanted the change.
    pub elapsed: Duration,
    /// Number that spreads the services over the VMs.
    pub service_hash: u64,
}

/// Decides what this VM does.
#[must_use]
pub fn decide_election(me: &Vm, state: &ElectionState<'_>) -> ElectionAction {
    let age = |at: u64| Duration::from_millis(state.store_now_ms.saturating_sub(at));
    if let Some(lease) = state.lease
        && !state.is_own_lease
        && age(lease.at) < LEASE_DURATION
    {
        return ElectionAction::Wait;
    }
    if !state.planned {
        // A VM that knows no leader agrees with any VM that misses one.
        let agrees = |vote: &Vote| {
            vote.leader.is_none() || state.leader.is_none() || vote.leader.as_ref() == state.leader
        };
        let counts = |vote: &&Vote| agrees(vote) && age(vote.at) < VOTE_TTL;
        let votes = state.votes.iter().filter(counts).count();
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

/// Returns the place of a VM in the order of the VMs for this service.
fn stagger_index(me: &Vm, state: &ElectionState<'_>) -> u32 {
    let count = state.live.len().max(1);
    let own = state.live.iter().position(|vm| vm == me).unwrap_or(count);
    let first = (state.service_hash % count as u64) as usize;
    ((own + count - first) % count) as u32
}
