//! The entry's side of a request: from the caller to a dispatcher and back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::config::{Access, Declaration, GroupSpec, KindSpec};
use chervildrift_core::limit::{RetryBudget, Throttle};
use chervildrift_core::route::{
    self, Attempt, Cause, Failure, GroupCache, MaybeSent, Next, NotSent, Path, Ranked, Refused,
    Repeat, Route, Unsent, choose, on_failure,
};
use chervildrift_core::token::{Token, Tokens};
use chervildrift_core::types::{GroupId, Kind, Mark, Rank, Service, Time, Upstream, Vm};
use slog::debug;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Input;
use super::accept::retry_rules;
use super::node::Node;
use crate::peer;
use crate::peer::message::{GroupState, Load, Reply, Request, State, Step as TransactionStep};
use crate::work::{Answer, Call, Done, Problem, ProblemKind, Reason};

/// Time after which a held request is routed again.
const HOLD_PAUSE: Duration = Duration::from_millis(40);

/// Time limit of a request for the state of a group.
const ASK_LIMIT: Duration = Duration::from_millis(300);

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
    NotSent(Attempt<NotSent>),
    MaybeSent(Attempt<MaybeSent>),
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
            token: pending.request.token,
            max_age: pending.max_age,
            deadline: pending.deadline,
            zone: &self.settings.zone,
        };
        match choose(now, &wanted, cache, &ranked) {
            Route::Forward(path) if !self.passes(now, id, path.upstream) => {
                self.give_up(id, Cause::Overloaded);
            }
            Route::Forward(path) => self.forward(now, id, &path),
            Route::Ask | Route::Hold => {
                let pause = HOLD_PAUSE + self.rng.jitter(HOLD_PAUSE);
                self.hold(id, now + pause);
                self.ask(now, &group, &ranked);
            }
            Route::Refuse(cause) => self.give_up(id, cause),
        }
    }

    fn hold(&mut self, id: u64, until: Time) {
        if let Some(pending) = self.entry.calls.get_mut(&id) {
            pending.retry_at = Some(until);
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
    }

    /// Returns the dispatchers of each upstream of a request's group.
    fn ranked(&mut self, id: u64) -> Option<SmallVec<[Ranked; 3]>> {
        let pending = self.entry.calls.get(&id)?;
        let bundle = std::sync::Arc::clone(&self.bundle);
        let declaration = bundle.service(pending.group.service.as_str())?;
        let group = find_group(declaration, &pending.group)?;
        let placement = &mut self.placement;
        let mut order = |name, zone| -> Ranked {
            placement
                .order(name, zone)
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

    /// Takes the state of a group that this VM observes itself.
    fn learn_locally(&mut self, now: Time, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let group = pending.group.clone();
        if let Some(state) = self.group_state(now, &group) {
            self.learn(now, &group, &state, None);
        }
    }

    /// Takes the state of a group that was told by a dispatcher.
    pub(super) fn learn(
        &mut self,
        sent: Time,
        group: &GroupId,
        state: &GroupState,
        load: Option<(usize, Load)>,
    ) {
        let bundle = std::sync::Arc::clone(&self.bundle);
        let declaration = bundle.service(group.service.as_str());
        let Some(spec) = declaration.and_then(|it| find_group(it, group)) else {
            return;
        };
        let cache = self.entry.caches.entry(group.clone()).or_default();
        let told = spec.upstreams.iter().zip(&state.upstreams).enumerate();
        let upstreams = told.map(|(index, (spec, state))| {
            let known = cache.upstreams.get(index).map(|it| it.queues);
            let fresh = load.filter(|(at, _)| *at == index).map(|(_, load)| load);
            let own = state
                .load
                .iter()
                .any(|load| *load > 0)
                .then_some(state.load);
            let queues = fresh.or(own).map(queues).or(known);
            route::UpstreamState {
                zone: spec.zone.clone(),
                applied: state.applied,
                age: state.age,
                queues: queues.unwrap_or_default(),
                distance: Duration::ZERO,
                open: state.age.is_some() && !self.leaving.contains(&spec.name),
            }
        });
        let told = GroupCache {
            learnt: Some(sent),
            term: state.term,
            primary: state.primary.map(|index| index as usize),
            upstreams: upstreams.collect(),
        };
        cache.learn(told);
    }

    /// Tells whether the dispatcher has lately taken enough of this kind to forward one more.
    ///
    /// A flood is shed here, before it costs the link and the dispatcher anything.
    fn passes(&mut self, now: Time, id: u64, upstream: usize) -> bool {
        let Some(name) = self.upstream_name(id, upstream) else {
            return true;
        };
        let Some(pending) = self.entry.calls.get(&id) else {
            return true;
        };
        // A step of a transaction frees what others wait for, and a later try has passed before.
        if pending.step.is_some() || pending.number > 0 {
            return true;
        }
        let key = (name, pending.request.kind.clone());
        self.entry
            .throttles
            .entry(key)
            .or_default()
            .pass(now, &mut self.rng)
    }

    fn forward(&mut self, now: Time, id: u64, path: &Path) {
        let number = self.next_number();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let vm = match &pending.progress {
            Some(Progress::NotSent(attempt)) => attempt.next(&path.dispatchers),
            Some(Progress::MaybeSent(attempt)) => attempt.next(&path.dispatchers),
            None => None,
        };
        let Some(vm) = vm.cloned() else {
            return self.give_up(id, Cause::OutOfReach);
        };
        self.send(now, id, number, &vm, path.upstream, path.wait);
    }

    fn send(&mut self, now: Time, id: u64, number: u64, vm: &Vm, upstream: usize, wait: Duration) {
        let Some(name) = self.upstream_name(id, upstream) else {
            return;
        };
        let generation = self.generation();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        pending.progress = match pending.progress.take() {
            Some(Progress::NotSent(attempt)) => Some(Progress::MaybeSent(attempt.send(vm))),
            Some(Progress::MaybeSent(attempt)) => match attempt.again(vm) {
                Ok(attempt) => Some(Progress::MaybeSent(attempt)),
                Err(_unknown) => return self.conclude_unknown(id),
            },
            None => return,
        };
        pending.number = number;
        pending.target = Some((vm.clone(), upstream, now));
        pending.request.upstream = name;
        pending.request.generation = generation;
        pending.request.remaining = pending.deadline.since(now);
        if pending.step == Some(TransactionStep::Open) {
            let home = format!("{vm}.{}.{number:016x}", pending.request.upstream);
            pending.request.transaction = Some(home);
        }
        let (request, step) = (pending.request.clone(), pending.step);
        let deadline = self.clock.instant(pending.deadline);
        if *vm == self.settings.vm && wait.is_zero() {
            let inputs = self.inputs.clone();
            let reply = move |reply: Reply| {
                let _ended = inputs.send(Input::Replied(id, number, Ok(reply)));
            };
            return self.serve_request(request, step, Box::new(reply));
        }
        let address = self.address(vm);
        self.send_to_peer(id, number, address, request, step, deadline, wait);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call site that names each of them"
    )]
    fn send_to_peer(
        &self,
        id: u64,
        number: u64,
        address: Option<SocketAddr>,
        request: Request,
        step: Option<TransactionStep>,
        deadline: std::time::Instant,
        wait: Duration,
    ) {
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        self.io.spawn(async move {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let result = match (address, step) {
                (None, _) => Err(peer::Error::Unreachable(std::io::ErrorKind::NotFound)),
                (Some(to), None) => peers.forward(to, request, deadline).await,
                (Some(to), Some(step)) => peers.transaction(to, step, request, deadline).await,
            };
            let _ended = inputs.send(Input::Replied(id, number, result));
        });
    }

    /// Returns the address of a VM's peer listener.
    pub(super) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        if *vm == self.settings.vm {
            return Some(self.peers.address());
        }
        self.addresses.get(vm).copied()
    }

    fn upstream_name(&self, id: u64, index: usize) -> Option<Upstream> {
        let group = &self.entry.calls.get(&id)?.group;
        let declaration = self.bundle.service(group.service.as_str())?;
        let spec = find_group(declaration, group)?;
        spec.upstreams.get(index).map(|it| it.name.clone())
    }

    /// Takes the end of a try.
    pub(super) fn take_reply(&mut self, id: u64, number: u64, result: Result<Reply, peer::Error>) {
        let now = self.clock.now();
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        if pending.number != number {
            // A late answer to an earlier try; the latest try decides.
            return;
        }
        let Some((vm, upstream, sent)) = pending.target.clone() else {
            return;
        };
        let group = pending.group.clone();
        match result {
            Ok(reply) => {
                if let Some(state) = &reply.group {
                    self.learn(sent, &group, state, Some((upstream, reply.load)));
                }
                self.note_taken(now, id, &reply.state);
                self.heed(now, id, upstream, reply);
            }
            Err(err) => {
                debug!(self.log, "forwarding failed"; "request" => format!("{id:016x}"),
                    "to" => %vm, "error" => %err);
                self.suspect(now, &vm, &err);
                // A peer that is reached but has no room is not tried for free.
                let full = matches!(err, peer::Error::Busy | peer::Error::Refused);
                let cause = if full {
                    Cause::Overloaded
                } else {
                    Cause::OutOfReach
                };
                if !full {
                    self.count_taken(now, id);
                }
                let proof = Unsent::prove(usize::from(err.sent()));
                let failure = proof.map_or(Failure::Lost, Failure::Unsent);
                self.fail_try(now, id, failure, cause);
            }
        }
    }

    /// Counts a request that the dispatcher did not refuse for its load.
    fn note_taken(&mut self, now: Time, id: u64, state: &State) {
        let overloaded = [Reason::Overloaded, Reason::Deadline].map(|it| it.to_string());
        if matches!(state, State::NotRun { reason } if overloaded.contains(reason)) {
            return;
        }
        self.count_taken(now, id);
    }

    fn count_taken(&mut self, now: Time, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let key = (
            pending.request.upstream.clone(),
            pending.request.kind.clone(),
        );
        if let Some(throttle) = self.entry.throttles.get_mut(&key) {
            throttle.taken(now);
        }
    }

    /// Acts on a dispatcher's reply.
    fn heed(&mut self, now: Time, id: u64, upstream: usize, reply: Reply) {
        match reply.state {
            State::Done => self.finish_call(id, upstream, reply),
            State::Failed {
                ref code,
                ref message,
            } => {
                let problem = failed(code, message);
                self.conclude_call(id, Err(problem));
            }
            State::Unknown => self.fail_try(now, id, Failure::Lost, Cause::OutOfReach),
            State::NotRun { ref reason } => self.heed_refusal(now, id, reason),
        }
    }

    fn heed_refusal(&mut self, now: Time, id: u64, text: &str) {
        let reason = text.parse().unwrap_or(Reason::Malformed);
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let number = pending.number;
        let cause = match reason {
            Reason::NotPrimary => {
                if let Some(cache) = self.entry.caches.get_mut(&pending.group) {
                    let term = cache.term;
                    cache.forget_primary(term);
                }
                Cause::NoPrimary
            }
            // The primary has all confirmed writes and the freshest data.
            Reason::Behind | Reason::TooOld if pending.max_age.is_some() => {
                pending.max_age = None;
                Cause::Moved
            }
            Reason::Behind | Reason::TooOld => Cause::TooOld,
            Reason::Overloaded => Cause::Overloaded,
            Reason::Deadline => Cause::Deadline,
            Reason::NoConnection => Cause::OutOfReach,
            Reason::Undeclared if pending.step.is_none() => Cause::Moved,
            Reason::Cancelled => return self.conclude_cancelled(id),
            Reason::UnknownTransaction | Reason::Undeclared => {
                let detail = "the transaction is not open; it was rolled back or never opened";
                let problem = Problem::failed(ProblemKind::TransactionLost, detail);
                return self.conclude_call(id, Err(problem));
            }
            Reason::TransactionBusy => {
                let detail = "a statement of the transaction is still running";
                let problem = Problem::not_run(ProblemKind::Overloaded, detail);
                return self.conclude_call(id, Err(problem));
            }
            Reason::Malformed => {
                let detail = "the parameters can't be read";
                let problem = Problem::not_run(ProblemKind::MalformedRequest, detail);
                return self.conclude_call(id, Err(problem));
            }
        };
        let Some(proof) = Refused::prove(number, number) else {
            return;
        };
        self.fail_try(now, id, Failure::Refused(proof, cause), cause);
    }

    fn conclude_cancelled(&mut self, id: u64) {
        let detail = "the request was cancelled under its idempotency key and never runs";
        self.conclude_call(id, Err(Problem::not_run(ProblemKind::Cancelled, detail)));
    }

    /// Decides what follows a failed try.
    fn fail_try(&mut self, now: Time, id: u64, failure: Failure, cause: Cause) {
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let Some(Progress::MaybeSent(attempt)) = pending.progress.take() else {
            return;
        };
        // A try that found no VM, no primary or no connection to it costs the upstreams nothing and
        // is paced, so it takes nothing from the budget. A failover or a lost VM would otherwise
        // use the budget up before anyone knows of it.
        let waiting = cause == Cause::OutOfReach && !matches!(failure, Failure::Lost);
        let free = waiting || matches!(cause, Cause::NoPrimary | Cause::Moved);
        let key = (pending.group.service.clone(), pending.request.kind.clone());
        let budget = self.entry.budgets.entry(key);
        let budget = budget.or_insert_with(|| RetryBudget::open(retry_rules()));
        let allowed = free || budget.retry(now);
        match on_failure(now, attempt, failure, allowed) {
            Next::Retry(attempt) => {
                pending.progress = Some(Progress::NotSent(attempt));
                let pause = if cause == Cause::Moved {
                    Duration::ZERO
                } else {
                    HOLD_PAUSE
                };
                self.retry(now, id, pause);
            }
            Next::Repeat(attempt) => {
                pending.progress = Some(Progress::MaybeSent(attempt));
                self.retry(now, id, HOLD_PAUSE);
            }
            Next::Answer(route::Answer::NotRun(answer)) => {
                self.conclude_call(id, Err(refusal(answer.cause())));
            }
            Next::Answer(route::Answer::Unknown(_)) => self.conclude_unknown(id),
        }
    }

    fn retry(&mut self, now: Time, id: u64, pause: Duration) {
        if pause.is_zero() {
            return self.route(id);
        }
        let jitter = self.rng.jitter(pause);
        self.hold(id, now + pause + jitter);
    }

    /// Answers a request that can't be routed.
    fn give_up(&mut self, id: u64, cause: Cause) {
        let progress = self
            .entry
            .calls
            .get_mut(&id)
            .and_then(|it| it.progress.take());
        match progress {
            Some(Progress::NotSent(attempt)) => {
                let answer = attempt.not_run(cause);
                self.conclude_call(id, Err(refusal(answer.cause())));
            }
            Some(Progress::MaybeSent(_)) | None => self.conclude_unknown(id),
        }
    }

    fn conclude_unknown(&mut self, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let read = pending.request.access == peer::message::Access::Read && pending.step.is_none();
        let problem = if read {
            // A read has no effect, so its loss needs no settling.
            Problem::not_run(
                ProblemKind::DeadlineExceeded,
                "no upstream answered in time",
            )
        } else {
            let ask = pending
                .request
                .idempotency
                .as_ref()
                .map(|it| ask_path(pending, &it.key));
            let detail = "the request may or may not have taken effect; ask for its outcome";
            Problem::unknown(detail, ask)
        };
        self.conclude_call(id, Err(problem));
    }

    fn finish_call(&mut self, id: u64, upstream: usize, reply: Reply) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let age = reply
            .group
            .as_ref()
            .and_then(|it| it.upstreams.get(upstream)?.age);
        let read = pending.request.access == peer::message::Access::Read;
        let opened = pending.step == Some(TransactionStep::Open);
        let session = match reply.mark {
            Some(mark) => Some(self.seal(pending, mark)),
            None => pending.call.session.clone(),
        };
        let done = Done {
            results: String::from_utf8(reply.answer).unwrap_or_default(),
            session,
            upstream: Some(pending.request.upstream.to_string()),
            age: age.filter(|_age| read),
            transaction: pending.request.transaction.clone().filter(|_id| opened),
        };
        self.conclude_call(id, Ok(done));
    }

    /// Seals the session with a confirmed write.
    fn seal(&self, pending: &Pending, mark: Mark) -> String {
        let mut tokens = pending.tokens.clone();
        tokens.retain(|token| token.group != pending.group);
        tokens.push(Token {
            group: pending.group.clone(),
            mark,
        });
        self.sealer.seal_session(&tokens)
    }

    /// Asks a dispatcher for the state of a group, one at a time for each group.
    fn ask(&mut self, now: Time, group: &GroupId, ranked: &[Ranked]) {
        let asked = self.entry.asking.get(group);
        if asked.is_some_and(|since| now.since(*since) < ASK_LIMIT) {
            return;
        }
        let mut others: SmallVec<[&Vm; 8]> = ranked.iter().flatten().collect();
        others.retain(|vm| **vm != self.settings.vm);
        if others.is_empty() {
            return;
        }
        let choice = self.rng.below(others.len() as u64) as usize;
        let Some(address) = self.address(others[choice]) else {
            return;
        };
        self.entry.asking.insert(group.clone(), now);
        let (peers, inputs, group) = (self.peers.clone(), self.inputs.clone(), group.clone());
        let deadline = self.clock.instant(now + ASK_LIMIT);
        self.io.spawn(async move {
            let state = peers.group_state(address, group.clone(), deadline).await;
            let state = state.ok().flatten();
            let _ended = inputs.send(Input::Told(group, now, state));
        });
    }

    /// Takes the answer to a request for the state of a group.
    pub(super) fn told(&mut self, group: &GroupId, sent: Time, state: Option<GroupState>) {
        self.entry.asking.remove(group);
        if let Some(state) = state {
            self.learn(sent, group, &state, None);
        }
    }

    /// Sends a step of an open transaction to the VM that holds its connection.
    fn send_transaction(&mut self, id: u64, vm: &Vm, upstream: &Upstream) {
        let now = self.clock.now();
        let known = *vm == self.settings.vm || self.addresses.contains_key(vm);
        let place = self.entry.calls.get(&id).and_then(|pending| {
            let declaration = self.bundle.service(pending.group.service.as_str())?;
            let group = find_group(declaration, &pending.group)?;
            group.upstreams.iter().position(|it| it.name == *upstream)
        });
        let Some(index) = place.filter(|_index| known) else {
            let detail = "the VM that held the transaction is gone; it was rolled back";
            let problem = Problem::failed(ProblemKind::TransactionLost, detail);
            return self.conclude_call(id, Err(problem));
        };
        let number = self.next_number();
        self.send(now, id, number, vm, index, Duration::ZERO);
    }

    /// Returns whether this VM may take another call.
    pub(super) fn has_room(&self) -> bool {
        self.entry.calls.len() < MAX_CALLS
    }
}

