//! Quotas of organisations over the whole fleet: how many operations each VM may run now.
//!
//! The load: a few large and many small organisations, each with a limit on the sum over all VMs.
//! A small one is allowed a few operations a second, far less than one per VM, so a fixed part for
//! each VM refuses what is within the limit. A hot one sends several times its limit through all
//! VMs at once, so VMs that count alone let through far more than the limit.
//!
//! Each availability zone keeps an equal share of every quota, as a token bucket at one VM of the
//! zone. A VM asks the keeper of its own zone before an operation, and the keepers of the other
//! zones when that share is used up. A grant expires soon after it was requested, and is checked
//! again when an operation is sent. Zones that can't see each other thus stay below the limit
//! together, and the loss of a keeper costs one share.
//!
//! The keeper is the first of the zone's VMs in an order of its own for each organisation. Only
//! VMs that have been listed in the store for a while take part, and only while their contact with
//! the store is recent, so that an earlier keeper has stopped before the next one starts. A keeper
//! always starts with an empty bucket.

mod bucket;
mod keeper;
mod roster;
mod tenure;
mod wallet;

use std::time::Duration;

pub use self::bucket::Bucket;
pub use self::keeper::{Ask, Grant, Keeper, Share};
pub use self::roster::{Candidate, Roster, RosterUpdate};
pub use self::tenure::Tenure;
pub use self::wallet::{Permit, Recent, Wallet};

/// Window over which the limit on an organisation is checked.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Share of the limit by which a window may exceed it.
pub const OVERSHOOT: f64 = 0.1;

/// Operations by which a window may exceed the limit in addition to the share.
pub const SLACK: f64 = 20.0;

/// Life of a grant, counted from its request.
///
/// The operations of a window come from grants that were made up to this time before it, so the
/// share of the window by which the limit may be exceeded covers them.
pub const GRANT_LIFE: Duration = Duration::from_millis(500);

/// Operations per second added to the rate of each organisation.
///
/// The shares of small quotas would otherwise take longer than a caller waits to reach one whole
/// operation after a keeper has started.
const EXTRA_RATE: f64 = 1.5;

/// Operations added to the burst of each organisation, so that each share can hold one.
///
/// With those from the added rate this is three quarters of the slack. The rest covers operations
/// whose VM is suspended between the last check and sending.
const EXTRA_BURST: f64 = 6.75;

/// Returns how many operations of an organisation may reach upstreams in one window.
#[must_use]
pub fn window_limit(quota: crate::relay::Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVERSHOOT) + SLACK
}
