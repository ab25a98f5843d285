//! Choice of upstream and dispatcher for a request, and handling of failed attempts.
//!
//! An entry routes by a [`GroupCache`], which it updates from dispatchers' replies. The cache only
//! makes a route likely to succeed: the dispatcher checks role, term and token again on the
//! connection that runs the statements.

mod answer;
mod cache;
mod failure;
mod read;
mod routed_request;

use std::time::Duration;

use smallvec::SmallVec;

use crate::types::{LogPosition, Rank, Time, Vm, Zone};

pub use self::answer::{Cause, ConfirmedWrite, NotRun, RequestFailure, UnknownOutcome};
pub use self::cache::{GroupCache, UpstreamState};
pub use self::failure::{AttemptFailure, FailureAction, UnconfirmedWrite, on_failure};
pub use self::routed_request::{
    CancelledProof, MaybeSent, NotSent, RefusedProof, Repeatability, RoutedRequest, UnsentProof,
};

/// Maximum age of cached group state; older state is fetched again before a request is routed.
pub const MAX_STATE_AGE: Duration = Duration::from_secs(5);

/// Maximum time for which a read waits at a replica for its session's last write.
pub const MAX_REPLICA_WAIT: Duration = Duration::from_millis(50);

/// Live VMs that may dispatch for one upstream, in rendezvous order.
pub type DispatcherOrder = SmallVec<[Vm; 4]>;

/// Requirements of a request on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Whether the request writes.
    pub write: bool,
    /// Rank of the request's kind.
    pub rank: Rank,
    /// Position of the session's last confirmed write in this group.
    pub min_position: Option<LogPosition>,
    /// Maximum data age that the kind and the caller accept; `None` requires the primary.
    pub max_age: Option<Duration>,
    /// Time after which an answer is useless.
    pub deadline: Time,
    /// Availability zone of the entry.
    pub zone: &'a Zone,
}

/// Routing decision for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward the request along this path.
    Forward(Path),
    /// Fetch the group state from a dispatcher first.
    FetchState,
    /// Delay the request until a primary is known or its deadline passes.
    Delay,
    /// Refuse the request: no upstream can serve the read within its bounds.
    Refuse(Cause),
}

/// Path of a request to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path {
    /// Index of the upstream in its group.
    pub upstream: usize,
    /// Dispatcher of the upstream, followed by its successors.
    pub dispatchers: DispatcherOrder,
    /// Time for which the read may wait at the upstream for the session's last write.
    pub wait: Duration,
    /// Upstream that serves the read if the wait times out.
    pub fallback: Option<usize>,
}

/// Chooses the route of a request; `orders` holds the dispatchers of each upstream.
#[must_use]
pub fn choose_route(
    now: Time,
    request: &Request<'_>,
    cache: &GroupCache,
    orders: &[DispatcherOrder],
) -> Route {
    if cache.is_stale(now) {
        return Route::FetchState;
    }
    if request.write || request.max_age.is_none() {
        return route_to_primary(cache, orders);
    }
    match read::choose_upstream(now, request, cache) {
        Some(candidate) => candidate.into_route(orders),
        // A primary that becomes known before the deadline may still serve the read.
        None if cache.primary.is_none() => Route::Delay,
        None => Route::Refuse(Cause::TooOld),
    }
}

/// Returns the first dispatcher not in `attempted`, or else the first one.
#[must_use]
pub fn next_dispatcher<'a>(dispatchers: &'a [Vm], attempted: &[Vm]) -> Option<&'a Vm> {
    let untried = dispatchers.iter().find(|vm| !attempted.contains(vm));
    untried.or_else(|| dispatchers.first())
}

fn route_to_primary(cache: &GroupCache, orders: &[DispatcherOrder]) -> Route {
    let Some(upstream) = cache.primary else {
        return Route::Delay;
    };
    forward_route(upstream, Duration::ZERO, None, orders)
}

fn forward_route(
    upstream: usize,
    wait: Duration,
    fallback: Option<usize>,
    orders: &[DispatcherOrder],
) -> Route {
    match orders.get(upstream) {
        Some(dispatchers) if !dispatchers.is_empty() => Route::Forward(Path {
            upstream,
            dispatchers: dispatchers.clone(),
            wait,
            fallback,
        }),
        _ => Route::Delay,
    }
}
