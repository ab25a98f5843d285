//! Recognition of datagrams that were received before.
//!
//! Per sender, the latest epoch, the greatest number in it and the 64 numbers below are kept, so
//! that reordered datagrams pass once. Clocks of different VMs are never compared. A replay passes
//! only while nothing is known of its sender: after a start, and after a long silence. The
//! membership's incarnations limit what it can do then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chervildrift_core::types::Vm;

use super::seal::Stamp;

/// Numbers below the greatest that are told apart.
const WINDOW: u64 = 64;

/// Silence after which a sender is forgotten.
///
/// It bounds how long a VM whose wall clock went back over a restart is not heard.
const FORGET: Duration = Duration::from_secs(60);

/// Senders that are remembered.
const SENDERS: usize = 16_384;

/// What is known of one sender.
#[derive(Debug)]
struct Sender {
    epoch: u64,
    greatest: u64,
    /// Bit `n` is set when the number `greatest - n` was received.
    seen: u64,
    heard: Instant,
}

/// Senders by name.
#[derive(Debug, Default)]
pub struct Replays {
    senders: HashMap<Vm, Sender>,
}

impl Replays {
    /// Takes a stamp; false if its datagram was received before or is too old to tell.
    pub fn take(&mut self, now: Instant, from: &Vm, stamp: Stamp) -> bool {
        if let Some(sender) = self.senders.get_mut(from)
            && now.saturating_duration_since(sender.heard) < FORGET
        {
            return sender.take(now, stamp);
        }
        self.make_room(now);
        self.senders.insert(from.clone(), Sender::open(now, stamp));
        true
    }

    /// Forgets silent senders, or all when there are still too many.
    fn make_room(&mut self, now: Instant) {
        if self.senders.len() < SENDERS {
            return;
        }
        self.senders
            .retain(|_, sender| now.saturating_duration_since(sender.heard) < FORGET);
        if self.senders.len() >= SENDERS {
            self.senders.clear();
        }
    }
}

impl Sender {
    const fn open(now: Instant, stamp: Stamp) -> Self {
        Self {
            epoch: stamp.epoch,
            greatest: stamp.number,
            seen: 1,
            heard: now,
        }
    }

    fn take(&mut self, now: Instant, stamp: Stamp) -> bool {
        if stamp.epoch < self.epoch {
            return false;
        }
        if stamp.epoch > self.epoch {
            *self = Self::open(now, stamp);
            return true;
        }
        let fresh = self.mark(stamp.number);
        if fresh {
            self.heard = now;
        }
        fresh
    }

    /// Marks a number as received; false if it was before or lies below the window.
    fn mark(&mut self, number: u64) -> bool {
        if number > self.greatest {
            let step = number - self.greatest;
            self.seen = if step < WINDOW { self.seen << step } else { 0 };
            self.seen |= 1;
            self.greatest = number;
            return true;
        }
        let back = self.greatest - number;
        let fresh = back < WINDOW && self.seen & (1 << back) == 0;
        if fresh {
            self.seen |= 1 << back;
        }
        fresh
    }
}
