//! Statements that run on connections which other VMs hold.

mod relay_fleet;

use std::time::Duration;

use chervildrift_standin::deployment::Options;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use relay_fleet::{Fleet, Session, await_true};

/// Connections of each database, too few for an even share of two for each VM.
const CONNECTIONS: usize = 6;

const VMS: usize = 7;

/// Timeout of a write after holders were lost, within the latency objective of the slowest route.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

async fn spawn_fleet() -> Fleet {
    let options = Options {
        max_connections: CONNECTIONS,
        ..Options::default()
    };
    let fleet = Fleet::spawn(VMS, &options).await;
    await_true("counted VMs", async || {
        let counts = |vm: &relay_fleet::Vm| {
            let log = vm.log();
            log.iter().any(|line| line["vms"] == VMS)
        };
        fleet.vms.iter().all(counts)
    })
    .await;
    fleet
}

/// Guards against VMs that open more connections together than a database accepts, and against
/// statements, transactions and session state that do not work through a holder.
#[tokio::test(flavor = "multi_thread")]
async fn few_connections() {
    let fleet = spawn_fleet().await;
    let refused = fleet.platform.databases.refused_connections();
    let mut sessions = Vec::new();
    for vm in &fleet.vms {
        sessions.push(vm.session("own").await);
    }
    for (number, session) in sessions.iter_mut().enumerate() {
        let item = format!("i{number}");
        assert!(session.run(&format!("WRITE {item} 1")).await.succeeded());
        assert_eq!(session.run(&format!("READ {item}")).await.rows, ["1"]);
        session.run(&format!("SET zone {item}")).await;
        session.run("PREPARE p READ q1").await;
        let response = session.run(&format!("EXECUTE p {item}")).await;
        assert!(response.succeeded(), "{response:?}");
        session.run("BEGIN").await;
        assert!(session.run(&format!("WRITE {item} 2")).await.succeeded());
        assert_eq!(session.run(&format!("READ {item}")).await.rows, ["2"]);
        assert!(session.run("COMMIT").await.succeeded());
        session.run("BEGIN").await;
        assert!(session.run(&format!("WRITE {item} 3")).await.succeeded());
        session.run("ROLLBACK").await;
        assert_eq!(session.run(&format!("READ {item}")).await.rows, ["2"]);
    }
    let databases = &fleet.platform.databases;
    assert_eq!(databases.refused_connections(), refused);
    for (number, execution) in databases.executions().iter().enumerate() {
        let zone = execution.variables.get("zone");
        let is_prepared = execution.text.starts_with("q1 ");
        assert!(!is_prepared || zone.is_some(), "{number}: {execution:?}");
    }
}

/// Writes through a VM until it succeeds; every other answer has to say that it has not run.
async fn write_until_served(session: &mut Session, item: &str) {
    let writing = async {
        loop {
            let response = session.run(&format!("WRITE {item} 1")).await;
            if response.succeeded() {
                return;
            }
            assert!(
                ["BUSY", "INDOUBT"].contains(&response.code()),
                "{response:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let served = tokio::time::timeout(RECOVERY_TIMEOUT, writing).await;
    assert!(served.is_ok(), "no write of {item} in time");
}

/// Guards against callers that are not served any more when holders are killed, and against
/// callers of other VMs that are cut off when a holder stops.
#[tokio::test(flavor = "multi_thread")]
async fn lost_holders() {
    let mut fleet = spawn_fleet().await;
    let mut sessions = Vec::new();
    for vm in &fleet.vms[..4] {
        sessions.push(vm.session("strict").await);
    }
    for lost in [6, 5] {
        drop(fleet.vms.remove(lost));
        for (number, session) in sessions.iter_mut().enumerate() {
            write_until_served(session, &format!("killed{lost}x{number}")).await;
        }
    }
    // One transaction, since the remaining holders have one connection each.
    sessions[0].run("BEGIN").await;
    let response = sessions[0].run("READ x").await;
    assert!(response.succeeded(), "{response:?}");
    fleet.vms[4].signal("TERM");
    let response = sessions[0].run("COMMIT").await;
    assert!(response.succeeded(), "{response:?}");
    for (number, session) in sessions.iter_mut().enumerate() {
        write_until_served(session, &format!("stopped{number}")).await;
    }
    assert!(fleet.vms[4].wait());
}

/// Guards against a VM that ends when another process sends it a malformed message.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let nested = format!("{}\n", "[".repeat(1 << 20));
    let huge = "{\"v\":{\"routes\":99999999999999999999999,\"entries\":0,\"peers\":0}}\n";
    let late = "{\"a\":{\"upstream\":\"i-0\",\"kind\":\"k\",\"rank\":\"urgent\",\
        \"caller\":\"c\",\"remaining_ms\":18446744073709551615,\"state\":{}}}\n";
    for message in [nested.as_str(), huge, late, "\u{0}\n", "{\"f\":\"Odd\"}\n"] {
        let mut stream = TcpStream::connect(fleet.vms[0].peers)
            .await
            .expect("a peer");
        stream.write_all(message.as_bytes()).await.expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut session = fleet.vms[0].session("own").await;
    assert!(session.run("WRITE x 1").await.succeeded());
}