/// Dispatchers of one upstream that a request may try.
const MAX_DISPATCHERS: usize = 4;

fn queues(load: Load) -> [Duration; Rank::COUNT] {
    load.map(|ms| Duration::from_millis(u64::from(ms)))
}

/// Returns the VM and upstream that hold the transaction of a step.
fn transaction_home(pending: &Pending) -> Option<(Vm, Upstream)> {
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

fn ask_path(pending: &Pending, record: &str) -> String {
    let prefix = format!("{}/", pending.call.caller);
    let record = record.strip_prefix(&prefix).unwrap_or(record);
    let encode = |text: &str| {
        percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
    };
    let key = encode(&pending.request.key);
    format!(
        "/v1/outcomes/{}/{key}/{}",
        pending.group.service,
        encode(record)
    )
}

fn failed(code: &str, message: &str) -> Problem {
    let kind = match code {
        "key-reused" => ProblemKind::KeyReused,
        "transaction-lost" => ProblemKind::TransactionLost,
        _ => ProblemKind::StatementFailed,
    };
    Problem::failed(kind, message)
}

fn refusal(cause: Cause) -> Problem {
    let kind = match cause {
        Cause::Overloaded => ProblemKind::Overloaded,
        Cause::Deadline => ProblemKind::DeadlineExceeded,
        Cause::TooOld => ProblemKind::DataTooOld,
        Cause::Cancelled => ProblemKind::Cancelled,
        Cause::NoPrimary | Cause::Moved | Cause::OutOfReach => ProblemKind::Unavailable,
    };
    Problem::not_run(kind, cause.to_string())
}

/// Returns the way in which a kind of work may be repeated.
pub(super) fn repeat(kind: &KindSpec, recorded: bool) -> Repeat {
    match kind.access {
        Access::Read => Repeat::Read,
        Access::Write if recorded => Repeat::Keyed,
        Access::Write => Repeat::Once,
    }
}
