//! Admission policy for the statements at one upstream.

use std::time::Duration;

use super::route::RouteTable;
use crate::dispatch::{DEFAULT_RAMP, DEFAULT_USAGE_WINDOW, KindPolicy, Policy};
use crate::types::{Kind, Rank, Service};

/// Kind of the statements that the VM itself sends.
pub const PROBE_KIND: &str = "probe";

/// Maximum number of queued statements per rank and upstream; bounds the memory and descriptors of a
/// VM. What can't be served in time is refused by the estimated wait long before.
const QUEUE_LIMIT: usize = 256;

/// Guaranteed shares of slot time by rank, the defaults of operators' files.
const GUARANTEED_SHARES: [f64; Rank::COUNT] = [0.3, 0.2, 0.1];

/// Service time assumed before any statement has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Returns the kind as which statements are scheduled that come from another VM, under a route that
/// this VM has not received yet.
#[must_use]
pub fn fallback_kind(rank: Rank) -> Kind {
    Kind::from(format!("unknown/{rank}"))
}

/// Returns the policy for an upstream of a service at which `statements` statements may run at once.
#[must_use]
pub fn admission_policy(routes: &RouteTable, service: &Service, statements: usize) -> Policy {
    let mut kinds = vec![KindPolicy::new(
        Kind::from(PROBE_KIND),
        Rank::Urgent,
        INITIAL_SERVICE_TIME,
    )];
    for rank in Rank::ALL {
        kinds.push(KindPolicy::new(
            fallback_kind(rank),
            rank,
            INITIAL_SERVICE_TIME,
        ));
    }
    for route in routes.of_service(service) {
        kinds.push(KindPolicy::new(
            route.kind.clone(),
            route.rank,
            INITIAL_SERVICE_TIME,
        ));
    }
    Policy {
        slots: statements,
        queue_limits: [QUEUE_LIMIT; Rank::COUNT],
        guaranteed_shares: GUARANTEED_SHARES,
        kinds,
        usage_window: DEFAULT_USAGE_WINDOW,
        reserved_share: 0.0,
        ramp: DEFAULT_RAMP,
        adaptive: false,
    }
}
