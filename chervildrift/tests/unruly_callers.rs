//! Crowds of callers that don't behave, at processes with little memory and few descriptors.
//!
//! Each test checks that the process lives, that its memory and descriptors stay within those of
//! its machine, and that an ordinary request is answered while the crowd is still there. The tests
//! run one at a time.

mod crowd;
mod fleet;
mod relay_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_standin::deployment::Options;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crowd::{Crowd, Resources, await_answer, connect, read_slowly, read_until, send, send_pieces};

/// Memory of the machine, in MiB.
const MEMORY_MB: usize = 96;

/// Sockets of the machine: its descriptors without those for files.
const SOCKETS: usize = 200;

/// Settings of a relaying VM on this machine.
const RELAY_SETTINGS: &str = "limits: {memory_mb: 96, file_descriptors: 400, message_ms: 3000, \
                              unread_ms: 3000}\n";

/// Settings of the callers' listener of a VM that serves HTTP on this machine.
const SERVE_SETTINGS: &str = ", memory_mb: 96, connections: 120, receive_ms: 3000, \
                              idle_ms: 3000, unread_ms: 3000";

/// Callers that send or receive large messages.
const CROWD: usize = 160;

/// Callers that only hold connections.
const LARGE_CROWD: usize = 500;

/// Data of a large statement; its message is within the limit of 1 MiB.
const LARGE_BYTES: usize = 1_000_000;

/// Data of a large HTTP request; its body is within the limit of 256 KiB.
const HTTP_BYTES: usize = 250 << 10;

/// Connections of a database that are too few for all VMs.
const FEW_CONNECTIONS: usize = 6;

/// VMs of a fleet of which most hold no connections to a database.
const VMS: usize = 7;

/// VMs with a crowd; at least one of them holds no connections to some database.
const CROWDED_VMS: usize = 3;

/// Time in which the VMs learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time for which a crowd acts before the resources are checked.
const CROWD_TIME: Duration = Duration::from_secs(5);

/// Keeps the tests apart, since each fills the machine's memory.
static TURN: Mutex<()> = Mutex::const_new(());

/// Starts a relaying VM, lets a crowd act, and checks the VM.
async fn check_relay<F>(count: usize, caller: impl Fn(SocketAddr, usize) -> F)
where
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let _turn = TURN.lock().await;
    let fleet = relay_fleet::Fleet::spawn_with(1, &Options::default(), RELAY_SETTINGS).await;
    let vm = &fleet.vms[0];
    let mut writer = vm.session("own").await;
    let large = "x".repeat(LARGE_BYTES);
    assert!(
        writer
            .run(&format!("WRITE large {large}"))
            .await
            .succeeded()
    );
    drop(writer);
    let resources = Resources::observe(vm.id());
    let crowd = Crowd::spawn(count, |number| caller(vm.callers, number));
    sleep(CROWD_TIME).await;
    let answered = await_answer(async || ordinary_request(vm.callers).await.is_some()).await;
    resources.check(MEMORY_MB, SOCKETS, answered);
    drop(crowd);
}

/// Starts a session and writes; `None` unless it succeeds.
async fn ordinary_request(address: SocketAddr) -> Option<()> {
    let request = async {
        let mut stream = open(address).await?;
        send(&mut stream, b"QUERY ordinary WRITE item value\r\n").await?;
        let response = read_until(&mut stream, "\r\n").await?;
        response.starts_with(b"COMPLETE sig.").then_some(())
    };
    timeout(Duration::from_secs(10), request).await.ok()?
}

/// Opens a session.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = connect(address).await?;
    send(&mut stream, b"START own crowd\r\n").await?;
    let response = read_until(&mut stream, "\r\n").await?;
    response.starts_with(b"READY I").then_some(stream)
}

/// Reads again and again until the session ends.
async fn read_forever(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = open(address).await?;
    loop {
        send(&mut stream, b"QUERY id READ item\r\n").await?;
        read_until(&mut stream, "READY I -\r\n").await?;
    }
}

/// Returns a large message that is within the limits.
fn large_message(number: usize) -> Vec<u8> {
    let data = "x".repeat(LARGE_BYTES);
    format!("QUERY id-{number} WRITE item-{number} {data}\r\n").into_bytes()
}

