//! Shares of quotas that this VM keeps, and what it knows of the other keepers.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::config::RelaySettings;
use chervildrift_core::quota::{Ask, Grant, Keeper, Roster, RosterUpdate, Share, Tenure, Wallet};
use chervildrift_core::relay::{Peer, Presence, Quota};
use chervildrift_core::types::{Organisation, Time, Zone};
use slog::info;
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::node::Node;
use crate::relay::stop::StopPhase;

/// Interval at which the kept shares are reviewed; a share without a keeper is missed for that long.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Number of organisations, those with the largest quotas, that get a label of their own in the
/// metrics.
const MAX_LABELS: usize = 20;

/// Label of all other organisations.
const OTHER_LABEL: &str = "other";

/// Quotas of organisations as this VM sees them.
#[derive(Debug)]
pub(in crate::relay) struct Quotas {
    own: Peer,
    /// Zones with shares, in the order in which their keepers are asked.
    pub zones: Vec<Zone>,
    pub roster: RefCell<Roster>,
    pub tenure: RefCell<Tenure>,
    pub wallet: RefCell<Wallet>,
    keeper: RefCell<Keeper>,
    labels: RefCell<HashSet<Organisation>>,
    /// Version of the configuration for which the labels were chosen.
    labelled: Cell<u64>,
}

impl Quotas {
    /// Returns the state of a VM that has just started.
    pub(in crate::relay) fn new(settings: &RelaySettings) -> Self {
        let zones = zone_order(settings);
        Self {
            own: Peer {
                vm: settings.vm.clone(),
                zone: settings.zone.clone(),
                address: settings.peers,
            },
            wallet: RefCell::new(Wallet::empty(zones.len())),
            zones,
            roster: RefCell::default(),
            tenure: RefCell::default(),
            keeper: RefCell::default(),
            labels: RefCell::default(),
            labelled: Cell::default(),
        }
    }

    /// Returns the label of an organisation in the metrics.
    pub(in crate::relay) fn label<'a>(&self, organisation: &'a Organisation) -> &'a str {
        if self.labels.borrow().contains(organisation) {
            organisation.as_str()
        } else {
            OTHER_LABEL
        }
    }

    /// Returns the fraction of its zone's share from which this VM may grant now.
    fn fraction(&self, now: Time, organisation: &Organisation) -> f64 {
        let (roster, tenure) = (self.roster.borrow(), self.tenure.borrow());
        roster.fraction(now, &self.own, &tenure, organisation)
    }
}

/// Returns the zones in the order in which their keepers are asked: the own one, those of its
/// region and the others, which begin at a different one for each zone.
fn zone_order(settings: &RelaySettings) -> Vec<Zone> {
    let mut zones: Vec<Zone> = settings.regions.keys().cloned().collect();
    if !settings.regions.contains_key(&settings.zone) {
        zones.push(settings.zone.clone());
        zones.sort();
    }
    let own = zones.iter().position(|it| *it == settings.zone);
    zones.rotate_left(own.unwrap_or_default());
    let region = settings.regions.get(&settings.zone);
    zones.sort_by_key(|it| (*it != settings.zone, settings.regions.get(it) != region));
    zones
}

/// Returns whether the configuration has organisations.
pub(in crate::relay) fn is_enforced(node: &Node) -> bool {
    node.routes.borrow().organisations().is_some()
}

/// Returns the quota of an organisation, if it has one.
pub(super) fn quota(node: &Node, organisation: &Organisation) -> Option<Quota> {
    node.routes.borrow().organisations()?.quota(organisation)
}

