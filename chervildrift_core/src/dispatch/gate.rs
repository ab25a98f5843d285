//! Closes the slots during a failover and opens them one by one afterwards.

use std::time::Duration;

use crate::types::Time;

/// State that decides how many slots may be used.
#[derive(Clone, Copy, Debug)]
pub enum Gate {
    /// All slots may be used.
    Open,
    /// No slot may be used, since the upstream is being replaced.
    Paused,
    /// The number of usable slots has been growing since the given time.
    Ramping(Time),
}

impl Gate {
    /// Returns how many of `slots` may be used.
    pub fn usable_slots(self, now: Time, slots: usize, ramp: Duration) -> usize {
        match self {
            Self::Open => slots,
            Self::Paused => 0,
            Self::Ramping(since) => ramp_slots(now.since(since), slots, ramp),
        }
    }

    /// Returns the state at `now`, which is open once the ramp is over.
    pub fn advance(self, now: Time, ramp: Duration) -> Self {
        match self {
            Self::Ramping(since) if now.since(since) >= ramp => Self::Open,
            other => other,
        }
    }

    /// Returns when the next slot opens during a ramp.
    pub fn next_slot_at(self, now: Time, slots: usize, ramp: Duration) -> Option<Time> {
        let Self::Ramping(since) = self else {
            return None;
        };
        let interval = ramp.div_f64(slots.max(1) as f64);
        let intervals = now.since(since).as_secs_f64() / interval.as_secs_f64().max(f64::EPSILON);
        let offset = interval.mul_f64((intervals.floor() + 1.0).min(slots as f64));
        // An extra microsecond makes up for the rounding of the interval.
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
