//! Service time of a kind, learned from finished statements.

use std::time::Duration;

/// Samples after which the estimates stop being plain averages.
const WARM_SAMPLES: u32 = 64;

/// Weight of one sample in the current mean.
const MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of one sample in the baseline of a healthy upstream.
const BASE_WEIGHT: f64 = 1.0 / 512.0;

/// Weight of one sample in the baseline of a slow upstream.
///
/// A lasting change becomes the new baseline, but only long after the limit has reacted to it.
const SLOW_WEIGHT: f64 = 1.0 / 8192.0;

/// Deviations above the mean that a statement is planned to take.
///
/// Two mean deviations cover about nine of ten statements of a log-normal spread.
const PLAN_DEVIATIONS: f64 = 2.0;

/// Current mean, deviation and long-term baseline of a service time, in microseconds.
#[derive(Clone, Debug)]
pub struct Estimate {
    samples: u32,
    mean: f64,
    deviation: f64,
    base: f64,
}

impl Estimate {
    /// Opens an estimate at the declared service time.
    pub fn open(expected: Duration) -> Self {
        let mean = (expected.as_micros() as f64).max(1.0);
        Self {
            samples: 0,
            mean,
            deviation: mean / 2.0,
            base: mean,
        }
    }

    /// Takes in one service time; `slow` tells that the upstream is limited as slow.
    pub fn learn(&mut self, took: Duration, slow: bool) {
        let took = took.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        let floor = 1.0 / f64::from(self.samples + 1);
        let long = if slow { SLOW_WEIGHT } else { BASE_WEIGHT };
        let long = if self.warm() { long } else { floor };
        let short = floor.max(MEAN_WEIGHT);
        self.deviation += short * ((took - self.mean).abs() - self.deviation);
        self.mean += short * (took - self.mean);
        self.base += long * (took - self.base);
    }

    /// Tells whether enough samples were seen to judge the upstream by them.
    pub const fn warm(&self) -> bool {
        self.samples >= WARM_SAMPLES
    }

    /// Returns the mean in microseconds.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns `took` as a multiple of the baseline.
    pub fn ratio(&self, took: Duration) -> f64 {
        took.as_micros() as f64 / self.base.max(1.0)
    }

    /// Returns the service time to plan with.
    pub fn plan(&self) -> Duration {
        let micros = self.mean + PLAN_DEVIATIONS * self.deviation;
        Duration::from_micros(micros as u64)
    }
}
