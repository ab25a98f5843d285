//! Operations that a VM has been granted and has not run yet.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Ask, GRANT_LIFE, Grant};
use crate::types::{Organisation, Time};

/// Shortest time between a refusal of the own zone's keeper and the next request to it.
///
/// Within it a hot organisation's share collects operations for all VMs of the zone.
const LOCAL_PAUSE: Duration = Duration::from_millis(250);

/// Shortest time between a refusal of another zone's keeper and the next request to it; less than
/// half of the time in which a share with a burst of one second fills up.
const REMOTE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time between requests to a keeper.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time constant with which the observed rate of operations decays.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time without operations after which nothing is kept about an organisation.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Permission for one operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    expires_at: Time,
}

impl Permit {
    /// Returns whether the operation may still be sent.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }
}

/// Operations of an organisation at one VM in about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    /// Operations that arrived.
    pub asked: f64,
    /// Permits that were taken.
    pub granted: f64,
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// Unused operations by the time at which they expire.
    grants: SmallVec<[(Time, u32); 4]>,
    /// Decaying count of operations.
    recent: f64,
    /// Decaying count of permits.
    granted: f64,
    updated_at: Time,
    /// Earliest next request to the keeper of each zone.
    ask_after: SmallVec<[Time; 8]>,
}

/// Unused operations of all organisations at one VM.
#[derive(Clone, Debug)]
pub struct Wallet {
    zones: usize,
    accounts: HashMap<Organisation, Account>,
}

impl Wallet {
    /// Creates an empty wallet that is filled from the shares of `zones` zones, of which the first
    /// is the VM's own.
    #[must_use]
    pub fn empty(zones: usize) -> Self {
        Self {
            zones,
            accounts: HashMap::new(),
        }
    }

    /// Counts an operation that arrives.
    pub fn count_operation(&mut self, now: Time, organisation: &Organisation) {
        let zones = self.zones;
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.ask_after.resize(zones, Time(0));
        let span = now.since(account.updated_at).as_secs_f64();
        let decay_factor = (-span / RATE_WINDOW.as_secs_f64()).exp();
        account.recent = account.recent * decay_factor + 1.0;
        account.granted *= decay_factor;
        account.updated_at = now;
    }

    /// Takes a permit, the one that expires first.
    pub fn take(&mut self, now: Time, organisation: &Organisation) -> Option<Permit> {
        let account = self.accounts.get_mut(organisation)?;
        account
            .grants
            .retain(|(expires_at, count)| now < *expires_at && *count > 0);
        let (expires_at, count) = account.grants.iter_mut().min_by_key(|(at, _)| *at)?;
        *count -= 1;
        let expires_at = *expires_at;
        account.granted += 1.0;
        Some(Permit { expires_at })
    }

    /// Takes back a permit whose operation was not sent.
    pub fn give_back(&mut self, organisation: &Organisation, permit: Permit) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.grants.push((permit.expires_at, 1));
        }
    }

    /// Returns the operations and permits of about the last second.
    #[must_use]
    pub fn recent(&self, organisation: &Organisation) -> Recent {
        let account = self.accounts.get(organisation);
        account.map_or_else(Recent::default, |it| Recent {
            asked: it.recent,
            granted: it.granted,
        })
    }

    /// Returns the zone whose keeper to ask next, by its position.
    #[must_use]
    pub fn next_source(&self, now: Time, organisation: &Organisation) -> Option<usize> {
        let account = self.accounts.get(organisation)?;
        account.ask_after.iter().position(|at| *at <= now)
    }

    /// Returns the request for one operation that waits and those expected soon.
    #[must_use]
    pub fn ask(&self, organisation: &Organisation) -> Ask {
        let ahead =
            self.recent(organisation).asked * GRANT_LIFE.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        Ask {
            organisation: organisation.clone(),
            need: 1,
            ahead: ahead as u32,
        }
    }

    /// Applies the response of a zone's keeper to a request sent at `sent_at`; `None` if there was
    /// none or the VM asked is not the keeper.
    pub fn apply(
        &mut self,
        now: Time,
        sent_at: Time,
        organisation: &Organisation,
        source: usize,
        grant: Option<Grant>,
    ) {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        let count = grant.map_or(0, |it| it.count);
        if count > 0 {
            account.grants.push((sent_at + GRANT_LIFE, count));
            return;
        }
        let pause = if source == 0 && grant.is_some() {
            LOCAL_PAUSE
        } else {
            REMOTE_PAUSE
        };
        let wait = Duration::from_millis(grant.map_or(0, |it| it.wait_ms));
        if let Some(at) = account.ask_after.get_mut(source) {
            *at = now + wait.clamp(pause, MAX_PAUSE);
        }
    }

    /// Returns the time after which an operation may be granted again.
    #[must_use]
    pub fn retry_delay(&self, now: Time, organisation: &Organisation) -> Duration {
        let account = self.accounts.get(organisation);
        let next = account.and_then(|it| it.ask_after.iter().min().copied());
        next.map_or(LOCAL_PAUSE, |at| at.since(now))
    }

    /// Drops what is kept about organisations without operations.
    pub fn drop_idle(&mut self, now: Time) {
        self.accounts
            .retain(|_, account| now.since(account.updated_at) < IDLE_TIME);
    }
}
