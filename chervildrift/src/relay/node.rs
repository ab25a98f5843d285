//! State of the VM, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervildrift_core::config::RelaySettings;
use chervildrift_core::relay::{
    Authority, Code, Directory, DirectoryEntry, Group, Peer, RouteTable, Routes, admission_policy,
    connections_per_vm,
};
use chervildrift_core::types::{LogPosition, Service, Time, Upstream, Zone};
use chervildrift_platform::promotion::Promotions;
use chervildrift_platform::store::Store;
use slog::{Logger, info};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::answer::Failure;
use super::clock;
use super::lines::{Lines, RequestEvent};
use super::metrics::Metrics;
use super::pool::Pool;
use super::stop::Stage;

/// Assumed time of a message there and back within a region, until a connection was made.
const NEAR: Duration = Duration::from_millis(2);

/// Assumed time of a message there and back between regions, until a connection was made.
const FAR: Duration = Duration::from_millis(50);

/// Interval at which a suspected leader is looked at by those who wait.
const LEADER_POLL: Duration = Duration::from_millis(50);

/// When a caller may come back after no leader was found; a failover ends within some seconds.
const LEADER_RETRY: Duration = Duration::from_secs(1);

/// Connections to one upstream while the configuration names no limit.
const DEFAULT_CONNECTIONS: usize = 8;

/// State of the VM.
#[derive(Debug)]
pub(super) struct Node {
    pub settings: RelaySettings,
    /// Start of the process, in milliseconds of the Unix epoch.
    pub boot: u64,
    pub log: Logger,
    /// Quotas of the lines that requests cause.
    pub lines: Lines,
    pub metrics: Metrics,
    pub store: Store,
    pub promotions: Option<Promotions>,
    pub directory: RefCell<Directory>,
    pub routes: RefCell<RouteTable>,
    pub groups: RefCell<HashMap<Service, Group>>,
    pub pools: RefCell<HashMap<Upstream, Rc<Pool>>>,
    /// VMs that run, this one included.
    pub peers: RefCell<Vec<Peer>>,
    /// VMs that share the connections, this one included.
    pub vms: Cell<usize>,
    /// Since when calls to the store have failed.
    pub lost: Cell<Option<Time>>,
    /// Services that this VM may order promotions of.
    pub claims: RefCell<HashMap<Service, Authority>>,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    /// Connections that this VM carries to upstreams for others.
    pub tunnels: Cell<usize>,
    /// Wakes those who wait for a leader.
    pub changed: Notify,
    /// Services whose replicas are being asked what they have received.
    pub confirming: RefCell<HashSet<Service>>,
    /// Wakes those who wait for a replica to have received a commit.
    pub received: Notify,
    pub stage: watch::Sender<Stage>,
    pub listed: Cell<bool>,
    pub ready: Arc<AtomicBool>,
}

impl Node {
    /// Takes in a version of the routes.
    pub(super) fn take_routes(&self, routes: Routes) {
        let version = routes.version;
        let count = routes.routes.len();
        if !self.routes.borrow_mut().apply(routes) {
            return;
        }
        info!(self.log, "configuration applied"; "event" => "routes", "version" => version,
            "routes" => count);
        self.share_links();
        self.update_ready();
        self.changed.notify_waiters();
    }

    /// Takes in a new or changed entry of an upstream.
    pub(super) fn take_entry(&self, entry: DirectoryEntry) {
        let policy = self.policy(&entry.service);
        let known = self.pools.borrow().get(&entry.upstream).cloned();
        let old = self.directory.borrow().get(&entry.upstream).cloned();
        if let Some(pool) = known {
            pool.update(&entry);
        } else {
            let pool = Pool::open(entry.clone(), &policy);
            self.pools.borrow_mut().insert(entry.upstream.clone(), pool);
        }
        let changed =
            old.is_none_or(|old| old.role != entry.role || old.draining != entry.draining);
        if changed {
            info!(self.log, "upstream changed"; "event" => "upstream",
                "upstream" => %entry.upstream, "service" => %entry.service, "role" => %entry.role,
                "draining" => entry.draining, "version" => entry.version);
        }
        let service = entry.service.clone();
        self.directory.borrow_mut().put(clock::now(), entry);
        self.follow_reports(&service);
    }

