//! Time limits of a coordinator.

use std::time::Duration;

/// Time limits of a coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time between two status reads of an upstream.
    pub poll: Duration,
    /// Time between two status reads while a replica catches up.
    pub quick_poll: Duration,
    /// Time without hearing the primary after which it counts as lost.
    pub detection: Duration,
    /// Time by which a candidate waits longer than the candidate ranked before it.
    pub stagger: Duration,
    /// Time for which an upstream may fail to follow a primary that answers.
    pub stall: Duration,
    /// Limit of the status check.
    pub check: Duration,
    /// Limit of fencing a majority.
    pub fence: Duration,
    /// Limit of a promotion.
    pub promote: Duration,
    /// Limit of a replica's catching up in a planned change.
    pub catch_up: Duration,
    /// Time after which an unanswered fence or promotion is sent again.
    pub resend: Duration,
    /// Greatest random pause after a failed round, on top of `resend`.
    pub backoff: Duration,
    /// Time between two directions to follow, for each upstream.
    pub redirect: Duration,
    /// Pause after a planned change that failed.
    pub planned_pause: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(100),
            quick_poll: Duration::from_millis(20),
            detection: Duration::from_millis(600),
            stagger: Duration::from_millis(300),
            stall: Duration::from_millis(400),
            check: Duration::from_millis(150),
            fence: Duration::from_millis(200),
            promote: Duration::from_millis(200),
            catch_up: Duration::from_secs(1),
            resend: Duration::from_millis(60),
            backoff: Duration::from_millis(240),
            redirect: Duration::from_millis(200),
            planned_pause: Duration::from_secs(5),
        }
    }
}
