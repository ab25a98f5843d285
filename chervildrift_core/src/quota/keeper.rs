//! Shares that a VM keeps, and the grants it makes from them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Bucket, EXTRA_BURST, EXTRA_RATE};
use crate::relay::Quota;
use crate::types::{Organisation, Time};

/// Share of a zone in the quota of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Sustained rate, in operations per second.
    pub rate: f64,
    /// Maximum number of unused operations.
    pub burst: f64,
}

impl Share {
    /// Returns the share of one of `zones` zones, or a fraction of it.
    #[must_use]
    pub fn of(quota: Quota, zones: usize, fraction: f64) -> Self {
        let part = fraction / zones.max(1) as f64;
        // `max` turns NaN into 0.
        Self {
            rate: (quota.rate.max(0.0) + EXTRA_RATE) * part,
            burst: (quota.burst.max(0.0) + EXTRA_BURST) * part,
        }
    }
}

/// Request for operations of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Name of the organisation.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// Operations that wait.
    #[serde(rename = "n")]
    pub need: u32,
    /// Operations expected within the life of a grant, in addition to those that wait.
    #[serde(rename = "a")]
    pub ahead: u32,
}

/// Operations that a keeper allows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Number of operations.
    #[serde(rename = "c")]
    pub count: u32,
    /// Time until there is another one, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}

/// Shares that a VM keeps.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    buckets: HashMap<Organisation, Bucket>,
}

impl Keeper {
    /// Sets the shares that this VM keeps; new ones start empty, and others are dropped.
    pub fn review<'a>(
        &mut self,
        now: Time,
        shares: impl IntoIterator<Item = (&'a Organisation, Share)>,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        for (organisation, share) in shares {
            let known = before.remove(organisation);
            let mut bucket = known.unwrap_or_else(|| Bucket::empty(now, share));
            bucket.set_share(now, share);
            self.buckets.insert(organisation.clone(), bucket);
        }
    }

    /// Grants operations from the share of an organisation; `None` if it is not kept here.
    pub fn grant(&mut self, now: Time, ask: &Ask, share: Share) -> Option<Grant> {
        let bucket = self.buckets.get_mut(&ask.organisation)?;
        bucket.set_share(now, share);
        let needed = bucket.take(now, ask.need);
        let ahead = bucket.take_surplus(now, ask.ahead);
        Some(Grant {
            count: needed + ahead,
            wait_ms: bucket.wait().as_millis() as u64,
        })
    }

    /// Returns the number of shares kept here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no shares are kept here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
