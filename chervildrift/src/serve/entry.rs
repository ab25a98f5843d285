//! Requests at the entry: pending calls and their routing to dispatchers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::config::{Access, Declaration, GroupSpec, KindSpec};
use chervildrift_core::limit::{RetryBudget, Throttle};
use chervildrift_core::route::{
    self, Cause, DispatcherOrder, GroupCache, MaybeSent, NotSent, Repeatability, Route,
    RoutedRequest, choose_route,
};
use chervildrift_core::token::Tokens;
use chervildrift_core::types::{GroupId, Kind, Rank, Service, Time, Upstream, Vm};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::node::Node;
use crate::peer;
use crate::peer::message::{Request, TransactionStep};
use crate::work::{Call, CallResult};

/// Time, without jitter, after which a delayed request is routed again.
pub(super) const REROUTE_DELAY: Duration = Duration::from_millis(40);

/// Time after its deadline for which a request still waits for the dispatcher's reply.
const REPLY_GRACE: Duration = Duration::from_secs(1);

/// Maximum number of calls that are pending on one VM.
const MAX_PENDING_CALLS: usize = 20_000;

/// Pending calls, and the cached state of the groups that this VM routes to.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pub calls: HashMap<u64, PendingCall>,
    pub group_caches: HashMap<GroupId, GroupCache>,
    pub retry_budgets: HashMap<(Service, Kind), RetryBudget>,
    pub throttles: HashMap<(Upstream, Kind), Throttle>,
    /// Groups whose state has been requested, with the times of the requests.
    pub state_requests: HashMap<GroupId, Time>,
}

/// Whether a request may have been sent without proof that it did not run.
#[derive(Debug)]
pub(super) enum SendState {
    NotSent(RoutedRequest<NotSent>),
    MaybeSent(RoutedRequest<MaybeSent>),
}

/// Call that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub call: Call,
    pub reply: Option<oneshot::Sender<CallResult>>,
    pub group: GroupId,
    pub tokens: Tokens,
    /// Request as it is forwarded; upstream and remaining time are set for each attempt.
    pub request: Request,
    pub step: Option<TransactionStep>,
    /// Maximum age of the data; none if the primary must serve the request.
    pub max_age: Option<Duration>,
    pub deadline: Time,
    pub received_at: Time,
    /// None only during a transition.
    pub send_state: Option<SendState>,
    /// Number of the latest attempt; zero before the first.
    pub attempt_number: u64,
    /// Dispatcher and index of the upstream of the latest attempt, and the time it was sent.
    pub target: Option<(Vm, usize, Time)>,
    /// Time at which a delayed request is routed again.
    pub retry_at: Option<Time>,
}

impl Node {
    /// Answers a pending call.
    pub(super) fn answer_call(&mut self, id: u64, answer: CallResult) {
        let Some(mut pending) = self.entry.calls.remove(&id) else {
            return;
        };
        self.record_answer(&pending, &answer);
        if let Some(reply) = pending.reply.take() {
            // The caller may have disconnected.
            let _result = reply.send(answer);
        }
    }

    /// Forwards a request, delays it until it can be routed, or answers it with an error.
    pub(super) fn route_call(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        pending.retry_at = None;
        if now >= pending.deadline {
            return self.fail_call(id, Cause::Deadline);
        }
        if let Some((vm, upstream)) = transaction_location(pending) {
            return self.forward_transaction_step(id, &vm, &upstream);
        }
        let Some(dispatchers) = self.candidate_dispatchers(id) else {
            return self.fail_call(id, Cause::Moved);
        };
        self.cache_observed_state(now, id);
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let group = pending.group.clone();
        let cache = self.entry.group_caches.entry(group.clone()).or_default();
        let query = route::Request {
            write: pending.request.access == peer::message::Access::Write,
            rank: pending.request.rank,
            min_position: pending.request.min_position,
            max_age: pending.max_age,
            deadline: pending.deadline,
            zone: &self.settings.zone,
        };
        match choose_route(now, &query, cache, &dispatchers) {
            Route::Forward(path) if !self.passes_throttle(now, id, path.upstream) => {
                self.fail_call(id, Cause::Overloaded);
            }
            Route::Forward(path) => self.forward_call(now, id, &path),
            Route::FetchState | Route::Delay => {
                let delay = REROUTE_DELAY + self.rng.jitter(REROUTE_DELAY);
                self.schedule_route(id, now + delay);
                self.request_group_state(now, &group, &dispatchers);
            }
            Route::Refuse(cause) => self.fail_call(id, cause),
        }
    }

