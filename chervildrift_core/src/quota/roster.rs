//! VMs that may keep shares, and which of them keeps the share of an organisation.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Tenure;
use crate::placement::{name_hash, weight};
use crate::relay::{PRESENCE_TTL, Peer, Presence, digest};
use crate::types::{Organisation, Time, Vm, Zone};

/// Time since the last contact with the store within which a keeper grants from a whole share.
///
/// Shorter than the life of a presence record, so that it has passed when another VM takes over.
pub(super) const CONTACT_LIFE: Duration = Duration::from_secs(20);

/// Time since the last contact with the store after which a keeper stops; calls to the store fail
/// for minutes at most.
pub(super) const OUTAGE_LIFE: Duration = Duration::from_secs(300);

/// Share that is left to a keeper out of contact, and to the one that takes over from it.
const OUTAGE_FRACTION: f64 = 0.5;

/// Tolerance for estimates of the store's clock; covers the time-out of the calls that read it.
const CLOCK_MARGIN_MS: u64 = 1_000;

/// Listed VM as a keeper of shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Name and address of the VM.
    pub peer: Peer,
    /// Time by the store's clock from which it may keep shares, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<u64>,
    /// Whether its record has expired, so that it is gone or out of contact with the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub silent: bool,
}

impl Candidate {
    /// Returns the VM of a presence record; `None` if it can't keep shares any more.
    #[must_use]
    fn from_record(record: &Presence, store_ms: u64) -> Option<Self> {
        let age = Duration::from_millis(store_ms.saturating_sub(record.at));
        (age < OUTAGE_LIFE + PRESENCE_TTL).then(|| Self {
            peer: record.peer.clone(),
            from: record.keeps_from,
            silent: age >= PRESENCE_TTL,
        })
    }

    fn is_entitled(&self, store_ms: u64) -> bool {
        self.from.is_some_and(|from| from <= store_ms)
    }
}

/// Candidates as one VM sends them to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// Time of the listing by the store's clock, in milliseconds.
    pub store_ms: u64,
    /// Age of the listing, in milliseconds.
    pub age_ms: u64,
    /// Last listed renewal of the requesting VM's record, by the store's clock, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renewed_ms: Option<u64>,
    /// Candidates, unless the requesting VM knows the same ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub candidates: Option<Vec<Candidate>>,
}

/// Newest listing of the candidates.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    candidates: Vec<Candidate>,
    /// Candidates of each zone, by their position, with the hashes of their names.
    zones: HashMap<Zone, Vec<(usize, u64)>>,
    /// Listed renewals of the candidates' records.
    renewals: HashMap<Vm, u64>,
    /// Time of the listing, by the store's clock and by the VM's.
    listed: Option<(u64, Time)>,
}

impl Roster {
    /// Applies a listing of the presence records that was requested at `at`, unless it is outdated;
    /// returns whether the candidates changed.
    pub fn apply_listing(&mut self, at: Time, store_ms: u64, records: &[Presence]) -> bool {
        if !self.is_newer(store_ms) {
            return false;
        }
        let renewals = records.iter().map(|it| (it.peer.vm.clone(), it.at));
        self.renewals = renewals.collect();
        let candidates = records.iter();
        let candidates = candidates.filter_map(|it| Candidate::from_record(it, store_ms));
        let candidates = candidates.collect();
        self.apply(at, store_ms, candidates)
    }

    fn apply(&mut self, at: Time, store_ms: u64, listing: Vec<Candidate>) -> bool {
        if !self.is_newer(store_ms) {
            return false;
        }
        let changed = self.candidates != listing;
        if changed {
            self.zones.clear();
            for (at, candidate) in listing.iter().enumerate() {
                let Peer { vm, zone, .. } = &candidate.peer;
                let members = self.zones.entry(zone.clone()).or_default();
                members.push((at, name_hash(vm.as_str())));
            }
            self.candidates = listing;
        }
        self.listed = Some((store_ms, at));
        changed
    }

    /// Applies what another VM sent in response to a request made at `sent_at`; returns whether
    /// the candidates changed.
    pub fn merge(&mut self, sent_at: Time, update: RosterUpdate) -> bool {
        let age = Duration::from_millis(update.age_ms);
        let at = Time(sent_at.0.saturating_sub(age.as_micros() as u64));
        match update.candidates {
            Some(candidates) => self.apply(at, update.store_ms, candidates),
            None if self.is_newer(update.store_ms) => {
                self.listed = Some((update.store_ms, at));
                false
            }
            None => false,
        }
    }

