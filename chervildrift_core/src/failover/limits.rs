//! Time limits of a coordinator.

use std::time::Duration;

/// Time limits of a coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time between two status reads of an upstream.
    pub poll_interval: Duration,
    /// Time between two status reads while a replica catches up.
    pub catchup_interval: Duration,
    /// Time without an answer of the primary after which it counts as lost.
    pub detection_timeout: Duration,
    /// Additional delay of each candidate relative to the one ranked before it.
    pub rank_delay: Duration,
    /// Time for which a group must be stalled or blocked before a round starts; see
    /// [`Reason`](super::Reason).
    pub stall_timeout: Duration,
    /// Time limit of the status check.
    pub check_timeout: Duration,
    /// Time limit for fencing a majority.
    pub fence_timeout: Duration,
    /// Time limit of a promotion.
    pub promotion_timeout: Duration,
    /// Time limit for a replica to catch up in a planned change.
    pub catchup_timeout: Duration,
    /// Time after which an unanswered fence or promotion is sent again.
    pub resend_interval: Duration,
    /// Maximum random pause after a failed round, on top of `resend_interval` or
    /// `planned_backoff`.
    pub max_backoff: Duration,
    /// Time between two follow orders to the same upstream.
    pub follow_interval: Duration,
    /// Pause after a planned change that failed.
    pub planned_backoff: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(100),
            catchup_interval: Duration::from_millis(20),
            detection_timeout: Duration::from_millis(600),
            rank_delay: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(400),
            check_timeout: Duration::from_millis(150),
            fence_timeout: Duration::from_millis(200),
            promotion_timeout: Duration::from_millis(200),
            catchup_timeout: Duration::from_secs(1),
            resend_interval: Duration::from_millis(60),
            max_backoff: Duration::from_millis(240),
            follow_interval: Duration::from_millis(200),
            planned_backoff: Duration::from_secs(5),
        }
    }
}
