//! State of the VM, shared by all tasks of its thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervildrift_core::config::RelaySettings;
use chervildrift_core::relay::{
    Authority, Code, Directory, DirectoryEntry, Group, HolderPlan, HolderSet, Peer, RouteTable,
    Routes, StoreOutage, admission_policy, observers,
};
use chervildrift_core::types::{LogPosition, Service, Time, Upstream, Vm, Zone};
use chervildrift_platform::promotion::PromotionClient;
use chervildrift_platform::store::Store;
use derive_more::Display;
use slog::{Logger, info};
use smallvec::SmallVec;
use tokio::sync::{Mutex, Notify, Semaphore, watch};
use tokio::time::timeout;

use crate::relay::clock;
use crate::relay::connections::pool::{Pool, PoolPlan};
use crate::relay::fleet::link::Links;
use crate::relay::log_quotas::{LogQuotas, RequestEvent};
use crate::relay::metrics::Metrics;
use crate::relay::quotas::Quotas;
use crate::relay::sessions::response::Failure;
use crate::relay::sessions::seats::Seats;
use crate::relay::stop::StopPhase;

/// Round-trip time assumed within a region until a connection has measured it.
const LOCAL_RTT: Duration = Duration::from_millis(2);

/// Round-trip time assumed between regions until a connection has measured it.
const REMOTE_RTT: Duration = Duration::from_millis(50);

/// Interval at which statements that wait for a leader check whether it is still suspected.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a caller should retry when no leader was found; a failover takes a few seconds.
const LEADER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time from the start after which a VM that can't list the running VMs reads the store itself.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection limit of an upstream if the configuration sets none.
const DEFAULT_CONNECTION_LIMIT: usize = 8;

/// Where a version of the routes came from.
#[derive(Clone, Copy, Debug, Display)]
pub(in crate::relay) enum RouteSource {
    /// A listing of the store's table.
    #[display("listing")]
    Listing,
    /// A change of the store's table.
    #[display("feed")]
    Feed,
    /// The view of another VM.
    #[display("peer")]
    Peer,
}

