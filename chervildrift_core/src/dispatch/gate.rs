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
    pub fn usable_slots(self, now: Time, slots: usize, ramp: Duration) -> usize {
        match self {
            Self::Open => slots,
            Self::Paused => 0,
            Self::Ramping(since) => ramp_slots(now.since(since), slots, ramp),
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
    pub fn next_slot_at(self, now: Time, slots: usize, ramp: Duration) -> Option<Time> {
        let Self::Ramping(since) = self else {
            return None;
        };
        let interval = ramp.div_f64(slots.max(1) as f64);
        let intervals = now.since(since).as_secs_f64() / interval.as_secs_f64().max(f64::EPSILON);
        let offset = interval.mul_f64((intervals.floor() + 1.0).min(slots as f64));
        // One more microsecond covers the rounding of the step.
        Some(since + offset + Duration::from_micros(1))
    }
}

fn ramp_slots(elapsed: Duration, slots: usize, ramp: Duration) -> usize {
    if elapsed >= ramp {
        return slots;
    }
    let progress = elapsed.as_secs_f64() / ramp.as_secs_f64();
    slots.min(1 + (progress * slots as f64) as usize)
}
