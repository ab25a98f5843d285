//! Counts in time buckets.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::Tally;
use crate::types::Time;

/// Length of a fine bucket, in microseconds.
const FINE_BUCKET_US: u64 = 30_000_000;

/// Length of a coarse bucket, in microseconds.
const COARSE_BUCKET_US: u64 = 300_000_000;

/// Fine buckets kept, which cover the 5 minute window and reports that are late by as much.
const FINE_BUCKETS: usize = 20;

/// Coarse buckets kept, which cover the 6 hour window.
const COARSE_BUCKETS: usize = 73;

/// Offset that keeps the times of counts before this VM started above zero.
const TIME_OFFSET: Duration = Duration::from_secs(7 * 3_600);

/// Time over which burn is computed.
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

/// Buckets of one length; the last is the current one.
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

    /// Adds buckets before the first, as far as they are kept.
    fn extend_back(&mut self, number: u64, max_len: usize) {
        while number < self.first_number && self.tallies.len() < max_len {
            self.tallies.push_front(Tally::default());
            self.first_number -= 1;
        }
    }

    /// Adds buckets after the last and drops those that are too old.
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

    /// Returns the sum of the last `count` buckets up to the one with `number`.
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
    /// Adds counts that were made `age` before `now`.
    pub fn add(&mut self, now: Time, age: Duration, tally: Tally) {
        let at_us = shifted_us(now, age);
        let fresh = shifted_us(now, Duration::ZERO) / FINE_BUCKET_US - at_us / FINE_BUCKET_US
            < FINE_BUCKETS as u64;
        if fresh {
            self.fine.add(at_us / FINE_BUCKET_US, FINE_BUCKETS, tally);
        }
        self.add_coarse(now, age, tally);
    }

    /// Adds counts from a snapshot, which has coarse buckets only.
    pub fn add_coarse(&mut self, now: Time, age: Duration, tally: Tally) {
        let at_us = shifted_us(now, age);
        let old = shifted_us(now, Duration::ZERO) / COARSE_BUCKET_US - at_us / COARSE_BUCKET_US
            >= COARSE_BUCKETS as u64;
        if !old {
            self.coarse
                .add(at_us / COARSE_BUCKET_US, COARSE_BUCKETS, tally);
        }
    }

    /// Adds fine counts from a snapshot, which its coarse ones hold already.
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
        match window {
            Window::Short => self.fine.sum(at_us / FINE_BUCKET_US, 10),
            Window::Middle => self.coarse.sum(at_us / COARSE_BUCKET_US, 12),
            Window::Long => self.coarse.sum(at_us / COARSE_BUCKET_US, 72),
        }
    }

    /// Returns the filled fine and then coarse buckets with the ages of their middles, so that a
    /// VM with other bucket bounds puts them neither earlier nor later on average.
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
