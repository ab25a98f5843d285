//! Messages, bytes and processor time of each part of the control work, over all VMs.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

/// Part of the control work.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    Membership,
    Generation,
    Burn,
}

/// Names of the parts in order of [`Part`].
pub const PARTS: [&str; 3] = ["membership", "generation", "burn"];

/// Cost of one part over all VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub messages: u64,
    pub sent: u64,
    pub received: u64,
    pub cpu_time: Duration,
}

impl Add for Cost {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            messages: self.messages + rhs.messages,
            sent: self.sent + rhs.sent,
            received: self.received + rhs.received,
            cpu_time: self.cpu_time + rhs.cpu_time,
        }
    }
}

impl Sub for Cost {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            messages: self.messages.saturating_sub(rhs.messages),
            sent: self.sent.saturating_sub(rhs.sent),
            received: self.received.saturating_sub(rhs.received),
            cpu_time: self.cpu_time.saturating_sub(rhs.cpu_time),
        }
    }
}

/// Costs of all parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    pub parts: [Cost; PARTS.len()],
}

impl Costs {
    pub fn part_mut(&mut self, part: Part) -> &mut Cost {
        &mut self.parts[part as usize]
    }

    /// Runs `work` and adds its elapsed time to a part.
    pub fn measure<T>(&mut self, part: Part, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.part_mut(part).cpu_time += started.elapsed();
        result
    }

    pub fn total(&self) -> Cost {
        let parts = self.parts.iter().copied();
        parts.fold(Cost::default(), |sum, part| sum + part)
    }

    pub fn since(&self, earlier: &Self) -> Self {
        let mut parts = self.parts;
        for (part, before) in parts.iter_mut().zip(earlier.parts) {
            *part = *part - before;
        }
        Self { parts }
    }
}