/// State of the VM.
#[derive(Debug)]
pub(in crate::relay) struct Node {
    pub settings: RelaySettings,
    /// Start of the process, in milliseconds of the Unix epoch.
    pub boot: u64,
    pub log: Logger,
    /// Rate limits of the log lines that requests cause.
    pub log_quotas: LogQuotas,
    pub metrics: Metrics,
    pub store: Store,
    pub promotions: Option<PromotionClient>,
    pub directory: RefCell<Directory>,
    pub routes: RefCell<RouteTable>,
    pub groups: RefCell<HashMap<Service, Group>>,
    pub pools: RefCell<HashMap<Upstream, Rc<Pool>>>,
    /// VMs that are running, including this one.
    pub peers: RefCell<Vec<Peer>>,
    /// Number of VMs that share the connection limits, including this one.
    pub vm_count: Cell<usize>,
    /// Whether the running VMs have been listed and this VM is an observer; `None` until then.
    pub observer: Cell<Option<bool>>,
    /// Start of the process.
    pub started: Time,
    /// Whether the running VMs have been listed once, perhaps before all had started.
    pub listed_before: Cell<bool>,
    /// Time of the newest view received from an observer, while this VM is not one itself.
    pub view_at: Cell<Option<Time>>,
    /// Requests a renewal of the presence record and a listing of the VMs.
    pub presence_due: Notify,
    /// Held while the presence record is written or deleted.
    pub presence_lock: Mutex<()>,
    /// Time at which an observer last said that it renews this VM's presence record.
    pub renewed_at: Cell<Option<Time>>,
    /// Time at which this VM last listed the presence records and renewed those that were due.
    pub renewal_at: Cell<Option<Time>>,
    /// Times at which other VMs last requested a view and the renewal of their presence records.
    pub heard_at: RefCell<HashMap<Vm, Time>>,
    /// Links to other VMs.
    pub links: Rc<Links>,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Number of connections that this VM lends to other VMs or is about to.
    pub loan_count: Cell<usize>,
    /// Replicas whose received positions are being polled for other VMs.
    pub polled_replicas: RefCell<HashSet<Upstream>>,
    /// Outage of the store, if its last call failed.
    pub outage: Cell<StoreOutage>,
    /// Time at which the store last confirmed what this VM knows of a table, to it or to an observer.
    pub table_reads: RefCell<SmallVec<[(&'static str, Time); 2]>>,
    /// Leases under which this VM may order promotions, by service.
    pub leases: RefCell<HashMap<Service, Authority>>,
    /// Number of open sessions of callers.
    pub session_count: Cell<usize>,
    /// Places and memory of callers' sessions.
    pub seats: Rc<Seats>,
    /// Permits to receive large replies of upstreams.
    pub large_replies: Arc<Semaphore>,
    /// Number of connections to upstreams that this VM tunnels for other VMs.
    pub tunnel_count: Cell<usize>,
    /// Wakes tasks that wait for a leader, a first log sample or the first configuration.
    pub state_changed: Notify,
    /// Services whose replicas are being polled for received positions.
    pub confirming_services: RefCell<HashSet<Service>>,
    /// Wakes tasks that wait until a replica has received a commit.
    pub replica_advanced: Notify,
    pub stop_phase: watch::Sender<StopPhase>,
    /// Whether the upstreams have been listed, from the store or another VM's cached view.
    pub upstreams_listed: Cell<bool>,
    /// Readiness that the operators' listener reports.
    pub ready: Arc<AtomicBool>,
}

impl Node {
    /// Applies a version of the routes unless it is outdated.
    pub(in crate::relay) fn apply_routes(&self, routes: Routes, source: RouteSource) {
        let version = routes.version;
        let count = routes.routes.len();
        if !self.routes.borrow_mut().apply(routes) {
            return;
        }
        info!(self.log, "configuration applied"; "event" => "routes", "version" => version,
            "routes" => count, "source" => %source);
        self.redistribute_connections();
        self.update_readiness();
        self.state_changed.notify_waiters();
    }

    /// Applies a new or changed entry of an upstream, which may have changed from `changed` on.
    pub(in crate::relay) fn apply_entry(&self, entry: DirectoryEntry, changed: Time) {
        let known = self.pools.borrow().get(&entry.upstream).cloned();
        let old = self.directory.borrow().get(&entry.upstream).cloned();
        if let Some(pool) = known {
            pool.update_entry(&entry);
            if old.as_ref().is_some_and(|old| old.slots != entry.slots) {
                pool.apply_plan(&self.placement(&entry).1);
                self.reserve_sockets();
            }
        } else {
            let (holders, plan) = self.placement(&entry);
            let pool = Pool::new(entry.clone(), &plan);
            pool.set_holders(holders);
            self.pools.borrow_mut().insert(entry.upstream.clone(), pool);
            self.reserve_sockets();
        }
        let has_changed =
            old.is_none_or(|old| old.role != entry.role || old.draining != entry.draining);
        if has_changed {
            info!(self.log, "upstream changed"; "event" => "upstream",
                "upstream" => %entry.upstream, "service" => %entry.service, "role" => %entry.role,
                "draining" => entry.draining, "version" => entry.version);
        }
        let service = entry.service.clone();
        self.directory.borrow_mut().put(changed, entry);
        self.adopt_reported_leader(&service);
    }

    /// Applies a full listing of the upstreams; skips entries that are older than the known ones,
    /// and marks known upstreams that the listing lacks as lapsed.
    ///
    /// `changed` returns the earliest time at which an upstream's entry may have changed.
    pub(in crate::relay) fn apply_listing(
        &self,
        entries: Vec<DirectoryEntry>,
        changed: impl Fn(&Upstream) -> Time,
    ) {
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
                let changed = changed(&entry.upstream);
                self.apply_entry(entry, changed);
            }
        }
        self.upstreams_listed.set(true);
        self.update_readiness();
    }

