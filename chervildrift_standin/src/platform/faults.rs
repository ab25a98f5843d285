//! Injected faults of the platform.

use serde::{Deserialize, Serialize};

/// Current faults of the platform; all are off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Faults {
    /// Responds to every request with 503.
    pub down: bool,
    /// Delay in milliseconds before a request takes effect.
    pub slow_ms: u64,
    /// Number of the next writes that take effect but whose connection closes without a response.
    pub lose_answer: u64,
    /// Age in milliseconds of the list of VMs that readers get.
    pub list_lag_ms: u64,
}

/// Body of `PUT /faults`; faults that it omits stay unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultChange {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answer: Option<u64>,
    list_lag_ms: Option<u64>,
}

impl Faults {
    /// Applies a change to the faults that it names.
    pub(super) fn apply(&mut self, change: FaultChange) {
        self.down = change.down.unwrap_or(self.down);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answer = change.lose_answer.unwrap_or(self.lose_answer);
        self.list_lag_ms = change.list_lag_ms.unwrap_or(self.list_lag_ms);
    }

    /// Returns whether to drop the response to a write, and counts it.
    pub(super) fn consume_lost_answer(&mut self) -> bool {
        let lost = self.lose_answer > 0;
        self.lose_answer = self.lose_answer.saturating_sub(1);
        lost
    }
}
