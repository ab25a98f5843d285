//! Shared connections to one upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::dispatch::{Completion, Job, JobId, Policy, Refusal, Scheduler};
use chervildrift_core::relay::{
    Code, ConnectionLimit, DirectoryEntry, Peer, PreparedStatement, Session,
};
use chervildrift_core::types::{Caller, Kind, Rank, Service, Time, Upstream};
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::clock;
use super::link::{Link, LinkError};
use super::metrics::Part;
use super::node::Node;
use super::peers;

/// Time after which an idle connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Time for which an upstream is reached through other VMs before it is dialled again.
const DETOUR: Duration = Duration::from_secs(2);

/// A VM through which an upstream is reached.
#[derive(Clone, Debug)]
struct Detour {
    peer: Peer,
    since: Time,
}

/// Shared connections to one upstream.
#[derive(Debug)]
pub(super) struct Pool {
    entry: RefCell<DirectoryEntry>,
    scheduler: RefCell<Scheduler>,
    waiting: RefCell<HashMap<JobId, oneshot::Sender<Lease>>>,
    idle: RefCell<Vec<Link>>,
    /// Rules but for the number of connections, which the limit decides.
    policy: RefCell<Policy>,
    limit: Cell<ConnectionLimit>,
    /// Counts the connections that are open or being opened, each of which holds a clone.
    tally: Rc<()>,
    next: Cell<u64>,
    /// Time of a message there and back, once a connection was made.
    distance: Cell<Option<Duration>>,
    /// Through whom the upstream is reached while it can't be dialled.
    detour: RefCell<Option<Detour>>,
    /// When the upstream last lacked a position.
    pub lagged: Cell<Option<Time>>,
    /// When the upstream last gave no answer.
    pub failed: Cell<Option<Time>>,
    /// Set once the upstream has gone.
    retired: Cell<bool>,
}

/// What a statement needs in order to get a connection.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Kind of work.
    pub kind: Kind,
    /// Caller whose turn it is.
    pub caller: Caller,
    /// Time by which the statement must have finished.
    pub deadline: Time,
}

/// The right to use one connection, which goes back to the pool when dropped.
#[derive(Debug)]
pub(super) struct Lease {
    pool: Rc<Pool>,
    id: JobId,
    link: Option<Link>,
    /// Whether the connection was opened for this work, whose time then says little.
    opened: bool,
    finish: Completion,
}

impl Pool {
    /// Opens a pool without connections; the policy's slots are this VM's share of them.
    pub(super) fn open(entry: DirectoryEntry, policy: &Policy) -> Rc<Self> {
        let limit = ConnectionLimit::new(policy.slots);
        let pool = Rc::new(Self {
            entry: RefCell::new(entry),
            scheduler: RefCell::new(Scheduler::open(policy)),
            policy: RefCell::new(policy.clone()),
            limit: Cell::new(limit),
            tally: Rc::new(()),
            waiting: RefCell::default(),
            idle: RefCell::default(),
            next: Cell::new(0),
            distance: Cell::new(None),
            detour: RefCell::default(),
            lagged: Cell::new(None),
            failed: Cell::new(None),
            retired: Cell::new(false),
        });
        pool.apply_limit();
        pool
    }

    /// Takes in a changed entry; connections to an earlier process are closed.
    pub(super) fn update(&self, entry: &DirectoryEntry) {
        let moved = {
            let old = self.entry.borrow();
            old.address != entry.address || old.born != entry.born
        };
        if moved {
            self.keep_idle(|_| false);
        }
        self.entry.replace(entry.clone());
    }

    /// Takes in changed rules.
    pub(super) fn apply(self: &Rc<Self>, policy: &Policy) {
        let mut limit = self.limit.get();
        limit.resize(policy.slots);
        self.limit.set(limit);
        self.policy.replace(policy.clone());
        self.apply_limit();
        self.pump();
    }

