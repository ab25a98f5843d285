//! Exchange of cached views between VMs.
//!
//! A VM that is not an observer receives the store's content, the leaders and their log positions
//! from the observers of its zone. An observer that can't read the store requests the view of
//! another VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::placement::name_hash;
use chervildrift_core::relay::{
    CachedView, ContentAges, DirectoryEntry, LeaderStatus, ViewRequest, digest, observer_to_ask,
    observers,
};
use chervildrift_core::types::{Service, Time, Upstream};
use chervildrift_platform::catalog::{CONFIG_TABLE, UPSTREAM_TABLE};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::relay::clock;
use crate::relay::fleet::link::{LinkRequest, LinkResponse};
use crate::relay::fleet::{outliers, presence};
use crate::relay::node::{Node, RouteSource};
use crate::relay::quotas;
use crate::relay::stop::StopPhase;

/// Timeout for a cached view from another zone.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which a VM requests the view of its observer.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a VM requests the first view after its start, or another observer's view after
/// a failure.
const SHORT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the view of an observer.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time until a VM has received the view of its observer.
pub(in crate::relay) const MAX_VIEW_DELAY: Duration = POLL_INTERVAL.saturating_add(POLL_TIMEOUT);

/// Time without a view after which a VM reads the store itself.
const VIEW_TTL: Duration = Duration::from_millis(1_500);

/// Interval at which an observer asks another one for newer routes.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which calls to the store must have failed before another VM is asked for its view.
pub(in crate::relay) const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

/// Interval at which other VMs are asked, one at a time, while the store is unavailable.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the cached view of this VM without the parts that the requesting VM has already.
pub(in crate::relay) fn cached_view(node: &Node, request: &ViewRequest) -> CachedView {
    let own = own_parts(node);
    let routes = node.routes.borrow();
    let changed = |theirs: u64, own: u64| theirs != own;
    let services = routes.services();
    CachedView {
        current: has_current_view(node),
        ages: content_ages(node),
        renews: request
            .vm
            .as_ref()
            .is_some_and(|vm| presence::renews(node, vm)),
        routes: (routes.version() > request.routes).then(|| routes.current().clone()),
        entries: changed(request.entries, own.entries)
            .then(|| node.directory.borrow().iter().cloned().collect()),
        drains: drains(node),
        judgements: services
            .iter()
            .map(|service| leader_status(node, service))
            .collect(),
        peers: changed(request.peers, own.peers).then(|| node.peers.borrow().clone()),
        keepers: quotas::is_enforced(node)
            .then(|| {
                let roster = node.quotas.roster.borrow();
                roster.update_for(clock::now(), request.vm.as_ref(), request.keepers)
            })
            .flatten(),
        ejections: own.ejections,
    }
}

/// Returns the ages of what this VM knows of the store.
fn content_ages(node: &Node) -> ContentAges {
    let now = clock::now();
    let age = |table| {
        let read_at = node.table_read_at(table)?;
        // Rounded up, so that the content doesn't appear newer than it is.
        Some(now.since(read_at).as_millis() as u64 + 1)
    };
    ContentAges {
        routes: age(CONFIG_TABLE),
        entries: age(UPSTREAM_TABLE),
    }
}

/// Records the ages of the routes and upstreams of a view, requested at `sent_at`.
fn record_ages(node: &Node, ages: ContentAges, sent_at: Time) {
    for (table, age) in [(CONFIG_TABLE, ages.routes), (UPSTREAM_TABLE, ages.entries)] {
        if let Some(age) = age {
            node.record_table_read(table, sent_at.before(Duration::from_millis(age)));
        }
    }
}

/// Returns the times in milliseconds for which upstreams have been draining.
fn drains(node: &Node) -> Vec<(Upstream, u64)> {
    let directory = node.directory.borrow();
    let ages = directory.drain_ages(clock::now());
    ages.map(|(upstream, age)| (upstream.clone(), age.as_millis() as u64))
        .collect()
}

fn leader_status(node: &Node, service: &Service) -> LeaderStatus {
    let now = clock::now();
    node.with_group(service, |group| LeaderStatus {
        leader: group.leader().cloned(),
        suspected: group.needs_failover(now),
        sample: group
            .newest_sample()
            // Rounded up, so that the sample doesn't appear newer than it is.
            .map(|(position, at)| (position, now.since(at).as_millis() as u64 + 1)),
        service: service.clone(),
    })
}

