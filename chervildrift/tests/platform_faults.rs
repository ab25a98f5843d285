//! The platform client against the stand-in and its faults.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use chervildrift::control_store::{
    Condition, DeleteResult, Error, Limits, ListedRecord, Platform, ScanQuery, VmState, WriteResult,
};
use chervildrift_standin::platform::{self, Faults, Handle, Options, Vm};
use serde_json::{Value, json};

fn limits() -> Limits {
    Limits {
        request_timeout: Duration::from_millis(300),
        base_backoff: Duration::from_millis(20),
        ..Limits::default()
    }
}

fn open_platform() -> (Handle, Platform) {
    let handle = platform::spawn(&Options::default()).unwrap();
    let client = Platform::open(handle.address(), limits()).unwrap();
    (handle, client)
}

fn expect_written(written: Result<WriteResult, Error>) -> chervildrift::control_store::Tag {
    match written.unwrap() {
        WriteResult::Done(tag) => tag,
        WriteResult::Conflict(tag) => panic!("conflict with {tag:?}"),
    }
}

/// Guards against a conditional write that ignores its condition, and against keys that are
/// altered by their encoding in the path.
#[tokio::test]
async fn conditional_writes() {
    let (_handle, client) = open_platform();
    let key = "a/b ?#%..ü";
    assert_eq!(client.read::<Value>("t", key).await, Ok(None));
    let first = expect_written(client.write("t", key, &json!(1), &Condition::Absent).await);
    let again = client.write("t", key, &json!(2), &Condition::Absent).await;
    assert_eq!(again, Ok(WriteResult::Conflict(Some(first.clone()))));
    let unchanged = Condition::Unchanged(first.clone());
    let second = expect_written(client.write("t", key, &json!(3), &unchanged).await);
    let stale = client.write("t", key, &json!(4), &unchanged).await;
    assert_eq!(stale, Ok(WriteResult::Conflict(Some(second.clone()))));
    let row = client.read::<Value>("t", key).await.unwrap().unwrap();
    assert_eq!((row.tag, row.value), (second.clone(), json!(3)));
    let stale = client.delete("t", key, &unchanged).await;
    assert_eq!(stale, Ok(DeleteResult::Conflict(Some(second.clone()))));
    let delete = client.delete("t", key, &Condition::Unchanged(second)).await;
    assert_eq!(delete, Ok(DeleteResult::Done));
    let delete = client.delete("t", key, &Condition::Always).await;
    assert_eq!(delete, Ok(DeleteResult::Missing));
    let relative = client.read::<Value>("t", "..").await;
    assert_eq!(relative, Err(Error::InvalidName));
}

/// Guards against scans that ignore prefix, start or limit, and against objects that can't be read
/// back by their hash.
#[tokio::test]
async fn scans_and_objects() {
    let (_handle, client) = open_platform();
    for key in ["a1", "a2", "a3", "b1"] {
        expect_written(
            client
                .write("t", key, &json!(key), &Condition::Always)
                .await,
        );
    }
    let scan = ScanQuery {
        prefix: "a",
        after: Some("a1"),
        limit: Some(1),
    };
    let found: Vec<ListedRecord<String>> = client.scan("t", scan).await.unwrap();
    assert_eq!(found.len(), 1);
    assert_eq!((&*found[0].key, &*found[0].value), ("a2", "a2"));
    let hash = client.put_object(b"bundle").await.unwrap().to_string();
    let object = client.get_object(&hash).await.unwrap();
    assert_eq!(object.unwrap(), b"bundle");
    assert_eq!(client.get_object(&"0".repeat(64)).await, Ok(None));
}

/// Guards against VMs of the list that are lost or misread.
#[tokio::test]
async fn listed_vms() {
    let (handle, client) = open_platform();
    for (name, address) in [("a", "127.0.0.1"), ("b", "127.0.0.2:70"), ("c", "nowhere")] {
        handle.put_vm(Vm {
            name: name.into(),
            address: address.into(),
            zone: "gore".into(),
            state: platform::VmState::Leaving,
        });
    }
    let vms = client.list_vms().await.unwrap();
    let addresses: Vec<_> = vms.iter().map(|vm| vm.address.to_string()).collect();
    assert_eq!(addresses, ["127.0.0.1:0", "127.0.0.2:70"]);
    assert_eq!(vms[0].state, VmState::Leaving);
}

