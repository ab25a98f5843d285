//! Replacement of a leader that is dead or leaves.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{
    ElectionAction, ElectionState, Lease, ORDER_WINDOW, Vote, decide_election,
};
use chervildrift_core::types::{Service, Time, Upstream, Vm};
use chervildrift_platform::promotion::Error as OrderError;
use chervildrift_platform::store::{Error, Listing, Transaction};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::claims::{claim_key, decode, encode, take_claim};
use super::clock;
use super::node::Node;
use super::orders::{ORDER_PAUSE, Orders};
use super::peers;
use super::presence::{TABLE, live_peers, row};
use super::succession::Succession;

/// Interval at which the votes are counted.
const POLL: Duration = Duration::from_millis(150);

/// Time for one round of votes among the VMs; the next one finds those that have changed their mind.
const VOTE_LIMIT: Duration = Duration::from_millis(250);

/// Interval at which a vote is renewed.
const VOTE_RENEWAL: Duration = Duration::from_secs(1);

/// Pause before another try of an order, and between two looks while the store is away.
const PAUSE: Duration = Duration::from_millis(150);

/// One replacement of a leader.
struct Replacement<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    leader: Option<&'a Upstream>,
    planned: bool,
    succession: Succession<'a>,
    orders: Orders<'a>,
    started: Time,
    voted: Option<Time>,
    /// Target of the last order that was taken, and when it was.
    taken: Option<(Upstream, Time)>,
    /// Whether the loss of the store has been logged.
    noted: bool,
}

/// What the store holds on a service.
struct Records {
    listing: Listing,
    votes: Vec<Vote>,
    claim: Option<(Lease, u64)>,
}

/// Replaces a leader until there is no more reason to, and revokes what has been ordered in vain.
pub(super) async fn run(
    node: &Rc<Node>,
    service: &Service,
    leader: Option<&Upstream>,
    planned: bool,
) {
    let Some(orders) = Orders::open(node, service, leader) else {
        return;
    };
    let mut replacement = Replacement {
        node,
        service,
        leader,
        planned,
        succession: Succession::open(node, service, leader, planned),
        orders,
        started: clock::now(),
        voted: None,
        taken: None,
        noted: false,
    };
    if replacement.is_due() {
        info!(node.log, "leader to be replaced"; "event" => "failover", "service" => %service,
            "leader" => leader.map(Upstream::as_str), "planned" => planned);
    }
    while replacement.is_due() {
        match replacement.step().await {
            Ok(pause) => sleep(pause).await,
            Err(err) => {
                if !replacement.noted {
                    warn!(node.log, "failover without the store"; "event" => "failover",
                        "service" => %service, "error" => %err,
                        "claimed" => replacement.orders.is_claimed());
                    replacement.noted = true;
                }
                replacement.step_without_store().await;
                sleep(PAUSE).await;
            }
        }
    }
    replacement.orders.revoke().await;
    replacement.await_leader().await;
    replacement.succession.release().await;
}

