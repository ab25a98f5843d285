//! Estimates the service time of a kind from its finished statements.

use std::time::Duration;

/// Samples after which the estimates are no longer plain averages of all samples.
const WARM_UP_SAMPLES: u32 = 64;

/// Weight of a sample in the current mean and deviation.
const MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of a sample in the baseline while the upstream is healthy.
const HEALTHY_BASELINE_WEIGHT: f64 = 1.0 / 512.0;

/// Weight of a sample in the baseline while the concurrency limit is lowered.
///
/// A lasting slowdown becomes the new baseline, but only long after the limit has reacted to it.
const SLOW_BASELINE_WEIGHT: f64 = 1.0 / 8192.0;

/// Mean deviations that the upper estimate lies above the mean.
///
/// Two of them cover about nine in ten statements of a log-normal distribution.
const UPPER_ESTIMATE_DEVIATIONS: f64 = 2.0;

/// Current mean, mean deviation and long-term baseline of a service time.
#[derive(Clone, Debug)]
pub struct ServiceTimeEstimate {
    samples: u32,
    mean_us: f64,
    deviation_us: f64,
    baseline_us: f64,
}

impl ServiceTimeEstimate {
    /// Creates an estimate that starts from the expected service time.
    pub fn new(expected: Duration) -> Self {
        let mean_us = (expected.as_micros() as f64).max(1.0);
        Self {
            samples: 0,
            mean_us,
            deviation_us: mean_us / 2.0,
            baseline_us: mean_us,
        }
    }

    /// Records a service time; `slow` states whether the concurrency limit is lowered.
    pub fn record(&mut self, service_time: Duration, slow: bool) {
        let service_time_us = service_time.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        let average_weight = 1.0 / f64::from(self.samples + 1);
        let baseline_weight = if slow {
            SLOW_BASELINE_WEIGHT
        } else {
            HEALTHY_BASELINE_WEIGHT
        };
        let baseline_weight = if self.is_warmed_up() {
            baseline_weight
        } else {
            average_weight
        };
        let mean_weight = average_weight.max(MEAN_WEIGHT);
        self.deviation_us +=
            mean_weight * ((service_time_us - self.mean_us).abs() - self.deviation_us);
        self.mean_us += mean_weight * (service_time_us - self.mean_us);
        self.baseline_us += baseline_weight * (service_time_us - self.baseline_us);
    }

    /// Returns whether there are enough samples to measure the upstream's slowdown against.
    pub const fn is_warmed_up(&self) -> bool {
        self.samples >= WARM_UP_SAMPLES
    }

    /// Returns the mean in microseconds.
    pub const fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Returns `service_time` as a multiple of the baseline.
    pub fn slowdown(&self, service_time: Duration) -> f64 {
        service_time.as_micros() as f64 / self.baseline_us.max(1.0)
    }

    /// Returns the service time that most statements stay below, for checks against deadlines.
    pub fn upper_estimate(&self) -> Duration {
        let estimate_us = self.mean_us + UPPER_ESTIMATE_DEVIATIONS * self.deviation_us;
        Duration::from_micros(estimate_us as u64)
    }
}
