//! Delays, cuts and losses between parties.

use std::time::Duration;

use chervildrift_core::rng::Rng;
use clap::ValueEnum;

use super::message::Party;

/// Number of availability zones of a deployment.
const ZONES: usize = 3;

/// One of the two deployments of the design page.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Deployment {
    /// Booking pool for farms' machines.
    Federation,
    /// Quotes for polishing workshops.
    Barnizados,
}

impl Deployment {
    /// Returns the one-way latency between two availability zones.
    #[must_use]
    pub const fn between_zones(self) -> Duration {
        match self {
            Self::Federation => Duration::from_millis(1),
            Self::Barnizados => Duration::from_micros(500),
        }
    }

    /// Returns the one-way latency between two regions.
    #[must_use]
    pub const fn between_regions(self) -> Duration {
        Duration::from_millis(20)
    }

    /// Returns the time to open a new connection.
    #[must_use]
    pub const fn connect_time(self) -> Duration {
        match self {
            Self::Federation => Duration::from_millis(10),
            Self::Barnizados => Duration::from_millis(30),
        }
    }
}

/// Network between the parties of a group.
#[derive(Clone, Debug)]
pub struct Network {
    /// One-way latency between availability zones.
    pub latency: Duration,
    /// Time that an upstream takes to answer a request.
    pub service_time: Duration,
    /// Share of messages that are lost.
    pub loss_share: f64,
    /// Share of messages that are delayed by up to `max_delay`.
    pub delay_share: f64,
    /// Greatest extra delay of a delayed message.
    pub max_delay: Duration,
    cuts: Vec<(Party, Party)>,
}

impl Network {
    /// Creates a network without faults and with one latency between availability zones.
    #[must_use]
    pub const fn new(latency: Duration) -> Self {
        Self {
            latency,
            service_time: Duration::from_micros(200),
            loss_share: 0.0,
            delay_share: 0.0,
            max_delay: Duration::ZERO,
            cuts: Vec::new(),
        }
    }

    /// Returns the availability zone of a party.
    #[must_use]
    pub const fn zone(party: Party) -> usize {
        match party {
            Party::Upstream(index) | Party::Vm(index) => index % ZONES,
        }
    }

    /// Cuts or restores the link between two parties, in both directions.
    pub fn set_cut(&mut self, a: Party, b: Party, cut: bool) {
        let link = (a.min(b), a.max(b));
        self.cuts.retain(|other| *other != link);
        if cut {
            self.cuts.push(link);
        }
    }

    /// Restores all links and ends the loss and the delay of messages.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss_share = 0.0;
        self.delay_share = 0.0;
    }

    /// Returns the time that a message takes, or `None` if it is lost.
    pub fn transit_time(&self, from: Party, to: Party, rng: &mut Rng) -> Option<Duration> {
        let link = (from.min(to), from.max(to));
        if self.cuts.contains(&link) || rng.unit_f64() < self.loss_share {
            return None;
        }
        let same_zone = Self::zone(from) == Self::zone(to);
        let base = if same_zone {
            self.latency / 10
        } else {
            self.latency
        };
        let extra = if rng.unit_f64() < self.delay_share {
            rng.jitter(self.max_delay)
        } else {
            Duration::ZERO
        };
        Some(base + rng.jitter(base / 5 + Duration::from_micros(20)) + extra)
    }
}
