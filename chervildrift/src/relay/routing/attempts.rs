//! Attempts of one statement: selection of the upstream, connection, and evaluation of the outcome.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::placement::name_hash;
use chervildrift_core::quota::Permit;
use chervildrift_core::relay::{
    Access, Candidate, Code, Consistency, Health, MinPosition, PreparedStatement, Route, Session,
    avoided, choose_upstream, preferred_upstream,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Caller, LogPosition, Organisation, Time, Upstream};
use slog::info;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::relay::clock;
use crate::relay::connections::checkout::{Checkout, CheckoutError, FirstRun};
use crate::relay::connections::connection::ConnectionError;
use crate::relay::connections::pool::AcquireRequest;
use crate::relay::log_quotas::RequestEvent;
use crate::relay::node::Node;
use crate::relay::quotas;
use crate::relay::sessions::response::Failure;

/// Maximum number of attempts of one statement; after that many failures the fleet needs time to
/// recover.
const MAX_ATTEMPTS: u32 = 8;

/// Delay before a retry after an upstream was busy, was the wrong one or failed, or a connection did.
pub(in crate::relay) const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Timeout for a sample of the leader's log; several times the network delay between regions plus
/// one probe.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Attempts of one statement, or of the begin of a transaction.
pub(in crate::relay) struct Attempts<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    caller: &'a Caller,
    organisation: Option<&'a Organisation>,
    /// Id of the caller's statement, for the log.
    id: &'a str,
    started: Time,
    count: u32,
    /// Upstreams that lacked the required position or did not reply.
    excluded: SmallVec<[Upstream; 4]>,
    /// Permit by the organisation's quota for the next attempt.
    permit: Option<Permit>,
    /// Refusal by an upstream whose queue is too long, while another one is tried.
    refused: Option<Failure>,
    rng: Rng,
}

/// Target of an attempt.
pub(in crate::relay) struct Target {
    /// Upstream that runs the statement.
    pub upstream: Upstream,
    /// Minimum log position of the upstream, or that it must lead.
    pub min_position: MinPosition,
}

impl Target {
    /// Returns the label for the role in which the upstream serves the statement.
    const fn place_label(&self) -> &'static str {
        match self.min_position {
            MinPosition::LeaderOnly => "leader",
            MinPosition::AtLeast(_) => "replica",
        }
    }
}

impl Drop for Attempts<'_> {
    fn drop(&mut self) {
        if let (Some(organisation), Some(permit)) = (self.organisation, self.permit) {
            let mut wallet = self.node.quotas.wallet.borrow_mut();
            wallet.give_back(organisation, permit);
        }
    }
}

impl<'a> Attempts<'a> {
    /// Creates the attempts of a statement that arrives now.
    pub(in crate::relay) fn new(
        node: &'a Rc<Node>,
        route: &'a Route,
        caller: &'a Caller,
        organisation: Option<&'a Organisation>,
        id: &'a str,
    ) -> Self {
        let started = clock::now();
        Self {
            node,
            route,
            caller,
            organisation,
            id,
            started,
            count: 0,
            excluded: SmallVec::new(),
            permit: None,
            refused: None,
            rng: Rng::new(name_hash(id) ^ started.0),
        }
    }

    /// Obtains a permit by the organisation's quota for the next attempt, unless there is one.
    pub(in crate::relay) async fn reserve(&mut self) -> Result<(), Failure> {
        let is_valid = |permit: Permit| permit.is_valid(clock::now());
        if let Some(organisation) = self.organisation
            && !self.permit.is_some_and(is_valid)
        {
            self.permit = quotas::admit(self.node, organisation, self.id).await?;
        }
        Ok(())
    }

    /// Uses the permit for an attempt that is sent now; obtains another one if it has expired while
    /// the attempt waited for a connection.
    pub(in crate::relay) async fn use_permit(&mut self) -> Result<(), Failure> {
        self.reserve().await?;
        self.permit = None;
        Ok(())
    }

    /// Returns the timeout of one exchange with an upstream.
    pub(in crate::relay) const fn statement_timeout(&self) -> Duration {
        self.route.timeout
    }

