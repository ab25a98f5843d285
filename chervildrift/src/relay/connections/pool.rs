//! Pool of connections to one upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::dispatch::{Completion, Job, JobId, Policy, Refusal, Scheduler};
use chervildrift_core::relay::{
    Code, ConnectionCache, ConnectionLimit, ConnectionRequest, ConnectionStep, DirectoryEntry,
    Health, HolderSet, IdleConnection, OCCUPANCY_WINDOW, Occupancy, Outcome, PROBE_KIND, Peer,
    PreparedStatement, Session,
};
use chervildrift_core::types::{Caller, Kind, Organisation, Rank, Service, Time, Upstream};
use chervildrift_platform::wire::Command;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::relay::clock;
use crate::relay::connections::connection::{Connection, ConnectionError, Reply};
use crate::relay::fleet::peers;
use crate::relay::metrics::StatementPart;
use crate::relay::node::Node;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed that is kept for its organisation; upstreams close
/// idle connections after a minute.
const KEPT_IDLE_TIMEOUT: Duration = Duration::from_secs(45);

/// Time for which connections use a tunnel before a direct connection is tried again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// VM through which the upstream is reached.
#[derive(Clone, Debug)]
struct Tunnel {
    peer: Peer,
    since: Time,
}

/// Plan for a VM's connections to one upstream.
#[derive(Clone, Debug)]
pub(in crate::relay) struct PoolPlan {
    /// Scheduling policy, whose slots are the statements that run at a time.
    pub policy: Policy,
    /// Connections that may be open.
    pub connections: usize,
    /// Whether idle connections stay open for their organisations.
    pub keeps_idle: bool,
}

/// Connections to one upstream, shared by all sessions.
#[derive(Debug)]
pub(in crate::relay) struct Pool {
    entry: RefCell<DirectoryEntry>,
    /// VMs that hold connections to the upstream.
    holders: RefCell<Rc<HolderSet>>,
    /// Wait for a connection that a holder last reported, and when.
    holder_wait: Cell<(Duration, Time)>,
    /// Outcomes of those exchanges, and whether reads avoid the upstream.
    pub health: Cell<Health>,
    /// Exchanges with the upstream on connections of this VM.
    occupancy: Cell<Occupancy>,
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<JobId, oneshot::Sender<Permit>>>,
    idle: RefCell<Vec<Connection>>,
    /// Whether idle connections stay open for their organisations.
    keeps_idle: Cell<bool>,
    cache: RefCell<ConnectionCache>,
    /// Number of connections in use, or being opened, by organisation.
    in_use: RefCell<HashMap<Option<Organisation>, usize>>,
    /// Wakes statements that wait for a connection of their organisation.
    returned: Notify,
    limit: Cell<ConnectionLimit>,
    /// Number of connections that are open or being opened, as the reference count.
    open_count: Rc<()>,
    next_id: Cell<u64>,
    /// Lowest round-trip time measured, once a connection was made.
    rtt: Cell<Option<Duration>>,
    /// Tunnel in use while direct connections fail.
    tunnel: RefCell<Option<Tunnel>>,
    /// Time when the upstream last lacked a required position.
    pub lagged_at: Cell<Option<Time>>,
    /// Time when the upstream last failed to reply, refused as the wrong one, or was tried again
    /// after that.
    pub failed_at: Cell<Option<Time>>,
    /// Whether the upstream has been removed.
    is_retired: Cell<bool>,
}

/// Properties by which a request for a connection is scheduled.
#[derive(Clone, Debug)]
pub(in crate::relay) struct AcquireRequest {
    /// Kind of the statement.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Caller that sent the statement.
    pub caller: Caller,
    /// Organisation of the caller, if the route needs a key.
    pub organisation: Option<Organisation>,
    /// Time by which the statement must finish.
    pub deadline: Time,
}

