//! Events in order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use chervildrift_core::types::Time;

/// An event due at a time; events of one time come in the order in which they were added.
#[derive(Debug)]
struct Entry<T> {
    at: Time,
    number: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events due.
#[derive(Debug)]
pub struct Heap<T> {
    entries: BinaryHeap<Entry<T>>,
    count: u64,
}

impl<T> Heap<T> {
    pub fn open() -> Self {
        Self {
            entries: BinaryHeap::new(),
            count: 0,
        }
    }

    pub fn push(&mut self, at: Time, event: T) {
        self.count += 1;
        let number = self.count;
        self.entries.push(Entry { at, number, event });
    }

    /// Takes the next event, if it is due by `end`.
    pub fn pop(&mut self, end: Time) -> Option<(Time, T)> {
        if self.entries.peek()?.at > end {
            return None;
        }
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