    /// Selects the upstream for the next attempt.
    pub(in crate::relay) async fn next_target(
        &mut self,
        access: Access,
        session: &Session,
    ) -> Result<Target, Failure> {
        self.count += 1;
        if self.count > MAX_ATTEMPTS {
            return Err(Failure::new(Code::Busy, "too many tries"));
        }
        if access == Access::Read {
            self.await_sample().await;
            if let Some(target) = self.select_replica(session) {
                return Ok(target);
            }
            if let Some(failure) = self.refused.take() {
                // The leader alone may be left, or is required now; its writes go first.
                return Err(failure);
            }
        }
        let upstream = self
            .node
            .await_leader(&self.route.service, self.remaining_delay())
            .await?;
        Ok(Target {
            upstream,
            min_position: MinPosition::LeaderOnly,
        })
    }

    /// Waits for a sample of the leader's log, from which the minimum position of replicas is
    /// derived.
    ///
    /// Shortly after startup or a failover there is none, and all reads would go to the leader.
    async fn await_sample(&self) {
        let Some(bound) = staleness_bound(self.route) else {
            return;
        };
        let service = &self.route.service;
        let has_sample = || {
            self.node.with_group(service, |group| {
                group
                    .sample_age(clock::now())
                    .is_some_and(|age| age < bound)
            })
        };
        if has_sample() {
            return;
        }
        let wait = async {
            loop {
                let changed = self.node.state_changed.notified();
                if has_sample() {
                    return;
                }
                changed.await;
            }
        };
        // After the timeout the read goes to the leader, which is correct but slower.
        let _sampled = timeout(SAMPLE_TIMEOUT.min(self.remaining_delay()), wait).await;
    }

    fn elapsed_ms(&self) -> u64 {
        clock::now().since(self.started).as_millis() as u64
    }

    /// Returns the time for which the statement may still be delayed.
    fn remaining_delay(&self) -> Duration {
        let max_delay = Duration::from_millis(self.node.settings.hold_ms);
        (self.started + max_delay).since(clock::now())
    }

    /// Selects an upstream for a read that need not run at the leader.
    fn select_replica(&mut self, session: &Session) -> Option<Target> {
        let bound = staleness_bound(self.route)?;
        let last_commit = match self.route.consistency {
            Consistency::Session(_) => session.last_commit,
            Consistency::Primary | Consistency::Bounded(_) => None,
        };
        let now = clock::now();
        let service = &self.route.service;
        let (min_position, leader) = self.node.with_group(service, |group| {
            (
                group.min_position(now, bound, last_commit),
                group.leader().cloned(),
            )
        });
        if min_position == MinPosition::LeaderOnly {
            return None;
        }
        let directory = self.node.directory.borrow();
        let replicas = directory.of_service(service).map(|it| &it.upstream);
        let replicas = replicas.filter(|it| leader.as_ref() != Some(*it));
        let preferred = self
            .organisation
            .and_then(|it| preferred_upstream(it, replicas));
        let mut candidates: SmallVec<[Candidate; 4]> = SmallVec::new();
        let mut group: SmallVec<[Health; 4]> = SmallVec::new();
        for entry in directory.of_service(service) {
            if directory.is_leaving(now, &entry.upstream) || self.excluded.contains(&entry.upstream)
            {
                continue;
            }
            let Some(pool) = self.node.pool(&entry.upstream) else {
                continue;
            };
            let is_leader = leader.as_ref() == Some(&entry.upstream);
            let is_warm = preferred.is_none_or(|it| *it == entry.upstream);
            let setup = if is_warm {
                Duration::ZERO
            } else {
                pool.setup()
            };
            group.push(pool.health.get());
            let (queue_wait, news_age) = pool.known_wait(self.route.rank);
            candidates.push(Candidate {
                upstream: entry.upstream.clone(),
                is_leader,
                rtt: self.node.rtt(&pool, &entry.zone),
                queue_wait,
                news_age,
                setup,
                is_outlier: false,
                lagged_at: pool.lagged_at.get(),
                failed_at: pool.failed_at.get(),
            });
        }
        let marks = avoided(now, &group, &mut self.rng);
        for (candidate, is_outlier) in candidates.iter_mut().zip(marks) {
            candidate.is_outlier = is_outlier;
        }
        let chosen = choose_upstream(now, &candidates, &mut self.rng)?;
        if chosen.failed_at.is_some()
            && let Some(pool) = self.node.pool(&chosen.upstream)
        {
            // Restarts the backoff, so that this read alone tries the upstream that failed before,
            // while the others avoid it.
            pool.failed_at.set(Some(now));
        }
        // The leader needs no minimum position, and after a promotion its log may lack one that was
        // rolled back.
        let min_position = if leader.as_ref() == Some(&chosen.upstream) {
            MinPosition::LeaderOnly
        } else {
            min_position
        };
        Some(Target {
            upstream: chosen.upstream.clone(),
            min_position,
        })
    }

