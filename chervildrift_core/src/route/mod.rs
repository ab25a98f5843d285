//! Choice of upstream and dispatcher for a request, and what to do when a try fails.
//!
//! An entry routes by a [`GroupCache`], which it learns from dispatchers' replies. The cache only
//! makes a route likely to work: the dispatcher checks role, term and token again on the connection
//! that runs the statements.

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

/// Group state older than this is asked for again before a request is routed by it.
pub const MAX_STATE_AGE: Duration = Duration::from_secs(5);

/// Longest time a read waits at a replica for its session's last write.
pub const MAX_REPLICA_WAIT: Duration = Duration::from_millis(50);

/// Live VMs that may dispatch for one upstream, in rendezvous order.
pub type DispatcherOrder = SmallVec<[Vm; 4]>;

/// What a request needs from its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Whether the request changes data.
    pub write: bool,
    /// Rank of the request's kind.
    pub rank: Rank,
    /// Last confirmed write of the session in this group.
    pub min_position: Option<LogPosition>,
    /// Greatest data age that the kind or the caller accepts; `None` asks for the primary.
    pub max_age: Option<Duration>,
    /// Time at which the request's answer is of no use any more.
    pub deadline: Time,
    /// Availability zone of the entry.
    pub zone: &'a Zone,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward it along this path.
    Forward(Path),
    /// Ask a dispatcher for the group state first.
    FetchState,
    /// Hold it until a primary is known or its deadline passes.
    Hold,
    /// Refuse it: no upstream can serve the read within its bounds.
    Refuse(Cause),
}

/// Path of a request to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path {
    /// Upstream of the group.
    pub upstream: usize,
    /// Dispatcher of the upstream, followed by its successors.
    pub dispatchers: DispatcherOrder,
    /// Time the read may wait at the upstream for the session's last write.
    pub wait: Duration,
    /// Upstream that takes the read when the wait was in vain.
    pub fallback: Option<usize>,
}

/// Chooses where a request goes; `ranked` holds the dispatchers of each upstream.
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
        // A primary that is about to be known may still serve the read.
        None if cache.primary.is_none() => Route::Hold,
        None => Route::Refuse(Cause::TooOld),
    }
}

/// Returns the first dispatcher of `ranked` that was not tried, or the first one again.
#[must_use]
pub fn next_dispatcher<'a>(dispatchers: &'a [Vm], attempted: &[Vm]) -> Option<&'a Vm> {
    let untried = dispatchers.iter().find(|vm| !attempted.contains(vm));
    untried.or_else(|| dispatchers.first())
}

fn route_to_primary(cache: &GroupCache, orders: &[DispatcherOrder]) -> Route {
    let Some(upstream) = cache.primary else {
        return Route::Hold;
    };
    forward(upstream, Duration::ZERO, None, orders)
}

fn forward(
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
        _ => Route::Hold,
    }
}