/// Grants operations from a share that this VM keeps; `None` if it doesn't keep the share.
pub(in crate::relay) fn grant(node: &Node, ask: &Ask) -> Option<Grant> {
    if *node.stop_phase.borrow() > StopPhase::Serving {
        // The presence record is gone, so another VM takes over.
        return None;
    }
    let quotas = &node.quotas;
    let quota = quota(node, &ask.organisation)?;
    let now = clock::now();
    let fraction = quotas.fraction(now, &ask.organisation);
    if fraction <= 0.0 {
        return None;
    }
    let share = Share::of(quota, quotas.zones.len(), fraction);
    let grant = quotas.keeper.borrow_mut().grant(now, ask, share)?;
    let label = quotas.label(&ask.organisation);
    node.metrics.count_granted(label, grant.count);
    Some(grant)
}

/// Applies the presence records of a listing that was requested at `requested_at`.
pub(in crate::relay) fn apply_listing(
    node: &Node,
    requested_at: Time,
    store_ms: u64,
    records: &[Presence],
) {
    let quotas = &node.quotas;
    let mut tenure = quotas.tenure.borrow_mut();
    tenure.observe_listing(store_ms, &quotas.own.vm, records);
    drop(tenure);
    let mut roster = quotas.roster.borrow_mut();
    let changed = roster.apply_listing(requested_at, store_ms, records);
    drop(roster);
    if changed {
        review(node);
    }
}

/// Applies what another VM sent in response to a request made at `sent_at`.
pub(in crate::relay) fn apply_update(node: &Node, sent_at: Time, update: RosterUpdate) {
    let quotas = &node.quotas;
    if let Some(renewed_ms) = update.renewed_ms {
        quotas.tenure.borrow_mut().observe_renewal(renewed_ms);
    }
    let changed = quotas.roster.borrow_mut().merge(sent_at, update);
    if changed {
        review(node);
    }
}

/// Reviews the shares that this VM keeps until the process ends.
pub(in crate::relay) async fn run(node: Rc<Node>) {
    loop {
        sleep(REVIEW_INTERVAL).await;
        review(&node);
        if needs_listing(&node) {
            node.presence_due.notify_one();
        }
        node.quotas.wallet.borrow_mut().drop_idle(clock::now());
    }
}

/// Returns whether this VM has yet to announce when it may keep shares.
pub(in crate::relay) fn needs_announcement(node: &Node) -> bool {
    is_enforced(node) && node.quotas.tenure.borrow().is_pending()
}

/// Returns whether this VM, as an observer, must list the presence records before it and the VMs
/// that hear from it may keep shares.
fn needs_listing(node: &Node) -> bool {
    let quotas = &node.quotas;
    let (roster, tenure) = (quotas.roster.borrow(), quotas.tenure.borrow());
    is_enforced(node) && node.is_observer() && roster.needs_listing(clock::now(), &tenure)
}

/// Determines the shares that this VM keeps.
fn review(node: &Node) {
    let quotas = &node.quotas;
    let routes = node.routes.borrow();
    let mut keeper = quotas.keeper.borrow_mut();
    let count = keeper.len();
    let Some(table) = routes.organisations() else {
        keeper.review(clock::now(), []);
        return;
    };
    if quotas.labelled.replace(routes.version()) != routes.version() {
        let mut largest: Vec<(&Organisation, Quota)> = table.quotas().collect();
        largest.sort_by(|(a, x), (b, y)| y.rate.total_cmp(&x.rate).then_with(|| a.cmp(b)));
        let largest = largest.into_iter().take(MAX_LABELS);
        let labels = largest.map(|(name, _)| name.clone()).collect();
        quotas.labels.replace(labels);
    }
    let now = clock::now();
    let shares = table.quotas().filter_map(|(organisation, quota)| {
        let fraction = quotas.fraction(now, organisation);
        let share = Share::of(quota, quotas.zones.len(), fraction);
        (fraction > 0.0).then_some((organisation, share))
    });
    keeper.review(now, shares);
    node.metrics.set_shares(keeper.len());
    if keeper.len() != count {
        info!(node.log, "shares of quotas changed"; "event" => "quota", "shares" => keeper.len(),
            "organisations" => table.quotas().count());
    }
}
