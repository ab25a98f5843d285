//! Confirmation of commits by a replica.
//!
//! A commit that only the primary has is lost if the primary is. Before a commit is acknowledged,
//! one replica has to show that it has received it, so that a promotion of the furthest replica
//! keeps it. Answers of replicas to reads show their position anyway; otherwise they are asked. The
//! wait is bounded by the settings, and a commit that nobody confirmed is logged.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, ReplicationState};
use chervildrift_core::types::{LogPosition, Service, Upstream};
use futures::future::join_all;
use slog::warn;
use tokio::time::{sleep, timeout};

use super::answer::Failure;
use super::clock;
use super::lines::RequestEvent;
use super::metrics::Part;
use super::node::Node;
use super::replicas::{applied, observe};

/// Rounds of questions for applied positions; a replica that lags more applies late, not soon.
const APPLIED_ROUNDS: u32 = 4;

/// Pause between two questions; a commit takes about the way between regions to a replica.
const PAUSE: Duration = Duration::from_millis(10);

/// A commit that its leader has taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commit<'a> {
    /// Id of the caller's statement.
    pub id: &'a str,
    /// Service of the leader.
    pub service: &'a Service,
    /// Leader that took the commit.
    pub leader: &'a Upstream,
    /// Position of the commit.
    pub mark: LogPosition,
}

/// Waits until a replica has received a commit; fails if the leader was replaced meanwhile.
pub(super) async fn confirm(node: &Rc<Node>, commit: &Commit<'_>) -> Result<(), Failure> {
    let limit = Duration::from_millis(node.settings.confirm_ms);
    if limit.is_zero() || node.directory.borrow().of_service(commit.service).count() < 2 {
        return Ok(());
    }
    let epoch = node.with_group(commit.service, |group| group.epoch());
    let asked = clock::now();
    // Without a confirmation in time the commit is acknowledged and logged below.
    let _confirmed = timeout(limit, await_received(node, commit)).await;
    let waited = clock::now().since(asked);
    node.metrics.took(Part::Confirmation, waited);
    let (kept, confirmation) = node.with_group(commit.service, |group| {
        let kept = group.leader() == Some(commit.leader) && group.epoch() == epoch;
        (kept, group.replication_state(commit.mark))
    });
    if !kept || confirmation == ReplicationState::Superseded {
        let detail = "the primary was replaced before a replica confirmed the commit";
        return Err(Failure::new(Code::InDoubt, detail));
    }
    if confirmation == ReplicationState::Missing {
        node.metrics.unconfirmed.inc();
        if let Some(dropped) = node.line(RequestEvent::Unconfirmed) {
            warn!(node.log, "commit acknowledged by the primary alone"; "event" => "unconfirmed",
                "request" => commit.id, "service" => %commit.service,
                "upstream" => %commit.leader, "mark" => %commit.mark,
                "waited_ms" => waited.as_millis() as u64,
                "dropped" => dropped);
        }
    }
    Ok(())
}

async fn await_received(node: &Rc<Node>, commit: &Commit<'_>) {
    let mut rounds = 0;
    let missing = || {
        let confirmation =
            node.with_group(commit.service, |group| group.replication_state(commit.mark));
        confirmation == ReplicationState::Missing
    };
    while missing() {
        let running = node.confirming.borrow_mut().insert(commit.service.clone());
        if running {
            let _round = Round {
                node,
                service: commit.service,
            };
            ask_replicas(node, commit, rounds).await;
            rounds += 1;
        } else {
            // Another commit of the service asks already.
            node.received.notified().await;
        }
    }
}

/// A round of questions, during which no other is started for the service.
struct Round<'a> {
    node: &'a Node,
    service: &'a Service,
}

impl Drop for Round<'_> {
    fn drop(&mut self) {
        self.node.confirming.borrow_mut().remove(self.service);
        self.node.received.notify_waiters();
    }
}

/// Asks the replicas: first the nearest one, then all.
///
/// Applied positions cost an upstream nothing, so only later rounds ask for those that were received
/// but not applied, which takes a slot.
async fn ask_replicas(node: &Rc<Node>, commit: &Commit<'_>, rounds: u32) {
    let mut replicas: Vec<(Duration, Upstream)> = {
        let directory = node.directory.borrow();
        let replicas = directory.replicas(commit.service, Some(commit.leader));
        replicas
            .filter_map(|it| {
                let pool = node.pool(&it.upstream)?;
                Some((node.distance(&pool, &it.zone), it.upstream.clone()))
            })
            .collect()
    };
    replicas.sort();
    if rounds == 0 {
        replicas.truncate(1);
    } else {
        sleep(PAUSE).await;
    }
    let asked = replicas.iter().map(|(_, upstream)| async move {
        if rounds >= APPLIED_ROUNDS {
            observe(node, commit.service, upstream).await;
        } else if let Some(mark) = applied(node, upstream).await {
            node.with_group(commit.service, |group| {
                group.record_received(upstream, mark);
            });
            node.received.notify_waiters();
        }
    });
    join_all(asked).await;
}
