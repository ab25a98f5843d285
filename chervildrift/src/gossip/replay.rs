//! Protection against replayed datagrams.
//!
//! For each sender, the filter keeps the latest epoch, the highest number received in it and a
//! sliding window of 64 numbers, so that reordered datagrams are accepted once. Clocks of different
//! VMs are never compared. A replay is accepted only while the filter has no state of its sender:
//! after a start of this VM, or after a long time without datagrams. Its effect is then limited by
//! the incarnation numbers of the membership protocol.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chervildrift_core::types::Vm;

use super::signer::DatagramId;

/// Size of the sliding window, including the highest number.
const WINDOW_NUMBERS: u64 = 64;

/// Time without datagrams after which the state of a sender is discarded.
///
/// This bounds how long the datagrams of a VM are dropped if its wall clock went back over a
/// restart.
const SENDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of senders with state.
const MAX_SENDERS: usize = 16_384;

/// Replay window of one sender.
#[derive(Debug)]
struct SenderWindow {
    epoch: u64,
    greatest: u64,
    /// Bitmap of the window: bit `n` is set if the number `greatest - n` was received.
    received: u64,
    last_received: Instant,
}

/// Replay windows by sender.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: HashMap<Vm, SenderWindow>,
}

impl ReplayFilter {
    /// Records a datagram; returns false if it was received before or is too old to tell.
    pub fn accept(&mut self, now: Instant, from: &Vm, id: DatagramId) -> bool {
        if let Some(sender) = self.senders.get_mut(from)
            && now.saturating_duration_since(sender.last_received) < SENDER_TIMEOUT
        {
            return sender.accept(now, id);
        }
        self.evict_senders(now);
        self.senders
            .insert(from.clone(), SenderWindow::new(now, id));
        true
    }

    /// Discards senders that have timed out, or all of them if there are still too many.
    fn evict_senders(&mut self, now: Instant) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        self.senders.retain(|_, sender| {
            now.saturating_duration_since(sender.last_received) < SENDER_TIMEOUT
        });
        if self.senders.len() >= MAX_SENDERS {
            self.senders.clear();
        }
    }
}

impl SenderWindow {
    const fn new(now: Instant, id: DatagramId) -> Self {
        Self {
            epoch: id.epoch,
            greatest: id.number,
            received: 1,
            last_received: now,
        }
    }

    fn accept(&mut self, now: Instant, id: DatagramId) -> bool {
        if id.epoch < self.epoch {
            return false;
        }
        if id.epoch > self.epoch {
            *self = Self::new(now, id);
            return true;
        }
        let fresh = self.mark_received(id.number);
        if fresh {
            self.last_received = now;
        }
        fresh
    }

    /// Marks a number as received; returns false if it already was or lies below the window.
    fn mark_received(&mut self, number: u64) -> bool {
        if number > self.greatest {
            let shift = number - self.greatest;
            self.received = if shift < WINDOW_NUMBERS {
                self.received << shift
            } else {
                0
            };
            self.received |= 1;
            self.greatest = number;
            return true;
        }
        let offset = self.greatest - number;
        let fresh = offset < WINDOW_NUMBERS && self.received & (1 << offset) == 0;
        if fresh {
            self.received |= 1 << offset;
        }
        fresh
    }
}
