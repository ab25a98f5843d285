//! Events in order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use chervildrift_core::types::Time;

/// Scheduled event; events of the same time keep the order in which they were added.
#[derive(Debug)]
struct Entry<T> {
    at: Time,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of scheduled events.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BinaryHeap<Entry<T>>,
    sequence: u64,
}

impl<T> EventQueue<T> {
    pub fn new() -> Self {
        Self {
            entries: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub fn push(&mut self, at: Time, event: T) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.entries.push(Entry {
            at,
            sequence,
            event,
        });
    }

    /// Removes and returns the next event, if it is scheduled for `end` or earlier.
    pub fn pop(&mut self, end: Time) -> Option<(Time, T)> {
        if self.entries.peek()?.at > end {
            return None;
        }
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
