//! Platform, upstreams and VMs as separate processes, which are killed, stopped and frozen.

mod demo;
mod fleet;

use std::time::{Duration, Instant};

use chervildrift::upstream::{Connection, Login, Statement};
use chervildrift_standin::upstream::FAULT_USER;
use serde_json::json;

use demo::Session;
use fleet::{CREDENTIAL, Fleet, await_true};

/// Maximum time until all VMs use an accepted configuration.
const MAX_CONFIGURE_TIME: Duration = Duration::from_secs(4);

/// Maximum time without a confirmed write when a dispatcher is lost.
const MAX_DISPATCHER_GAP: Duration = Duration::from_secs(1);

/// Maximum time without a confirmed write when a primary is lost.
const MAX_PRIMARY_GAP: Duration = Duration::from_secs(3);

const ZONES: [&str; 3] = ["north", "south", "west"];

/// Writes numbers until `end` through the VMs `through` in turn; returns the confirmed numbers and
/// the longest time without one.
async fn write_until(
    fleet: &Fleet,
    through: &[usize],
    from: u32,
    end: Instant,
) -> (Vec<u32>, Duration) {
    let mut session = Session::new(CREDENTIAL);
    let (mut confirmed, mut gap, mut last) = (Vec::new(), Duration::ZERO, Instant::now());
    for id in from.. {
        let vm = fleet.vms[through[id as usize % through.len()]].callers;
        let sql = "insert into note values ($1)";
        let reply = session.run(vm, "save", sql, json!([id])).await;
        if reply.status == 200 {
            confirmed.push(id);
            gap = gap.max(last.elapsed());
            last = Instant::now();
        }
        if Instant::now() > end {
            break;
        }
    }
    (confirmed, gap.max(last.elapsed()))
}

async fn create_table(fleet: &Fleet) {
    let mut session = Session::new(CREDENTIAL);
    let sql = "create table note (id integer)";
    let reply = session
        .run(fleet.vms[0].callers, "save", sql, json!([]))
        .await;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
}

/// Checks that every confirmed number is written once, and no number more often.
async fn check_written_once(fleet: &Fleet, vm: usize, confirmed: &[u32]) {
    let mut session = Session::new(CREDENTIAL);
    let sql = "select id, count(*) from note group by id";
    let read = session
        .run(fleet.vms[vm].callers, "look", sql, json!([]))
        .await;
    let rows = read.body["results"][0]["rows"]
        .as_array()
        .expect("rows")
        .clone();
    for id in confirmed {
        let row = rows.iter().find(|row| row[0] == json!(id));
        let count = row.map_or(json!(0), |row| row[1].clone());
        assert_eq!(count, json!(1), "confirmed write {id}");
    }
    let repeated = rows.iter().filter(|row| row[1] != json!(1)).count();
    assert_eq!(repeated, 0, "writes that ran more than once");
}

/// Makes the replicas apply received changes one minute late.
async fn delay_replicas(fleet: &Fleet) {
    let login = Login {
        user: FAULT_USER.to_owned(),
        password: None,
        database: "chervildrift".to_owned(),
    };
    let sql = "SELECT chervildrift_fault('apply_lag_ms', 60000)".to_owned();
    let statement = Statement {
        sql,
        params: Vec::new(),
    };
    for address in &fleet.upstreams[1..] {
        let connection = Connection::open(*address, &login).await.expect("connects");
        connection.run(&statement).await.expect("sets the fault");
    }
}

/// Guards against a read through another process that misses an earlier write of its session,
/// with and without lagging replicas.
#[tokio::test]
async fn read_your_writes_across_processes() {
    let fleet = Fleet::spawn("own-writes-apart", &ZONES).await;
    create_table(&fleet).await;
    let mut session = Session::new(CREDENTIAL);
    for count in 1..=6 {
        if count == 4 {
            delay_replicas(&fleet).await;
        }
        let sql = "insert into note values ($1)";
        let writer = fleet.vms[count % 3].callers;
        let written = session.run(writer, "save", sql, json!([count])).await;
        assert_eq!(written.status, 200, "{:?}", written.body);
        let reader = fleet.vms[(count + 1) % 3].callers;
        let read = session
            .run(reader, "list", "select count(*) from note", json!([]))
            .await;
        assert_eq!(
            read.body["results"][0]["rows"][0][0],
            json!(count),
            "{:?}",
            read.body
        );
    }
}

