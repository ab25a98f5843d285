//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// Current faults of the platform; all are off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Faults {
    /// Answers every request with 503.
    pub down: bool,
    /// Milliseconds by which every request is delayed before it takes effect.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose connection is closed unanswered.
    pub lose_answer: u64,
    /// Age of the list of VMs in milliseconds.
    pub list_lag_ms: u64,
}

/// Body of `PUT /faults`: faults that it leaves out stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultChange {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answer: Option<u64>,
    list_lag_ms: Option<u64>,
}

impl Faults {
    /// Sets the faults that a change names.
    pub(super) fn apply(&mut self, change: FaultChange) {
        self.down = change.down.unwrap_or(self.down);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answer = change.lose_answer.unwrap_or(self.lose_answer);
        self.list_lag_ms = change.list_lag_ms.unwrap_or(self.list_lag_ms);
    }

    /// Takes one of the answers that are to be lost, if any is left.
    pub(super) fn consume_lost_answer(&mut self) -> bool {
        let lost = self.lose_answer > 0;
        self.lose_answer = self.lose_answer.saturating_sub(1);
        lost
    }
}
