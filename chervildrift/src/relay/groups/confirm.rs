//! Confirmation of commits by a replica.
//!
//! A commit that only the primary has received is lost if the primary fails. A commit is therefore
//! acknowledged once one replica has shown that it received it, so that promoting the most advanced
//! replica preserves it. Replicas show their positions in replies to reads; otherwise they are
//! polled. The wait is limited by the settings; a commit that is still unconfirmed then is
//! acknowledged and logged.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, Peer, ReplicationState};
use chervildrift_core::types::{LogPosition, Service, Upstream};
use futures::future::join_all;
use slog::warn;
use tokio::time::{sleep, timeout};

use crate::relay::clock;
use crate::relay::connections::checkout::MAX_HOLDERS_ASKED;
use crate::relay::fleet::link::{LinkRequest, LinkResponse, ReceiptMessage};
use crate::relay::groups::replicas::{observe_replica, query_applied};
use crate::relay::log_quotas::RequestEvent;
use crate::relay::metrics::StatementPart;
use crate::relay::node::Node;
use crate::relay::sessions::response::Failure;

/// Number of polls that query the applied position only; a replica that has not applied the commit
/// by then lags too far to apply it soon.
const APPLIED_POLLS: u32 = 4;

/// Delay between polls; about the time that a commit takes to a replica in another region.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay between polls on behalf of other VMs; a replica is near its holders.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Commit that the leader has executed.
#[derive(Clone, Copy, Debug)]
pub(in crate::relay) struct Commit<'a> {
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
pub(in crate::relay) async fn await_confirmation(
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
    let (held, others): (Vec<_>, Vec<_>) = nearest_replicas(node, commit)
        .into_iter()
        .partition(|upstream| node.holds(upstream));
    let awaited = others
        .iter()
        .map(|upstream| request_receipt(node, commit, upstream));
    let awaited = join_all(awaited);
    if held.is_empty() {
        let received = await_replication(node, commit);
        tokio::select! {
            _answered = awaited => {}
            () = received => {}
        }
        return;
    }
    tokio::select! {
        () = poll_held(node, commit, &held) => {}
        // Ends early only if a position arrived that confirms the commit.
        () = async { awaited.await; await_replication(node, commit).await } => {}
    }
}

/// Waits until a position that confirms the commit has been recorded.
async fn await_replication(node: &Rc<Node>, commit: &Commit<'_>) {
    loop {
        let advanced = node.replica_advanced.notified();
        if !is_missing(node, commit) {
            return;
        }
        advanced.await;
    }
}

fn is_missing(node: &Rc<Node>, commit: &Commit<'_>) -> bool {
    let replication = node.with_group(commit.service, |group| {
        group.replication_state(commit.position)
    });
    replication == ReplicationState::Missing
}

/// Asks a holder of a replica to wait until that has received the commit.
async fn request_receipt(node: &Rc<Node>, commit: &Commit<'_>, upstream: &Upstream) {
    let Some(pool) = node.pool(upstream) else {
        return;
    };
    let failed_at = |peer: &Peer| node.links.failed_at(peer.address);
    let candidates = pool
        .holders()
        .candidates(&node.settings.vm, clock::now(), failed_at);
    let message = LinkRequest::AwaitReceived(ReceiptMessage {
        service: commit.service.clone(),
        upstream: upstream.clone(),
        position: commit.position,
        limit_ms: node.settings.confirm_ms,
    });
    for peer in candidates.iter().take(MAX_HOLDERS_ASKED) {
        let exchange = async {
            let mut link = node.links.take(peer.address).await.ok()?;
            link.send(&message).await.ok()?;
            match link.receive().await? {
                LinkResponse::Position(position) => {
                    node.links.put(peer.address, link);
                    position
                }
                _ => None,
            }
        };
        if let Some(position) = exchange.await {
            node.with_group(commit.service, |group| {
                group.record_received(upstream, position);
            });
            node.replica_advanced.notify_waiters();
            return;
        }
    }
}

/// Waits on behalf of another VM until a replica has received a commit; returns the position that
/// the replica has received by then, if any is known.
pub(in crate::relay) async fn await_receipt(
    node: &Rc<Node>,
    message: &ReceiptMessage,
) -> Option<LogPosition> {
    let received = || {
        node.with_group(&message.service, |group| {
            group.received_position(&message.upstream)
        })
    };
    if !node.holds(&message.upstream) {
        return None;
    }
    let wait = async {
        let mut polls_done = 0;
        while received().is_none_or(|position| !position.covers(message.position)) {
            let acquired = node
                .polled_replicas
                .borrow_mut()
                .insert(message.upstream.clone());
            if !acquired {
                node.replica_advanced.notified().await;
                continue;
            }
            let _guard = ReplicaGuard {
                node,
                upstream: &message.upstream,
            };
            if polls_done > 0 {
                sleep(HELD_POLL_INTERVAL).await;
            }
            poll_replica(node, &message.service, &message.upstream, polls_done).await;
            polls_done += 1;
        }
    };
    // After the timeout the other VM learns the position known by then.
    let _received = timeout(Duration::from_millis(message.limit_ms), wait).await;
    received()
}

/// Marks a replica as being polled until dropped, so that only one task polls it at a time.
struct ReplicaGuard<'a> {
    node: &'a Node,
    upstream: &'a Upstream,
}

impl Drop for ReplicaGuard<'_> {
    fn drop(&mut self) {
        self.node.polled_replicas.borrow_mut().remove(self.upstream);
        self.node.replica_advanced.notify_waiters();
    }
}

/// Polls the replicas that this VM holds connections to.
async fn poll_held(node: &Rc<Node>, commit: &Commit<'_>, replicas: &[Upstream]) {
    let mut polls_done = 0;
    while is_missing(node, commit) {
        let acquired = node
            .confirming_services
            .borrow_mut()
            .insert(commit.service.clone());
        if acquired {
            let _guard = PollGuard {
                node,
                service: commit.service,
            };
            poll_replicas(node, commit, replicas, polls_done).await;
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

/// Returns the replicas of the commit's service, nearest first.
fn nearest_replicas(node: &Rc<Node>, commit: &Commit<'_>) -> Vec<Upstream> {
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
    replicas.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Polls the replicas, only the nearest one at first and then all.
async fn poll_replicas(
    node: &Rc<Node>,
    commit: &Commit<'_>,
    replicas: &[Upstream],
    polls_done: u32,
) {
    let mut polled = replicas;
    if polls_done == 0 {
        polled = &replicas[..1];
    } else {
        sleep(POLL_INTERVAL).await;
    }
    let polls = polled
        .iter()
        .map(|upstream| poll_replica(node, commit.service, upstream, polls_done));
    join_all(polls).await;
}

/// Polls one replica.
///
/// A query for the applied position takes no slot at the upstream. A query for the received
/// position, which may be ahead of it, takes one, so only later polls use it.
async fn poll_replica(node: &Rc<Node>, service: &Service, upstream: &Upstream, polls_done: u32) {
    if polls_done >= APPLIED_POLLS {
        observe_replica(node, service, upstream).await;
    } else if let Some(last) = query_applied(node, upstream).await {
        node.with_group(service, |group| {
            group.record_received(upstream, last);
        });
        node.replica_advanced.notify_waiters();
    }
}
