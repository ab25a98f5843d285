//! Periods and limits of the counters.

use std::time::Duration;

/// Periods and limits of the counters.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time that one delta covers.
    pub report_period: Duration,
    /// Time after which an unacknowledged batch is sent again.
    pub resend_after: Duration,
    /// Maximum number of deltas in a batch.
    pub batch_deltas: usize,
    /// Maximum number of deltas per service that are retained until a snapshot includes them.
    pub retained_deltas: usize,
    /// Time between two snapshots of a service.
    pub snapshot_period: Duration,
    /// Time after which a failed read of a snapshot is retried.
    pub load_retry: Duration,
    /// Time after which an aggregator drops a reporter that sends nothing.
    pub forget_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            report_period: Duration::from_secs(10),
            resend_after: Duration::from_secs(5),
            batch_deltas: 8,
            retained_deltas: 512,
            snapshot_period: Duration::from_secs(60),
            load_retry: Duration::from_secs(10),
            forget_after: Duration::from_secs(6 * 3_600),
        }
    }
}
