//! Counts in time buckets, from which the sums over the windows are computed.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::Tally;
use crate::types::Time;

/// Length of a fine bucket.
const FINE_BUCKET_US: u64 = 30_000_000;

/// Length of a coarse bucket.
const COARSE_BUCKET_US: u64 = 300_000_000;

/// Number of fine buckets, which cover the 5 minute window and counts that arrive up to 5 minutes
/// late.
const FINE_BUCKETS: usize = 20;

/// Number of coarse buckets, which cover the 6 hour window.
const COARSE_BUCKETS: usize = 73;

/// Offset added to all times, so that counts from before the start of this VM have a time above
/// zero.
const TIME_OFFSET: Duration = Duration::from_secs(7 * 3_600);

/// Window over which a burn rate is computed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
pub enum Window {
    /// 5 minutes.
    #[display("5m")]
    #[serde(rename = "5m")]
    Short,
    /// 1 hour.
    #[display("1h")]
    #[serde(rename = "1h")]
    Middle,
    /// 6 hours.
    #[display("6h")]
    #[serde(rename = "6h")]
    Long,
}

/// All windows, shortest first.
pub const WINDOWS: [Window; 3] = [Window::Short, Window::Middle, Window::Long];

/// Consecutive buckets of one length, numbered by time; the last one is the latest.
#[derive(Clone, Debug, Default)]
struct Buckets {
    first_number: u64,
    tallies: VecDeque<Tally>,
}

impl Buckets {
    fn add(&mut self, number: u64, max_len: usize, tally: Tally) {
        if self.tallies.is_empty() {
            self.first_number = number;
        }
        self.extend_back(number, max_len);
        self.extend_forward(number, max_len);
        if let Some(index) = number.checked_sub(self.first_number)
            && let Some(bucket) = self.tallies.get_mut(index as usize)
        {
            *bucket += tally;
        }
    }

    /// Adds buckets before the first down to `number`, up to `max_len` buckets.
    fn extend_back(&mut self, number: u64, max_len: usize) {
        while number < self.first_number && self.tallies.len() < max_len {
            self.tallies.push_front(Tally::default());
            self.first_number -= 1;
        }
    }

    /// Adds buckets after the last up to `number` and drops the oldest beyond `max_len`.
    fn extend_forward(&mut self, number: u64, max_len: usize) {
        let end = self.first_number + self.tallies.len() as u64;
        if number >= end + max_len as u64 {
            self.tallies.clear();
            self.first_number = number;
        }
        while self.first_number + self.tallies.len() as u64 <= number {
            self.tallies.push_back(Tally::default());
        }
        while self.tallies.len() > max_len {
            self.tallies.pop_front();
            self.first_number += 1;
        }
    }

    /// Returns the sum of the `count` buckets that end with bucket `number`.
    fn sum(&self, number: u64, count: u64) -> Tally {
        let numbered = (self.first_number..).zip(&self.tallies);
        let inside = |(at, _): &(u64, &Tally)| *at <= number && *at + count > number;
        let tallies = numbered.filter(inside).map(|(_, tally)| *tally);
        tallies.fold(Tally::default(), |sum, tally| sum + tally)
    }
}

/// Counts of one series over the last 6 hours.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowCounts {
    fine: Buckets,
    coarse: Buckets,
}

impl WindowCounts {
    /// Adds counts whose age is `age` at `now`.
    pub fn add(&mut self, now: Time, age: Duration, tally: Tally) {
        let at_us = shifted_us(now, age);
        let fresh = shifted_us(now, Duration::ZERO) / FINE_BUCKET_US - at_us / FINE_BUCKET_US
            < FINE_BUCKETS as u64;
        if fresh {
            self.fine.add(at_us / FINE_BUCKET_US, FINE_BUCKETS, tally);
        }
        self.add_coarse(now, age, tally);
    }

    /// Adds counts to the coarse buckets only.
    pub fn add_coarse(&mut self, now: Time, age: Duration, tally: Tally) {
        let at_us = shifted_us(now, age);
        let old = shifted_us(now, Duration::ZERO) / COARSE_BUCKET_US - at_us / COARSE_BUCKET_US
            >= COARSE_BUCKETS as u64;
        if !old {
            self.coarse
                .add(at_us / COARSE_BUCKET_US, COARSE_BUCKETS, tally);
        }
    }

    /// Adds counts of a snapshot to the fine buckets only, since its coarse buckets include them.
    pub fn add_fine(&mut self, now: Time, age: Duration, tally: Tally) {
        let at_us = shifted_us(now, age);
        if shifted_us(now, Duration::ZERO) / FINE_BUCKET_US - at_us / FINE_BUCKET_US
            < FINE_BUCKETS as u64
        {
            self.fine.add(at_us / FINE_BUCKET_US, FINE_BUCKETS, tally);
        }
    }

    pub fn sum(&self, now: Time, window: Window) -> Tally {
        let at_us = shifted_us(now, Duration::ZERO);
        // The counts are those of the buckets that cover 5 minutes, 1 hour and 6 hours.
        match window {
            Window::Short => self.fine.sum(at_us / FINE_BUCKET_US, 10),
            Window::Middle => self.coarse.sum(at_us / COARSE_BUCKET_US, 12),
            Window::Long => self.coarse.sum(at_us / COARSE_BUCKET_US, 72),
        }
    }

    /// Returns the non-empty fine and coarse buckets with the ages of their midpoints.
    ///
    /// With midpoints a VM whose buckets have other boundaries assigns the counts neither too early
    /// nor too late on average.
    pub fn bucket_tallies(&self, now: Time) -> [Vec<(Duration, Tally)>; 2] {
        let ages = |buckets: &Buckets, length: u64| {
            let numbered = (buckets.first_number..).zip(buckets.tallies.clone());
            let filled = numbered.filter(|(_, tally)| *tally != Tally::default());
            let now_us = shifted_us(now, Duration::ZERO);
            let age = |number: u64| {
                Duration::from_micros(now_us.saturating_sub(number * length + length / 2))
            };
            filled.map(|(number, tally)| (age(number), tally)).collect()
        };
        [
            ages(&self.fine, FINE_BUCKET_US),
            ages(&self.coarse, COARSE_BUCKET_US),
        ]
    }

    pub fn bytes(&self) -> usize {
        let buckets = self.fine.tallies.capacity() + self.coarse.tallies.capacity();
        size_of::<Self>() + buckets * size_of::<Tally>()
    }
}

fn shifted_us(now: Time, age: Duration) -> u64 {
    let shifted = now + TIME_OFFSET;
    shifted.0.saturating_sub(age.as_micros() as u64)
}
