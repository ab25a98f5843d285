//! Pause while an upstream is replaced, and the ramp that follows.

use std::time::Duration;

use crate::types::Time;

/// Whether and how far the slots are open.
#[derive(Clone, Copy, Debug)]
pub enum Gate {
    /// All slots may be used.
    Open,
    /// No slot may be used.
    Paused,
    /// The number of usable slots grows since the given time.
    Ramping(Time),
}

impl Gate {
    /// Returns the number of `slots` that may be used.
    pub fn open_slots(self, now: Time, slots: usize, ramp: Duration) -> usize {
        match self {
            Self::Open => slots,
            Self::Paused => 0,
            Self::Ramping(since) => ramped(now.since(since), slots, ramp),
        }
    }

    /// Returns the state after the ramp has had its time.
    pub fn advance(self, now: Time, ramp: Duration) -> Self {
        match self {
            Self::Ramping(since) if now.since(since) >= ramp => Self::Open,
            other => other,
        }
    }

    /// Returns when the next slot opens.
    pub fn due(self, now: Time, slots: usize, ramp: Duration) -> Option<Time> {
        let Self::Ramping(since) = self else {
            return None;
        };
        let step = ramp.div_f64(slots.max(1) as f64);
        let steps = now.since(since).as_secs_f64() / step.as_secs_f64().max(f64::EPSILON);
        let next = step.mul_f64((steps.floor() + 1.0).min(slots as f64));
        // One more microsecond covers the rounding of the step.
        Some(since + next + Duration::from_micros(1))
    }
}

fn ramped(passed: Duration, slots: usize, ramp: Duration) -> usize {
    if passed >= ramp {
        return slots;
    }
    let part = passed.as_secs_f64() / ramp.as_secs_f64();
    slots.min(1 + (part * slots as f64) as usize)
}