/// Guards against a lost or repeated confirmed write, and a long gap, when the process of the
/// primary is killed.
#[tokio::test]
async fn killed_primary() {
    let fleet = Fleet::spawn("killed-primary", &ZONES).await;
    create_table(&fleet).await;
    let end = Instant::now() + Duration::from_secs(5);
    let kill = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.upstream(0).signal("KILL");
    };
    let ((confirmed, gap), ()) = tokio::join!(write_until(&fleet, &[0, 1, 2], 0, end), kill);
    assert!(gap < MAX_PRIMARY_GAP, "gap of {gap:?}");
    check_written_once(&fleet, 1, &confirmed).await;
}

/// Guards against callers that lose service when the VM that dispatches for the primary is killed
/// or frozen.
#[tokio::test]
async fn lost_dispatcher() {
    for signal in ["KILL", "STOP"] {
        let mut fleet = Fleet::spawn(&format!("lost-{signal}"), &ZONES).await;
        fleet.add_vm("north");
        fleet.await_ready().await;
        create_table(&fleet).await;
        let end = Instant::now() + Duration::from_secs(3);
        // The VMs of the primary's availability zone are the first and the last.
        let inject_fault = async {
            tokio::time::sleep(Duration::from_millis(800)).await;
            fleet.vms[0].process.signal(signal);
        };
        let ((confirmed, gap), ()) =
            tokio::join!(write_until(&fleet, &[1, 2], 0, end), inject_fault);
        assert!(gap < MAX_DISPATCHER_GAP, "{signal}: gap of {gap:?}");
        check_written_once(&fleet, 1, &confirmed).await;
        if signal == "STOP" {
            // Requests that the frozen VM was processing must not run again when it continues.
            fleet.vms[0].process.signal("CONT");
            let end = Instant::now() + Duration::from_secs(1);
            let (later, _) = write_until(&fleet, &[0, 1, 2], 1_000_000, end).await;
            check_written_once(&fleet, 1, &confirmed).await;
            check_written_once(&fleet, 2, &later).await;
        }
    }
}

/// Guards against a planned stop that cuts off a request in flight.
#[tokio::test]
async fn planned_stop() {
    let mut fleet = Fleet::spawn("planned-stop", &ZONES).await;
    create_table(&fleet).await;
    let end = Instant::now() + Duration::from_millis(2_500);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.vms[0].process.signal("TERM");
    };
    let writers = async {
        // Writes through the stopping VM only while it is ready, and through the others throughout.
        let ready = Instant::now() + Duration::from_millis(600);
        tokio::join!(
            write_until(&fleet, &[0], 1_000_000, ready),
            write_until(&fleet, &[1, 2], 0, end)
        )
    };
    let (((stopping, _), (confirmed, gap)), ()) = tokio::join!(writers, stop);
    assert!(gap < MAX_DISPATCHER_GAP, "gap of {gap:?}");
    assert!(fleet.vms[0].process.wait(), "the stop cut off a request");
    check_written_once(&fleet, 1, &stopping).await;
    check_written_once(&fleet, 1, &confirmed).await;
}

/// Guards against a configuration that reaches some VMs late, and against losing one of two
/// concurrent publishes without an error.
#[tokio::test]
async fn concurrent_publishes() {
    let fleet = Fleet::spawn("racing-operators", &ZONES).await;
    let kind =
        |name: &str| format!("  - {{name: {name}, rank: bulk, access: read, deadline_ms: 900}}\n");
    let (one, two) = (
        fleet.declaration(&kind("one")),
        fleet.declaration(&kind("two")),
    );
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.publish("first", &one));
        let second = scope.spawn(|| fleet.publish("second", &two));
        (first.join().expect("runs"), second.join().expect("runs"))
    });
    assert!(first || second, "both publishes failed");
    let wanted = 1 + u64::from(first) + u64::from(second);
    let start = Instant::now();
    for vm in 0..fleet.vms.len() {
        await_true("the VM does not use the new generation", async || {
            fleet.generation(vm).await >= wanted
        })
        .await;
    }
    assert!(
        start.elapsed() < MAX_CONFIGURE_TIME,
        "took {:?}",
        start.elapsed()
    );
}

