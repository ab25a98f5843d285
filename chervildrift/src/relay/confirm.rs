//! Confirmation of commits by a replica.
//!
//! A commit that only the primary has received is lost if the primary fails. A commit is therefore
//! acknowledged once one replica has shown that it received it, so that promoting the most advanced
//! replica preserves it. Replicas show their positions in replies to reads; otherwise they are
//! polled. The wait is limited by the settings; a commit that is still unconfirmed then is
//! acknowledged and logged.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, ReplicationState};
use chervildrift_core::types::{LogPosition, Service, Upstream};
use futures::future::join_all;
use slog::warn;
use tokio::time::{sleep, timeout};

use super::clock;
use super::log_quotas::RequestEvent;
use super::metrics::StatementPart;
use super::node::Node;
use super::replicas::{observe_replica, query_applied};
use super::response::Failure;

/// Number of polls that query the applied position only; a replica that has not applied the commit
/// by then lags too far to apply it soon.
const APPLIED_POLLS: u32 = 4;

/// Delay between polls; about the time that a commit takes to a replica in another region.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Commit that the leader has executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commit<'a> {
    /// Id of the caller's statement.
    pub id: &'a str,
    /// Service of the leader.
    pub service: &'a Service,
    /// Leader that executed the commit.
    pub leader: &'a Upstream,
    /// Log position of the commit.
    pub position: LogPosition,
}

/// Waits until a replica has received a commit, within the limit of the settings; fails if the
/// leader was replaced meanwhile.
pub(super) async fn await_confirmation(
    node: &Rc<Node>,
    commit: &Commit<'_>,
) -> Result<(), Failure> {
    let limit = Duration::from_millis(node.settings.confirm_ms);
    if limit.is_zero() || node.directory.borrow().of_service(commit.service).count() < 2 {
        return Ok(());
    }
    let epoch = node.with_group(commit.service, |group| group.epoch());
    let started = clock::now();
    // An unconfirmed commit is acknowledged after the timeout, and logged below.
    let _confirmed = timeout(limit, poll_until_received(node, commit)).await;
    let waited = clock::now().since(started);
    node.metrics
        .record_part(StatementPart::Confirmation, waited);
    let (still_leads, replication) = node.with_group(commit.service, |group| {
        let still_leads = group.leader() == Some(commit.leader) && group.epoch() == epoch;
        (still_leads, group.replication_state(commit.position))
    });
    if !still_leads || replication == ReplicationState::Superseded {
        let detail = "the primary was replaced before a replica confirmed the commit";
        return Err(Failure::new(Code::InDoubt, detail));
    }
    if replication == ReplicationState::Missing {
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
        let replication = node.with_group(commit.service, |group| {
            group.replication_state(commit.position)
        });
        replication == ReplicationState::Missing
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
            // Another task polls for a commit of the same service.
            node.replica_advanced.notified().await;
        }
    }
}

/// Marks a service as being polled until dropped, so that only one task polls its replicas at a
/// time.
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

/// Polls the replicas, only the nearest one at first and then all.
///
/// A query for the applied position takes no slot at the upstream. A query for the received
/// position, which may be ahead of it, takes one, so only later polls use it.
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
            node.with_group(commit.service, |group| {
                group.record_received(upstream, last);
            });
            node.replica_advanced.notify_waiters();
        }
    });
    join_all(polls).await;
}
