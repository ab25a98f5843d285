//! Rules by which the connections of one upstream are shared out.

use std::time::Duration;

use super::route::RouteTable;
use crate::dispatch::{KindPolicy, Policy, RAMP, WINDOW};
use crate::types::{Kind, Rank, Service};

/// Kind of the VM's own statements.
pub const PROBE_KIND: &str = "probe";

/// Waiting statements of one rank at one upstream.
const QUEUE_LIMIT: usize = 64;

/// Floors of slot time of the ranks, as in operators' files that state none.
const GUARANTEED_SHARES: [f64; Rank::COUNT] = [0.3, 0.2, 0.1];

/// Service time that is expected before any statement has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Returns the rules for `links` connections to an upstream of a service.
#[must_use]
pub fn admission_policy(routes: &RouteTable, service: &Service, connections: usize) -> Policy {
    let mut kinds = vec![KindPolicy::new(
        Kind::from(PROBE_KIND),
        Rank::Urgent,
        INITIAL_SERVICE_TIME,
    )];
    for route in routes.of_service(service) {
        kinds.push(KindPolicy::new(
            route.kind.clone(),
            route.rank,
            INITIAL_SERVICE_TIME,
        ));
    }
    Policy {
        slots: connections,
        queue_limits: [QUEUE_LIMIT; Rank::COUNT],
        floors: GUARANTEED_SHARES,
        kinds,
        window: WINDOW,
        reserve: 0.0,
        ramp: RAMP,
        adaptive: false,
    }
}
