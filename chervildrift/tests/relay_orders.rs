//! Orders to promote that the platform carries out late.

mod relay_fleet;

use std::time::{Duration, Instant};

use chervildrift_standin::deployment::{DatabaseGroup, Options};

use relay_fleet::{Fleet, Vm, await_true};

/// Time after which the platform carries out an order.
const ORDER_DELAY: Duration = Duration::from_secs(3);

/// Delay with which the old primary receives the commits of its successor, below `confirm_ms`.
const RECEIVE_DELAY: Duration = Duration::from_millis(100);

/// Time for which callers write; it covers all orders that were sent during the failover.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// Options of a service with slow promotions.
fn slow_promotions(sync_replicas: usize) -> Options {
    Options {
        sync_replicas,
        promotion_time: Duration::from_secs(1),
        ..Options::default()
    }
}

/// Starts one VM whose orders are unanswered and late, and makes the primary unresponsive until a
/// replacement has been ordered; returns the fleet and the index of the ordered replica.
async fn order_replacement(sync_replicas: usize) -> (Fleet, usize) {
    let fleet = Fleet::spawn(1, &slow_promotions(sync_replicas)).await;
    let databases = &fleet.platform.databases;
    let mut session = fleet.vms[0].session("strict").await;
    assert!(session.run("WRITE first 1").await.succeeded());
    databases.delay_orders(u32::MAX, ORDER_DELAY);
    databases.set_unresponsive(0, true);
    await_true("order", async || fleet.vms[0].logged("promotion ordered")).await;
    databases.set_unresponsive(0, false);
    let target = ordered_target(&fleet.vms[0]);
    (fleet, target)
}

/// Returns the index of the replica that a VM has ordered to be promoted.
fn ordered_target(vm: &Vm) -> usize {
    let log = vm.log();
    let order = log.iter().find(|line| line["msg"] == "promotion ordered");
    let target = order.expect("an order")["upstream"].as_str();
    let member = (0..3).find(|it| target == Some(&DatabaseGroup::member_id(*it)));
    member.expect("a member")
}

/// Writes new items through a VM for a while and calls `observe` after each write; returns the items
/// whose writes were acknowledged.
async fn write_items(vm: &Vm, mut observe: impl FnMut()) -> Vec<String> {
    let start = Instant::now();
    let mut acknowledged = Vec::new();
    let mut session = vm.session("strict").await;
    for number in 0.. {
        let item = format!("k{number}");
        let response = session.run(&format!("WRITE {item} kept")).await;
        if response.succeeded() {
            acknowledged.push(item);
        }
        observe();
        if start.elapsed() >= WRITE_TIME {
            break;
        }
        if response.ready.is_empty() {
            session = vm.session("strict").await;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    acknowledged
}

/// Asserts that the primary has all acknowledged items.
fn assert_kept(fleet: &Fleet, acknowledged: &[String]) {
    let databases = &fleet.platform.databases;
    let is_lost = |item: &&String| databases.value(item).as_deref() != Some("kept");
    let lost: Vec<&String> = acknowledged.iter().filter(is_lost).collect();
    assert!(lost.is_empty(), "{} lost: {lost:?}", lost.len());
}

/// Writes while late orders are carried out and calls `disturb` once the primary has changed; returns
/// the acknowledged items and the primaries one after another.
async fn write_through_changes(
    fleet: &Fleet,
    disturb: impl Fn(&DatabaseGroup),
) -> (Vec<String>, Vec<usize>) {
    let databases = &fleet.platform.databases;
    let mut leaders = vec![0];
    let acknowledged = write_items(&fleet.vms[0], || {
        let leader = databases.primary().filter(|it| leaders.last() != Some(it));
        if let Some(leader) = leader {
            leaders.push(leader);
            disturb(databases);
        }
    })
    .await;
    (acknowledged, leaders)
}

/// Guards against the loss of commits by late orders that name the old primary: they replace its
/// successor, whose commits it lacks.
#[tokio::test(flavor = "multi_thread")]
async fn late_revocations() {
    let (fleet, target) = order_replacement(1).await;
    let (acknowledged, leaders) = write_through_changes(&fleet, |databases| {
        // The old primary receives no commits of its successor.
        databases.set_replication_cut(0, true);
    })
    .await;
    assert_kept(&fleet, &acknowledged);
    assert_eq!(leaders, [0, target]);
    assert!(fleet.platform.databases.fenced_members().is_empty());
}

/// Guards against late orders that name the old primary and roll back commits which the VM has
/// confirmed by a replica, on a service that waits for no replica itself.
#[tokio::test(flavor = "multi_thread")]
async fn asynchronous_revocations() {
    let (fleet, _) = order_replacement(0).await;
    let (acknowledged, leaders) = write_through_changes(&fleet, |databases| {
        databases.set_receive_delay(0, RECEIVE_DELAY);
    })
    .await;
    assert!(leaders.len() > 1, "{leaders:?}");
    assert_kept(&fleet, &acknowledged);
}

/// Guards against the loss of commits that other replicas acknowledge while a late order may still
/// promote one that has stopped receiving.
#[tokio::test(flavor = "multi_thread")]
async fn deaf_target() {
    let (fleet, target) = order_replacement(1).await;
    let databases = &fleet.platform.databases;
    databases.set_replication_cut(target, true);
    let acknowledged = write_items(&fleet.vms[0], || {}).await;
    assert_kept(&fleet, &acknowledged);
    assert_eq!(databases.primary(), Some(target));
    assert!(!acknowledged.is_empty(), "no write after the promotion");
}
