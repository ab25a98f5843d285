//! Items of virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use chervildrift_core::types::Time;

use super::message::{Party, Reply, Request};

/// What a party does next.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Tick,
    Pull,
    Request {
        from: Party,
        id: u64,
        request: Request,
    },
    Reply {
        id: u64,
        reply: Reply,
    },
    Pulled {
        from: usize,
        reply: Reply,
    },
    Expire {
        id: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) enum Item {
    Work {
        party: Party,
        epoch: u32,
        work: Work,
    },
    Write,
    Thaw(Party),
    Return(Party),
    Heal(Party, Vec<Party>),
    Calm,
    Catch(usize),
    Stay(usize),
}

/// Whether a party runs.
#[derive(Debug, Default)]
pub(super) struct Slot {
    pub(super) epoch: u32,
    pub(super) down: bool,
    pub(super) frozen: bool,
    pub(super) inbox: VecDeque<Work>,
}

/// Items by time, and in the order of their making at one time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    items: HashMap<u64, Item>,
    made: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at: Time, item: Item) {
        self.made += 1;
        self.heap.push(Reverse((at, self.made)));
        self.items.insert(self.made, item);
    }

    pub(super) fn pop(&mut self, end: Time) -> Option<(Time, Item)> {
        let Reverse((at, id)) = *self.heap.peek()?;
        if at > end {
            return None;
        }
        self.heap.pop();
        Some((at, self.items.remove(&id)?))
    }
}