/// Permit to use one connection, which returns to the pool when the permit is dropped.
#[derive(Debug)]
pub(in crate::relay) struct Permit {
    pool: Rc<Pool>,
    id: JobId,
    /// Organisation for which the statement runs, if any.
    organisation: Option<Organisation>,
    /// Whether the VM itself asks, whose commands may run on anyone's connection.
    is_probe: bool,
    connection: Option<Connection>,
    /// Organisation whose connection is in use or being opened.
    owner: Option<Organisation>,
    /// Whether a connection is counted as in use.
    is_counted: bool,
    /// Whether the connection was opened under this permit, which distorts the measured service
    /// time.
    is_new: bool,
    completion: Completion,
}

impl Pool {
    /// Creates a pool without connections.
    pub(in crate::relay) fn new(entry: DirectoryEntry, plan: &PoolPlan) -> Rc<Self> {
        let policy = &plan.policy;
        let limit = ConnectionLimit::new(plan.connections);
        let pool = Rc::new(Self {
            entry: RefCell::new(entry),
            holders: RefCell::default(),
            holder_wait: Cell::default(),
            health: Cell::default(),
            occupancy: Cell::default(),
            scheduler: RefCell::new(Scheduler::new(policy)),
            keeps_idle: Cell::new(plan.keeps_idle),
            cache: RefCell::default(),
            in_use: RefCell::default(),
            returned: Notify::new(),
            limit: Cell::new(limit),
            open_count: Rc::new(()),
            waiters: RefCell::default(),
            idle: RefCell::default(),
            next_id: Cell::new(0),
            rtt: Cell::new(None),
            tunnel: RefCell::default(),
            lagged_at: Cell::new(None),
            failed_at: Cell::new(None),
            is_retired: Cell::new(false),
        });
        pool.apply_limit();
        pool
    }

    /// Applies a changed entry; closes idle connections if the upstream moved or was restarted.
    pub(in crate::relay) fn update_entry(&self, entry: &DirectoryEntry) {
        let moved = {
            let old = self.entry.borrow();
            old.address != entry.address || old.born != entry.born
        };
        if moved {
            self.retain_idle(|_| false);
            self.health.take();
        }
        self.entry.replace(entry.clone());
    }

    /// Returns the name of the upstream.
    pub(in crate::relay) fn upstream(&self) -> Upstream {
        self.entry.borrow().upstream.clone()
    }

    /// Returns the VMs that hold connections to the upstream.
    pub(in crate::relay) fn holders(&self) -> Rc<HolderSet> {
        Rc::clone(&self.holders.borrow())
    }

    /// Sets the VMs that hold connections to the upstream.
    pub(in crate::relay) fn set_holders(&self, holders: HolderSet) {
        self.holders.replace(Rc::new(holders));
    }

    /// Returns whether statements of a kind can be scheduled.
    pub(in crate::relay) fn declares(&self, kind: &Kind) -> bool {
        self.scheduler.borrow().declares(kind)
    }

    /// Records the wait for a connection that a holder reported.
    pub(in crate::relay) fn record_holder_wait(&self, wait: Duration) {
        self.holder_wait.set((wait, clock::now()));
    }

    /// Applies a changed plan.
    pub(in crate::relay) fn apply_plan(self: &Rc<Self>, plan: &PoolPlan) {
        let mut limit = self.limit.get();
        limit.resize(plan.connections);
        self.limit.set(limit);
        self.keeps_idle.set(plan.keeps_idle);
        self.scheduler
            .borrow_mut()
            .apply(clock::now(), &plan.policy);
        self.apply_limit();
        self.grant_permits();
    }

    /// Limits the permits to the current connection limit.
    fn apply_limit(&self) {
        let connections = self.limit.get().get();
        self.scheduler.borrow_mut().limit_started(connections);
    }

    /// Raises the connection limit again some time after the upstream refused a connection.
    fn recover_limit(&self) {
        let mut limit = self.limit.get();
        if limit.recover(clock::now()) {
            self.limit.set(limit);
            self.apply_limit();
        }
    }

    /// Returns whether a connection may be opened now.
    fn attempt_connection(&self) -> bool {
        let mut limit = self.limit.get();
        let allowed = limit.attempt(clock::now());
        self.limit.set(limit);
        allowed
    }

    /// Records that the upstream accepted a connection.
    fn record_accepted(&self) {
        let mut limit = self.limit.get();
        limit.record_accepted();
        self.limit.set(limit);
    }