    /// Takes in a full listing of the upstreams, whose entries may be older than known ones; upstreams
    /// that it lacks lapse.
    pub(super) fn take_listing(&self, entries: Vec<DirectoryEntry>) {
        let names: Vec<Upstream> = entries.iter().map(|it| it.upstream.clone()).collect();
        self.directory
            .borrow_mut()
            .apply_listing(clock::now(), &names);
        for entry in entries {
            let known = self
                .directory
                .borrow()
                .get(&entry.upstream)
                .map(|it| it.version);
            if known.is_none_or(|known| known <= entry.version) {
                self.take_entry(entry);
            }
        }
        self.listed.set(true);
        self.update_ready();
    }

    /// Forgets upstreams.
    pub(super) fn forget(&self, gone: &[Upstream]) {
        for upstream in gone {
            info!(self.log, "upstream gone"; "event" => "upstream", "upstream" => %upstream);
            if let Some(pool) = self.pools.borrow_mut().remove(upstream) {
                pool.retire();
            }
            self.metrics.forget(upstream);
            for group in self.groups.borrow_mut().values_mut() {
                group.clear_leader(upstream);
            }
        }
    }

    /// Takes the upstream that reports itself as primary for the leader if there is none that
    /// answers.
    pub(super) fn follow_reports(&self, service: &Service) {
        let Some(reporter) = self.challenger(service) else {
            return;
        };
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(service.clone()).or_default();
        if !group.has_responsive_leader(clock::now()) {
            self.set_leader(group, service, &reporter, "reported");
        }
    }

    /// Returns the upstream that last reported itself as primary, if it is not the leader and has
    /// not refused to lead since.
    pub(super) fn challenger(&self, service: &Service) -> Option<Upstream> {
        let directory = self.directory.borrow();
        let entry = directory.reported_primary(service)?;
        let leader = self.with_group(service, |group| {
            let refused = group.has_refused(&entry.upstream, entry.version);
            (!refused).then(|| group.leader().cloned())
        })?;
        let newer = leader
            .and_then(|leader| directory.get(&leader))
            .is_none_or(|leader| entry.version > leader.version);
        newer.then(|| entry.upstream.clone())
    }

    /// Takes an upstream for the leader.
    pub(super) fn set_leader(
        &self,
        group: &mut Group,
        service: &Service,
        upstream: &Upstream,
        reason: &'static str,
    ) {
        if group.set_leader(clock::now(), upstream) {
            info!(self.log, "leader"; "event" => "leader", "service" => %service,
                "upstream" => %upstream, "reason" => reason, "epoch" => group.epoch());
            self.changed.notify_waiters();
        }
    }

    /// Notes that an upstream refused to lead.
    pub(super) fn refused_lead(&self, service: &Service, asked: Time, upstream: &Upstream) {
        let entry = self.directory.borrow().get(upstream).cloned();
        let version = entry.map_or(0, |entry| entry.version);
        if let Some(group) = self.groups.borrow_mut().get_mut(service) {
            let led = group.leader() == Some(upstream);
            group.record_refusal(asked, upstream, version);
            if led && group.leader().is_none() {
                info!(self.log, "leader lost"; "event" => "leader", "service" => %service,
                    "upstream" => %upstream, "reason" => "refused");
            }
        }
        self.follow_reports(service);
    }

    /// Takes in a position that an upstream showed as leader.
    pub(super) fn take_sample(
        &self,
        service: &Service,
        upstream: &Upstream,
        asked: Time,
        mark: LogPosition,
    ) {
        let first = self.with_group(service, |group| {
            let first = group.newest_position().is_none();
            group.record_sample(clock::now(), asked, upstream, mark);
            first && group.newest_position().is_some()
        });
        if first {
            self.changed.notify_waiters();
        }
    }