    /// Lets as many statements run as connections may be held.
    fn apply_limit(&self) {
        let mut policy = self.policy.borrow_mut();
        policy.slots = self.limit.get().get();
        self.scheduler.borrow_mut().apply(clock::now(), &policy);
    }

    /// Raises the limit again some time after a refusal.
    fn recover(&self) {
        let mut limit = self.limit.get();
        if limit.recover(clock::now()) {
            self.limit.set(limit);
            self.apply_limit();
        }
    }

    /// Takes in that the upstream takes no more connections.
    fn note_overload(&self) {
        let mut limit = self.limit.get();
        limit.record_refusal(clock::now(), self.open_links());
        self.limit.set(limit);
        self.apply_limit();
    }

    /// Closes connections that have been idle for long.
    ///
    /// Connections of a lost VM linger at the upstream, so idle ones keep others from it.
    pub(super) fn close_idle(&self) {
        let now = clock::now();
        self.keep_idle(|link| now.since(link.used) < IDLE_LIMIT);
    }

    fn keep_idle(&self, keep: impl Fn(&Link) -> bool) {
        self.idle.borrow_mut().retain(keep);
    }

    /// Returns the number of connections that are open or being opened.
    pub(super) fn open_links(&self) -> usize {
        Rc::strong_count(&self.tally) - 1
    }

    /// Closes the pool's idle connections and all others as they come back.
    pub(super) fn retire(&self) {
        self.retired.set(true);
        self.keep_idle(|_| false);
    }

    /// Closes idle connections that have not been used since.
    pub(super) fn distrust(&self, since: Time) {
        self.keep_idle(|link| link.used >= since);
    }

    /// Returns the time of a message there and back.
    pub(super) fn distance(&self) -> Option<Duration> {
        self.distance.get()
    }

    /// Returns the estimated wait for a connection.
    pub(super) fn wait(&self, rank: Rank) -> Duration {
        self.scheduler.borrow().load().ranks[rank.index()].wait
    }

    /// Waits for the right to use a connection.
    pub(super) async fn acquire(self: &Rc<Self>, demand: Demand) -> Result<Lease, Refusal> {
        let now = clock::now();
        let id = JobId(self.next.replace(self.next.get() + 1));
        let (sender, receiver) = oneshot::channel();
        let limit = demand.deadline.since(now);
        self.recover();
        let job = Job {
            id,
            kind: demand.kind,
            caller: demand.caller,
            deadline: demand.deadline,
        };
        self.scheduler.borrow_mut().submit(now, job)?;
        self.waiting.borrow_mut().insert(id, sender);
        self.pump();
        if let Ok(Ok(lease)) = timeout(limit, receiver).await {
            return Ok(lease);
        }
        self.waiting.borrow_mut().remove(&id);
        self.scheduler.borrow_mut().cancel(id);
        Err(Refusal::TooLate(clock::now().since(now), Duration::ZERO))
    }

    /// Hands free connections to those who wait for them.
    fn pump(self: &Rc<Self>) {
        loop {
            let now = clock::now();
            let (expired, next) = {
                let mut scheduler = self.scheduler.borrow_mut();
                (scheduler.expire(now), scheduler.start_next(now))
            };
            for id in expired {
                self.waiting.borrow_mut().remove(&id);
            }
            let Some(id) = next else { return };
            let lease = Lease {
                pool: Rc::clone(self),
                id,
                link: None,
                opened: false,
                finish: Completion::Abandoned,
            };
            let sender = self.waiting.borrow_mut().remove(&id);
            if let Some(sender) = sender
                && let Err(unclaimed) = sender.send(lease)
            {
                // Nobody waits for the lease any more; it frees its place as it is dropped.
                drop(unclaimed);
            }
        }
    }

