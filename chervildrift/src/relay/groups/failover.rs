//! Replacement of a leader that has failed or is leaving.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{
    ElectionAction, ElectionState, Lease, ORDER_WINDOW, PROMOTION_DURATION, Vote, decide_election,
};
use chervildrift_core::types::{Service, Time, Upstream, Vm};
use chervildrift_platform::promotion::Error as OrderError;
use chervildrift_platform::store::{Error, Listing, Transaction};
use futures::future::join;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::relay::clock;
use crate::relay::fleet::presence::{TABLE, live_observers, row_key};
use crate::relay::fleet::view;
use crate::relay::groups::leases::{acquire_lease, decode_record, encode_record, lease_key};
use crate::relay::groups::orders::{Orders, Threat, find_threat};
use crate::relay::groups::selection::LeaderSelection;
use crate::relay::node::Node;

/// Interval at which the votes in the store are counted.
const VOTE_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout for one round of votes among the VMs; the next round counts VMs that suspect the leader
/// by then.
const VOTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which this VM renews its vote.
const VOTE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before an order is repeated, and between steps while the store is unavailable.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Replacement of one leader.
struct Failover<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    leader: Option<&'a Upstream>,
    planned: bool,
    selection: LeaderSelection<'a>,
    orders: Orders<'a>,
    started: Time,
    last_vote: Option<Time>,
    /// Target of the last order that the platform accepted, and the time of acceptance.
    accepted_order: Option<(Upstream, Time)>,
    /// Whether the store's outage has been logged.
    outage_logged: bool,
}

/// Records of the store that concern one service.
struct StoreRecords {
    listing: Listing,
    votes: Vec<Vote>,
    lease: Option<(Lease, u64)>,
}

/// Runs the failover until the leader need not be replaced any more and no order may still replace
/// it.
pub(in crate::relay) async fn run(
    node: &Rc<Node>,
    service: &Service,
    leader: Option<&Upstream>,
    planned: bool,
) {
    let Some(orders) = Orders::new(node, service, leader) else {
        return;
    };
    let mut failover = Failover {
        node,
        service,
        leader,
        planned,
        selection: LeaderSelection::new(node, service, leader, planned),
        orders,
        started: clock::now(),
        last_vote: None,
        accepted_order: None,
        outage_logged: false,
    };
    if failover.is_needed() {
        info!(node.log, "replacing leader"; "event" => "failover", "service" => %service,
            "leader" => leader.map(Upstream::as_str), "planned" => planned);
    }
    while failover.is_needed() {
        match failover.run_step().await {
            Ok(pause) => sleep(pause).await,
            Err(err) => {
                if !failover.outage_logged {
                    warn!(node.log, "store unavailable during failover"; "event" => "failover",
                        "service" => %service, "error" => %err,
                        "claimed" => failover.orders.holds_lease());
                    failover.outage_logged = true;
                }
                failover.step_without_store().await;
                sleep(ORDER_RETRY_DELAY).await;
            }
        }
    }
    failover.settle_orders().await;
    failover.await_leader().await;
    failover.selection.lift_fences().await;
}

