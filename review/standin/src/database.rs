//! Service of one primary and replicas, in the platform's line protocol.
//!
//! A line ends with CR LF, as the protocol page says; an incomplete line at the end of a connection
//! is no message.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;

/// Name of the service.
pub const SERVICE: &str = "ring-ledger";

/// Term of the first primary.
const FIRST_TERM: u64 = 3;

/// Number of the last commit before the script begins.
const FIRST_NUMBER: u64 = 1_200;

/// Delay until a replica receives a commit.
const RECEIVE_DELAY: Duration = Duration::from_millis(1);

/// Interval of the liveness reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Statement that a database ran for a client.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub member: usize,
    pub id: String,
    pub text: String,
    /// Number of the last commit in the log that the statement ran on.
    pub number: u64,
}

struct Entry {
    number: u64,
    item: String,
    data: String,
    at: Instant,
}

struct Member {
    address: SocketAddr,
    zone: &'static str,
    draining: bool,
    fence: u64,
    /// Last commit that the database had received when it was fenced.
    fenced_at: u64,
    connections: usize,
}

struct State {
    members: Vec<Member>,
    primary: usize,
    term: u64,
    log: Vec<Entry>,
    /// Delay until a replica applies a commit.
    lag: Duration,
    runs: Vec<Run>,
    /// Number of the next replies to writes that are cut off before their end.
    cut_replies: u32,
    report: u64,
}

/// Databases of one service.
pub struct Group {
    state: Mutex<State>,
    connection_limit: usize,
    record: Arc<Record>,
}

impl Group {
    /// Starts a primary and replicas, one in each zone, and reports them in the store.
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, zones: &[&'static str]) -> Arc<Self> {
        let listeners: Vec<TcpListener> = zones
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback port"))
            .collect();
        let members = listeners.iter().zip(zones).map(|(listener, zone)| Member {
            address: listener.local_addr().expect("an address"),
            zone,
            draining: false,
            fence: 0,
            fenced_at: 0,
            connections: 0,
        });
        let group = Arc::new(Self {
            state: Mutex::new(State {
                members: members.collect(),
                primary: 0,
                term: FIRST_TERM,
                log: Vec::new(),
                lag: Duration::from_millis(20),
                runs: Vec::new(),
                cut_replies: 0,
                report: 0,
            }),
            connection_limit: 33,
            record: Arc::clone(record),
        });
        for (member, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || group.serve(member, stream));
                }
            });
        }
        group.report(store);
        let (reporter, store) = (Arc::clone(&group), Arc::clone(store));
        thread::spawn(move || {
            loop {
                thread::sleep(REPORT_INTERVAL);
                reporter.report(&store);
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state")
    }

    /// Writes the entries of all databases to the store.
    fn report(&self, store: &Store) {
        let mut state = self.lock();
        state.report += 1;
        let report = state.report;
        for (index, member) in state.members.iter().enumerate() {
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":5,\"state\":\"{}\",\"cold_remaining_ms\":0,\"database_role\":\"{}\",\
                 \"sequence\":{report},\"born\":1700000000000}}",
                member.address,
                member.zone,
                if member.draining { "draining" } else { "ready" },
                if index == state.primary {
                    "primary"
                } else {
                    "replica"
                },
            );
            store.put("servers", &member_id(index), &entry);
        }
    }

    /// Reports a database as draining; returns once the store has accepted the report.
    pub fn drain(&self, store: &Store, member: usize) {
        self.lock().members[member].draining = true;
        self.report(store);
    }

    /// Makes a database the primary of the next term, which has all commits here; the others follow.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(target) = (0..state.members.len()).find(|it| member_id(*it) == id) else {
            return;
        };
        if target == state.primary {
            return;
        }
        state.primary = target;
        state.term += 1;
        for member in &mut state.members {
            member.fence = 0;
        }
        self.record.line(&format!("{id} leads term {}", state.term));
    }

    /// Cuts off the replies to the next `count` writes before their end.
    pub fn cut_replies(&self, count: u32) {
        self.lock().cut_replies = count;
    }

    /// Returns the statements that were run for clients.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of the commit that wrote this value.
    pub fn commit_number(&self, item: &str, data: &str) -> Option<u64> {
        let state = self.lock();
        let written = |entry: &&Entry| entry.item == item && entry.data == data;
        state.log.iter().find(written).map(|entry| entry.number)
    }

    fn serve(&self, member: usize, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let Some(start) = read_message(&mut reader) else {
            return;
        };
        let fields: Vec<&str> = start.split(' ').collect();
        let known = fields.first() == Some(&"START") && fields.get(1) == Some(&SERVICE);
        let expected = fields.get(3).is_none_or(|id| *id == member_id(member));
        let opened = known && expected && {
            let mut state = self.lock();
            let free = state.members[member].connections < self.connection_limit;
            state.members[member].connections += usize::from(free);
            free
        };
        if !opened {
            let code = if known && expected {
                "OVERLOADED"
            } else {
                "WRONGNODE"
            };
            let _sent = reader
                .get_mut()
                .write_all(format!("ERROR {code} -\r\n").as_bytes());
            return;
        }
        let mut session = Session {
            group: self,
            member,
            state: 'I',
            plain: false,
            writes: Vec::new(),
            values: HashMap::new(),
            prepared: HashMap::new(),
        };
        let ready = session.ready_line();
        if reader.get_mut().write_all(ready.as_bytes()).is_ok() {
            while let Some(message) = read_message(&mut reader) {
                let Some(reply) = session.handle(&message) else {
                    break;
                };
                let cut = session.take_cut(&message, &reply);
                let sent = reader
                    .get_mut()
                    .write_all(cut.as_deref().unwrap_or(&reply).as_bytes());
                if sent.is_err() || cut.is_some() {
                    break;
                }
            }
        }
        self.lock().members[member].connections -= 1;
    }
}

