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

/// Delay until a replica in the same region receives a commit.
const NEAR: Duration = Duration::from_millis(1);

/// Delay until a replica in another region receives a commit.
const FAR: Duration = Duration::from_millis(20);

/// Time for which a commit waits for replicas.
const SYNC_LIMIT: Duration = Duration::from_secs(5);

/// Result of a statement whose connection ends without an answer.
const NO_ANSWER: &str = "";

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

#[derive(Clone)]
struct Entry {
    term: u64,
    number: u64,
    item: String,
    data: String,
    at: Instant,
}

struct Member {
    address: SocketAddr,
    zone: &'static str,
    region: &'static str,
    draining: bool,
    fence: u64,
    /// Number of commits that the database had received when it was fenced.
    fenced_at: usize,
    /// Number of commits that the database has received in any case, such as those of its own.
    received: usize,
    /// Whether the database takes connections and answers nothing.
    dark: bool,
    connections: usize,
}

/// Shape of a service.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Zone and region of each database; the first one is the primary.
    pub places: &'static [(&'static str, &'static str)],
    /// Delay until a replica applies what it has received.
    pub lag: Duration,
    /// Number of replicas that receive a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// Commit that a promotion dropped.
#[derive(Clone, Debug)]
pub struct Dropped {
    pub at: Instant,
    pub item: String,
    pub leader: usize,
}

struct State {
    members: Vec<Member>,
    primary: usize,
    term: u64,
    log: Vec<Entry>,
    runs: Vec<Run>,
    dropped: Vec<Dropped>,
    /// Number of the next replies to writes that are cut off before their end.
    cut_replies: u32,
    report: u64,
}

/// Databases of one service.
pub struct Group {
    state: Mutex<State>,
    shape: Shape,
    connection_limit: usize,
    record: Arc<Record>,
}