impl Failover<'_> {
    fn is_needed(&self) -> bool {
        let now = clock::now();
        let (current, suspected) = self.node.with_group(self.service, |group| {
            (group.leader() == self.leader, group.needs_failover(now))
        });
        let directory = self.node.directory.borrow();
        let is_leaving = self.leader.is_some_and(|it| directory.is_leaving(now, it));
        current && (suspected || (self.planned && is_leaving))
    }

    /// Runs one step and returns the delay before the next one.
    async fn run_step(&mut self) -> Result<Duration, Error> {
        let step_start = clock::now();
        let listing = self.node.store.list(TABLE).await?;
        let records = self.parse_records(listing);
        if !self.planned {
            self.write_vote(records.listing.now_ms).await?;
        }
        let live: Vec<Vm> = live_observers(&records.listing);
        let state = ElectionState {
            leader: self.leader,
            planned: self.planned,
            live: &live,
            votes: &records.votes,
            lease: records.lease.as_ref().map(|(lease, _)| lease),
            is_own_lease: records.lease.as_ref().is_some_and(|(lease, _)| {
                lease.vm == self.node.settings.vm && lease.boot == self.node.boot
            }),
            store_now_ms: records.listing.now_ms,
            elapsed: clock::now().since(self.started),
            service_hash: chervildrift_core::placement::name_hash(self.service.as_str()),
        };
        match decide_election(&self.node.settings.vm, &state) {
            ElectionAction::Wait => Ok(VOTE_POLL_INTERVAL),
            ElectionAction::RetryAfter(pause) => Ok(pause.min(VOTE_POLL_INTERVAL)),
            // An order of this VM is still in progress.
            ElectionAction::Acquire(_) if self.is_promotion_pending() => Ok(VOTE_POLL_INTERVAL),
            ElectionAction::Acquire(number) => {
                let version = records.lease.map_or(0, |(_, version)| version);
                let lease = Lease {
                    vm: self.node.settings.vm.clone(),
                    boot: self.node.boot,
                    number,
                    replaces: self.leader.cloned(),
                    at: records.listing.now_ms,
                };
                if acquire_lease(self.node, self.service, &lease, version).await? {
                    self.promote(step_start + ORDER_WINDOW).await;
                }
                Ok(VOTE_POLL_INTERVAL)
            }
        }
    }

    fn parse_records(&self, listing: Listing) -> StoreRecords {
        let prefix = format!("vote/{}/", self.service);
        let votes = listing
            .rows
            .iter()
            .filter(|row| row.key.starts_with(&prefix));
        let votes = votes
            .filter_map(|row| decode_record(row.value.as_deref()))
            .collect();
        let key = lease_key(self.service);
        let lease = listing.rows.iter().find(|row| row.key == key);
        let lease = lease.and_then(|row| Some((decode_record(row.value.as_deref())?, row.version)));
        StoreRecords {
            listing,
            votes,
            lease,
        }
    }

    async fn write_vote(&mut self, store_ms: u64) -> Result<(), Error> {
        let now = clock::now();
        if self
            .last_vote
            .is_some_and(|at| now.since(at) < VOTE_RENEWAL_INTERVAL)
        {
            return Ok(());
        }
        let vm = &self.node.settings.vm;
        let key = format!("vote/{}/{vm}", self.service);
        let vote = Vote {
            vm: vm.clone(),
            leader: self.leader.cloned(),
            at: store_ms,
        };
        let write = Transaction::default().put(row_key(&key), encode_record(&vote));
        self.node.store.write(&write).await?;
        self.last_vote = Some(now);
        Ok(())
    }

    /// Returns whether a promotion that the platform accepted may still be in progress.
    fn is_promotion_pending(&self) -> bool {
        let now = clock::now();
        let last = self.accepted_order.as_ref();
        last.is_some_and(|(_, at)| now.since(*at) < PROMOTION_DURATION)
    }

    /// Protects a leader that works from outstanding orders until none may take effect any more.
    ///
    /// Fences keep commits from being acknowledged that the target of such an order lacks. Services
    /// without synchronous replicas have the orders revoked as well. Once a late order has made a
    /// successor leader, the revoking orders threaten that one.
    async fn settle_orders(&mut self) {
        let revocable = self.node.sync_replicas(self.service) == 0;
        let mut last_threat: Option<Threat> = None;
        while let Some(threat) = self.current_threat() {
            if last_threat.as_ref() != Some(&threat) {
                info!(self.node.log, "order may replace leader"; "event" => "failover",
                    "service" => %self.service, "leader" => %threat.leader,
                    "targets" => threat.target_names());
            }
            let fences = self.selection.renew_fences(&threat);
            if revocable {
                join(fences, self.orders.revoke(&threat.leader)).await;
            } else {
                fences.await;
            }
            last_threat = Some(threat);
            if self.current_threat().is_some() {
                sleep(ORDER_RETRY_DELAY).await;
            }
        }
        if let Some(threat) = last_threat.filter(|it| revocable && self.is_successor(&it.leader)) {
            self.await_promotion(&threat).await;
        }
    }

    /// Keeps the fences for the duration of a promotion while a leader works, since an order that was
    /// accepted before its revocation may still replace it.
    async fn await_promotion(&mut self, threat: &Threat) {
        let deadline = clock::now() + PROMOTION_DURATION;
        while clock::now() < deadline && self.is_trusted(&threat.leader) {
            self.selection.renew_fences(threat).await;
            sleep(ORDER_RETRY_DELAY).await;
        }
    }

    /// Returns whether an upstream is not the leader for which this failover was started.
    fn is_successor(&self, leader: &Upstream) -> bool {
        self.leader != Some(leader)
    }

    fn is_trusted(&self, leader: &Upstream) -> bool {
        let now = clock::now();
        self.node.with_group(self.service, |group| {
            group.trusted_leader(now) == Some(leader)
        })
    }

    /// Returns the threat to the current leader, unless that is leaving and has to be replaced anyway.
    fn current_threat(&self) -> Option<Threat> {
        let now = clock::now();
        let threat = find_threat(self.node, self.service)?;
        let is_leaving = self.node.directory.borrow().is_leaving(now, &threat.leader);
        (!is_leaving).then_some(threat)
    }

    /// Waits until the target of an accepted order leads, so that the fences stay until then even
    /// if the old leader responds again meanwhile.
    async fn await_leader(&self) {
        let leads = || {
            self.node.with_group(self.service, |group| {
                let target = self.accepted_order.as_ref().map(|(target, _)| target);
                group.leader() == target
            })
        };
        while self.is_promotion_pending() && !leads() {
            sleep(ORDER_RETRY_DELAY).await;
        }
    }

    /// Orders a promotion under a lease that this VM already holds, if a majority of the VMs agrees
    /// or the replacement is planned.
    async fn step_without_store(&mut self) {
        if !self.orders.holds_lease() || self.is_promotion_pending() {
            return;
        }
        // Another VM may have acquired a later lease from a store that only this one can't reach.
        // The platform refuses the orders of the earlier lease then, if it checks their tokens.
        if !self.node.settings.tokens_checked {
            return;
        }
        if !self.planned {
            let agreement = view::collect_agreement(self.node, self.service, self.leader);
            if !timeout(VOTE_TIMEOUT, agreement).await.unwrap_or(false) {
                return;
            }
        }
        let deadline = clock::now() + ORDER_WINDOW;
        self.promote(deadline).await;
    }

    /// Orders promotions until one is accepted or refused, as long as the leader has to be
    /// replaced, this VM holds the lease, and no other VM may acquire it, which is until
    /// `deadline`.
    async fn promote(&mut self, deadline: Time) {
        let mut chosen = None;
        while self.is_needed() && self.orders.holds_lease() && clock::now() < deadline {
            if chosen.is_none() {
                chosen = self.selection.select_and_fence().await;
            }
            let Some(target) = chosen.as_ref().filter(|_| self.is_needed()) else {
                sleep(ORDER_RETRY_DELAY).await;
                continue;
            };
            match self.orders.promote(target).await {
                Ok(()) => {
                    self.accepted_order = Some((target.clone(), clock::now()));
                    return;
                }
                Err(OrderError::Conflict | OrderError::Rejected(_)) => {
                    self.selection.set_pending_target(None);
                    break;
                }
                Err(_) => {
                    self.selection.set_pending_target(Some(target));
                    sleep(ORDER_RETRY_DELAY).await;
                }
            }
        }
        if !self.selection.has_pending_target() {
            self.selection.lift_fences().await;
        }
    }
}
