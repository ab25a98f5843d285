//! Recognition of datagrams that were received before.
//!
//! Per sender, the latest epoch, the greatest number in it and the 64 numbers below are kept, so
//! that reordered datagrams pass once. Clocks of different VMs are never compared. A replay passes
//! only while nothing is known of its sender: after a start, and after a long silence. The
//! membership's incarnations limit what it can do then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chervildrift_core::types::Vm;

use super::seal::DatagramId;

/// Numbers below the greatest that are told apart.
const WINDOW_NUMBERS: u64 = 64;

/// Silence after which a sender is forgotten.
///
/// It bounds how long a VM whose wall clock went back over a restart is not heard.
const SENDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Senders that are remembered.
const MAX_SENDERS: usize = 16_384;

/// What is known of one sender.
#[derive(Debug)]
struct SenderWindow {
    epoch: u64,
    greatest: u64,
    /// Bit `n` is set when the number `greatest - n` was received.
    received: u64,
    last_received: Instant,
}

/// Senders by name.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: HashMap<Vm, SenderWindow>,
}

impl ReplayFilter {
    /// Takes a stamp; false if its datagram was received before or is too old to tell.
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

    /// Forgets silent senders, or all when there are still too many.
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

    /// Marks a number as received; false if it was before or lies below the window.
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