    /// Checks out a connection to the target; gives up if the target is replaced as leader
    /// meanwhile, since nothing has been sent yet.
    pub(in crate::relay) async fn checkout(
        &self,
        target: &Target,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        first: Option<&FirstRun<'_>>,
    ) -> Result<Checkout, CheckoutError> {
        let at_leader = target.min_position == MinPosition::LeaderOnly;
        self.node.metrics.count_place(&self.route.kind, at_leader);
        let now = clock::now();
        let budget = self.route.target.max(self.route.timeout);
        // A statement that was delayed for lack of a leader gets half of its time again.
        let deadline = (self.started + budget).max(now + budget / 2);
        let request = AcquireRequest {
            kind: self.route.kind.clone(),
            rank: self.route.rank,
            caller: self.caller.clone(),
            organisation: self.organisation.cloned(),
            deadline,
        };
        // The permit of an organisation is used once there is a connection, before anything is sent.
        let first = first.filter(|_| self.organisation.is_none());
        let leader_replaced = async {
            loop {
                let changed = self.node.state_changed.notified();
                let is_leader = self.node.with_group(&self.route.service, |group| {
                    group
                        .leader()
                        .is_none_or(|leader| *leader == target.upstream)
                });
                if at_leader && !is_leader {
                    return;
                }
                changed.await;
            }
        };
        tokio::select! {
            opened = Checkout::open(self.node, &target.upstream, request, session, prepared, first) => opened,
            () = leader_replaced => Err(CheckoutError::Connection(ConnectionError::LeaderReplaced)),
        }
    }

    /// Handles a checkout that failed, before anything was sent; fails if a retry makes no sense.
    pub(in crate::relay) async fn handle_checkout_error(
        &mut self,
        target: &Target,
        access: Access,
        err: CheckoutError,
        started: Time,
    ) -> Result<(), Failure> {
        match err {
            CheckoutError::Refused(mut failure) => {
                failure.detail = format!("{} {}", target.place_label(), failure.detail);
                let budget = self.route.target.max(self.route.timeout);
                let is_late = clock::now() >= self.started + budget;
                if access == Access::Write || is_late || staleness_bound(self.route).is_none() {
                    return Err(failure);
                }
                // Another upstream may have free slots.
                self.node.metrics.count_retry(&self.route.kind, "queue");
                self.excluded.push(target.upstream.clone());
                self.refused = Some(failure);
                Ok(())
            }
            CheckoutError::Connection(err) => {
                self.handle_connection_error(target, &err, started).await
            }
        }
    }

    /// Records the log position in a reply of the leader.
    pub(in crate::relay) fn record_leader_position(
        &self,
        target: &Target,
        sent_at: Time,
        position: Option<LogPosition>,
    ) {
        if target.min_position == MinPosition::LeaderOnly
            && let Some(position) = position
        {
            self.node
                .record_sample(&self.route.service, &target.upstream, sent_at, position);
        }
    }

