//! Delays and losses between VMs.

use std::time::Duration;

use chervildrift_core::rng::Rng;
use chervildrift_core::types::Zone;

/// Smallest fleet with the six availability zones of the two-year size; others have three.
const MIN_SIX_ZONE_VMS: usize = 50;

/// Number of availability zones in one region.
const ZONES_PER_REGION: usize = 2;

/// Time after which TCP retransmits a lost segment.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delays and losses between VMs.
#[derive(Debug)]
pub struct Links {
    pub zones: usize,
    pub loss_percent: u64,
    /// Availability zone that is cut off from the others.
    pub cut_zone: Option<usize>,
    rng: Rng,
}

impl Links {
    pub fn new(size: usize, rng: Rng) -> Self {
        let zones = if size < MIN_SIX_ZONE_VMS { 3 } else { 6 };
        Self {
            zones,
            loss_percent: 0,
            cut_zone: None,
            rng,
        }
    }

    pub const fn zone(&self, vm: usize) -> usize {
        vm % self.zones
    }

    pub fn zone_name(&self, vm: usize) -> Zone {
        Zone::from(format!("zone-{}", self.zone(vm)))
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    pub fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.rng.below(100) < self.loss_percent || self.is_cut(from, to) {
            return None;
        }
        Some(self.delay(from, to))
    }

    /// Returns the delay of a message over TCP, or `None` if one of the zones is cut off.
    pub fn call_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.is_cut(from, to) {
            return None;
        }
        let lost = self.rng.below(100) < self.loss_percent;
        let extra = if lost {
            RETRANSMIT_TIMEOUT
        } else {
            Duration::ZERO
        };
        Some(self.delay(from, to) + extra)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let inside = |vm: usize| Some(self.zone(vm)) == self.cut_zone;
        inside(from) != inside(to)
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (self.zone(from), self.zone(to));
        let micros = if a == b {
            250
        } else if self.zones == 3 || a / ZONES_PER_REGION == b / ZONES_PER_REGION {
            1_000
        } else {
            20_000
        };
        let base = Duration::from_micros(micros);
        base + self.rng.jitter(base)
    }
}
