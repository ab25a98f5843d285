//! Monitors the leader of each service and starts failovers.
//!
//! Reads at replicas need recent samples of the leader's log position. Callers' statements at the
//! leader provide them; when these are too rare, an empty transaction does, which takes no slot at
//! the leader. While no leader is known, the same probe is sent to every upstream to find out
//! whether it leads.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Access, Code, PROBE_KIND, Session};
use chervildrift_core::types::{Caller, Kind, Rank, Service, Time, Upstream};
use chervildrift_platform::wire::Command;
use slog::info;
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::connections::checkout::{Checkout, CheckoutError};
use crate::relay::connections::connection::ConnectionError;
use crate::relay::connections::pool::AcquireRequest;
use crate::relay::groups::failover;
use crate::relay::groups::orders::find_threat;
use crate::relay::node::Node;

/// Interval at which all services are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Gap between two checks from which this VM is considered to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(700);

/// Age of the newest log sample from which the leader is probed.
///
/// Well below the staleness bounds of routes, which are a second and more, so that one failed probe
/// does no harm.
const SAMPLE_REFRESH_AGE: Duration = Duration::from_millis(350);

/// Age of the newest log sample from which a VM that receives samples from observers probes the
/// leader itself; several views have been lost then.
const OBSERVED_REFRESH_AGE: Duration = Duration::from_millis(1_100);

/// Timeout for a probe, on an open connection or for acquiring one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes and failovers in progress.
#[derive(Debug, Default)]
struct ActiveTasks {
    probes: HashSet<Upstream>,
    failovers: HashMap<Service, Rc<Cell<bool>>>,
}

/// Checks all services periodically until the process ends.
pub(in crate::relay) async fn run(node: Rc<Node>) {
    let tasks = Rc::new(std::cell::RefCell::new(ActiveTasks::default()));
    let mut last_check = clock::now();
    let mut settled_at = last_check;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        if now.since(last_check) >= STALL_THRESHOLD {
            info!(node.log, "process was stalled"; "event" => "stall",
                "ms" => now.since(last_check).as_millis() as u64);
            for group in node.groups.borrow_mut().values_mut() {
                group.reset_suspicion(now);
            }
        }
        last_check = now;
        if !node.is_settled() {
            settled_at = now;
            continue;
        }
        if !node.follows_store() && now.since(settled_at) < OBSERVED_REFRESH_AGE {
            // The first views arrive.
            continue;
        }
        let services = node.routes.borrow().services();
        for service in services {
            check_service(&node, &tasks, &service, now);
        }
    }
}

fn check_service(
    node: &Rc<Node>,
    tasks: &Rc<std::cell::RefCell<ActiveTasks>>,
    service: &Service,
    now: Time,
) {
    let (leader, age, suspected) = node.with_group(service, |group| {
        (
            group.leader().cloned(),
            group.sample_age(now),
            group.needs_failover(now),
        )
    });
    let refresh_age = if node.follows_store() {
        SAMPLE_REFRESH_AGE
    } else {
        OBSERVED_REFRESH_AGE
    };
    match &leader {
        Some(leader) if age.is_none_or(|age| age >= refresh_age) => {
            start_probe(node, tasks, service, leader.clone());
        }
        Some(_) => {}
        None => node.with_group(service, |group| group.record_leaderless(now)),
    }
    if node.follows_store() && (leader.is_none() || suspected) {
        // Another upstream may lead without having reported it, for example while the store is
        // unavailable.
        let known: Vec<Upstream> = {
            let directory = node.directory.borrow();
            let entries = directory.of_service(service);
            entries.map(|it| it.upstream.clone()).collect()
        };
        for upstream in known {
            start_probe(node, tasks, service, upstream);
        }
    }
    if node.follows_store()
        && let Some(candidate) = node.leader_candidate(service)
    {
        start_probe(node, tasks, service, candidate);
    }
    let is_leaving = |leader: &Upstream| node.directory.borrow().is_leaving(now, leader);
    let planned = leader.as_ref().is_some_and(is_leaving);
    // A VM that is no longer an observer still revokes the orders that it gave.
    if !node.is_observer() && !node.leases.borrow().contains_key(service) {
        return;
    }
    if planned || suspected || find_threat(node, service).is_some() {
        start_failover(node, tasks, service, leader, planned);
    }
}

/// Starts a probe of an upstream unless one is running.
fn start_probe(
    node: &Rc<Node>,
    tasks: &Rc<std::cell::RefCell<ActiveTasks>>,
    service: &Service,
    upstream: Upstream,
) {
    if !tasks.borrow_mut().probes.insert(upstream.clone()) {
        return;
    }
    let (node, tasks, service) = (Rc::clone(node), Rc::clone(tasks), service.clone());
    tokio::task::spawn_local(async move {
        probe_leader(&node, &service, &upstream).await;
        tasks.borrow_mut().probes.remove(&upstream);
    });
}

/// Probes whether an upstream leads, and records its log position if it does.
async fn probe_leader(node: &Rc<Node>, service: &Service, upstream: &Upstream) {
    let Some(pool) = node.pool(upstream) else {
        return;
    };
    let session = Session::default();
    let opened = Checkout::open(node, upstream, probe_request(), &session, None, None).await;
    let mut checkout = match opened {
        Ok(checkout) => checkout,
        // An upstream that refuses a connection is alive.
        Err(
            CheckoutError::Refused(_) | CheckoutError::Connection(ConnectionError::Refused(..)),
        ) => {
            return;
        }
        Err(CheckoutError::Connection(_)) => {
            node.with_group(service, |group| group.record_miss(upstream));
            return;
        }
    };
    let sent_at = clock::now();
    let commands = [Command::Begin(Access::Write, None), Command::Rollback];
    let result = checkout.run_pipeline(&commands, PROBE_TIMEOUT).await;
    drop(checkout);
    let Ok(replies) = result else {
        node.with_group(service, |group| group.record_miss(upstream));
        pool.close_unused_since(sent_at);
        return;
    };
    let Some(begin) = replies.into_iter().next() else {
        return;
    };
    match (begin.result, begin.position) {
        (Ok(_), Some(position)) => {
            // Only a leader accepts a writing begin, whatever else is reported.
            node.with_group(service, |group| {
                node.set_leader(group, service, upstream, "probed");
            });
            node.record_sample(service, upstream, sent_at, position);
        }
        (Err((Code::ReadOnly, _)), _) => node.record_refusal(service, sent_at, upstream),
        _ => {}
    }
}

/// Returns the request with which probes acquire a connection.
pub(in crate::relay) fn probe_request() -> AcquireRequest {
    AcquireRequest {
        kind: Kind::from(PROBE_KIND),
        rank: Rank::Urgent,
        caller: Caller::from(PROBE_KIND),
        organisation: None,
        deadline: clock::now() + PROBE_TIMEOUT,
    }
}

/// Starts a failover of a service unless one is running.
fn start_failover(
    node: &Rc<Node>,
    tasks: &Rc<std::cell::RefCell<ActiveTasks>>,
    service: &Service,
    leader: Option<Upstream>,
    planned: bool,
) {
    let mut tasks = tasks.borrow_mut();
    let in_progress = tasks.failovers.entry(service.clone()).or_default();
    if in_progress.replace(true) {
        return;
    }
    let (node, in_progress, service) = (Rc::clone(node), Rc::clone(in_progress), service.clone());
    tokio::task::spawn_local(async move {
        failover::run(&node, &service, leader.as_ref(), planned).await;
        in_progress.set(false);
    });
}
