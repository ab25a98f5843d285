//! The entry's side of a request: from the caller to a dispatcher and back.

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
use crate::peer::message::{Request, Step as TransactionStep};
use crate::work::{Answer, Call};

/// Time after which a held request is routed again.
pub(super) const HOLD_PAUSE: Duration = Duration::from_millis(40);

/// Time after a deadline within which the dispatcher's reply must have come.
const REPLY_GRACE: Duration = Duration::from_secs(1);

/// Requests that one VM holds for callers at a time.
const MAX_CALLS: usize = 20_000;

/// Calls in progress and what this VM knows of the groups it routes to.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pub calls: HashMap<u64, Pending>,
    pub caches: HashMap<GroupId, GroupCache>,
    pub budgets: HashMap<(Service, Kind), RetryBudget>,
    pub throttles: HashMap<(Upstream, Kind), Throttle>,
    /// Groups whose state is being asked for.
    pub asking: HashMap<GroupId, Time>,
}

/// Whether any part of a request may have left this VM.
#[derive(Debug)]
pub(super) enum Progress {
    NotSent(RoutedRequest<NotSent>),
    MaybeSent(RoutedRequest<MaybeSent>),
}

/// A call that has not been answered yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub call: Call,
    pub reply: Option<oneshot::Sender<Answer>>,
    pub group: GroupId,
    pub tokens: Tokens,
    /// Request as it is forwarded; upstream and remaining time are filled in for each try.
    pub request: Request,
    pub step: Option<TransactionStep>,
    /// Greatest age of data; none means the primary.
    pub max_age: Option<Duration>,
    pub deadline: Time,
    pub arrived: Time,
    /// None only while a decision is being made.
    pub progress: Option<Progress>,
    /// Number of the latest try.
    pub number: u64,
    /// Dispatcher and upstream of the latest try, and when it was sent.
    pub target: Option<(Vm, usize, Time)>,
    /// Time at which a held request is routed again.
    pub retry_at: Option<Time>,
}

impl Node {
    /// Answers a pending call.
    pub(super) fn conclude_call(&mut self, id: u64, answer: Answer) {
        let Some(mut pending) = self.entry.calls.remove(&id) else {
            return;
        };
        self.record(&pending, &answer);
        if let Some(reply) = pending.reply.take() {
            // The caller may have gone away.
            let _gone = reply.send(answer);
        }
    }

    /// Routes a request, or holds it until it can be routed.
    pub(super) fn route(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        pending.retry_at = None;
        if now >= pending.deadline {
            return self.give_up(id, Cause::Deadline);
        }
        if let Some((vm, upstream)) = transaction_home(pending) {
            return self.send_transaction(id, &vm, &upstream);
        }
        let Some(ranked) = self.ranked(id) else {
            return self.give_up(id, Cause::Moved);
        };
        self.learn_locally(now, id);
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let group = pending.group.clone();
        let cache = self.entry.caches.entry(group.clone()).or_default();
        let wanted = route::Request {
            write: pending.request.access == peer::message::Access::Write,
            rank: pending.request.rank,
            min_position: pending.request.token,
            max_age: pending.max_age,
            deadline: pending.deadline,
            zone: &self.settings.zone,
        };
        match choose_route(now, &wanted, cache, &ranked) {
            Route::Forward(path) if !self.passes(now, id, path.upstream) => {
                self.give_up(id, Cause::Overloaded);
            }
            Route::Forward(path) => self.forward(now, id, &path),
            Route::FetchState | Route::Delay => {
                let pause = HOLD_PAUSE + self.rng.jitter(HOLD_PAUSE);
                self.hold(id, now + pause);
                self.ask(now, &group, &ranked);
            }
            Route::Refuse(cause) => self.give_up(id, cause),
        }
    }

    pub(super) fn hold(&mut self, id: u64, until: Time) {
        if let Some(pending) = self.entry.calls.get_mut(&id) {
            pending.retry_at = Some(until);
        }
    }

    /// Answers the requests whose reply never came, after their deadline and a grace.
    ///
    /// A dispatcher answers by the deadline; this covers a reply that was dropped on its way.
    fn give_up_overdue(&mut self, now: Time) {
        let overdue = |it: &Pending| now.since(it.deadline) > REPLY_GRACE;
        let ids: Vec<u64> = self
            .entry
            .calls
            .iter()
            .filter(|(_, it)| overdue(it))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.give_up(id, Cause::Deadline);
        }
    }

    /// Routes the held requests whose pause is over.
    pub(super) fn route_held(&mut self, now: Time) {
        let due = |it: &Pending| it.retry_at.is_some_and(|at| at <= now);
        let mut held: Vec<(Rank, u64)> = self
            .entry
            .calls
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(id, pending)| (pending.request.rank, *id))
            .collect();
        held.sort_unstable();
        for (_, id) in held {
            self.route(id);
        }
        self.give_up_overdue(now);
    }

    /// Returns the dispatchers of each upstream of a request's group.
    pub(super) fn ranked(&mut self, id: u64) -> Option<SmallVec<[DispatcherOrder; 3]>> {
        let pending = self.entry.calls.get(&id)?;
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.service(pending.group.service.as_str())?;
        let group = find_group(declaration, &pending.group)?;
        let placement = &mut self.placement;
        let mut order = |name, zone| -> DispatcherOrder {
            placement
                .dispatchers(name, zone)
                .iter()
                .take(MAX_DISPATCHERS)
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

    /// Returns whether this VM may take another call.
    pub(super) fn has_room(&self) -> bool {
        self.entry.calls.len() < MAX_CALLS
    }
}

/// Dispatchers of one upstream that a request may try.
const MAX_DISPATCHERS: usize = 4;

/// Returns the VM and upstream that hold the transaction of a step.
pub(super) fn transaction_home(pending: &Pending) -> Option<(Vm, Upstream)> {
    if pending.step == Some(TransactionStep::Open) {
        return None;
    }
    let text = pending.request.transaction.as_deref()?;
    let mut parts = text.split('.');
    Some((Vm::from(parts.next()?), Upstream::from(parts.next()?)))
}

/// Returns the group of that id.
pub(super) fn find_group<'a>(declaration: &'a Declaration, id: &GroupId) -> Option<&'a GroupSpec> {
    declaration
        .groups
        .iter()
        .find(|group| group.instance == id.instance)
}

/// Returns the way in which a kind of work may be repeated.
pub(super) fn repeat(kind: &KindSpec, recorded: bool) -> Repeatability {
    match kind.access {
        Access::Read => Repeatability::ReadOnly,
        Access::Write if recorded => Repeatability::Keyed,
        Access::Write => Repeatability::Unkeyed,
    }
}
