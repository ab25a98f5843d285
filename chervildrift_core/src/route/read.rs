//! Choice of upstream for a read.

use std::time::Duration;

use crate::types::{LogPosition, Time};

use super::{DispatcherOrder, GroupCache, MAX_REPLICA_WAIT, Request, Route, forward_route};

/// Upstream that may serve a read, with its expected cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadCandidate {
    upstream: usize,
    wait: Duration,
    fallback: Option<usize>,
    cost: Duration,
}

impl ReadCandidate {
    pub(super) fn into_route(self, orders: &[DispatcherOrder]) -> Route {
        forward_route(self.upstream, self.wait, self.fallback, orders)
    }
}

/// Chooses the upstream that is expected to answer first.
///
/// A replica that covers the required position is preferred to the primary, whose slots are needed
/// for writes.
pub(super) fn choose_upstream(
    now: Time,
    request: &Request<'_>,
    cache: &GroupCache,
) -> Option<ReadCandidate> {
    let replicas = || {
        (0..cache.upstreams.len())
            .filter(|&index| Some(index) != cache.primary)
            .filter_map(|index| replica_candidate(now, request, cache, index))
    };
    let ready = replicas().filter(|candidate| candidate.wait.is_zero());
    if let Some(candidate) = ready.min_by_key(|candidate| candidate.cost)
        && meets_deadline(now, request, &candidate)
    {
        return Some(candidate);
    }
    // The primary requires no wait, so it is compared with the replicas that do.
    replicas()
        .chain(primary_candidate(request, cache))
        .min_by_key(|candidate| candidate.cost)
}

fn meets_deadline(now: Time, request: &Request<'_>, candidate: &ReadCandidate) -> bool {
    now + candidate.cost < request.deadline
}

fn primary_candidate(request: &Request<'_>, cache: &GroupCache) -> Option<ReadCandidate> {
    let upstream = cache.primary?;
    cost(request, cache, upstream).map(|cost| ReadCandidate {
        upstream,
        wait: Duration::ZERO,
        fallback: None,
        cost,
    })
}

fn replica_candidate(
    now: Time,
    request: &Request<'_>,
    cache: &GroupCache,
    index: usize,
) -> Option<ReadCandidate> {
    let fresh = cache.data_age(now, index)? <= request.max_age?;
    let wait = request.min_position.map_or(Duration::ZERO, |position| {
        catch_up_time(now, cache, index, position)
    });
    let cost = cost(request, cache, index)?;
    (fresh && wait <= MAX_REPLICA_WAIT).then(|| ReadCandidate {
        upstream: index,
        wait: max_wait(wait),
        fallback: cache
            .primary
            .filter(|_index| request.min_position.is_some()),
        cost: cost + wait,
    })
}

/// Returns the maximum wait of a read for an expected wait.
fn max_wait(expected: Duration) -> Duration {
    // Twice the expected wait covers an uneven lag; beyond that the primary is likely to be faster.
    (expected * 2).min(MAX_REPLICA_WAIT)
}

fn cost(request: &Request<'_>, cache: &GroupCache, index: usize) -> Option<Duration> {
    let state = cache.upstreams.get(index)?;
    let queue = state.queue_waits[request.rank.index()];
    // Among upstreams with equal round-trip times, prefers the entry's own availability zone.
    let zone_penalty = u64::from(state.zone != *request.zone);
    let cost = queue + state.rtt + Duration::from_micros(zone_penalty);
    state.accepting.then_some(cost)
}

/// Returns the expected time until an upstream covers `position`.
///
/// Assumes that the log entries between the upstream and the primary are spread evenly over the
/// upstream's data age.
fn catch_up_time(now: Time, cache: &GroupCache, index: usize, position: LogPosition) -> Duration {
    let Some(state) = cache.upstreams.get(index) else {
        return Duration::MAX;
    };
    if state.applied.covers(position) {
        return Duration::ZERO;
    }
    let (Some(age), true) = (state.data_age, position.term <= cache.term) else {
        return Duration::MAX;
    };
    let head = cache
        .primary
        .and_then(|primary| cache.upstreams.get(primary));
    let head = head.map_or(position.position.0, |head| head.applied.position.0);
    let lag = head.saturating_sub(state.applied.position.0);
    let gap = position.position.0.saturating_sub(state.applied.position.0);
    let share = gap.min(lag) as f64 / lag.max(1) as f64;
    // A position above the known head was written after the last update of the state.
    let beyond_head = gap > lag;
    let total = if beyond_head { age } else { age.mul_f64(share) };
    total.saturating_sub(cache.state_age(now))
}
