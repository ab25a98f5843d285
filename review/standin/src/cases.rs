//! Cases of the review. Each returns whether the rule was broken, or `None` if it could not run.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Fleet;
use crate::client::Client;

/// Number of processes of a small deployment.
const FLEET: usize = 3;

/// Time after which a database has run everything that was passed on to it.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Answer to orders; no database of these cases is ever to be replaced.
fn no_promotion(_request: &crate::http::Request) -> u16 {
    503
}

/// Compares what the databases ran with what the clients sent, by id.
fn count_unasked(fleet: &Fleet, sent: &HashMap<String, String>) -> usize {
    let mut unasked = 0;
    for run in fleet.group.runs().iter().filter(|run| run.id != "-") {
        let shown: String = run.text.chars().take(60).collect();
        match sent.get(&run.id) {
            None => {
                fleet
                    .record
                    .line(&format!("UNASKED: no client sent id={} {shown:?}", run.id));
                unasked += 1;
            }
            Some(text) if *text != run.text => {
                fleet.record.line(&format!(
                    "UNASKED: id={} was sent with {} bytes of text, run with {} bytes",
                    run.id,
                    text.len(),
                    run.text.len()
                ));
                unasked += 1;
            }
            Some(_) => {}
        }
    }
    fleet.record.line(&format!(
        "{unasked} statements were run that no client sent like that"
    ));
    unasked
}

/// A client's data field holds a line feed, which ends no line of the protocol.
pub fn line_feed(record: &Path) -> Option<bool> {
    let fleet = Fleet::start(FLEET, record, no_promotion)?;
    let mut sent = HashMap::new();
    for (index, vm) in fleet.vms.iter().enumerate() {
        let name = format!("client-{index}");
        let mut client = Client::start(vm.callers, "strict", &name, &fleet.record)?;
        let plain = format!("WRITE 1a{index} first");
        let separator = if fleet.trouble { "\n" } else { "_" };
        let note = format!(
            "WRITE 2b{index} lift at ten{separator}QUERY 00000000000bad0{index} WRITE 3c{index} taken"
        );
        for (step, text) in [plain, note].into_iter().enumerate() {
            let id = format!("5c0e7a21d94b{index:02}{step:02}");
            client.query(&id, &text);
            sent.insert(id, text);
        }
    }
    sleep(SETTLE);
    Some(count_unasked(&fleet, &sent) > 0)
}

/// Size of the data of a large write, well below the protocol's 1 MiB a message.
const LARGE_DATA: usize = 200_000;

/// Size of the pieces in which a client's machine sends a large message.
const PIECE: usize = 4_096;

/// Delay between the pieces.
const PIECE_DELAY: Duration = Duration::from_millis(10);

/// Sends one write piece by piece and waits for its response.
pub fn send_slowly(address: &str, id: &str, text: &str) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let _set = stream.set_nodelay(true);
    if stream.write_all(b"START strict u3f1\r\n").is_err() {
        return;
    }
    let mut ready = String::new();
    let read = BufReader::new(&stream).read_line(&mut ready);
    if read.is_err() || !ready.starts_with("READY I") {
        return;
    }
    let message = format!("QUERY {id} {}\r\n", large_text(text));
    for piece in message.as_bytes().chunks(PIECE) {
        if stream.write_all(piece).is_err() {
            return;
        }
        sleep(PIECE_DELAY);
    }
    sleep(SETTLE);
}

fn large_text(text: &str) -> String {
    format!("{text} {}", "x".repeat(LARGE_DATA))
}

/// Clients are killed while they send a large write.
pub fn killed_client(record: &Path) -> Option<bool> {
    let fleet = Fleet::start(FLEET, record, no_promotion)?;
    let mut sent = HashMap::new();
    let mut clients = Vec::new();
    for (index, vm) in fleet.vms.iter().enumerate() {
        let (id, text) = (
            format!("5c0e7a21d94b000{index}"),
            format!("WRITE 1a{index}"),
        );
        sent.insert(id.clone(), large_text(&text));
        let address = vm.callers.to_string();
        let program = std::env::current_exe().ok()?;
        let client = Command::new(program)
            .args(["send-slowly", &address, &id, &text])
            .spawn();
        fleet.record.line(&format!(
            "client-{index} begins to send id={id} {text:?} in pieces"
        ));
        clients.push(client.ok()?);
    }
    sleep(Duration::from_millis(200));
    for (index, client) in clients.iter_mut().enumerate() {
        if fleet.trouble {
            client.kill().ok()?;
            fleet.record.line(&format!("client-{index} killed"));
        }
        let _ended = client.wait();
    }
    sleep(SETTLE);
    Some(count_unasked(&fleet, &sent) > 0)
}

/// Writes of one session; the reply to each tenth is cut off before its end.
const WRITES: usize = 60;

/// A database's reply to a write is cut off before its end.
pub fn cut_reply(record: &Path) -> Option<bool> {
    let fleet = Fleet::start(FLEET, record, no_promotion)?;
    // Replicas are 20 ms behind, as on the site's sheet; nothing else is disturbed.
    let mut client = Client::start(fleet.vms[0].callers, "own", "client-0", &fleet.record)?;
    let mut stale = 0;
    for index in 0..WRITES {
        let cut = fleet.trouble && index % 10 == 9;
        if cut {
            fleet.group.cut_replies(1);
        }
        stale += usize::from(write_and_read(&fleet, &mut client, index));
        sleep(Duration::from_millis(50));
    }
    fleet.record.line(&format!(
        "{stale} reads ran on a log without the session's last commit"
    ));
    Some(stale > 0)
}

/// Writes an item and reads it in the same session; returns whether the read was stale.
fn write_and_read(fleet: &Fleet, client: &mut Client<'_>, index: usize) -> bool {
    let (item, data) = (format!("1a{}", index % 7), format!("value{index}"));
    let written = client.query(
        &format!("5c0e7a21d94b1{index:03}"),
        &format!("WRITE {item} {data}"),
    );
    if !written.is_success() {
        // Nothing is promised about this write.
        return false;
    }
    let asked_at = Instant::now();
    let id = format!("5c0e7a21d94b2{index:03}");
    let read = client.query(&id, &format!("READ {item}"));
    let Some(commit) = fleet.group.commit_number(&item, &data) else {
        return false;
    };
    let runs = fleet.group.runs();
    let run = runs
        .iter()
        .rev()
        .find(|run| run.id == id && run.at >= asked_at);
    let stale = read.is_success() && run.is_some_and(|run| run.number < commit);
    if stale {
        fleet.record.line(&format!(
            "STALE: the session's write of {item} was acknowledged as commit {commit}; its read ran \
             on a log that ends at {} and got {:?}",
            run.map_or(0, |run| run.number),
            read.rows
        ));
    }
    stale
}