    /// Lowers the connection limit because the upstream refused another connection.
    fn record_overload(&self) {
        let mut limit = self.limit.get();
        limit.record_refusal(clock::now(), self.open_connections());
        self.limit.set(limit);
        self.apply_limit();
    }

    /// Closes connections that have been idle for longer than the timeout.
    ///
    /// An upstream keeps the connections of a failed VM for a while, and idle ones would take up
    /// slots that other VMs need.
    pub(in crate::relay) fn close_expired(&self) {
        let now = clock::now();
        let keeps_idle = self.keeps_idle.get();
        let limit = if keeps_idle {
            KEPT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        self.retain_idle(|connection| now.since(connection.last_used) < limit);
        // The share is smaller since VMs have joined.
        while keeps_idle && self.open_connections() > self.limit.get().get() {
            let closed = {
                let idle = self.idle.borrow();
                let idle = self.idle_connections(&idle);
                self.cache.borrow().select_closed(now, &idle)
            };
            let Some(at) = closed else { break };
            self.idle.borrow_mut().remove(at);
        }
    }

    /// Returns what the cache needs to know of idle connections.
    fn idle_connections<'a>(&self, idle: &'a [Connection]) -> Vec<IdleConnection<'a>> {
        let in_use = self.in_use.borrow();
        let open = |owner: Option<&Organisation>| {
            let idle = idle.iter().filter(|it| it.organisation() == owner).count();
            idle + in_use.get(&owner.cloned()).copied().unwrap_or(0)
        };
        let convert = |it: &'a Connection| IdleConnection {
            owner: it.organisation(),
            open: open(it.organisation()),
            last_used: it.last_used,
        };
        idle.iter().map(convert).collect()
    }

    /// Counts a connection that is taken or opened for an organisation.
    fn record_use(&self, owner: Option<&Organisation>, is_probe: bool) {
        let mut in_use = self.in_use.borrow_mut();
        let count = in_use.entry(owner.cloned()).or_default();
        if !is_probe {
            let mut cache = self.cache.borrow_mut();
            cache.record_use(clock::now(), owner, *count);
        }
        *count += 1;
    }

    /// Counts a connection that is returned or has not been opened.
    fn record_return(&self, owner: Option<&Organisation>) {
        let mut in_use = self.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(&owner.cloned()) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(&owner.cloned());
            }
        }
    }

    /// Returns the expected time to open a connection.
    pub(in crate::relay) fn setup(&self) -> Duration {
        self.cache.borrow().setup()
    }

    fn retain_idle(&self, keep: impl Fn(&Connection) -> bool) {
        self.idle.borrow_mut().retain(keep);
    }

    /// Returns the number of connections that the plan allows.
    pub(in crate::relay) fn planned_connections(&self) -> usize {
        self.limit.get().share()
    }

    /// Returns the number of connections that are open or being opened.
    pub(in crate::relay) fn open_connections(&self) -> usize {
        Rc::strong_count(&self.open_count) - 1
    }

    /// Returns the number of connections that are lent and between two statements.
    pub(in crate::relay) fn resting(&self) -> usize {
        self.scheduler.borrow().resting()
    }

    /// Closes the pool: idle connections now, and connections in use when they are returned.
    pub(in crate::relay) fn retire(&self) {
        self.is_retired.set(true);
        self.retain_idle(|_| false);
    }

    /// Closes idle connections that were last used before a time.
    pub(in crate::relay) fn close_unused_since(&self, since: Time) {
        self.retain_idle(|connection| connection.last_used >= since);
    }

    /// Returns the measured round-trip time, if any.
    pub(in crate::relay) fn rtt(&self) -> Option<Duration> {
        self.rtt.get()
    }

    /// Returns the estimated wait for a permit and then for a slot of the upstream, as far as this
    /// VM's own connections show it.
    pub(in crate::relay) fn own_wait(&self, rank: Rank) -> Duration {
        let slots = self.entry.borrow().slots;
        let holders = self.holders.borrow().count();
        let in_upstream = self.occupancy.get().wait(clock::now(), holders, slots);
        self.scheduler.borrow().load().ranks[rank.index()].wait + in_upstream
    }

    /// Returns the wait at this VM, or as a holder last reported it, and the age of that news.
    pub(in crate::relay) fn known_wait(&self, rank: Rank) -> (Duration, Duration) {
        let (heard, heard_at) = self.holder_wait.get();
        let own = self.own_wait(rank);
        if own.is_zero() {
            (heard, OCCUPANCY_WINDOW + clock::now().since(heard_at))
        } else {
            (own, OCCUPANCY_WINDOW)
        }
    }

    /// Waits for a permit to use a connection.
    pub(in crate::relay) async fn acquire(
        self: &Rc<Self>,
        request: AcquireRequest,
    ) -> Result<Permit, Refusal> {
        let now = clock::now();
        let id = JobId(self.next_id.replace(self.next_id.get() + 1));
        let (sender, receiver) = oneshot::channel();
        let limit = request.deadline.since(now);
        self.recover_limit();
        let is_probe = request.kind.as_str() == PROBE_KIND;
        let job = Job {
            id,
            kind: request.kind,
            caller: request.caller,
            organisation: request.organisation.clone(),
            deadline: request.deadline,
        };
        self.scheduler.borrow_mut().submit(now, job)?;
        self.waiters.borrow_mut().insert(id, sender);
        self.grant_permits();
        if let Ok(Ok(mut permit)) = timeout(limit, receiver).await {
            permit.organisation = request.organisation;
            permit.is_probe = is_probe;
            return Ok(permit);
        }
        self.waiters.borrow_mut().remove(&id);
        self.scheduler.borrow_mut().cancel(id);
        Err(Refusal::TooLate(clock::now().since(now), Duration::ZERO))
    }

    /// Grants permits to waiting requests as far as the scheduler allows.
    fn grant_permits(self: &Rc<Self>) {
        loop {
            let now = clock::now();
            let (expired, next) = {
                let mut scheduler = self.scheduler.borrow_mut();
                (scheduler.expire(now), scheduler.start_next(now))
            };
            for id in expired {
                self.waiters.borrow_mut().remove(&id);
            }
            let Some(id) = next else { return };
            let permit = Permit {
                pool: Rc::clone(self),
                id,
                organisation: None,
                is_probe: false,
                connection: None,
                owner: None,
                is_counted: false,
                is_new: false,
                completion: Completion::Abandoned,
            };
            let sender = self.waiters.borrow_mut().remove(&id);
            if let Some(sender) = sender
                && let Err(undelivered) = sender.send(permit)
            {
                // The request no longer waits; dropping the permit releases its slot.
                drop(undelivered);
            }
        }
    }

    fn release(self: &Rc<Self>, id: JobId, connection: Option<Connection>, completion: Completion) {
        let has_capacity = self.open_connections() <= self.limit.get().get();
        if let Some(connection) = connection.filter(Connection::is_reusable)
            && has_capacity
            && !self.is_retired.get()
        {
            self.idle.borrow_mut().push(connection);
            self.returned.notify_waiters();
        }
        let now = clock::now();
        self.scheduler.borrow_mut().finish(now, id, completion);
        self.grant_permits();
    }

    /// Takes the idle connection that needs the fewest setup steps for a session, among those that
    /// may serve it.
    fn take_idle(
        &self,
        may_serve: impl Fn(&Connection) -> bool,
        session: &Session,
        prepared: Option<&PreparedStatement>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        // A write on a connection that the upstream closed could not run, but its outcome would be
        // unknown.
        idle.retain(Connection::is_open);
        let setup_cost = |at: &usize| idle[*at].setup_steps(session, prepared);
        // Ties go to the connection used last, so that the others become idle and can be closed.
        let usable = (0..idle.len()).rev().filter(|at| may_serve(&idle[*at]));
        let best = usable.min_by_key(setup_cost)?;
        Some(idle.remove(best))
    }

    /// Decides how a statement that has looked for a connection since `since` gets one; closes an
    /// idle one if that is the way.
    fn decide(&self, owner: Option<&Organisation>, since: Time) -> ConnectionStep {
        let now = clock::now();
        let step = {
            let idle = self.idle.borrow();
            let idle = self.idle_connections(&idle);
            let in_use = self.in_use.borrow().get(&owner.cloned()).copied();
            let request = ConnectionRequest {
                since,
                in_use: in_use.filter(|_| owner.is_some()).unwrap_or(0),
                open: self.open_connections(),
                limit: self.limit.get().get(),
                idle: &idle,
            };
            self.cache.borrow().decide(now, &request)
        };
        if let ConnectionStep::Open(Some(at)) = step {
            self.idle.borrow_mut().remove(at);
        }
        step
    }
}