/// Returns whether what this VM knows of the store is up to date.
///
/// A VM that has not listed the running VMs yet knows too little to be followed.
fn has_current_view(node: &Node) -> bool {
    if node.observer.get().is_none() {
        return false;
    }
    if node.follows_store() {
        return !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD);
    }
    node.view_at.get().is_some()
}

/// Returns versions and digests of the parts that this VM has.
fn own_parts(node: &Node) -> ViewRequest {
    let directory = node.directory.borrow();
    let entries = directory
        .iter()
        .map(|it| (it.upstream.as_str(), it.version));
    ViewRequest {
        vm: None,
        routes: node.routes.borrow().version(),
        entries: digest(entries),
        peers: digest(node.peers.borrow().iter().map(|it| (it.vm.as_str(), 1))),
        keepers: if quotas::is_enforced(node) {
            node.quotas.roster.borrow().digest()
        } else {
            0
        },
        ejections: outliers::news(node),
    }
}

/// Requests the cached view of another VM; `None` if it does not respond.
async fn request_view(
    node: &Node,
    address: SocketAddr,
    request: ViewRequest,
    limit: Duration,
) -> Option<CachedView> {
    let exchange = async {
        let mut link = node.links.take(address).await.ok()?;
        link.send(&LinkRequest::View(request)).await.ok()?;
        match link.receive().await? {
            LinkResponse::View(view) => {
                node.links.put(address, link);
                outliers::hear(node, &view.ejections);
                Some(*view)
            }
            _ => None,
        }
    };
    timeout(limit, exchange).await.ok()?
}

/// Asks the other observers whether a leader has to be replaced; returns true as soon as enough of
/// them agree, since some may not respond at all.
pub(in crate::relay) async fn collect_agreement(
    node: &Node,
    service: &Service,
    leader: Option<&Upstream>,
) -> bool {
    // This VM agrees already.
    let (others, required) = {
        let peers = node.peers.borrow();
        let electorate = observers(&peers);
        let others = electorate.iter().filter(|it| it.vm != node.settings.vm);
        let others: Vec<SocketAddr> = others.map(|it| it.address).collect();
        (others, electorate.len() / 2)
    };
    let request = own_parts(node);
    let mut requests: FuturesUnordered<_> = others
        .into_iter()
        .map(|address| request_view(node, address, request.clone(), VIEW_TIMEOUT))
        .collect();
    let mut agreed = 0;
    while agreed < required {
        match requests.next().await {
            Some(Some(view)) if view.agrees(service, leader) => agreed += 1,
            Some(_) => {}
            None => return false,
        }
    }
    true
}

/// Returns the addresses of all other known VMs.
fn peer_addresses(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let known = peers.iter().map(|peer| peer.address);
    let mut all: Vec<SocketAddr> = known.chain(node.settings.seeds.iter().copied()).collect();
    all.retain(|address| *address != node.settings.peers);
    all.sort();
    all.dedup();
    all
}

/// Requests the routes of the other observers, one at a time, while this VM is an observer itself;
/// runs until the process ends.
///
/// A store that stops responding to some VMs only is noticed after a whole feed call, which takes
/// longer than a new configuration may.
pub(in crate::relay) async fn compare_routes(node: Rc<Node>) {
    let mut round = name_hash(node.settings.vm.as_str()) as usize;
    loop {
        sleep(COMPARISON_INTERVAL).await;
        if !node.is_observer() {
            continue;
        }
        let others: Vec<SocketAddr> = {
            let peers = node.peers.borrow();
            let others = observers(&peers);
            let others = others.iter().filter(|it| it.vm != node.settings.vm);
            others.map(|it| it.address).collect()
        };
        round = round.wrapping_add(1);
        let Some(address) = others.get(round % others.len().max(1)) else {
            continue;
        };
        let sent_at = clock::now();
        let view = request_view(&node, *address, own_parts(&node), VIEW_TIMEOUT).await;
        let Some(view) = view else {
            continue;
        };
        if let Some(routes) = view.routes {
            node.apply_routes(routes, RouteSource::Peer);
        }
        let ages = ContentAges {
            entries: None,
            ..view.ages
        };
        record_ages(&node, ages, sent_at);
    }
}

