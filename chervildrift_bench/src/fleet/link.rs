//! Delays and losses between VMs.

use std::time::Duration;

use chervildrift_core::rng::Rng;
use chervildrift_core::types::Zone;

/// Fewest VMs of a fleet with the six availability zones of the two-year size.
const SIX_ZONES: usize = 50;

/// Availability zones of one region.
const REGION: usize = 2;

/// Wait of TCP before it sends a lost segment again.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// Delays and losses between VMs.
#[derive(Debug)]
pub struct Links {
    pub zones: usize,
    pub loss: u64,
    /// Availability zone without contact to the others.
    pub cut: Option<usize>,
    rng: Rng,
}

impl Links {
    pub fn open(size: usize, rng: Rng) -> Self {
        let zones = if size < SIX_ZONES { 3 } else { 6 };
        Self {
            zones,
            loss: 0,
            cut: None,
            rng,
        }
    }

    pub const fn zone(&self, vm: usize) -> usize {
        vm % self.zones
    }

    pub fn zone_name(&self, vm: usize) -> Zone {
        Zone::from(format!("zone-{}", self.zone(vm)))
    }

    /// Returns the delay of a datagram, or none when it is lost.
    pub fn datagram(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.rng.below(100) < self.loss || self.parted(from, to) {
            return None;
        }
        Some(self.delay(from, to))
    }

    /// Returns the delay of a message over TCP, or none when there is no contact.
    pub fn call(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.parted(from, to) {
            return None;
        }
        let again = self.rng.below(100) < self.loss;
        let extra = if again { RETRANSMIT } else { Duration::ZERO };
        Some(self.delay(from, to) + extra)
    }

    fn parted(&self, from: usize, to: usize) -> bool {
        let inside = |vm: usize| Some(self.zone(vm)) == self.cut;
        inside(from) != inside(to)
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (self.zone(from), self.zone(to));
        let micros = if a == b {
            250
        } else if self.zones == 3 || a / REGION == b / REGION {
            1_000
        } else {
            20_000
        };
        let base = Duration::from_micros(micros);
        base + self.rng.jitter(base)
    }
}
