//! Rules that choose the upstream of a read.

use std::fmt;
use std::time::Duration;

use chervildrift_core::relay::{Candidate, OCCUPANCY_WINDOW, choose_upstream};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Time, Upstream};

use super::SERVICE_TIME;

/// Rule that chooses the upstream of a read.
#[derive(Clone, Copy, Debug)]
pub(super) enum Rule {
    /// Least round trip and wait, which drains with time; the rule before drawn waits.
    Least,
    /// Least round trip and wait, and own requests in flight.
    InFlight,
    /// Better one of two at random.
    TwoChoices,
    /// Random, by slots and the known wait.
    Weights,
    /// The product's rule.
    Drawn,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Least => "least wait",
            Self::InFlight => "least wait, own in flight",
            Self::TwoChoices => "better of two",
            Self::Weights => "weights by free capacity",
            Self::Drawn => "drawn waits",
        })
    }
}

/// What a VM knows of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct News {
    wait: Duration,
    heard_at: Time,
    ends: Vec<Time>,
}

impl News {
    /// Records a wait that the VM hears.
    pub(super) const fn hear(&mut self, now: Time, wait: Duration) {
        self.wait = wait;
        self.heard_at = now;
    }

    /// Records a request that ends at `end`.
    pub(super) fn record_request(&mut self, now: Time, end: Time) {
        self.ends.retain(|it| *it > now);
        self.ends.push(end);
    }

    /// Returns the number of requests in flight.
    fn in_flight(&self, now: Time) -> u32 {
        self.ends.iter().filter(|at| **at > now).count() as u32
    }
}

impl Rule {
    /// Rules that are compared.
    pub(super) const ALL: [Self; 5] = [
        Self::Least,
        Self::InFlight,
        Self::TwoChoices,
        Self::Weights,
        Self::Drawn,
    ];

    /// Chooses an upstream; the first one is the leader.
    pub(super) fn choose(
        self,
        now: Time,
        known: &[News],
        slots: &[usize],
        rtt: impl Fn(usize) -> Duration,
        rng: &mut Rng,
    ) -> usize {
        let drained = |at: usize| known[at].wait.saturating_sub(now.since(known[at].heard_at));
        let own = |at: usize| SERVICE_TIME * known[at].in_flight(now) / slots[at] as u32;
        let all = 0..known.len();
        match self {
            Self::Least => all.min_by_key(|at| rtt(*at) + drained(*at)).unwrap_or(0),
            Self::InFlight => all
                .min_by_key(|at| rtt(*at) + drained(*at) + own(*at))
                .unwrap_or(0),
            Self::TwoChoices => {
                let mut draw = || rng.below(known.len() as u64) as usize;
                let (a, b) = (draw(), draw());
                if rtt(a) + known[a].wait <= rtt(b) + known[b].wait {
                    a
                } else {
                    b
                }
            }
            Self::Weights => {
                let weight = |at: usize| {
                    let cost = (rtt(at) + known[at].wait + SERVICE_TIME).as_secs_f64();
                    slots[at] as f64 / cost
                };
                let mut left = rng.unit_f64() * all.clone().map(weight).sum::<f64>();
                all.clone()
                    .find(|at| {
                        left -= weight(*at);
                        left <= 0.0
                    })
                    .unwrap_or(0)
            }
            Self::Drawn => {
                let candidate = |at: usize| Candidate {
                    upstream: Upstream::from(at.to_string()),
                    is_leader: at == 0,
                    rtt: rtt(at),
                    queue_wait: known[at].wait,
                    news_age: OCCUPANCY_WINDOW + now.since(known[at].heard_at),
                    setup: Duration::ZERO,
                    is_outlier: false,
                    lagged_at: None,
                    failed_at: None,
                };
                let candidates: Vec<Candidate> = all.map(candidate).collect();
                let chosen = choose_upstream(now, &candidates, rng);
                chosen
                    .and_then(|it| it.upstream.as_str().parse().ok())
                    .unwrap_or(0)
            }
        }
    }
}