    /// Removes upstreams with their pools and metrics, also as leaders.
    pub(in crate::relay) fn remove_upstreams(&self, removed: &[Upstream]) {
        for upstream in removed {
            info!(self.log, "upstream removed"; "event" => "upstream", "upstream" => %upstream);
            if let Some(pool) = self.pools.borrow_mut().remove(upstream) {
                pool.retire();
            }
            self.metrics.remove_upstream(upstream);
            for group in self.groups.borrow_mut().values_mut() {
                group.clear_leader(upstream);
            }
        }
        if !removed.is_empty() {
            self.reserve_sockets();
        }
    }

    /// Makes the upstream that reports itself as primary the leader, unless the current leader
    /// still responds.
    pub(in crate::relay) fn adopt_reported_leader(&self, service: &Service) {
        let Some(candidate) = self.leader_candidate(service) else {
            return;
        };
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(service.clone()).or_default();
        if !group.has_responsive_leader(clock::now()) {
            self.set_leader(group, service, &candidate, "reported");
        }
    }

    /// Returns the upstream that last reported itself as primary, unless it is the leader already
    /// or has refused to lead since.
    pub(in crate::relay) fn leader_candidate(&self, service: &Service) -> Option<Upstream> {
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

    /// Makes an upstream the leader of its service, if it isn't yet.
    pub(in crate::relay) fn set_leader(
        &self,
        group: &mut Group,
        service: &Service,
        upstream: &Upstream,
        reason: &'static str,
    ) {
        if group.set_leader(clock::now(), upstream) {
            info!(self.log, "leader changed"; "event" => "leader", "service" => %service,
                "upstream" => %upstream, "reason" => reason, "epoch" => group.epoch());
            self.state_changed.notify_waiters();
        }
    }

    /// Records that an upstream refused a request for a leader, sent at `sent_at`.
    pub(in crate::relay) fn record_refusal(
        &self,
        service: &Service,
        sent_at: Time,
        upstream: &Upstream,
    ) {
        let entry = self.directory.borrow().get(upstream).cloned();
        let version = entry.map_or(0, |entry| entry.version);
        if let Some(group) = self.groups.borrow_mut().get_mut(service) {
            let was_leader = group.leader() == Some(upstream);
            group.record_refusal(sent_at, upstream, version);
            if was_leader && group.leader().is_none() {
                info!(self.log, "leader lost"; "event" => "leader", "service" => %service,
                    "upstream" => %upstream, "reason" => "refused");
            }
        }
        self.adopt_reported_leader(service);
    }

    /// Records a log position that an upstream returned as leader, for a request sent at `sent_at`.
    pub(in crate::relay) fn record_sample(
        &self,
        service: &Service,
        upstream: &Upstream,
        sent_at: Time,
        position: LogPosition,
    ) {
        let is_first = self.with_group(service, |group| {
            let is_first = group.newest_position().is_none();
            group.record_sample(clock::now(), sent_at, upstream, position);
            is_first && group.newest_position().is_some()
        });
        if is_first {
            self.state_changed.notify_waiters();
        }
    }

    /// Counts a log line of a request against its quota; returns how many lines were dropped since
    /// the last one that was written, or `None` if this one has to be dropped too.
    pub(in crate::relay) fn admit_log_line(&self, event: RequestEvent) -> Option<u64> {
        let admitted = self.log_quotas.admit(event);
        if admitted.is_none() {
            self.metrics.count_dropped_line(event);
        }
        admitted
    }

    /// Runs a function on the group of a service.
    pub(in crate::relay) fn with_group<T>(
        &self,
        service: &Service,
        run: impl FnOnce(&mut Group) -> T,
    ) -> T {
        run(self.groups.borrow_mut().entry(service.clone()).or_default())
    }

    /// Returns the number of replicas that receive a commit before the leader acknowledges it.
    pub(in crate::relay) fn sync_replicas(&self, service: &Service) -> usize {
        let rules = self.routes.borrow().rules(service);
        rules.map_or(0, |rules| rules.sync_replicas)
    }

    /// Returns the leader of a service once there is one that is neither suspected nor closed to
    /// new work; fails after `limit`.
    pub(in crate::relay) async fn await_leader(
        &self,
        service: &Service,
        limit: Duration,
    ) -> Result<Upstream, Failure> {
        let search = async {
            loop {
                let changed = self.state_changed.notified();
                let now = clock::now();
                let leader = self.with_group(service, |group| group.trusted_leader(now).cloned());
                let is_open = |leader: &Upstream| !self.directory.borrow().is_closed(now, leader);
                if let Some(leader) = leader.filter(is_open) {
                    return leader;
                }
                // A suspected leader may also respond again, which sends no notification.
                let _announced = timeout(LEADER_POLL_INTERVAL, changed).await;
            }
        };
        let found = timeout(limit, search).await;
        found.map_err(|_elapsed| {
            Failure::new(Code::Busy, "no primary is known").retry_after(LEADER_RETRY_DELAY)
        })
    }

    /// Returns the pool of an upstream.
    pub(in crate::relay) fn pool(&self, upstream: &Upstream) -> Option<Rc<Pool>> {
        self.pools.borrow().get(upstream).cloned()
    }

    /// Returns the measured round-trip time to an upstream, or the assumed one for its zone.
    pub(in crate::relay) fn rtt(&self, pool: &Pool, zone: &Zone) -> Duration {
        let is_local = || {
            let regions = &self.settings.regions;
            *zone == self.settings.zone || regions.get(zone) == regions.get(&self.settings.zone)
        };
        pool.rtt()
            .unwrap_or_else(|| if is_local() { LOCAL_RTT } else { REMOTE_RTT })
    }

    /// Returns whether the store has not answered for at least `limit`.
    pub(in crate::relay) fn is_store_unavailable(&self, limit: Duration) -> bool {
        self.outage.get().lasts(clock::now(), limit)
    }

    /// Changes the record of the store's outages.
    pub(in crate::relay) fn update_outage(&self, update: impl FnOnce(&mut StoreOutage)) {
        let mut outage = self.outage.get();
        update(&mut outage);
        self.outage.set(outage);
    }

    /// Records that the store confirmed the content of a table at `read_at`, to this VM or to one
    /// whose view it received.
    pub(in crate::relay) fn record_table_read(&self, table: &'static str, read_at: Time) {
        let mut reads = self.table_reads.borrow_mut();
        match reads.iter_mut().find(|(name, _)| *name == table) {
            Some((_, newest)) => *newest = read_at.max(*newest),
            None => reads.push((table, read_at)),
        }
    }

    /// Returns the time at which the store last confirmed the content of a table.
    pub(in crate::relay) fn table_read_at(&self, table: &str) -> Option<Time> {
        let reads = self.table_reads.borrow();
        reads.iter().find(|(name, _)| *name == table).map(|it| it.1)
    }

    /// Applies the list of running VMs and redistributes the connections if their number changed.
    pub(in crate::relay) fn apply_peers(&self, peers: Vec<Peer>) {
        let others = peers.iter().filter(|it| it.vm != self.settings.vm).count();
        let is_observer = observers(&peers).iter().any(|it| it.vm == self.settings.vm);
        let changed = *self.peers.borrow() != peers;
        self.peers.replace(peers);
        if self.observer.replace(Some(is_observer)) != Some(is_observer) {
            info!(self.log, "role changed"; "event" => "observer", "observer" => is_observer);
            // The observers' views arrive from now on.
            self.view_at.set((!is_observer).then(clock::now));
            self.update_readiness();
        }
        if self.vm_count.replace(others + 1) != others + 1 {
            info!(self.log, "number of VMs changed"; "event" => "presence", "vms" => others + 1);
        }
        if changed {
            self.redistribute_connections();
        }
    }

    /// Recomputes the holders of each upstream and this VM's share of the connections.
    pub(in crate::relay) fn redistribute_connections(&self) {
        let entries: Vec<DirectoryEntry> = self.directory.borrow().iter().cloned().collect();
        for entry in entries {
            if let Some(pool) = self.pool(&entry.upstream) {
                let (holders, plan) = self.placement(&entry);
                pool.set_holders(holders);
                pool.apply_plan(&plan);
            }
        }
        self.reserve_sockets();
    }

    /// Keeps the sockets that the planned connections to upstreams need from callers and their
    /// statements.
    fn reserve_sockets(&self) {
        let pools = self.pools.borrow();
        let planned = pools.values().map(|pool| pool.planned_connections()).sum();
        // Organisations spread over holders, so that each VM borrows for most of them.
        let borrows = self.routes.borrow().organisations().is_some()
            || pools
                .values()
                .any(|pool| !pool.holders().is_holder(&self.settings.vm));
        let shares = self.settings.limits.socket_shares(planned, borrows);
        drop(pools);
        self.seats.set_places(shares.sessions);
        self.links.set_max_statements(shares.links);
    }

    /// Returns the holders of an upstream and the plan for this VM's connections to it.
    fn placement(&self, entry: &DirectoryEntry) -> (HolderSet, PoolPlan) {
        let routes = self.routes.borrow();
        let limit = routes.rules(&entry.service).map(|rules| rules.connections);
        let limit = limit.unwrap_or(DEFAULT_CONNECTION_LIMIT);
        let has_organisations = routes.organisations().is_some();
        let plan = if has_organisations {
            HolderPlan::with_kept(limit, entry.slots, self.vm_count.get())
        } else {
            HolderPlan::new(limit, entry.slots, self.vm_count.get())
        };
        let holders = HolderSet::select(
            &entry.upstream,
            &entry.zone,
            &self.settings.regions,
            &self.peers.borrow(),
            plan.holders,
        );
        let vm = &self.settings.vm;
        let (connections, running) = if holders.may_hold(vm) {
            (plan.connections, plan.running)
        } else {
            (1, 1)
        };
        let plan = PoolPlan {
            policy: admission_policy(&routes, &entry.service, running),
            connections,
            // Others that take over for a moment hold nothing beside the holders' share.
            keeps_idle: has_organisations && holders.is_holder(vm),
        };
        (holders, plan)
    }

    /// Returns whether this VM holds connections to an upstream.
    pub(in crate::relay) fn holds(&self, upstream: &Upstream) -> bool {
        let pool = self.pool(upstream);
        pool.is_some_and(|pool| pool.holders().may_hold(&self.settings.vm))
    }

    /// Returns whether this VM follows the store and the leaders for other VMs.
    pub(in crate::relay) fn is_observer(&self) -> bool {
        self.observer.get() == Some(true)
    }

    /// Returns whether this VM has to read the store itself, as an observer or since none responds.
    pub(in crate::relay) fn follows_store(&self) -> bool {
        self.is_settled() && (self.is_observer() || self.view_at.get().is_none())
    }

    /// Returns whether the role of this VM is known, or has not become known in time.
    pub(in crate::relay) fn is_settled(&self) -> bool {
        self.observer.get().is_some() || clock::now().since(self.started) >= SETTLE_TIMEOUT
    }

    /// Records a leader and its log position that another VM sampled at `sampled_at`.
    pub(in crate::relay) fn merge_sample(
        &self,
        service: &Service,
        sampled_at: Time,
        leader: &Upstream,
        position: LogPosition,
    ) {
        let changed = self.with_group(service, |group| {
            let changed = group.merge_sample(clock::now(), sampled_at, leader, position);
            changed.then(|| group.epoch())
        });
        if let Some(epoch) = changed {
            info!(self.log, "leader changed"; "event" => "leader", "service" => %service,
                "upstream" => %leader, "reason" => "observed", "epoch" => epoch);
        }
        self.state_changed.notify_waiters();
    }

    /// Updates the readiness that the balancer checks before it sends callers to this VM.
    pub(in crate::relay) fn update_readiness(&self) {
        let configured = self.routes.borrow().version() > 0 && self.upstreams_listed.get();
        let configured = configured && self.is_settled();
        let ready = configured && *self.stop_phase.borrow() == StopPhase::Serving;
        self.ready.store(ready, Ordering::Release);
    }
}