/// Returns the head of an HTTP request with a body of this length.
fn http_head(length: usize) -> Vec<u8> {
    let credential = fleet::CREDENTIAL;
    format!(
        "POST /v1/demo/look HTTP/1.1\r\nhost: demo\r\nauthorization: Bearer {credential}\r\n\
         content-length: {length}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns an HTTP request that reads `bytes` of data and has as large a body.
fn http_request(bytes: usize) -> Vec<u8> {
    let data = "x".repeat(bytes);
    let sql = format!("select '{data}'");
    let body = json!({ "key": "a", "statements": [{ "sql": sql }] }).to_string();
    [http_head(body.len()), body.into_bytes()].concat()
}

/// Guards against a limit that refuses a single message of the greatest size.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn single_message() {
    let _turn = TURN.lock().await;
    let fleet = relay_fleet::Fleet::spawn_with(1, &Options::default(), RELAY_SETTINGS).await;
    let mut session = fleet.vms[0].session("own").await;
    let start = "QUERY id WRITE item ";
    let data = "x".repeat((1 << 20) - start.len());
    for _ in 0..4 {
        let written = session.send(&format!("{start}{data}")).await;
        assert!(written.succeeded(), "{}", written.result);
        let read = session.run("READ item").await;
        assert!(read.succeeded(), "{}", read.result);
        assert_eq!(read.rows[0].len(), data.len());
    }
}

/// Guards against a process that runs out of memory when many large messages come at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn whole_messages() {
    check_relay(CROWD, |address, number| async move {
        let mut stream = open(address).await?;
        send(&mut stream, &large_message(number)).await?;
        read_until(&mut stream, "READY I -\r\n").await;
        Some(stream)
    })
    .await;
}

/// Guards against a process that runs out of memory when large messages come in small pieces.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn small_pieces() {
    check_relay(CROWD, |address, number| async move {
        let mut stream = open(address).await?;
        let message = large_message(number);
        send_pieces(&mut stream, &message, 1_000, Duration::from_millis(1)).await?;
        read_until(&mut stream, "READY I -\r\n").await;
        Some(stream)
    })
    .await;
}

/// Guards against a process that buffers messages far over the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn too_long() {
    check_relay(CROWD, |address, _| async move {
        let piece = vec![b'x'; 32 << 10];
        for _ in 0..4 {
            let mut stream = open(address).await?;
            // All callers reach the limit at about the same time.
            while send(&mut stream, &piece).await.is_some() {
                sleep(Duration::from_millis(20)).await;
            }
        }
        connect(address).await
    })
    .await;
}

/// Guards against a process that keeps what is sent ahead, and against a session whose state takes
/// all memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn sent_ahead() {
    check_relay(CROWD, |address, _| async move {
        let mut stream = open(address).await?;
        let value = "x".repeat(LARGE_BYTES);
        for number in 0..4 {
            let message = format!("QUERY id SET large-{number} {value}\r\n");
            send(&mut stream, message.as_bytes()).await?;
        }
        for number in 0..100_000 {
            let message = format!("QUERY id SET small-{number} x\r\n");
            send(&mut stream, message.as_bytes()).await?;
        }
        Some(stream)
    })
    .await;
}

/// Guards against a process that runs out of memory under messages that arrive slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_senders() {
    check_relay(CROWD, |address, number| async move {
        let mut stream = open(address).await?;
        let message = large_message(number);
        let (most, rest) = message.split_at(LARGE_BYTES - 1_000);
        send_pieces(&mut stream, most, 40_000, Duration::from_millis(100)).await?;
        send_pieces(&mut stream, rest, 1, Duration::from_millis(100)).await?;
        Some(stream)
    })
    .await;
}

/// Guards against a process that runs out of memory under answers that are read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_readers() {
    check_relay(CROWD, |address, _| async move {
        let mut stream = open(address).await?;
        for _ in 0..10 {
            send(&mut stream, b"QUERY id READ large\r\n").await?;
        }
        read_slowly(&mut stream).await;
        None
    })
    .await;
}

/// Guards against a process that runs out of descriptors or memory under callers that stop
/// half-way.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn stopped_half_way() {
    check_relay(LARGE_CROWD, |address, number| async move {
        if number % 3 == 0 {
            return connect(address).await;
        }
        if number % 3 == 1 {
            let mut stream = connect(address).await?;
            send(&mut stream, b"START ow").await?;
            return Some(stream);
        }
        let mut stream = open(address).await?;
        send(&mut stream, b"QUERY id BEGIN\r\n").await?;
        read_until(&mut stream, "READY T -\r\n").await?;
        send(&mut stream, &large_message(number)[..LARGE_BYTES]).await?;
        Some(stream)
    })
    .await;
}

