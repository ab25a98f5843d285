//! Time from which a VM may keep shares.
//!
//! A VM that has just been listed in the store must not keep a share yet: others may act on older
//! listings, by which the share is theirs. It announces in its presence record the time at which
//! those have run out of authority. A VM that is restarted while its record is valid goes on with
//! the announced time. VMs of a fleet that starts as a whole wait only for each other.

use std::time::Duration;

use super::roster::CONTACT_LIFE;
use crate::relay::{PRESENCE_TTL, Presence};
use crate::types::Vm;

/// Time within which the record that announces a tenure has to be committed.
const COMMIT_MS: u64 = 2_000;

/// Time from the first listing until the tenure begins, in a fleet that starts as a whole; enough
/// for the commit of a VM that lists last, and of one that lists before that.
const START_MS: u64 = 3 * COMMIT_MS;

/// Time without contact by which the authority of another VM has ended.
const WAIT_MS: u64 = CONTACT_LIFE.as_millis() as u64;

/// Tenure of one VM; all times are by the store's clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    /// Whether the first listing was taken up.
    has_begun: bool,
    /// Time of the listing in which the fleet appeared to start as a whole.
    start: Option<u64>,
    /// Time announced by this process.
    announced: Option<u64>,
    /// Announced time from which the VM may keep shares; `None` until it is known that a record with
    /// it was committed in time.
    from: Option<u64>,
    /// Earliest listing on which this VM may act as a keeper.
    min_listing: u64,
    /// Newest known renewal of the own record.
    renewed: Option<u64>,
}

impl Tenure {
    /// Takes up a listing of the presence records.
    pub fn observe_listing(&mut self, store_ms: u64, own: &Vm, records: &[Presence]) {
        let age = |at: u64| Duration::from_millis(store_ms.saturating_sub(at));
        let mut valid = records.iter().filter(|it| age(it.at) < PRESENCE_TTL);
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        let Some(record) = valid.clone().find(|it| it.peer.vm == *own) else {
            let starting = store_ms + START_MS - COMMIT_MS..=store_ms + START_MS;
            let is_starting =
                |it: &Presence| it.keeps_from.is_some_and(|at| starting.contains(&at));
            *self = Self {
                has_begun: true,
                start: valid.all(is_starting).then_some(store_ms),
                ..Self::default()
            };
            return;
        };
        if is_first && let Some(from) = record.keeps_from {
            // An earlier process of this VM has announced it.
            self.from = Some(from);
            self.min_listing = if from <= store_ms { 0 } else { from };
        } else if self.announced.is_some() && self.announced == record.keeps_from {
            self.confirm(store_ms);
        }
        self.observe_renewal(record.at);
    }

    /// Takes up the time of the last renewal of the own record.
    pub fn observe_renewal(&mut self, at: u64) {
        let last = self.renewed.replace(at);
        if last.is_some_and(|last| at.saturating_sub(last) >= WAIT_MS) {
            // The record may have expired meanwhile.
            self.from = None;
            self.announced = None;
            self.start = None;
        }
    }

    /// Returns the time to announce in a record that is written now.
    pub fn announce(&mut self, store_ms: u64) -> u64 {
        if let Some(from) = self.from {
            return from;
        }
        let start = self.start.filter(|start| store_ms < start + COMMIT_MS);
        self.start = start;
        let from = start.map_or(store_ms + WAIT_MS + COMMIT_MS, |start| start + START_MS);
        self.announced = Some(from);
        from
    }

    /// Records that the announced time was in the store at `store_ms`.
    pub fn confirm(&mut self, store_ms: u64) {
        let Some(announced) = self.announced.filter(|_| self.from.is_none()) else {
            return;
        };
        let reserve = self.start.map_or(WAIT_MS, |_| START_MS - COMMIT_MS);
        if store_ms + reserve <= announced {
            self.from = Some(announced);
            self.min_listing = self.start.map_or(0, |_| announced);
        }
    }

    /// Returns whether the VM has announced no time, or too late.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.from.is_none()
    }

    /// Returns the time of the earliest listing on which this VM may act as a keeper.
    #[must_use]
    pub const fn min_listing(&self) -> u64 {
        self.min_listing
    }

    /// Returns the newest known renewal of the own record.
    #[must_use]
    pub const fn renewed(&self) -> Option<u64> {
        self.renewed
    }

    /// Returns whether the VM may keep shares at a time, acting on a listing.
    #[must_use]
    pub fn is_entitled(&self, store_ms: u64, listed_ms: u64) -> bool {
        self.from.is_some_and(|from| from <= store_ms) && self.min_listing <= listed_ms
    }
}
