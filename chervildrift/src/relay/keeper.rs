//! Keeps sight of the leader of each service.
//!
//! Reads elsewhere need fresh samples of the leader's log. Callers' statements at the leader bring
//! them along; when they are too rare, an empty transaction does, which takes no slot there. While
//! no leader is known, every upstream is asked in the same way whether it leads.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Access, Code, PROBE_KIND, Session};
use chervildrift_core::types::{Caller, Kind, Service, Time, Upstream};
use chervildrift_platform::wire::Command;
use slog::info;
use tokio::time::sleep;

use super::clock;
use super::failover;
use super::link::LinkError;
use super::node::Node;
use super::orders::threatened;
use super::pool::Demand;

/// Interval at which the services are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Gap between two looks from which this VM must have stood still.
const STALL: Duration = Duration::from_millis(700);

/// Age of the newest sample from which another one is asked for.
///
/// Well below the bounds of routes, which are a second and more, so that one failed probe is borne.
const SAMPLE_AGE: Duration = Duration::from_millis(350);

/// Time for the answer to a probe on an open connection.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Probes and failovers that run.
#[derive(Debug, Default)]
struct Running {
    probes: HashSet<Upstream>,
    failovers: HashMap<Service, Rc<Cell<bool>>>,
}

/// Looks after all services until the process ends.
pub(super) async fn keep(node: Rc<Node>) {
    let running = Rc::new(std::cell::RefCell::new(Running::default()));
    let mut last = clock::now();
    loop {
        sleep(TICK).await;
        let now = clock::now();
        if now.since(last) >= STALL {
            info!(node.log, "stood still"; "event" => "stall",
                "ms" => now.since(last).as_millis() as u64);
            for group in node.groups.borrow_mut().values_mut() {
                group.reset_suspicion(now);
            }
        }
        last = now;
        let services = node.routes.borrow().services();
        for service in services {
            look(&node, &running, &service, now);
        }
    }
}

fn look(node: &Rc<Node>, running: &Rc<std::cell::RefCell<Running>>, service: &Service, now: Time) {
    let (leader, age, suspected) = node.with_group(service, |group| {
        (
            group.leader().cloned(),
            group.sample_age(now),
            group.needs_failover(now),
        )
    });
    match &leader {
        Some(leader) if age.is_none_or(|age| age >= SAMPLE_AGE) => {
            probe(node, running, service, leader.clone());
        }
        Some(_) => {}
        None => node.with_group(service, |group| group.record_absence(now)),
    }
    if leader.is_none() || suspected {
        // Another one may lead already without any report, such as while the store is away.
        let known: Vec<Upstream> = {
            let directory = node.directory.borrow();
            let entries = directory.of_service(service);
            entries.map(|it| it.upstream.clone()).collect()
        };
        for upstream in known {
            probe(node, running, service, upstream);
        }
    }
    if let Some(challenger) = node.challenger(service) {
        probe(node, running, service, challenger);
    }
    let leaves = |leader: &Upstream| node.directory.borrow().is_leaving(now, leader);
    let planned = leader.as_ref().is_some_and(leaves);
    if planned || suspected || threatened(node, service).is_some() {
        replace(node, running, service, leader, planned);
    }
}

/// Starts a probe unless one runs.
fn probe(
    node: &Rc<Node>,
    running: &Rc<std::cell::RefCell<Running>>,
    service: &Service,
    upstream: Upstream,
) {
    if !running.borrow_mut().probes.insert(upstream.clone()) {
        return;
    }
    let (node, running, service) = (Rc::clone(node), Rc::clone(running), service.clone());
    tokio::task::spawn_local(async move {
        ask(&node, &service, &upstream).await;
        running.borrow_mut().probes.remove(&upstream);
    });
}

/// Asks an upstream whether it leads.
async fn ask(node: &Rc<Node>, service: &Service, upstream: &Upstream) {
    let Some(pool) = node.pool(upstream) else {
        return;
    };
    let Ok(mut lease) = pool.acquire(demand()).await else {
        return;
    };
    let session = Session::default();
    let link = match lease.link(node, &session, None).await {
        Ok(link) => link,
        // An upstream that refuses a connection is alive.
        Err(LinkError::Refused(..)) => return,
        Err(_) => {
            node.with_group(service, |group| group.record_miss(upstream));
            return;
        }
    };
    let asked = clock::now();
    let commands = [Command::Begin(Access::Write, None), Command::Rollback];
    let ran = link.run(&commands, PROBE_LIMIT).await;
    drop(lease);
    let Ok(replies) = ran else {
        node.with_group(service, |group| group.record_miss(upstream));
        pool.distrust(asked);
        return;
    };
    let Some(begin) = replies.into_iter().next() else {
        return;
    };
    match (begin.result, begin.mark) {
        (Ok(_), Some(mark)) => {
            // Only a leader takes the begin, whatever else is reported.
            node.with_group(service, |group| {
                node.set_leader(group, service, upstream, "probed");
            });
            node.take_sample(service, upstream, asked, mark);
        }
        (Err((Code::ReadOnly, _)), _) => node.refused_lead(service, asked, upstream),
        _ => {}
    }
}

/// Returns what a probe needs in order to get a connection.
pub(super) fn demand() -> Demand {
    Demand {
        kind: Kind::from(PROBE_KIND),
        caller: Caller::from(PROBE_KIND),
        deadline: clock::now() + PROBE_LIMIT,
    }
}

/// Starts to replace a leader unless that is under way.
fn replace(
    node: &Rc<Node>,
    running: &Rc<std::cell::RefCell<Running>>,
    service: &Service,
    leader: Option<Upstream>,
    planned: bool,
) {
    let mut running = running.borrow_mut();
    let busy = running.failovers.entry(service.clone()).or_default();
    if busy.replace(true) {
        return;
    }
    let (node, busy, service) = (Rc::clone(node), Rc::clone(busy), service.clone());
    tokio::task::spawn_local(async move {
        failover::run(&node, &service, leader.as_ref(), planned).await;
        busy.set(false);
    });
}