/// Guards against calls that hang or have an unknown outcome while the platform is down.
#[tokio::test]
async fn platform_down() {
    let (handle, client) = open_platform();
    handle.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(
        client.read::<Value>("t", "k").await,
        Err(Error::Unavailable)
    );
    let write = client.write("t", "k", &json!(1), &Condition::Absent).await;
    assert_eq!(write, Err(Error::Unavailable));
    handle.set_faults(Faults::default());
    assert_eq!(client.read::<Value>("t", "k").await, Ok(None));
    handle.stop().await;
    assert_eq!(client.list_vms().await, Err(Error::Unavailable));
    let write = client.write("t", "k", &json!(1), &Condition::Absent).await;
    assert_eq!(write, Err(Error::Unavailable));
}

/// Guards against reads that are not retried during a short outage.
#[tokio::test]
async fn short_outage() {
    let (handle, client) = open_platform();
    expect_written(client.write("t", "k", &json!(1), &Condition::Absent).await);
    handle.set_faults(Faults {
        slow_ms: 1000,
        ..Faults::default()
    });
    let read = client.read::<Value>("t", "k");
    let recover = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        handle.set_faults(Faults::default());
    };
    let (row, ()) = tokio::join!(read, recover);
    assert_eq!(row.unwrap().unwrap().value, json!(1));
}

/// Guards against calls that exceed their time limits because the platform is slow, and against
/// a write without an answer that is reported as not done.
#[tokio::test]
async fn platform_slow() {
    let (handle, client) = open_platform();
    handle.set_faults(Faults {
        slow_ms: 600,
        ..Faults::default()
    });
    let start = Instant::now();
    let write = client.write("t", "k", &json!(1), &Condition::Absent).await;
    assert_eq!(write, Err(Error::Unknown));
    assert!(start.elapsed() < limits().request_timeout * 2);
    let start = Instant::now();
    let read = client.read::<Value>("t", "other").await;
    assert_eq!(read, Err(Error::NoAnswer));
    assert!(
        start.elapsed()
            < (limits().request_timeout + limits().base_backoff * 4) * limits().attempts
    );
}

/// Guards against a write that is repeated, or reported as failed, after its answer was lost.
#[tokio::test]
async fn lost_answer() {
    let (handle, client) = open_platform();
    let lose_one = Faults {
        lose_answer: 1,
        ..Faults::default()
    };
    let first = expect_written(client.write("t", "k", &json!(1), &Condition::Absent).await);
    handle.set_faults(lose_one);
    let condition = Condition::Unchanged(first);
    let write = client.write("t", "k", &json!(2), &condition).await;
    assert_eq!(write, Err(Error::Unknown));
    let row = client.read::<Value>("t", "k").await.unwrap().unwrap();
    assert_eq!(row.value, json!(2));
    handle.set_faults(lose_one);
    client.put_object(b"bundle").await.unwrap();
    assert_eq!(handle.faults().lose_answer, 0);
}

/// Guards against oversized answers and records, which would fill the memory.
#[tokio::test]
async fn oversized_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 1024]);
        let _ =
            socket.write_all(b"HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 99999999\r\n\r\n");
        while socket.write_all(&[b' '; 4096]).is_ok() {}
    });
    let client = Platform::open(address, limits()).unwrap();
    let read = client.read::<Value>("t", "k").await;
    assert_eq!(read, Err(Error::TooLarge(limits().record_bytes)));
    let oversized = "x".repeat(limits().record_bytes);
    let write = client.write("t", "k", &oversized, &Condition::Always).await;
    assert_eq!(write, Err(Error::TooLarge(limits().record_bytes)));
}