/// Guards against a process that runs out of descriptors, since callers take those that its
/// connections to upstreams need.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn full_pools() {
    check_relay(LARGE_CROWD, |address, _| read_forever(address)).await;
}

/// Guards against processes that run out of descriptors under callers whose statements wait for
/// connections that other VMs hold.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn borrowed_connections() {
    let _turn = TURN.lock().await;
    let options = Options {
        max_connections: FEW_CONNECTIONS,
        ..Options::default()
    };
    let fleet = relay_fleet::Fleet::spawn_with(VMS, &options, RELAY_SETTINGS).await;
    sleep(SETTLE_TIME).await;
    let vms = &fleet.vms[..CROWDED_VMS];
    let resources: Vec<_> = vms.iter().map(|it| Resources::observe(it.id())).collect();
    let crowds = vms
        .iter()
        .map(|vm| Crowd::spawn(CROWD, |_| read_forever(vm.callers)));
    let crowds: Vec<Crowd> = crowds.collect();
    sleep(CROWD_TIME).await;
    for (vm, resources) in vms.iter().zip(&resources) {
        let answered = await_answer(async || ordinary_request(vm.callers).await.is_some()).await;
        resources.check(MEMORY_MB, SOCKETS, answered);
    }
    drop(crowds);
}

/// Guards against a VM that serves HTTP and runs out of memory, or answers no one any more, under
/// the same crowds one after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn http_crowds() {
    let _turn = TURN.lock().await;
    let fleet = fleet::Fleet::spawn_with("unruly", &["north"], SERVE_SETTINGS).await;
    let vm = &fleet.vms[0];
    let address = vm.callers;
    let resources = Resources::observe(vm.process.id());
    let mut crowds = Vec::new();
    crowds.push(Crowd::spawn(CROWD, |_| async move {
        let mut stream = connect(address).await?;
        for _ in 0..4 {
            send(&mut stream, &http_request(HTTP_BYTES)).await?;
            read_until(&mut stream, "}").await?;
        }
        Some(stream)
    }));
    sleep(CROWD_TIME).await;
    crowds.push(Crowd::spawn(CROWD, |_| async move {
        let mut stream = connect(address).await?;
        send_pieces(
            &mut stream,
            &http_request(HTTP_BYTES),
            1_000,
            Duration::from_millis(10),
        )
        .await?;
        Some(stream)
    }));
    sleep(CROWD_TIME).await;
    crowds.push(Crowd::spawn(CROWD, |_| async move {
        let mut stream = connect(address).await?;
        send(&mut stream, &http_head(1 << 30)).await?;
        let megabyte = vec![b'x'; 1 << 20];
        while send(&mut stream, &megabyte).await.is_some() {}
        None
    }));
    sleep(CROWD_TIME).await;
    // Messages sent ahead, whose answers are read slowly or not at all.
    crowds.push(Crowd::spawn(CROWD, |number| async move {
        let (mut read, mut write) = connect(address).await?.into_split();
        let send_ahead = async {
            for _ in 0..100 {
                send(&mut write, &http_request(HTTP_BYTES)).await?;
            }
            Some(())
        };
        let (sent, ()) = tokio::join!(send_ahead, async {
            if number % 2 == 0 {
                read_slowly(&mut read).await;
            }
        });
        sent.and_then(|()| read.reunite(write).ok())
    }));
    sleep(CROWD_TIME).await;
    // Callers that stop half-way through a head and a body.
    crowds.push(Crowd::spawn(LARGE_CROWD, |number| async move {
        let mut stream = connect(address).await?;
        let request = http_request(HTTP_BYTES);
        let sent = if number % 2 == 0 { 20 } else { HTTP_BYTES };
        send(&mut stream, &request[..sent]).await?;
        Some(stream)
    }));
    sleep(CROWD_TIME).await;
    let answered = await_answer(async || {
        let request = reqwest::Client::new()
            .post(format!("http://{address}/v1/demo/look"))
            .bearer_auth(fleet::CREDENTIAL)
            .body(r#"{"key":"a","statements":[{"sql":"select 1"}]}"#)
            .timeout(Duration::from_secs(10));
        request.send().await.is_ok_and(|it| it.status() == 200)
    })
    .await;
    resources.check(MEMORY_MB, SOCKETS, answered);
    drop(crowds);
}
