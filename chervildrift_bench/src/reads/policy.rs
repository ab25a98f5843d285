//! Policies that choose the upstream of a read, and their costs.

use std::fmt;
use std::time::Duration;

use chervildrift_core::route::{DispatcherOrder, Request, Route, choose_route};
use chervildrift_core::types::{LogPosition, Rank, Time, Vm, Zone};

use super::replicas::Replicas;

/// Policy that chooses the upstream of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    /// Any upstream that covers the session token and is within the declared age.
    SessionToken,
    /// The primary for a fixed time after the session's write, any replica otherwise.
    Pinned(Duration),
    /// Replicas by round robin, with a check at the replica; the primary when the check fails.
    RoundRobin,
}

impl Policy {
    /// Policies that are compared.
    pub(super) const ALL: [Self; 4] = [
        Self::SessionToken,
        Self::Pinned(Duration::from_secs(1)),
        Self::Pinned(Duration::from_secs(10)),
        Self::RoundRobin,
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SessionToken => f.write_str("session token"),
            Self::Pinned(span) => write!(f, "primary for {span:?} after a write"),
            Self::RoundRobin => f.write_str("round robin with fallback"),
        }
    }
}

/// How a read was served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Served {
    pub(super) upstream: usize,
    pub(super) applied: LogPosition,
    pub(super) waited: bool,
    pub(super) second_trip: bool,
    pub(super) time: Duration,
}

/// Serves a read by a policy.
pub(super) fn serve(
    policy: Policy,
    now: Time,
    last_write: Option<(LogPosition, Time)>,
    max_age: Duration,
    read_count: usize,
    replicas: &Replicas,
) -> Served {
    let min_position = last_write.map(|(position, _written)| position);
    let replica = 1 + read_count % 2;
    match policy {
        Policy::SessionToken => by_token(now, min_position, max_age, replicas),
        Policy::Pinned(span) => {
            let pinned = last_write.is_some_and(|(_position, written)| now.since(written) < span);
            direct(now, if pinned { 0 } else { replica }, replicas)
        }
        Policy::RoundRobin => {
            let serves = replicas.may_serve(now, replica, min_position, max_age);
            if serves {
                direct(now, replica, replicas)
            } else {
                fall_back_to_primary(now, replica, Duration::ZERO, replicas)
            }
        }
    }
}

fn by_token(
    now: Time,
    min_position: Option<LogPosition>,
    max_age: Duration,
    replicas: &Replicas,
) -> Served {
    let request = Request {
        write: false,
        rank: Rank::Bulk,
        min_position,
        max_age: Some(max_age),
        deadline: now + Duration::from_secs(2),
        zone: &Zone::from("slt-a"),
    };
    let vms: DispatcherOrder = std::iter::once(Vm::from("vm")).collect();
    let ranked = [vms.clone(), vms.clone(), vms];
    let Route::Forward(path) = choose_route(now, &request, replicas.cache(), &ranked) else {
        return direct(now, 0, replicas);
    };
    if path.upstream == 0 {
        return direct(now, 0, replicas);
    }
    // The check runs on the replica's connection, like the read.
    match replicas.time_to_cover(now, path.upstream, min_position, path.wait) {
        Some(waited) => Served {
            waited: !waited.is_zero(),
            time: replicas.rtt(path.upstream) + waited,
            ..direct(now + waited, path.upstream, replicas)
        },
        None => fall_back_to_primary(now, path.upstream, path.wait, replicas),
    }
}

fn direct(now: Time, upstream: usize, replicas: &Replicas) -> Served {
    Served {
        upstream,
        applied: replicas.applied(now, upstream),
        waited: false,
        second_trip: false,
        time: replicas.rtt(upstream),
    }
}

fn fall_back_to_primary(
    now: Time,
    refused_by: usize,
    waited: Duration,
    replicas: &Replicas,
) -> Served {
    let primary = direct(now + waited, 0, replicas);
    Served {
        second_trip: true,
        time: primary.time + replicas.rtt(refused_by) + waited,
        ..primary
    }
}
