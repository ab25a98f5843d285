//! Entry that sheds requests by the load last reported to it, and retries within a budget.

use std::time::Duration;

use chervildrift_core::dispatch::Load;
use chervildrift_core::limit::{RetryBudget, RetryRules, Throttle};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Rank, Time};

use super::deployment::Deployment;
use super::load::Request;
use super::variant::Variant;

/// Shortest backoff before a retry.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Greatest random addition to the backoff.
const RETRY_JITTER: Duration = Duration::from_millis(40);

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
    /// Creates an entry to which no load has been reported.
    pub fn new(deployment: &Deployment, variant: Variant, seed: u64) -> Self {
        let budget = RetryBudget::new(RetryRules::default());
        Self {
            variant,
            loads: vec![(Time::default(), Load::default()); deployment.upstreams],
            throttles: vec![
                vec![Throttle::new(); deployment.work_kinds.len()];
                deployment.upstreams
            ],
            budgets: vec![budget; deployment.work_kinds.len()],
            rng: Rng::new(seed),
        }
    }

    /// Counts the first attempt of a request for the retry budget.
    pub fn record_first_attempt(&mut self, now: Time, request: &Request) {
        self.budgets[request.work].record_request(now);
    }

    /// Tells whether to forward a request; `round_trip` is the delay to the dispatcher and back.
    pub fn should_forward(&mut self, now: Time, request: &Request, round_trip: Duration) -> bool {
        if self.variant.no_shedding {
            return true;
        }
        let (received_at, load) = &self.loads[request.upstream];
        let time_left = request.deadline.since(now + round_trip);
        let time_left = if self.variant.ignore_deadlines {
            Duration::MAX
        } else {
            time_left
        };
        let rank = if self.variant.fifo {
            Rank::Urgent
        } else {
            request.rank
        };
        let in_time = load.rank(rank).admits(now.since(*received_at), time_left);
        let throttle = &mut self.throttles[request.upstream][request.work];
        let unthrottled = throttle.admit(now, &mut self.rng);
        in_time && unthrottled
    }

    /// Records an answer of a dispatcher and the load that it reports.
    pub fn record_answer(&mut self, now: Time, request: &Request, load: &Load, accepted: bool) {
        self.loads[request.upstream] = (now, *load);
        if accepted {
            self.throttles[request.upstream][request.work].record_accepted(now);
        }
    }

    /// Returns when to retry a refused request, or `None` if it is answered as refused.
    pub fn retry_at(&mut self, now: Time, request: &Request) -> Option<Time> {
        let at = now + RETRY_BACKOFF + self.rng.jitter(RETRY_JITTER);
        if at >= request.deadline {
            return None;
        }
        let allowed = self.variant.unlimited_retries || self.budgets[request.work].try_retry(now);
        allowed.then_some(at)
    }
}