impl Group {
    /// Starts a primary and replicas, one in each zone, and reports them in the store.
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, shape: Shape) -> Arc<Self> {
        let listeners: Vec<TcpListener> = shape
            .places
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback port"))
            .collect();
        let members = listeners.iter().zip(shape.places);
        let members = members.map(|(listener, (zone, region))| Member {
            address: listener.local_addr().expect("an address"),
            zone,
            region,
            draining: false,
            fence: 0,
            fenced_at: 0,
            received: 0,
            dark: false,
            connections: 0,
        });
        let group = Arc::new(Self {
            state: Mutex::new(State {
                members: members.collect(),
                primary: 0,
                term: FIRST_TERM,
                log: Vec::new(),
                runs: Vec::new(),
                dropped: Vec::new(),
                cut_replies: 0,
                report: 0,
            }),
            shape,
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

    /// Makes a database the primary of the next term with what it has received; commits that it
    /// lacks are dropped.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(target) = (0..state.members.len()).find(|it| member_id(*it) == id) else {
            return;
        };
        if target == state.primary || state.members[target].dark {
            return;
        }
        let kept = state.received(target, Duration::ZERO);
        let now = Instant::now();
        let dropped: Vec<Entry> = state.log.drain(kept..).collect();
        let last = dropped.last().map(|entry| entry.number);
        for entry in dropped {
            state.dropped.push(Dropped {
                at: now,
                item: entry.item,
                leader: target,
            });
        }
        let old = state.primary;
        state.members[old].received = kept;
        state.members[target].received = kept;
        for member in &mut state.members {
            member.received = member.received.min(kept);
            member.fence = 0;
        }
        state.primary = target;
        state.term += 1;
        let number = state.position(target, Duration::ZERO).1;
        self.record.line(&format!(
            "{id} leads term {} with the commits up to {number}; the last dropped one was {last:?}",
            state.term
        ));
    }

    /// Returns whether a database runs.
    pub fn is_running(&self, id: &str) -> bool {
        let state = self.lock();
        let found = (0..state.members.len()).find(|it| member_id(*it) == id);
        found.is_some_and(|it| !state.members[it].dark)
    }

    /// Returns whether a database is the primary.
    pub fn leads(&self, id: &str) -> bool {
        let state = self.lock();
        member_id(state.primary) == id
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> usize {
        self.lock().primary
    }

    /// Makes a database dark or lets it answer again.
    pub fn set_dark(&self, member: usize, dark: bool) {
        self.lock().members[member].dark = dark;
        self.record
            .line(&format!("{} is dark: {dark}", member_id(member)));
    }

    /// Returns the commits that promotions dropped.
    pub fn dropped(&self) -> Vec<Dropped> {
        self.lock().dropped.clone()
    }

    fn is_dark(&self, member: usize) -> bool {
        self.lock().members[member].dark
    }

    /// Waits while a database is dark; returns whether it was.
    fn await_light(&self, member: usize) -> bool {
        let was_dark = self.is_dark(member);
        while self.is_dark(member) {
            thread::sleep(Duration::from_millis(20));
        }
        was_dark
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
        if self.await_light(member) {
            return;
        }
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
                // A database that was dark knows nothing of its earlier connections.
                if self.await_light(member) {
                    break;
                }
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
    /// Returns the delay until a replica receives a commit of the primary.
    fn delay(&self, member: usize) -> Duration {
        let regions = [member, self.primary].map(|it| self.members[it].region);
        if regions[0] == regions[1] { NEAR } else { FAR }
    }

    /// Returns how many commits a database has received, or has applied for a lag above zero.
    fn received(&self, member: usize, lag: Duration) -> usize {
        if member == self.primary {
            return self.log.len();
        }
        let delay = self.delay(member) + lag;
        let arrived = self
            .log
            .partition_point(|entry| entry.at.elapsed() >= delay);
        let own = &self.members[member];
        let count = arrived.max(own.received);
        if own.fence == 0 {
            count
        } else {
            count.min(own.fenced_at)
        }
    }

    /// Returns the term and number of the last commit that a database has received or applied.
    fn position(&self, member: usize, lag: Duration) -> (u64, u64) {
        let count = self.received(member, lag);
        let last = count.checked_sub(1).map(|at| &self.log[at]);
        last.map_or((FIRST_TERM, FIRST_NUMBER), |entry| {
            (entry.term, entry.number)
        })
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
        let (term, number) = state.position(self.member, self.group.shape.lag);
        format!("READY {} {term}.{number}\r\n", self.state)
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
        if result == Err(NO_ANSWER) {
            return None;
        }
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
            if state.position(self.member, self.group.shape.lag) < (term, number) {
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
                self.commit(writes)
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
                    return self.commit(writes);
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
        let count = state.received(self.member, self.group.shape.lag);
        let applied = state.log[..count].iter().rev();
        let found = applied.filter(|it| it.item == item).next();
        found.map_or_else(|| "-".to_owned(), |entry| entry.data.clone())
    }

    /// Commits, and waits until enough replicas have received the commit.
    fn commit(&self, writes: Vec<(String, String)>) -> Result<Vec<String>, &'static str> {
        if writes.is_empty() {
            return Ok(Vec::new());
        }
        let (number, count) = {
            let mut state = self.group.lock();
            let number = state.log.last().map_or(FIRST_NUMBER, |entry| entry.number) + 1;
            let (term, at) = (state.term, Instant::now());
            for (item, data) in writes {
                state.log.push(Entry {
                    term,
                    number,
                    item,
                    data,
                    at,
                });
            }
            ((term, number), state.log.len())
        };
        let deadline = Instant::now() + SYNC_LIMIT;
        while Instant::now() < deadline {
            {
                let state = self.group.lock();
                let entry = state.log.get(count - 1).map(|it| (it.term, it.number));
                if state.primary != self.member || entry != Some(number) {
                    return Err(NO_ANSWER);
                }
                let has = |it: &usize| {
                    *it != self.member
                        && !state.members[*it].dark
                        && state.received(*it, Duration::ZERO) >= count
                };
                let received = (0..state.members.len()).filter(has).count();
                if received >= self.group.shape.sync_replicas {
                    return Ok(Vec::new());
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        Err(NO_ANSWER)
    }

    fn note(&self, id: &str, text: &str) {
        let mut state = self.group.lock();
        let run = Run {
            at: Instant::now(),
            member: self.member,
            id: id.to_owned(),
            text: text.to_owned(),
            number: state.position(self.member, self.group.shape.lag).1,
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
                let received = state.received(self.member, Duration::ZERO);
                state.members[self.member].fenced_at = received;
            }
            state.members[self.member].fence = fence;
        }
        let role = if leads { "primary" } else { "replica" };
        let (last_term, received) = state.position(self.member, Duration::ZERO);
        let member = &state.members[self.member];
        Ok(vec![format!(
            "{role} {term} {last_term}.{received} {} {} 0 {}",
            member.fence,
            if leads {
                0
            } else {
                self.group.shape.lag.as_millis()
            },
            member.connections
        )])
    }
}