    /// Records that an upstream replied, and the reported position if it is a replica.
    pub(in crate::relay) fn record_reply(&self, target: &Target, position: Option<LogPosition>) {
        if let Some(pool) = self.node.pool(&target.upstream) {
            pool.failed_at.set(None);
        }
        if let (MinPosition::AtLeast(_), Some(last)) = (target.min_position, position) {
            let service = &self.route.service;
            self.node.with_group(service, |group| {
                group.record_received(&target.upstream, last);
            });
        }
    }

    /// Handles a refusal by the target, which has not run the statement; fails if a retry makes no
    /// sense.
    pub(in crate::relay) async fn handle_refusal(
        &mut self,
        target: &Target,
        refusal: Option<(Code, String)>,
        sent_at: Time,
    ) -> Result<(), Failure> {
        let (code, detail) = refusal.unwrap_or((Code::Failed, String::new()));
        self.node
            .metrics
            .count_retry(&self.route.kind, &code.to_string());
        if let Some(dropped) = self.node.admit_log_line(RequestEvent::Try) {
            info!(self.node.log, "statement refused by upstream"; "event" => "try",
                "request" => self.id, "upstream" => %target.upstream,
                "place" => target.place_label(), "tries" => self.count,
                "code" => %code, "elapsed_ms" => self.elapsed_ms(), "dropped" => dropped);
        }
        let pool = self.node.pool(&target.upstream);
        match code {
            Code::ReadOnly => {
                self.node
                    .record_refusal(&self.route.service, sent_at, &target.upstream);
            }
            Code::Lagging => {
                self.excluded.push(target.upstream.clone());
                if let Some(pool) = pool {
                    pool.lagged_at.set(Some(clock::now()));
                }
            }
            Code::Busy | Code::Overloaded => sleep(RETRY_DELAY).await,
            Code::WrongUpstream => {
                if let Some(pool) = pool {
                    pool.failed_at.set(Some(clock::now()));
                }
                sleep(RETRY_DELAY).await;
            }
            _ => return Err(Failure::new(code, detail)),
        }
        Ok(())
    }

    /// Handles a failed connection or a missing reply for a statement that may be repeated; fails
    /// if the statement has been delayed for too long.
    pub(in crate::relay) async fn handle_connection_error(
        &mut self,
        target: &Target,
        err: &ConnectionError,
        sent_at: Time,
    ) -> Result<(), Failure> {
        if matches!(err, ConnectionError::LeaderReplaced) {
            return Ok(());
        }
        if let ConnectionError::Refused(code, detail) = err {
            return self
                .handle_refusal(target, Some((*code, detail.clone())), sent_at)
                .await;
        }
        self.record_no_reply(target, err, sent_at);
        if self.remaining_delay().is_zero() {
            return Err(Failure::new(Code::Busy, err.to_string()));
        }
        sleep(RETRY_DELAY).await;
        Ok(())
    }

    /// Records that the target did not reply, whether or not the statement is retried.
    pub(in crate::relay) fn record_no_reply(
        &mut self,
        target: &Target,
        err: &ConnectionError,
        sent_at: Time,
    ) {
        self.node.with_group(&self.route.service, |group| {
            group.record_miss(&target.upstream);
        });
        self.node.metrics.count_retry(&self.route.kind, "no_answer");
        if let Some(dropped) = self.node.admit_log_line(RequestEvent::Try) {
            info!(self.node.log, "no reply from upstream"; "event" => "try", "request" => self.id,
                "upstream" => %target.upstream, "place" => target.place_label(),
                "tries" => self.count, "error" => %err, "elapsed_ms" => self.elapsed_ms(),
                "dropped" => dropped);
        }
        self.excluded.push(target.upstream.clone());
        if let Some(pool) = self.node.pool(&target.upstream) {
            pool.failed_at.set(Some(clock::now()));
            pool.close_unused_since(sent_at);
        }
    }
}

/// Returns the staleness bound of a route's reads, or `None` if they need the leader.
const fn staleness_bound(route: &Route) -> Option<Duration> {
    match route.consistency {
        Consistency::Primary => None,
        Consistency::Bounded(bound) | Consistency::Session(bound) => Some(bound),
    }
}
