//! Monotonic time, passed in by the caller instead of being read from a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since the start of the VM's process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0} us")]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that lies `age` earlier, or the start of the process if it lies before it.
    #[must_use]
    pub fn before(self, age: Duration) -> Self {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}