/// Returns the id of a database.
pub fn member_id(member: usize) -> String {
    format!("i-7f3a91c{member}")
}

/// Reads a line that ends with CR LF, without its end; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<impl Read>) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let read = reader.read_until(b'\n', &mut bytes).ok()?;
        if read == 0 {
            return None;
        }
        if bytes.ends_with(b"\r\n") {
            bytes.truncate(bytes.len() - 2);
            return String::from_utf8(bytes).ok();
        }
    }
}

impl State {
    /// Returns the number of the last commit that a database has applied, or received.
    fn position(&self, member: usize, delay: Duration) -> u64 {
        let has = |entry: &&Entry| member == self.primary || entry.at.elapsed() >= delay;
        let last = self.log.iter().rev().find(has);
        let number = last.map_or(FIRST_NUMBER, |entry| entry.number);
        let fenced = &self.members[member];
        if fenced.fence == 0 {
            return number;
        }
        number.min(fenced.fenced_at)
    }
}

struct Session<'a> {
    group: &'a Group,
    member: usize,
    /// State as it is told: `I`, `T` or `E`.
    state: char,
    /// Whether the open transaction may write.
    plain: bool,
    writes: Vec<(String, String)>,
    values: HashMap<String, String>,
    prepared: HashMap<String, String>,
}