/// Requests cached views from other VMs while this VM should read the store but can't, until the
/// process ends.
pub(in crate::relay) async fn refresh(node: Rc<Node>) {
    let mut round = 0;
    loop {
        sleep(REFRESH_INTERVAL).await;
        if !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD) {
            continue;
        }
        let others = peer_addresses(&node);
        if others.is_empty() {
            continue;
        }
        round += 1;
        let address = others[round % others.len()];
        let sent_at = clock::now();
        let request = own_parts(&node);
        let Some(view) = request_view(&node, address, request, VIEW_TIMEOUT).await else {
            continue;
        };
        let ages = view.ages;
        let is_useful = view.current || !node.upstreams_listed.get();
        if is_useful && node.is_store_unavailable(STORE_OUTAGE_THRESHOLD) {
            apply_store_content(&node, view);
            record_ages(&node, ages, sent_at);
        }
    }
}

/// Applies the upstreams' entries of another VM's view.
fn apply_entries(node: &Node, entries: Vec<DirectoryEntry>, drains: &[(Upstream, u64)]) {
    let now = clock::now();
    node.apply_listing(entries, |upstream| {
        let age = drains.iter().find(|(name, _)| name == upstream);
        age.map_or(now, |(_, ms)| now.before(Duration::from_millis(*ms)))
    });
}

/// Applies what another VM has read from the store.
fn apply_store_content(node: &Node, view: CachedView) {
    if !node.upstreams_listed.get() {
        info!(node.log, "cached view loaded from a peer"; "event" => "peer",
            "version" => view.routes.as_ref().map(|it| it.version),
            "upstreams" => view.entries.as_ref().map(Vec::len));
    }
    if let Some(routes) = view.routes {
        node.apply_routes(routes, RouteSource::Peer);
    }
    if let Some(entries) = view.entries {
        apply_entries(node, entries, &view.drains);
    }
    if let Some(peers) = view.peers
        && node.peers.borrow().len() < peers.len()
    {
        node.apply_peers(peers);
    }
}

/// Receives the view of an observer while this VM is not one itself, until the process ends.
pub(in crate::relay) async fn follow_observers(node: Rc<Node>) {
    let mut failures = 0;
    loop {
        let has_content = node.routes.borrow().version() > 0 && node.upstreams_listed.get();
        // Without a view, the VM reads the store itself and is in no hurry.
        let is_losing_view = failures > 0 && node.view_at.get().is_some();
        let pause = if has_content && !is_losing_view {
            POLL_INTERVAL
        } else {
            SHORT_POLL_INTERVAL
        };
        sleep(pause).await;
        if node.is_observer() {
            node.view_at.set(None);
            continue;
        }
        let source = {
            let peers = node.peers.borrow();
            let (vm, zone) = (&node.settings.vm, &node.settings.zone);
            observer_to_ask(vm, zone, &peers, failures).cloned()
        };
        if let Some(source) = source {
            let sent_at = clock::now();
            let mut request = own_parts(&node);
            let stop_phase = *node.stop_phase.borrow();
            request.vm = (stop_phase == StopPhase::Serving).then(|| node.settings.vm.clone());
            match request_view(&node, source.address, request, POLL_TIMEOUT).await {
                Some(view) if view.current => {
                    failures = 0;
                    if view.renews {
                        node.renewed_at.set(Some(sent_at));
                    }
                    let ages = view.ages;
                    apply_view(&node, view, sent_at);
                    record_ages(&node, ages, sent_at);
                    node.view_at.set(Some(sent_at));
                }
                _ => failures += 1,
            }
        }
        let received_at = node.view_at.get();
        if received_at.is_some_and(|at| clock::now().since(at) >= VIEW_TTL) {
            node.view_at.set(None);
            info!(node.log, "observers do not respond"; "event" => "observer",
                "failures" => failures);
            node.presence_due.notify_one();
        }
    }
}

/// Applies the view of an observer, requested at `sent_at`.
fn apply_view(node: &Node, view: CachedView, sent_at: Time) {
    if let Some(routes) = view.routes {
        node.apply_routes(routes, RouteSource::Peer);
    }
    if let Some(entries) = view.entries {
        apply_entries(node, entries, &view.drains);
    }
    if let Some(peers) = view.peers {
        node.apply_peers(peers);
    }
    if let Some(update) = view.keepers {
        quotas::apply_update(node, sent_at, update);
    }
    for status in view.judgements {
        if let (Some(leader), Some((position, age_ms))) = (status.leader, status.sample) {
            let age = Duration::from_millis(age_ms);
            let sampled_at = sent_at.before(age);
            node.merge_sample(&status.service, sampled_at, &leader, position);
        }
    }
}