    pub(super) fn schedule_route(&mut self, id: u64, until: Time) {
        if let Some(pending) = self.entry.calls.get_mut(&id) {
            pending.retry_at = Some(until);
        }
    }

    /// Answers the requests that got no reply within the grace time after their deadline.
    ///
    /// A dispatcher replies by the deadline; this covers a reply that was lost on its way.
    fn fail_overdue_calls(&mut self, now: Time) {
        let overdue = |it: &PendingCall| now.since(it.deadline) > REPLY_GRACE;
        let ids: Vec<u64> = self
            .entry
            .calls
            .iter()
            .filter(|(_, it)| overdue(it))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.fail_call(id, Cause::Deadline);
        }
    }

    /// Routes the delayed requests that are due, the most urgent first.
    pub(super) fn route_due_calls(&mut self, now: Time) {
        let due = |it: &PendingCall| it.retry_at.is_some_and(|at| at <= now);
        let mut due_calls: Vec<(Rank, u64)> = self
            .entry
            .calls
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(id, pending)| (pending.request.rank, *id))
            .collect();
        due_calls.sort_unstable();
        for (_, id) in due_calls {
            self.route_call(id);
        }
        self.fail_overdue_calls(now);
    }

    /// Returns the dispatchers of each upstream of a request's group in order of preference.
    pub(super) fn candidate_dispatchers(
        &mut self,
        id: u64,
    ) -> Option<SmallVec<[DispatcherOrder; 3]>> {
        let pending = self.entry.calls.get(&id)?;
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.declaration(pending.group.service.as_str())?;
        let group = find_group(declaration, &pending.group)?;
        let placement = &mut self.placement;
        let mut order = |name, zone| -> DispatcherOrder {
            placement
                .dispatchers(name, zone)
                .iter()
                .take(MAX_DISPATCHERS_PER_UPSTREAM)
                .cloned()
                .collect()
        };
        Some(
            group
                .upstreams
                .iter()
                .map(|it| order(&it.name, &it.zone))
                .collect(),
        )
    }

    /// Returns whether this VM may accept another call.
    pub(super) fn has_capacity(&self) -> bool {
        self.entry.calls.len() < MAX_PENDING_CALLS
    }
}

/// Maximum number of dispatchers of one upstream that a request may be sent to.
const MAX_DISPATCHERS_PER_UPSTREAM: usize = 4;

/// Returns the VM and upstream that hold the open transaction of a request, if it has one.
pub(super) fn transaction_location(pending: &PendingCall) -> Option<(Vm, Upstream)> {
    if pending.step == Some(TransactionStep::Open) {
        return None;
    }
    let text = pending.request.transaction.as_deref()?;
    let mut parts = text.split('.');
    Some((Vm::from(parts.next()?), Upstream::from(parts.next()?)))
}

/// Returns the group with this identifier.
pub(super) fn find_group<'a>(declaration: &'a Declaration, id: &GroupId) -> Option<&'a GroupSpec> {
    declaration
        .groups
        .iter()
        .find(|group| group.instance == id.instance)
}

/// Returns how a request of a kind may be repeated.
pub(super) fn repeat_policy(kind: &KindSpec, keyed: bool) -> Repeatability {
    match kind.access {
        Access::Read => Repeatability::ReadOnly,
        Access::Write if keyed => Repeatability::Keyed,
        Access::Write => Repeatability::Unkeyed,
    }
}