/// Guards against a VM that starts without a configuration, or with an older one, while the
/// platform is down.
#[tokio::test]
async fn restart_without_platform() {
    let mut fleet = Fleet::spawn("restart-without-platform", &ZONES).await;
    assert!(fleet.publish("second", &fleet.declaration("")));
    await_true("the VM does not use the new generation", async || {
        fleet.generation(0).await == 2
    })
    .await;
    let faults = json!({ "down": true });
    let url = format!("http://{}/faults", fleet.platform);
    reqwest::Client::new()
        .put(url)
        .json(&faults)
        .send()
        .await
        .expect("sets the fault");
    fleet.add_vm("north");
    fleet.await_ready().await;
    assert_eq!(fleet.generation(3).await, 2);
    create_table(&fleet).await;
}

/// Guards against requests to an upstream that the platform lists as leaving.
#[tokio::test]
async fn leaving_upstream() {
    let fleet = Fleet::spawn("leaving-upstream", &ZONES).await;
    create_table(&fleet).await;
    let entry = json!({
        "name": "demo-0", "address": fleet.upstreams[0], "zone": "north", "state": "leaving",
    });
    let url = format!("http://{}/vms/demo-0", fleet.platform);
    reqwest::Client::new()
        .put(url)
        .json(&entry)
        .send()
        .await
        .expect("lists the upstream");
    let end = Instant::now() + Duration::from_secs(4);
    let (confirmed, gap) = write_until(&fleet, &[0, 1, 2], 0, end).await;
    assert!(gap < MAX_PRIMARY_GAP, "gap of {gap:?}");
    let mut session = Session::new(CREDENTIAL);
    for vm in &fleet.vms {
        for kind in ["look", "list"] {
            let read = session.run(vm.callers, kind, "select 1", json!([])).await;
            assert_ne!(read.body["served_by"], json!("demo-0"), "{:?}", read.body);
        }
    }
    check_written_once(&fleet, 1, &confirmed).await;
}

/// Guards against a transaction that takes effect although the VM with its connection was killed
/// before the commit.
#[tokio::test]
async fn killed_transaction() {
    let fleet = Fleet::spawn("killed-transaction", &ZONES).await;
    create_table(&fleet).await;
    let [first, second] = [fleet.vms[0].callers, fleet.vms[1].callers];
    let mut session = Session::new(CREDENTIAL);
    let body = r#"{"key":"a","statements":[{"sql":"insert into note values (1)"}]}"#;
    let opened = session
        .post(second, "/v1/demo/save/transactions", body)
        .await;
    let id = opened.body["transaction"]
        .as_str()
        .expect("an identifier")
        .to_owned();
    // The dispatcher of the primary is the only VM of its availability zone.
    fleet.vms[0].process.signal("KILL");
    let commit = format!("/v1/transactions/{id}/commit");
    let committed = session.post(second, &commit, "").await;
    assert_ne!(committed.status, 200, "{:?}", committed.body);
    assert!(
        ["failed", "unknown", "not_run"].contains(&committed.state()),
        "{:?}",
        committed.body
    );
    let sql = "select count(*) from note";
    let read = session.run(second, "look", sql, json!([])).await;
    assert_eq!(
        read.body["results"][0]["rows"][0][0],
        json!(0),
        "{:?}",
        read.body
    );
    assert_ne!(first, second);
}

/// Guards against VMs that keep the primary on an upstream that was listed as leaving before they
/// started.
#[tokio::test]
async fn leaving_before_start() {
    let mut fleet = Fleet::spawn("leaving-before-start", &[]).await;
    let entry = json!({
        "name": "demo-0", "address": fleet.upstreams[0], "zone": "north", "state": "leaving",
    });
    let url = format!("http://{}/vms/demo-0", fleet.platform);
    reqwest::Client::new()
        .put(url)
        .json(&entry)
        .send()
        .await
        .expect("lists the upstream");
    for zone in ZONES {
        fleet.add_vm(zone);
    }
    fleet.await_ready().await;
    let vm = fleet.vms[1].callers;
    await_true("the primary stays on a leaving upstream", async || {
        let mut session = Session::new(CREDENTIAL);
        let read = session.run(vm, "look", "select 1", json!([])).await;
        read.status == 200 && read.body["served_by"] != json!("demo-0")
    })
    .await;
}
