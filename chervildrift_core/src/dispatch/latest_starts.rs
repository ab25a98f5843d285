//! Index of the waiting jobs by their latest useful start, in buckets of a few milliseconds.
//!
//! A small number of buckets stays in the processor's cache, unlike a sorted entry for each of many
//! thousands of jobs. In exchange a job may be reported as expired up to one bucket late; it is
//! never started late.

use std::collections::BTreeMap;

use super::list_arena::{List, ListArena};
use crate::types::Time;

/// Width of a bucket.
const BUCKET_WIDTH_US: u64 = 4_096;

/// Keys of the waiting jobs, grouped into buckets by latest start.
#[derive(Clone, Debug)]
pub struct LatestStarts {
    buckets: BTreeMap<u64, List>,
    entries: ListArena<u32>,
    len: usize,
}

impl LatestStarts {
    /// Creates an empty index.
    pub const fn new() -> Self {
        Self {
            buckets: BTreeMap::new(),
            entries: ListArena::new(),
            len: 0,
        }
    }

    /// Returns the number of jobs.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Adds the job at `key` and returns the key of its entry.
    pub fn insert(&mut self, latest_start: Time, key: u32) -> u32 {
        let bucket = self.buckets.entry(latest_start.0 / BUCKET_WIDTH_US);
        let list = bucket.or_insert_with(List::new);
        self.len += 1;
        self.entries.push(list, key)
    }

    /// Removes the entry of a job; returns whether there was one.
    pub fn remove(&mut self, latest_start: Time, entry: u32) -> bool {
        let bucket = latest_start.0 / BUCKET_WIDTH_US;
        let Some(list) = self.buckets.get_mut(&bucket) else {
            return false;
        };
        let found = self.entries.remove(list, entry).is_some();
        if list.len() == 0 {
            self.buckets.remove(&bucket);
        }
        self.len -= usize::from(found);
        found
    }

    /// Returns the end of the first bucket, when its jobs have expired.
    pub fn next_expiry(&self) -> Option<Time> {
        let (bucket, _) = self.buckets.first_key_value()?;
        Some(Time((bucket + 1).saturating_mul(BUCKET_WIDTH_US)))
    }

    /// Returns the key of a job whose bucket has ended, without removing its entry.
    pub fn first_expired(&self, now: Time) -> Option<u32> {
        let (bucket, list) = self.buckets.first_key_value()?;
        if *bucket >= now.0 / BUCKET_WIDTH_US {
            return None;
        }
        self.entries.get(list.first()?).copied()
    }
}