impl Permit {
    /// Records how an exchange or an attempt to connect ended.
    pub(in crate::relay) fn record_outcome(&self, outcome: Outcome) {
        let mut health = self.pool.health.get();
        health.record(clock::now(), outcome);
        self.pool.health.set(health);
    }

    /// Counts an exchange on the connection until the guard is dropped.
    pub(in crate::relay) fn begin_exchange(&self) -> ExchangeGuard {
        let started = clock::now();
        let mut occupancy = self.pool.occupancy.get();
        occupancy.start(started);
        self.pool.occupancy.set(occupancy);
        ExchangeGuard {
            pool: Rc::clone(&self.pool),
            started,
        }
    }

    /// Returns the connection of the permit; takes an idle one or opens a new one first.
    pub(in crate::relay) async fn connection(
        &mut self,
        node: &Node,
        session: &Session,
        prepared: Option<&PreparedStatement>,
    ) -> Result<&mut Connection, ConnectionError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => match self.find_idle(session, prepared).await {
                Some(connection) => connection,
                None => self.open(node).await?,
            },
        };
        Ok(self.connection.insert(connection))
    }

    /// Takes an idle connection, possibly after waiting for one; `None` if one has to be opened.
    async fn find_idle(
        &mut self,
        session: &Session,
        prepared: Option<&PreparedStatement>,
    ) -> Option<Connection> {
        // An upstream runs statements under the name with which a connection was started.
        let may_serve =
            |it: &Connection| self.is_probe || it.organisation() == self.organisation.as_ref();
        let since = clock::now();
        loop {
            let returned = self.pool.returned.notified();
            if let Some(connection) = self.pool.take_idle(may_serve, session, prepared) {
                let owner = connection.organisation();
                self.pool.record_use(owner, self.is_probe);
                self.owner = owner.cloned();
                self.is_counted = true;
                return Some(connection);
            }
            match self.pool.decide(self.organisation.as_ref(), since) {
                ConnectionStep::Wait(wait) => {
                    // After the wait a connection is opened.
                    let _returned = timeout(wait, returned).await;
                }
                ConnectionStep::Open(_) => return None,
            }
        }
    }

    /// Opens a connection.
    async fn open(&mut self, node: &Node) -> Result<Connection, ConnectionError> {
        if !self.pool.attempt_connection() {
            let detail = "at its connection limit a moment ago".to_owned();
            return Err(ConnectionError::Refused(Code::Overloaded, detail));
        }
        self.is_new = true;
        self.pool
            .record_use(self.organisation.as_ref(), self.is_probe);
        self.owner.clone_from(&self.organisation);
        self.is_counted = true;
        let started = clock::now();
        let result = self.connect(node).await;
        let elapsed = clock::now().since(started);
        node.metrics.record_part(StatementPart::Connection, elapsed);
        if result.is_ok() {
            self.pool.cache.borrow_mut().record_setup(elapsed);
        }
        result
    }

    async fn connect(&self, node: &Node) -> Result<Connection, ConnectionError> {
        let (address, service, upstream) = {
            let entry = self.pool.entry.borrow();
            (entry.address, entry.service.clone(), entry.upstream.clone())
        };
        let open_count = Rc::clone(&self.pool.open_count);
        let stream = self
            .connect_stream(node, address, &service, &upstream)
            .await?;
        let organisation = self.organisation.clone();
        let large_replies = Arc::clone(&node.large_replies);
        let opened = Connection::open(
            stream,
            &service,
            organisation,
            &upstream,
            open_count,
            large_replies,
        )
        .await;
        match &opened {
            Ok(_) => self.pool.record_accepted(),
            Err(ConnectionError::Refused(Code::Overloaded, _)) => self.pool.record_overload(),
            Err(_) => {}
        }
        opened
    }

    /// Connects directly, or through another VM if that fails.
    async fn connect_stream(
        &self,
        node: &Node,
        address: SocketAddr,
        service: &Service,
        upstream: &Upstream,
    ) -> Result<TcpStream, ConnectionError> {
        let now = clock::now();
        let known = self.pool.tunnel.borrow().clone();
        if let Some(known) = known {
            if now.since(known.since) < DIRECT_RETRY_INTERVAL
                && let Some(stream) = peers::open_tunnel(&known.peer, upstream).await
            {
                return Ok(stream);
            }
            // This request tries to connect directly again; others keep using the tunnel meanwhile.
            let peer = known.peer;
            self.pool.tunnel.replace(Some(Tunnel { peer, since: now }));
        }
        let err = match Connection::connect(address).await {
            Ok((stream, rtt)) => {
                let known = self.pool.rtt.get();
                let lowest = known.map_or(rtt, |known| known.min(rtt));
                self.pool.rtt.set(Some(lowest));
                self.pool.tunnel.replace(None);
                return Ok(stream);
            }
            Err(err) => err,
        };
        node.with_group(service, |group| group.record_miss(upstream));
        let Some((peer, stream)) = peers::find_tunnel(node, upstream).await else {
            self.pool.tunnel.replace(None);
            return Err(err);
        };
        let tunnels = &node.metrics.tunnels;
        tunnels.with_label_values(&[upstream.as_str()]).inc();
        info!(node.log, "upstream reached through a peer"; "event" => "detour",
            "upstream" => %upstream, "peer" => %peer.vm, "error" => %err);
        let since = clock::now();
        self.pool.tunnel.replace(Some(Tunnel { peer, since }));
        Ok(stream)
    }

    /// Sets how the work ended, from which the scheduler estimates service times; has no effect if
    /// the connection was opened under this permit.
    pub(in crate::relay) const fn set_completion(&mut self, completion: Completion) {
        if !self.is_new {
            self.completion = completion;
        }
    }

    /// Runs commands in one pipeline after the setup that the session needs, if one is given.
    pub(in crate::relay) async fn run(
        &mut self,
        session: Option<(&Session, Option<&PreparedStatement>)>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(ConnectionError::Broken("no connection".into()));
        };
        let now = clock::now();
        self.pool.scheduler.borrow_mut().resume_job(now, self.id);
        let result = match session {
            Some((session, prepared)) => {
                connection
                    .run_in_session(session, prepared, commands, limit)
                    .await
            }
            None => connection.run_pipeline(commands, limit).await,
        };
        if result.is_ok() {
            // The other commands occupy no slot of the upstream, or little.
            let is_statement = commands.iter().any(|it| matches!(it, Command::Run { .. }));
            let completion = if is_statement && !self.is_new {
                Completion::Answered
            } else {
                Completion::Abandoned
            };
            self.is_new = false;
            self.rest(completion);
        }
        result
    }

    /// Frees the slot until the next statement and keeps the connection.
    pub(in crate::relay) fn rest(&self, completion: Completion) {
        let now = clock::now();
        self.pool
            .scheduler
            .borrow_mut()
            .rest(now, self.id, completion);
        self.pool.grant_permits();
    }

    /// Returns the connection if it has been opened.
    pub(in crate::relay) const fn opened_connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }
}

/// Exchange with an upstream that is counted until this is dropped.
#[derive(Debug)]
pub(in crate::relay) struct ExchangeGuard {
    pool: Rc<Pool>,
    started: Time,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut occupancy = self.pool.occupancy.get();
        occupancy.finish(clock::now(), self.started);
        self.pool.occupancy.set(occupancy);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_counted {
            self.pool.record_return(self.owner.as_ref());
        }
        self.pool
            .release(self.id, self.connection.take(), self.completion);
    }
}
