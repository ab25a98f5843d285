//! Confirmation of commits by a replica.
//!
//! A commit that only the primary has is lost if the primary is. Before a commit is acknowledged,
//! one replica has to show that it has received it, so that a promotion of the furthest replica
//! keeps it. Answers of replicas to reads show their position anyway; otherwise they are asked. The
//! wait is bounded by the settings, and a commit that nobody confirmed is logged.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, Confirmation};
use chervildrift_core::types::{Mark, Service, Upstream};
use futures::future::join_all;
use slog::warn;
use tokio::time::{sleep, timeout};

use super::clock;
use super::log_quotas::RequestEvent;
use super::metrics::StatementPart;
use super::node::Node;
use super::replicas::{observe_replica, query_applied};
use super::response::Failure;

/// Rounds of questions for applied positions; a replica that lags more applies late, not soon.
const APPLIED_POLLS: u32 = 4;

/// Pause between two questions; a commit takes about the way between regions to a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    pub position: Mark,
}

/// Waits until a replica has received a commit; fails if the leader was replaced meanwhile.
pub(super) async fn await_confirmation(
    node: &Rc<Node>,
    commit: &Commit<'_>,
) -> Result<(), Failure> {
    let limit = Duration::from_millis(node.settings.confirm_ms);
    if limit.is_zero() || node.directory.borrow().of(commit.service).count() < 2 {
        return Ok(());
    }
    let epoch = node.with_group(commit.service, |group| group.epoch());
    let started = clock::now();
    // Without a confirmation in time the commit is acknowledged and logged below.
    let _confirmed = timeout(limit, poll_until_received(node, commit)).await;
    let waited = clock::now().since(started);
    node.metrics
        .record_part(StatementPart::Confirmation, waited);
    let (still_leads, confirmation) = node.with_group(commit.service, |group| {
        let still_leads = group.leader() == Some(commit.leader) && group.epoch() == epoch;
        (still_leads, group.confirmation(commit.position))
    });
    if !still_leads || confirmation == Confirmation::Superseded {
        let detail = "the primary was replaced before a replica confirmed the commit";
        return Err(Failure::new(Code::InDoubt, detail));
    }
    if confirmation == Confirmation::Missing {
        node.metrics.unconfirmed.inc();
        if let Some(dropped) = node.admit_log_line(RequestEvent::Unconfirmed) {
            warn!(node.log, "commit acknowledged by the primary alone"; "event" => "unconfirmed",
                "request" => commit.id, "service" => %commit.service,
                "upstream" => %commit.leader, "mark" => %commit.position,
                "waited_ms" => waited.as_millis() as u64,
                "dropped" => dropped);
        }
    }
    Ok(())
}

async fn poll_until_received(node: &Rc<Node>, commit: &Commit<'_>) {
    let mut polls_done = 0;
    let is_missing = || {
        let confirmation =
            node.with_group(commit.service, |group| group.confirmation(commit.position));
        confirmation == Confirmation::Missing
    };
    while is_missing() {
        let acquired = node
            .confirming_services
            .borrow_mut()
            .insert(commit.service.clone());
        if acquired {
            let _guard = PollGuard {
                node,
                service: commit.service,
            };
            poll_replicas(node, commit, polls_done).await;
            polls_done += 1;
        } else {
            // Another commit of the service asks already.
            node.replica_advanced.notified().await;
        }
    }
}

/// A round of questions, during which no other is started for the service.
struct PollGuard<'a> {
    node: &'a Node,
    service: &'a Service,
}

impl Drop for PollGuard<'_> {
    fn drop(&mut self) {
        self.node
            .confirming_services
            .borrow_mut()
            .remove(self.service);
        self.node.replica_advanced.notify_waiters();
    }
}

/// Asks the replicas: first the nearest one, then all.
///
/// Applied positions cost an upstream nothing, so only later rounds ask for those that were received
/// but not applied, which takes a slot.
async fn poll_replicas(node: &Rc<Node>, commit: &Commit<'_>, polls_done: u32) {
    let mut replicas: Vec<(Duration, Upstream)> = {
        let directory = node.directory.borrow();
        let replicas = directory.replicas(commit.service, Some(commit.leader));
        replicas
            .filter_map(|it| {
                let pool = node.pool(&it.upstream)?;
                Some((node.rtt(&pool, &it.zone), it.upstream.clone()))
            })
            .collect()
    };
    replicas.sort();
    if polls_done == 0 {
        replicas.truncate(1);
    } else {
        sleep(POLL_INTERVAL).await;
    }
    let polls = replicas.iter().map(|(_, upstream)| async move {
        if polls_done >= APPLIED_POLLS {
            observe_replica(node, commit.service, upstream).await;
        } else if let Some(last) = query_applied(node, upstream).await {
            node.with_group(commit.service, |group| group.note_received(upstream, last));
            node.replica_advanced.notify_waiters();
        }
    });
    join_all(polls).await;
}
