//! Counts of a run.

use chervildrift_core::types::{Rank, Time};
use hdrhistogram::Histogram;

/// Counts of one rank.
#[derive(Clone, Debug)]
pub struct RankOutcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered within their deadline.
    pub served: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed at the upstream.
    pub failed: u64,
    /// Slot time used, in microseconds.
    pub used_us: u64,
    /// Latency of answered requests in microseconds.
    pub latency: Histogram<u64>,
}

impl RankOutcome {
    fn new() -> Self {
        Self {
            offered: 0,
            served: 0,
            late: 0,
            refused: 0,
            failed: 0,
            used_us: 0,
            latency: histogram(),
        }
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        self.latency.value_at_quantile(part) as f64 / 1e3
    }

    /// Returns the share of the offered requests that were answered within their deadline.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.offered.max(1) as f64
    }
}

/// Counts of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Counts by rank.
    pub ranks: [RankOutcome; Rank::COUNT],
    /// Slot time of requests answered within their deadline, in microseconds.
    pub good_us: u64,
    /// Slot time available, in microseconds.
    pub capacity_us: u64,
    /// Requests forwarded to dispatchers.
    pub forwards: u64,
    /// Start of the measured time.
    pub start: Time,
    /// End of the measured time.
    pub end: Time,
}

impl Outcome {
    /// Creates the counts of a run that is measured from `start` to `end` on `slots` slots.
    pub fn new(start: Time, end: Time, slots: usize) -> Self {
        Self {
            ranks: std::array::from_fn(|_| RankOutcome::new()),
            good_us: 0,
            capacity_us: slots as u64 * (end.0 - start.0),
            forwards: 0,
            start,
            end,
        }
    }

    /// Tells whether `now` is in the measured time.
    pub fn is_measured(&self, now: Time) -> bool {
        self.start <= now && now < self.end
    }

    /// Returns the share of the slot time that `rank` used.
    pub fn slot_time_share(&self, rank: Rank) -> f64 {
        self.ranks[rank.index()].used_us as f64 / self.capacity_us as f64
    }

    /// Returns the share of the slot time that served requests within their deadline.
    pub fn goodput(&self) -> f64 {
        self.good_us as f64 / self.capacity_us as f64
    }
}

fn histogram() -> Histogram<u64> {
    // Three digits resolve a tenth of a percent; an hour is far above any deadline.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}