impl Session<'_> {
    fn ready_line(&self) -> String {
        let state = self.group.lock();
        let number = state.position(self.member, state.lag);
        format!("READY {} {}.{number}\r\n", self.state, state.term)
    }

    /// Returns the reply without its last three bytes if the reply to a write has to be cut off.
    fn take_cut(&self, message: &str, reply: &str) -> Option<String> {
        let mut state = self.group.lock();
        if state.cut_replies == 0 || !message.contains(" WRITE ") || !reply.contains("COMPLETE") {
            return None;
        }
        state.cut_replies -= 1;
        let cut = &reply[..reply.len() - 3];
        self.group
            .record
            .line(&format!("reply cut off: {reply:?} sent as {cut:?}"));
        Some(cut.to_owned())
    }

    fn handle(&mut self, message: &str) -> Option<String> {
        let (id, text) = message.strip_prefix("QUERY ")?.split_once(' ')?;
        let result = self.run(id, text);
        let mut out = String::new();
        match result {
            Ok(rows) => {
                for row in rows {
                    out.push_str(&format!("ROW {row}\r\n"));
                }
                let signature = if id == "-" {
                    "-".to_owned()
                } else {
                    format!("sig.{id}")
                };
                out.push_str(&format!("COMPLETE {signature}\r\n"));
            }
            Err(code) => {
                if self.state != 'I' {
                    self.state = 'E';
                    self.writes.clear();
                }
                out.push_str(&format!("ERROR {code} -\r\n"));
            }
        }
        out.push_str(&self.ready_line());
        Some(out)
    }

    fn run(&mut self, id: &str, text: &str) -> Result<Vec<String>, &'static str> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
            let term: u64 = term.parse().map_err(|_| "MALFORMED")?;
            let number: u64 = number.parse().map_err(|_| "MALFORMED")?;
            let state = self.group.lock();
            if (state.term, state.position(self.member, state.lag)) < (term, number) {
                return Err("LAGGING");
            }
            text = rest;
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if self.state == 'E' && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Err("MALFORMED");
        }
        let leads = self.group.lock().primary == self.member;
        match words[..] {
            ["BEGIN"] | ["BEGIN", "READ"] => {
                self.plain = words.len() == 1;
                if self.plain && !leads {
                    return Err("READONLY");
                }
                self.state = 'T';
                Ok(Vec::new())
            }
            ["ROLLBACK"] => {
                self.state = 'I';
                self.writes.clear();
                Ok(Vec::new())
            }
            ["COMMIT"] => {
                let failed = std::mem::replace(&mut self.state, 'I') == 'E';
                let writes = std::mem::take(&mut self.writes);
                if failed {
                    return Err("ABORTED");
                }
                if !writes.is_empty() && !leads {
                    return Err("READONLY");
                }
                self.note(id, text);
                self.commit(writes);
                Ok(Vec::new())
            }
            ["RESET"] => {
                self.values.clear();
                self.prepared.clear();
                Ok(Vec::new())
            }
            ["SET", name, value] => {
                self.values.insert(name.to_owned(), value.to_owned());
                Ok(Vec::new())
            }
            ["PREPARE", name, statement] => {
                self.prepared.insert(name.to_owned(), statement.to_owned());
                Ok(Vec::new())
            }
            ["DEALLOCATE", name] => self
                .prepared
                .remove(name)
                .map(|_| Vec::new())
                .ok_or("UNKNOWN"),
            ["STATUS"] => self.status(None),
            ["RESUME"] => self.status(Some(0)),
            ["PAUSE", term] => self.status(term.parse().ok()),
            ["DEMOTE", _] => self.status(None),
            ["READ", item] => {
                if self.plain && self.state == 'T' && !leads {
                    return Err("READONLY");
                }
                let value = self.read(item);
                self.note(id, text);
                Ok(vec![value])
            }
            ["WRITE", item, data] => {
                if !leads {
                    return Err("READONLY");
                }
                self.note(id, text);
                self.writes.push((item.to_owned(), data.to_owned()));
                if self.state == 'I' {
                    let writes = std::mem::take(&mut self.writes);
                    self.commit(writes);
                }
                Ok(Vec::new())
            }
            _ => Err("MALFORMED"),
        }
    }

    fn read(&self, item: &str) -> String {
        let own = self.writes.iter().rev().find(|(name, _)| name == item);
        if let Some((_, data)) = own {
            return data.clone();
        }
        let state = self.group.lock();
        let number = state.position(self.member, state.lag);
        let found = state
            .log
            .iter()
            .rev()
            .find(|it| it.item == item && it.number <= number);
        found.map_or_else(|| "-".to_owned(), |entry| entry.data.clone())
    }

    fn commit(&self, writes: Vec<(String, String)>) {
        let mut state = self.group.lock();
        let number = state.log.last().map_or(FIRST_NUMBER, |entry| entry.number) + 1;
        for (item, data) in writes {
            let at = Instant::now();
            state.log.push(Entry {
                number,
                item,
                data,
                at,
            });
        }
    }

    fn note(&self, id: &str, text: &str) {
        let mut state = self.group.lock();
        let run = Run {
            at: Instant::now(),
            member: self.member,
            id: id.to_owned(),
            text: text.to_owned(),
            number: state.position(self.member, state.lag),
        };
        let shown: String = text.chars().take(120).collect();
        let rest = text.len() - shown.len();
        let rest = if rest == 0 {
            String::new()
        } else {
            format!(" and {rest} bytes more")
        };
        self.group.record.line(&format!(
            "run by {} id={id} on log {}.{} text={shown:?}{rest}",
            member_id(self.member),
            state.term,
            run.number
        ));
        state.runs.push(run);
    }

    fn status(&self, fence: Option<u64>) -> Result<Vec<String>, &'static str> {
        let mut state = self.group.lock();
        let term = state.term;
        let leads = state.primary == self.member;
        if let Some(fence) = fence.filter(|it| !leads && (*it == 0 || *it > term)) {
            if state.members[self.member].fence == 0 {
                let received = state.position(self.member, RECEIVE_DELAY);
                state.members[self.member].fenced_at = received;
            }
            state.members[self.member].fence = fence;
        }
        let role = if leads { "primary" } else { "replica" };
        let received = state.position(self.member, RECEIVE_DELAY);
        let member = &state.members[self.member];
        Ok(vec![format!(
            "{role} {term} {term}.{received} {} {} 0 {}",
            member.fence,
            if leads { 0 } else { state.lag.as_millis() },
            member.connections
        )])
    }
}
