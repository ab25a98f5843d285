//! One entry: sheds by the load it was told of and retries within a budget.

use std::time::Duration;

use chervildrift_core::dispatch::Load;
use chervildrift_core::limit::{RetryBudget, RetryRules, Throttle};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Rank, Time};

use super::deployment::Deployment;
use super::load::Request;
use super::variant::Variant;

/// Shortest wait before a retry.
const BACKOFF: Duration = Duration::from_millis(20);

/// Random time added to the wait before a retry.
const BACKOFF_JITTER: Duration = Duration::from_millis(40);

/// State of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    variant: Variant,
    loads: Vec<(Time, Load)>,
    /// Throttles by upstream, then by kind.
    throttles: Vec<Vec<Throttle>>,
    budgets: Vec<RetryBudget>,
    rng: Rng,
}

impl Entry {
    /// Opens an entry that knows no load.
    pub fn open(deployment: &Deployment, variant: Variant, seed: u64) -> Self {
        let budget = RetryBudget::new(RetryRules::default());
        Self {
            variant,
            loads: vec![(Time::default(), Load::default()); deployment.upstreams],
            throttles: vec![vec![Throttle::new(); deployment.works.len()]; deployment.upstreams],
            budgets: vec![budget; deployment.works.len()],
            rng: Rng::new(seed),
        }
    }

    /// Counts the first try of a request.
    pub fn count(&mut self, now: Time, request: &Request) {
        self.budgets[request.work].record_request(now);
    }

    /// Tells whether a request is worth forwarding; `trip` is the way to the dispatcher and back.
    pub fn forwards(&mut self, now: Time, request: &Request, trip: Duration) -> bool {
        if self.variant.unshed {
            return true;
        }
        let (seen, load) = &self.loads[request.upstream];
        let left = request.deadline.since(now + trip);
        let left = if self.variant.late {
            Duration::MAX
        } else {
            left
        };
        let rank = if self.variant.fifo {
            Rank::Urgent
        } else {
            request.rank
        };
        let hopeful = load.rank(rank).admits(now.since(*seen), left);
        let throttle = &mut self.throttles[request.upstream][request.work];
        let passes = throttle.admit(now, &mut self.rng);
        hopeful && passes
    }

    /// Notes an answer of a dispatcher and the load that it carries.
    pub fn note(&mut self, now: Time, request: &Request, load: &Load, taken: bool) {
        self.loads[request.upstream] = (now, *load);
        if taken {
            self.throttles[request.upstream][request.work].record_accepted(now);
        }
    }

    /// Returns when a refused request is tried again, if it is.
    pub fn retry(&mut self, now: Time, request: &Request) -> Option<Time> {
        let at = now + BACKOFF + self.rng.jitter(BACKOFF_JITTER);
        if at >= request.deadline {
            return None;
        }
        let allowed = self.variant.unbudgeted || self.budgets[request.work].try_retry(now);
        allowed.then_some(at)
    }
}
