//! Tries of one statement: choice of the upstream, connection, and what an outcome teaches.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{
    Access, Candidate, Code, Consistency, MinPosition, PreparedStatement, Route, Session,
    choose_upstream,
};
use chervildrift_core::types::{Caller, LogPosition, Time, Upstream};
use slog::info;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use super::answer::Failure;
use super::clock;
use super::lines::RequestEvent;
use super::link::{Link, LinkError};
use super::metrics::Part;
use super::node::Node;
use super::pool::{Demand, Lease};

/// Tries of one statement; a fleet that refuses more often is in a state that needs time.
const TRIES: u32 = 8;

/// Pause before a try after an upstream had no room or no leader was found.
pub(super) const PAUSE: Duration = Duration::from_millis(25);

/// Least pause before a caller comes back after a full queue; some statements finish in it.
const QUEUE_RETRY: Duration = Duration::from_millis(100);

/// Wait for a sample of the leader's log; several ways between regions and one probe.
const SAMPLE_WAIT: Duration = Duration::from_millis(300);

/// The tries of one statement, or of the begin of a transaction.
pub(super) struct Turn<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    caller: &'a Caller,
    /// Id of the caller's statement, for the log.
    id: &'a str,
    started: Time,
    tries: u32,
    /// Upstreams that lacked the needed position or gave no answer.
    avoided: SmallVec<[Upstream; 4]>,
}

/// Where a statement is tried.
pub(super) struct Target {
    /// Upstream that runs it.
    pub upstream: Upstream,
    /// What the upstream has to show.
    pub floor: MinPosition,
}

impl Target {
    /// Returns as what the upstream serves the statement.
    const fn place(&self) -> &'static str {
        match self.floor {
            MinPosition::LeaderOnly => "leader",
            MinPosition::AtLeast(_) => "replica",
        }
    }
}

impl<'a> Turn<'a> {
    /// Opens a turn that starts now.
    pub(super) fn open(
        node: &'a Rc<Node>,
        route: &'a Route,
        caller: &'a Caller,
        id: &'a str,
    ) -> Self {
        Self {
            node,
            route,
            caller,
            id,
            started: clock::now(),
            tries: 0,
            avoided: SmallVec::new(),
        }
    }

    /// Returns the limit of one exchange.
    pub(super) const fn limit(&self) -> Duration {
        self.route.timeout
    }

    /// Chooses the upstream for the next try.
    pub(super) async fn target(
        &mut self,
        access: Access,
        session: &Session,
    ) -> Result<Target, Failure> {
        self.tries += 1;
        if self.tries > TRIES {
            return Err(Failure::new(Code::Busy, "too many tries"));
        }
        if access == Access::Read {
            self.await_sample().await;
            if let Some(target) = self.replica(session) {
                return Ok(target);
            }
        }
        let upstream = self.node.leader(&self.route.service, self.left()).await?;
        Ok(Target {
            upstream,
            floor: MinPosition::LeaderOnly,
        })
    }

