//! Events in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use chervildrift_core::types::Time;

use super::message::{Party, Reply, Request};

/// Task of an upstream or a VM.
#[derive(Clone, Debug)]
pub(super) enum Task {
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
    CallTimeout {
        id: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) enum WorldEvent {
    Task {
        party: Party,
        epoch: u32,
        task: Task,
    },
    StartWrite,
    Unfreeze(Party),
    Restart(Party),
    RestoreLinks(Party, Vec<Party>),
    RestoreNetwork,
    ClearLag(usize),
    CancelLeave(usize),
}

/// Whether a party runs, and the tasks that a frozen party has not run yet.
#[derive(Debug, Default)]
pub(super) struct PartyState {
    pub(super) epoch: u32,
    pub(super) down: bool,
    pub(super) frozen: bool,
    pub(super) inbox: VecDeque<Task>,
}

/// Events in order of time; events of the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, WorldEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Time, event: WorldEvent) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn pop(&mut self, end: Time) -> Option<(Time, WorldEvent)> {
        let Reverse((at, id)) = *self.heap.peek()?;
        if at > end {
            return None;
        }
        self.heap.pop();
        Some((at, self.events.remove(&id)?))
    }
}
