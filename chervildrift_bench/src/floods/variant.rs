//! The policy as designed and the alternatives that it is compared with.

use std::time::Duration;

use chervildrift_core::dispatch::{KindPolicy, Policy};
use chervildrift_core::types::{Kind, Rank};

/// Kind that stands for all work when there is only one queue.
pub const ANY_KIND: &str = "any";

/// Changes that one run makes to the policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each alternative is switched on independently of the others"
)]
pub struct Variant {
    /// One FIFO queue for all work.
    pub fifo: bool,
    /// Strict priority of ranks, without guaranteed shares.
    pub strict: bool,
    /// Work is accepted and run whether or not it can finish in time.
    pub ignore_deadlines: bool,
    /// Entries forward all work, whatever the dispatcher's load.
    pub no_shedding: bool,
    /// Refused work is retried until its deadline, without a budget.
    pub unlimited_retries: bool,
    /// The concurrency limit stays at the declared slots.
    pub fixed_limit: bool,
    /// A circuit breaker checks requests before the scheduler.
    pub breaker: bool,
    /// Share of the slot time that may stay idle for urgent work, if not the declared one.
    pub reserve: Option<f64>,
}

impl Variant {
    /// Returns the dispatch policy of an upstream in this variant.
    pub fn policy(&self, base: &Policy) -> Policy {
        let mut policy = base.clone();
        policy.adaptive = !self.fixed_limit;
        policy.reserved_share = self.reserve.unwrap_or(policy.reserved_share);
        if self.strict {
            policy.guaranteed_shares = [0.0; Rank::COUNT];
        }
        if self.fifo {
            single_queue(&mut policy);
        }
        policy
    }
}

/// Puts all work into one kind with one caller, so that it is queued in order of arrival.
fn single_queue(policy: &mut Policy) {
    let services = policy.kinds.iter().map(|kind| kind.service_time);
    let service = services.sum::<Duration>() / policy.kinds.len().max(1) as u32;
    policy.kinds = vec![KindPolicy::new(Kind::from(ANY_KIND), Rank::Urgent, service)];
    // One caller may fill half of a queue, so twice the sum keeps the capacity of all queues.
    let limit = 2 * policy.queue_limits.iter().sum::<usize>();
    policy.queue_limits = [limit; Rank::COUNT];
    policy.guaranteed_shares = [0.0; Rank::COUNT];
    policy.reserved_share = 0.0;
}