    /// Waits for a sample of the leader's log that replicas can be measured by.
    ///
    /// After a start or a failover there is none for a moment, in which all reads would go to the
    /// leader.
    async fn await_sample(&self) {
        let Some(bound) = staleness(self.route) else {
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
                let changed = self.node.changed.notified();
                if has_sample() {
                    return;
                }
                changed.await;
            }
        };
        // Without a sample in time the read goes to the leader, which is correct but slower.
        let _sampled = timeout(SAMPLE_WAIT.min(self.left()), wait).await;
    }

    fn elapsed_ms(&self) -> u64 {
        clock::now().since(self.started).as_millis() as u64
    }

    /// Returns the time for which the statement may still be held.
    fn left(&self) -> Duration {
        let hold = Duration::from_millis(self.node.settings.hold_ms);
        (self.started + hold).since(clock::now())
    }

    /// Chooses an upstream for a read that need not run at the leader.
    fn replica(&self, session: &Session) -> Option<Target> {
        let bound = staleness(self.route)?;
        let own = match self.route.consistency {
            Consistency::Session(_) => session.last_commit,
            Consistency::Primary | Consistency::Bounded(_) => None,
        };
        let now = clock::now();
        let service = &self.route.service;
        let (floor, leader) = self.node.with_group(service, |group| {
            (group.min_position(now, bound, own), group.leader().cloned())
        });
        if floor == MinPosition::LeaderOnly {
            return None;
        }
        let directory = self.node.directory.borrow();
        let mut candidates: SmallVec<[Candidate; 4]> = SmallVec::new();
        for entry in directory.of_service(service) {
            if directory.is_leaving(now, &entry.upstream) || self.avoided.contains(&entry.upstream)
            {
                continue;
            }
            let Some(pool) = self.node.pool(&entry.upstream) else {
                continue;
            };
            candidates.push(Candidate {
                upstream: entry.upstream.clone(),
                is_leader: leader.as_ref() == Some(&entry.upstream),
                rtt: self.node.distance(&pool, &entry.zone),
                queue_wait: pool.wait(self.route.rank),
                lagged_at: pool.lagged.get(),
                failed_at: pool.failed.get(),
            });
        }
        let chosen = choose_upstream(now, &candidates)?;
        if chosen.failed_at.is_some()
            && let Some(pool) = self.node.pool(&chosen.upstream)
        {
            // One read tries an upstream that had failed; the others wait for its outcome.
            pool.failed.set(Some(now));
        }
        // The leader needs no position, and its log may lack one that a promotion rolled back.
        let floor = if leader.as_ref() == Some(&chosen.upstream) {
            MinPosition::LeaderOnly
        } else {
            floor
        };
        Some(Target {
            upstream: chosen.upstream.clone(),
            floor,
        })
    }

    /// Waits for a connection to the target.
    pub(super) async fn acquire(&self, target: &Target) -> Result<Lease, Failure> {
        let Some(pool) = self.node.pool(&target.upstream) else {
            return Err(Failure::new(Code::Busy, "the upstream has gone"));
        };
        let at_leader = target.floor == MinPosition::LeaderOnly;
        self.node.metrics.placed(&self.route.kind, at_leader);
        let now = clock::now();
        let span = self.route.target.max(self.route.timeout);
        // A statement that was held for a leader gets part of its time once more.
        let deadline = (self.started + span).max(now + span / 2);
        let demand = Demand {
            kind: self.route.kind.clone(),
            caller: self.caller.clone(),
            deadline,
        };
        let lease = pool.acquire(demand).await;
        let waited = clock::now().since(now);
        self.node.metrics.took(Part::Queue, waited);
        lease.map_err(|refusal| {
            let detail = format!("{} {}: {refusal}", target.place(), target.upstream);
            Failure::new(Code::Busy, detail).retry_after(refusal.estimated_wait().max(QUEUE_RETRY))
        })
    }

    /// Returns the connection of a lease; given up once a target that led is replaced, since
    /// nothing has been sent yet.
    pub(super) async fn open_link<'l>(
        &self,
        target: &Target,
        lease: &'l mut Lease,
        session: &Session,
        shape: Option<&PreparedStatement>,
    ) -> Result<&'l mut Link, LinkError> {
        let replaced = async {
            loop {
                let changed = self.node.changed.notified();
                let led = self.node.with_group(&self.route.service, |group| {
                    group
                        .leader()
                        .is_none_or(|leader| *leader == target.upstream)
                });
                if target.floor == MinPosition::LeaderOnly && !led {
                    return;
                }
                changed.await;
            }
        };
        tokio::select! {
            link = lease.link(self.node, session, shape) => link,
            () = replaced => Err(LinkError::Replaced),
        }
    }

    /// Takes in that a leader has answered.
    pub(super) fn observe(&self, target: &Target, asked: Time, mark: Option<LogPosition>) {
        if target.floor == MinPosition::LeaderOnly
            && let Some(mark) = mark
        {
            self.node
                .take_sample(&self.route.service, &target.upstream, asked, mark);
        }
    }

    /// Takes in that an upstream has answered what it was asked at `asked`, and the position that a
    /// replica has shown.
    pub(super) fn note_answer(&self, target: &Target, asked: Time, mark: Option<LogPosition>) {
        let took = clock::now().since(asked);
        self.node.metrics.took(Part::Upstream, took);
        if let Some(pool) = self.node.pool(&target.upstream) {
            pool.failed.set(None);
        }
        if let (MinPosition::AtLeast(_), Some(mark)) = (target.floor, mark) {
            let service = &self.route.service;
            self.node.with_group(service, |group| {
                group.record_received(&target.upstream, mark);
            });
        }
    }

    /// Takes in that the target did not run the statement; fails if no other try makes sense.
    pub(super) async fn refused(
        &mut self,
        target: &Target,
        refusal: Option<(Code, String)>,
        asked: Time,
    ) -> Result<(), Failure> {
        let (code, detail) = refusal.unwrap_or((Code::Failed, String::new()));
        self.node
            .metrics
            .retried(&self.route.kind, &code.to_string());
        if let Some(dropped) = self.node.line(RequestEvent::Try) {
            info!(self.node.log, "refused by an upstream"; "event" => "try", "request" => self.id,
                "upstream" => %target.upstream, "place" => target.place(), "tries" => self.tries,
                "code" => %code, "elapsed_ms" => self.elapsed_ms(), "dropped" => dropped);
        }
        let pool = self.node.pool(&target.upstream);
        match code {
            Code::ReadOnly => self
                .node
                .refused_lead(&self.route.service, asked, &target.upstream),
            Code::Lagging => {
                self.avoided.push(target.upstream.clone());
                if let Some(pool) = pool {
                    pool.lagged.set(Some(clock::now()));
                }
            }
            Code::Busy | Code::Overloaded => sleep(PAUSE).await,
            Code::WrongUpstream => {
                if let Some(pool) = pool {
                    pool.failed.set(Some(clock::now()));
                }
                sleep(PAUSE).await;
            }
            _ => return Err(Failure::new(code, detail)),
        }
        Ok(())
    }

    /// Takes in that the target could not be asked or gave no answer, so that a statement which may
    /// be repeated can be tried elsewhere; fails if it has been held for too long.
    pub(super) async fn lost(
        &mut self,
        target: &Target,
        err: &LinkError,
        asked: Time,
    ) -> Result<(), Failure> {
        if matches!(err, LinkError::Replaced) {
            return Ok(());
        }
        if let LinkError::Refused(code, detail) = err {
            return self
                .refused(target, Some((*code, detail.clone())), asked)
                .await;
        }
        self.note_silence(target, err, asked);
        if self.left().is_zero() {
            return Err(Failure::new(Code::Busy, err.to_string()));
        }
        sleep(PAUSE).await;
        Ok(())
    }

    /// Takes in that the target gave no answer, whatever becomes of the statement.
    pub(super) fn note_silence(&mut self, target: &Target, err: &LinkError, asked: Time) {
        self.node.with_group(&self.route.service, |group| {
            group.record_miss(&target.upstream);
        });
        self.node.metrics.retried(&self.route.kind, "no_answer");
        if let Some(dropped) = self.node.line(RequestEvent::Try) {
            info!(self.node.log, "no answer"; "event" => "try", "request" => self.id,
                "upstream" => %target.upstream, "place" => target.place(), "tries" => self.tries,
                "error" => %err, "elapsed_ms" => self.elapsed_ms(), "dropped" => dropped);
        }
        self.avoided.push(target.upstream.clone());
        if let Some(pool) = self.node.pool(&target.upstream) {
            pool.failed.set(Some(clock::now()));
            pool.distrust(asked);
        }
    }
}

/// Returns how old the data of a route's reads may be, or nothing if they need the leader.
const fn staleness(route: &Route) -> Option<Duration> {
    match route.consistency {
        Consistency::Primary => None,
        Consistency::Bounded(bound) | Consistency::Session(bound) => Some(bound),
    }
}
