//! Faults that a run injects.

use std::time::Duration;

use chervildrift_core::rng::Rng;

use super::message::Party;

/// Number of upstreams in the group.
pub(super) const UPSTREAMS: usize = 3;

/// Fault that starts when it is injected and ends by itself after its duration.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A party crashes, and restarts at the end.
    Crash(Party, Duration),
    /// A party stops running, and resumes with its state and the messages received meanwhile.
    Freeze(Party, Duration),
    /// The links between one party and the listed parties are cut.
    Partition(Party, Vec<Party>, Duration),
    /// A share of all messages, requests and answers alike, is lost.
    MessageLoss(f64, Duration),
    /// A share of all messages is delayed by up to 400 ms.
    MessageDelay(f64, Duration),
    /// An upstream receives entries late by the first duration, and applies them 1.5 times as late.
    Lag(usize, Duration, Duration),
    /// An upstream is listed as leaving.
    Leave(usize, Duration),
}

/// Generator of random faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultGenerator {
    /// Number of candidate VMs.
    pub vms: usize,
    /// Shortest duration of a fault.
    pub min_duration: Duration,
    /// Greatest random addition to the shortest duration.
    pub duration_spread: Duration,
}

impl FaultGenerator {
    /// Returns a random fault.
    pub fn generate(&self, rng: &mut Rng) -> Fault {
        let span = self.min_duration + rng.jitter(self.duration_spread);
        let upstream = rng.below(UPSTREAMS as u64) as usize;
        match rng.below(12) {
            0 | 1 => Fault::Crash(Party::Upstream(upstream), span),
            2 | 3 => Fault::Freeze(Party::Upstream(upstream), span),
            4 => Fault::Crash(self.random_vm(rng), span),
            5 => Fault::Freeze(self.random_vm(rng), span),
            6 => Fault::Partition(Party::Upstream(upstream), self.random_parties(rng), span),
            7 => Fault::Partition(self.random_vm(rng), self.random_parties(rng), span),
            8 => Fault::MessageLoss(rng.unit_f64() * 0.4, span),
            9 => Fault::MessageDelay(rng.unit_f64() * 0.5, span),
            10 => Fault::Lag(upstream, rng.jitter(span), span),
            _ => Fault::Leave(upstream, span),
        }
    }

    /// Returns all parties of the group.
    #[must_use]
    pub fn parties(&self) -> Vec<Party> {
        let upstreams = (0..UPSTREAMS).map(Party::Upstream);
        upstreams.chain((0..self.vms).map(Party::Vm)).collect()
    }

    fn random_vm(&self, rng: &mut Rng) -> Party {
        Party::Vm(rng.below(self.vms as u64) as usize)
    }

    /// Returns each party with a probability of two thirds.
    fn random_parties(&self, rng: &mut Rng) -> Vec<Party> {
        let mut parties = self.parties();
        parties.retain(|_party| rng.below(3) > 0);
        parties
    }
}