    /// Takes a log line on a request out of its quota; returns how many lines were dropped since the
    /// last one, or `None` if this one is too.
    pub(super) fn line(&self, event: RequestEvent) -> Option<u64> {
        let taken = self.lines.take(event);
        if taken.is_none() {
            self.metrics.dropped_line(event);
        }
        taken
    }

    /// Runs a function on a group.
    pub(super) fn with_group<T>(&self, service: &Service, run: impl FnOnce(&mut Group) -> T) -> T {
        run(self.groups.borrow_mut().entry(service.clone()).or_default())
    }

    /// Returns the leader of a service, or waits for one that is not suspected for a while.
    pub(super) async fn leader(
        &self,
        service: &Service,
        limit: Duration,
    ) -> Result<Upstream, Failure> {
        let find = async {
            loop {
                let changed = self.changed.notified();
                let now = clock::now();
                let leader = self.with_group(service, |group| group.trusted_leader(now).cloned());
                let open = |leader: &Upstream| !self.directory.borrow().is_past_drain(now, leader);
                if let Some(leader) = leader.filter(open) {
                    return leader;
                }
                // A suspected leader may also answer again, which nobody announces.
                let _announced = timeout(LEADER_POLL, changed).await;
            }
        };
        let found = timeout(limit, find).await;
        found.map_err(|_elapsed| {
            Failure::new(Code::Busy, "no primary is known").retry_after(LEADER_RETRY)
        })
    }

    /// Returns the pool of an upstream.
    pub(super) fn pool(&self, upstream: &Upstream) -> Option<Rc<Pool>> {
        self.pools.borrow().get(upstream).cloned()
    }

    /// Returns the time of a message to an upstream and back.
    pub(super) fn distance(&self, pool: &Pool, zone: &Zone) -> Duration {
        let same = || {
            let regions = &self.settings.regions;
            *zone == self.settings.zone || regions.get(zone) == regions.get(&self.settings.zone)
        };
        pool.distance()
            .unwrap_or_else(|| if same() { NEAR } else { FAR })
    }

    /// Tells whether the store has not answered for a time.
    pub(super) fn store_silent(&self, limit: Duration) -> bool {
        self.lost
            .get()
            .is_some_and(|lost| clock::now().since(lost) >= limit)
    }

    /// Takes in the VMs that run.
    pub(super) fn take_peers(&self, peers: Vec<Peer>) {
        let others = peers.iter().filter(|it| it.vm != self.settings.vm).count();
        self.peers.replace(peers);
        if self.vms.replace(others + 1) != others + 1 {
            info!(self.log, "fleet changed"; "event" => "presence", "vms" => others + 1);
            self.share_links();
        }
    }

    /// Shares out the connections of all upstreams anew.
    pub(super) fn share_links(&self) {
        let entries: Vec<DirectoryEntry> = self.directory.borrow().iter().cloned().collect();
        for entry in entries {
            let policy = self.policy(&entry.service);
            if let Some(pool) = self.pool(&entry.upstream) {
                pool.apply(&policy);
            }
        }
    }

    fn policy(&self, service: &Service) -> chervildrift_core::dispatch::Policy {
        let routes = self.routes.borrow();
        let limit = routes.rules(service).map(|rules| rules.connections);
        let limit = limit.unwrap_or(DEFAULT_CONNECTIONS);
        admission_policy(&routes, service, connections_per_vm(limit, self.vms.get()))
    }

    /// Sets whether the balancer may send callers here.
    pub(super) fn update_ready(&self) {
        let configured = self.routes.borrow().version() > 0 && self.listed.get();
        let ready = configured && *self.stage.borrow() == Stage::Serving;
        self.ready.store(ready, Ordering::Release);
    }
}