    /// Returns what to send to a VM whose candidates have this digest.
    #[must_use]
    pub fn update_for(&self, now: Time, vm: Option<&Vm>, known: u64) -> Option<RosterUpdate> {
        let (store_ms, at) = self.listed?;
        Some(RosterUpdate {
            store_ms,
            // Rounded up, so that the listing doesn't appear newer than it is.
            age_ms: now.since(at).as_millis() as u64 + 1,
            renewed_ms: vm.and_then(|vm| self.renewals.get(vm).copied()),
            candidates: (known != self.digest()).then(|| self.candidates.clone()),
        })
    }

    /// Returns a digest of the candidates.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let items = self.candidates.iter();
        let version = |it: &Candidate| it.from.unwrap_or(u64::MAX) ^ u64::from(it.silent);
        digest(items.map(|it| (it.peer.vm.as_str(), version(it))))
    }

    /// Returns the VM that keeps a zone's share of an organisation.
    #[must_use]
    pub fn keeper(&self, now: Time, zone: &Zone, organisation: &Organisation) -> Option<&Peer> {
        let store_ms = self.store_ms(now)?;
        let key = name_hash(organisation.as_str());
        let first = self
            .entitled(store_ms, zone)
            .filter(|(it, _)| !it.silent)
            .max_by_key(|(it, hash)| (weight(key, *hash), &it.peer.vm));
        first.map(|(it, _)| &it.peer)
    }

    /// Returns the VMs of a zone that may keep shares, also the silent ones, with the hashes of
    /// their names.
    fn entitled<'a>(
        &'a self,
        store_ms: u64,
        zone: &Zone,
    ) -> impl Iterator<Item = (&'a Candidate, u64)> {
        let members = self.zones.get(zone).into_iter().flatten();
        members.filter_map(move |(at, hash)| {
            let candidate = self.candidates.get(*at)?;
            candidate
                .is_entitled(store_ms)
                .then_some((candidate, *hash))
        })
    }

    /// Returns the fraction of its zone's share from which a VM may grant now, which is 0 unless
    /// the VM is the keeper.
    #[must_use]
    pub fn fraction(
        &self,
        now: Time,
        own: &Peer,
        tenure: &Tenure,
        organisation: &Organisation,
    ) -> f64 {
        let (Some((listed_ms, _)), Some(store_ms)) = (self.listed, self.store_ms(now)) else {
            return 0.0;
        };
        let Some(renewed_ms) = tenure.renewed() else {
            return 0.0;
        };
        if !tenure.is_entitled(store_ms.saturating_sub(CLOCK_MARGIN_MS), listed_ms) {
            return 0.0;
        }
        let key = name_hash(organisation.as_str());
        let rank = (weight(key, name_hash(own.vm.as_str())), &own.vm);
        let (mut is_listed, mut silent) = (false, 0);
        for (candidate, hash) in self.entitled(store_ms, &own.zone) {
            let is_ahead = (weight(key, hash), &candidate.peer.vm) > rank;
            if is_ahead && !candidate.silent {
                return 0.0;
            }
            silent += i32::from(is_ahead);
            is_listed |= candidate.peer.vm == own.vm && !candidate.silent;
        }
        if !is_listed {
            return 0.0;
        }
        let contact_ms = renewed_ms.min(listed_ms);
        let contact_age = Duration::from_millis(store_ms.saturating_sub(contact_ms));
        let own_part = if contact_age < CONTACT_LIFE {
            1.0
        } else if contact_age < OUTAGE_LIFE {
            OUTAGE_FRACTION
        } else {
            0.0
        };
        own_part * OUTAGE_FRACTION.powi(silent)
    }

    /// Returns whether a VM must list the presence records again before it may act as a keeper.
    #[must_use]
    pub fn needs_listing(&self, now: Time, tenure: &Tenure) -> bool {
        let listed_ms = self.listed.map(|(store_ms, _)| store_ms);
        let is_due = self.store_ms(now) >= Some(tenure.min_listing());
        is_due && listed_ms < Some(tenure.min_listing())
    }

    fn is_newer(&self, store_ms: u64) -> bool {
        self.listed.is_none_or(|(known, _)| store_ms > known)
    }

    /// Returns the time by the store's clock, estimated from the newest listing.
    fn store_ms(&self, now: Time) -> Option<u64> {
        let (store_ms, at) = self.listed?;
        Some(store_ms + now.since(at).as_millis() as u64)
    }
}