    fn take_back(self: &Rc<Self>, id: JobId, link: Option<Link>, finish: Completion) {
        let room = self.open_links() <= self.limit.get().get();
        if let Some(link) = link.filter(Link::is_clean)
            && room
            && !self.retired.get()
        {
            self.idle.borrow_mut().push(link);
        }
        let now = clock::now();
        self.scheduler.borrow_mut().finish(now, id, finish);
        self.pump();
    }

    /// Takes the idle connection that is closest to what a session needs.
    fn take_idle(&self, session: &Session, shape: Option<&PreparedStatement>) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        // A write on a connection that has ended would be in doubt although it can't run.
        idle.retain(Link::is_open);
        let fit = |at: &usize| idle[*at].mismatch(session, shape);
        // The last one used is taken among equals, so that the others can be closed when idle.
        let best = (0..idle.len()).rev().min_by_key(fit)?;
        Some(idle.swap_remove(best))
    }
}

impl Lease {
    /// Returns the connection, which is opened if no idle one is left.
    pub(super) async fn link(
        &mut self,
        node: &Node,
        session: &Session,
        shape: Option<&PreparedStatement>,
    ) -> Result<&mut Link, LinkError> {
        if self.link.is_none() {
            self.link = self.pool.take_idle(session, shape);
        }
        let link = if let Some(link) = self.link.take() {
            link
        } else {
            self.opened = true;
            let began = clock::now();
            let connected = self.connect(node).await;
            let took = clock::now().since(began);
            node.metrics.took(Part::Connection, took);
            connected?
        };
        Ok(self.link.insert(link))
    }

    async fn connect(&self, node: &Node) -> Result<Link, LinkError> {
        let (address, service, upstream) = {
            let entry = self.pool.entry.borrow();
            (entry.address, entry.service.clone(), entry.upstream.clone())
        };
        let tally = Rc::clone(&self.pool.tally);
        let stream = self.reach(node, address, &service, &upstream).await?;
        let opened = Link::open(stream, &service, &upstream, tally).await;
        if let Err(LinkError::Refused(Code::Overloaded, _)) = &opened {
            self.pool.note_overload();
        }
        opened
    }

    /// Connects directly, or through another VM while that fails.
    async fn reach(
        &self,
        node: &Node,
        address: SocketAddr,
        service: &Service,
        upstream: &Upstream,
    ) -> Result<TcpStream, LinkError> {
        let now = clock::now();
        let known = self.pool.detour.borrow().clone();
        if let Some(known) = known {
            if now.since(known.since) < DETOUR
                && let Some(stream) = peers::tunnel(&known.peer, upstream).await
            {
                return Ok(stream);
            }
            // This connection looks whether the upstream can be dialled again; the others go on.
            let peer = known.peer;
            self.pool.detour.replace(Some(Detour { peer, since: now }));
        }
        let err = match Link::connect(address).await {
            Ok((stream, took)) => {
                let known = self.pool.distance.get();
                let least = known.map_or(took, |known| known.min(took));
                self.pool.distance.set(Some(least));
                self.pool.detour.replace(None);
                return Ok(stream);
            }
            Err(err) => err,
        };
        node.with_group(service, |group| group.record_miss(upstream));
        let Some((peer, stream)) = peers::find_way(node, upstream).await else {
            self.pool.detour.replace(None);
            return Err(err);
        };
        let detours = &node.metrics.detours;
        detours.with_label_values(&[upstream.as_str()]).inc();
        info!(node.log, "upstream reached through a peer"; "event" => "detour",
            "upstream" => %upstream, "peer" => %peer.vm, "error" => %err);
        let since = clock::now();
        self.pool.detour.replace(Some(Detour { peer, since }));
        Ok(stream)
    }

    /// Notes how the work ended, which the estimates of service times follow.
    pub(super) const fn conclude(&mut self, finish: Completion) {
        if !self.opened {
            self.finish = finish;
        }
    }

    /// Returns the open connection.
    pub(super) const fn open_link(&mut self) -> Option<&mut Link> {
        self.link.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.take_back(self.id, self.link.take(), self.finish);
    }
}