impl Replacement<'_> {
    fn is_due(&self) -> bool {
        let now = clock::now();
        let (current, suspected) = self.node.with_group(self.service, |group| {
            (group.leader() == self.leader, group.needs_failover(now))
        });
        let directory = self.node.directory.borrow();
        let leaves = self.leader.is_some_and(|it| directory.is_leaving(now, it));
        current && (suspected || (self.planned && leaves))
    }

    /// Takes one step and returns the pause before the next one.
    async fn step(&mut self) -> Result<Duration, Error> {
        let asked = clock::now();
        let listing = self.node.store.list(TABLE).await?;
        let records = self.records(listing);
        if !self.planned {
            self.vote(records.listing.now_ms).await?;
        }
        let live: Vec<Vm> = live_peers(&records.listing)
            .into_iter()
            .map(|it| it.vm)
            .collect();
        let case = ElectionState {
            leader: self.leader,
            planned: self.planned,
            live: &live,
            votes: &records.votes,
            lease: records.claim.as_ref().map(|(claim, _)| claim),
            is_own_lease: records.claim.as_ref().is_some_and(|(claim, _)| {
                claim.vm == self.node.settings.vm && claim.boot == self.node.boot
            }),
            store_now_ms: records.listing.now_ms,
            elapsed: clock::now().since(self.started),
            service_hash: chervildrift_core::placement::name_hash(self.service.as_str()),
        };
        match decide_election(&self.node.settings.vm, &case) {
            ElectionAction::Wait => Ok(POLL),
            ElectionAction::RetryAfter(pause) => Ok(pause.min(POLL)),
            // An order of this VM is still under way.
            ElectionAction::Acquire(_) if self.has_ordered() => Ok(POLL),
            ElectionAction::Acquire(number) => {
                let version = records.claim.map_or(0, |(_, version)| version);
                let claim = Lease {
                    vm: self.node.settings.vm.clone(),
                    boot: self.node.boot,
                    number,
                    replaces: self.leader.cloned(),
                    at: records.listing.now_ms,
                };
                if take_claim(self.node, self.service, &claim, version).await? {
                    self.promote(asked + ORDER_WINDOW).await;
                }
                Ok(POLL)
            }
        }
    }

    fn records(&self, listing: Listing) -> Records {
        let prefix = format!("vote/{}/", self.service);
        let votes = listing
            .rows
            .iter()
            .filter(|row| row.key.starts_with(&prefix));
        let votes = votes
            .filter_map(|row| decode(row.value.as_deref()))
            .collect();
        let key = claim_key(self.service);
        let claim = listing.rows.iter().find(|row| row.key == key);
        let claim = claim.and_then(|row| Some((decode(row.value.as_deref())?, row.version)));
        Records {
            listing,
            votes,
            claim,
        }
    }

    async fn vote(&mut self, store_ms: u64) -> Result<(), Error> {
        let now = clock::now();
        if self.voted.is_some_and(|at| now.since(at) < VOTE_RENEWAL) {
            return Ok(());
        }
        let vm = &self.node.settings.vm;
        let key = format!("vote/{}/{vm}", self.service);
        let vote = Vote {
            vm: vm.clone(),
            leader: self.leader.cloned(),
            at: store_ms,
        };
        let write = Transaction::default().put(row(&key), encode(&vote));
        self.node.store.write(&write).await?;
        self.voted = Some(now);
        Ok(())
    }

    /// Tells whether a promotion may be under way.
    fn has_ordered(&self) -> bool {
        let now = clock::now();
        let last = self.taken.as_ref();
        last.is_some_and(|(_, at)| now.since(*at) < ORDER_PAUSE)
    }

    /// Waits until the target of an order that was taken leads, so that the fences hold until then
    /// even if the old leader works again meanwhile.
    async fn await_leader(&self) {
        let leads = || {
            self.node.with_group(self.service, |group| {
                let target = self.taken.as_ref().map(|(target, _)| target);
                group.leader() == target
            })
        };
        while self.has_ordered() && !leads() {
            sleep(PAUSE).await;
        }
    }

    /// Orders a promotion under a claim that this VM holds already, if the others agree.
    async fn step_without_store(&mut self) {
        if !self.orders.is_claimed() || self.has_ordered() {
            return;
        }
        if !self.planned {
            // More than half of the VMs, of which this one is one.
            let enough = self.node.vms.get() / 2;
            let asked = peers::agree(self.node, self.service, self.leader, enough);
            if !timeout(VOTE_LIMIT, asked).await.unwrap_or(false) {
                return;
            }
        }
        let end = clock::now() + ORDER_WINDOW;
        self.promote(end).await;
    }

    /// Orders promotions until one is taken or refused, for as long as the leader has to be replaced
    /// and no other VM may claim the service.
    async fn promote(&mut self, end: Time) {
        let mut chosen = None;
        while self.is_due() && self.orders.is_claimed() && clock::now() < end {
            if chosen.is_none() {
                chosen = self.succession.settle().await;
            }
            let Some(target) = chosen.as_ref().filter(|_| self.is_due()) else {
                sleep(PAUSE).await;
                continue;
            };
            match self.orders.promote(target).await {
                Ok(()) => {
                    self.taken = Some((target.clone(), clock::now()));
                    return;
                }
                Err(OrderError::Conflict | OrderError::Rejected(_)) => {
                    self.succession.note_order(None);
                    break;
                }
                Err(_) => {
                    self.succession.note_order(Some(target));
                    sleep(PAUSE).await;
                }
            }
        }
        if !self.succession.has_ordered() {
            self.succession.release().await;
        }
    }
}
