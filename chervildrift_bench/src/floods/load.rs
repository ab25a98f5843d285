//! Arrivals and service times.

use std::time::Duration;

use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Rank, Time};

use super::deployment::Deployment;

/// Spread of service times: the standard deviation of their logarithm.
///
/// The 99th percentile is then 2.8 times the mean.
const SERVICE_TIME_SIGMA: f64 = 0.5;

/// Load of each rank as a share of all slots.
pub type Loads = [f64; Rank::COUNT];

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the kind of work.
    pub work: usize,
    /// Rank of the kind.
    pub rank: Rank,
    /// Number of the caller.
    pub caller: u64,
    /// Entry that received the request.
    pub entry: usize,
    /// Upstream that serves the request.
    pub upstream: usize,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Deadline.
    pub deadline: Time,
    /// Service time at a healthy upstream, in microseconds.
    pub service_us: f64,
    /// Start of its statement, once it has a slot.
    pub started_at: Time,
}

/// Generates requests at random times.
#[derive(Clone, Debug)]
pub struct RequestGenerator {
    rng: Rng,
    rates: [f64; Rank::COUNT],
}

impl RequestGenerator {
    /// Creates a generator of `loads`.
    pub fn new(seed: u64, deployment: &Deployment, loads: &Loads) -> Self {
        let rate = |rank: Rank| loads[rank.index()] * deployment.slots() / deployment.mean(rank);
        Self {
            rng: Rng::new(seed),
            rates: Rank::ALL.map(rate),
        }
    }

    /// Returns the time to the next request of `rank`.
    pub fn next_gap(&mut self, rank: Rank) -> Option<Duration> {
        let rate = self.rates[rank.index()];
        (rate > 0.0).then(|| Duration::from_secs_f64(-(1.0 - self.rng.unit_f64()).ln() / rate))
    }

    /// Generates a request of `rank`.
    pub fn next_request(&mut self, now: Time, rank: Rank, deployment: &Deployment) -> Request {
        let work = self.random_work(rank, deployment);
        let mean = deployment.work_kinds[work].service_time.as_micros() as f64;
        let unit = self.rng.unit_f64();
        Request {
            work,
            rank,
            // The square makes a few callers send many more requests than the others.
            caller: (unit * unit * deployment.callers as f64) as u64,
            entry: self.rng.below(deployment.entries as u64) as usize,
            upstream: self.rng.below(deployment.upstreams as u64) as usize,
            arrived_at: now,
            deadline: now + deployment.deadlines[rank.index()],
            service_us: mean * self.service_time_factor(),
            started_at: Time::default(),
        }
    }

    fn random_work(&mut self, rank: Rank, deployment: &Deployment) -> usize {
        let mut remainder = self.rng.unit_f64();
        let mut last = 0;
        for (at, work) in deployment.work_kinds.iter().enumerate() {
            if work.rank != rank {
                continue;
            }
            last = at;
            remainder -= work.share;
            if remainder < 0.0 {
                break;
            }
        }
        last
    }

    /// Returns a log-normal factor of mean 1.
    fn service_time_factor(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.unit_f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.rng.unit_f64()).cos();
        (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
    }
}
