//! One connection to a database.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::database::{DatabaseGroup, Execution};
use super::{SERVICE, replies};

/// Where a connection stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Open { plain: bool },
    Failed,
}

struct Session {
    databases: Arc<DatabaseGroup>,
    member: usize,
    connection: u64,
    phase: Phase,
    writes: Vec<(String, String)>,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
}

/// Outcome of a statement; `Lost` ends the connection without an answer.
enum Outcome {
    Rows(Vec<String>),
    Failure(&'static str),
    Lost,
}

/// Serves one connection.
pub(super) async fn serve(databases: Arc<DatabaseGroup>, member: usize, stream: TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    let Ok(Some(start)) = lines.next_line().await else {
        return;
    };
    if databases.is_dark(member) {
        std::future::pending::<()>().await;
    }
    let fields: Vec<&str> = start.split(' ').collect();
    let known = fields.first() == Some(&"START") && fields.get(1) == Some(&SERVICE);
    let expected = fields
        .get(3)
        .is_none_or(|id| *id == DatabaseGroup::member_id(member));
    let mut out = String::new();
    let connection = databases.connect(member);
    if !known || !expected || connection.is_none() {
        let full = known && expected;
        replies::failure(if full { "OVERLOADED" } else { "WRONGNODE" }, &mut out);
        // The connection is closed whether or not the refusal arrives.
        let _sent = lines.get_mut().write_all(out.as_bytes()).await;
        return;
    }
    replies::ready('I', databases.position(member), &mut out);
    let mut session = Session {
        databases: Arc::clone(&databases),
        member,
        connection: connection.unwrap_or_default(),
        phase: Phase::Idle,
        writes: Vec::new(),
        values: BTreeMap::new(),
        prepared: HashMap::new(),
    };
    let mut open = lines.get_mut().write_all(out.as_bytes()).await.is_ok();
    let generation = databases.closed();
    while open {
        let closing = databases.closing.notified();
        if databases.closed() != generation {
            break;
        }
        let line = tokio::select! {
            line = lines.next_line() => line,
            () = closing => break,
        };
        let Ok(Some(line)) = line else {
            break;
        };
        if databases.is_dark(member) {
            break;
        }
        let mut out = String::new();
        open = session.take(&line, &mut out)
            && lines.get_mut().write_all(out.as_bytes()).await.is_ok();
    }
    if databases.is_dark(member) {
        std::future::pending::<()>().await;
    }
    databases.disconnect(member);
}

impl Session {
    /// Takes a message; false if the connection ends.
    fn take(&mut self, line: &str, out: &mut String) -> bool {
        let Some((id, text)) = line
            .strip_prefix("QUERY ")
            .and_then(|it| it.split_once(' '))
        else {
            return false;
        };
        match self.run(id, text) {
            Outcome::Rows(rows) => {
                let signature = if id == "-" { "-" } else { &format!("sig.{id}") };
                replies::success(&rows, signature, out);
            }
            Outcome::Failure(code) => {
                if self.phase != Phase::Idle {
                    self.phase = Phase::Failed;
                }
                replies::failure(code, out);
            }
            Outcome::Lost => return false,
        }
        let state = match self.phase {
            Phase::Idle => 'I',
            Phase::Open { .. } => 'T',
            Phase::Failed => 'E',
        };
        replies::ready(state, self.databases.position(self.member), out);
        true
    }

    fn run(&mut self, id: &str, text: &str) -> Outcome {
        let text = match text.strip_prefix("AFTER ") {
            None => text,
            Some(rest) => {
                let (mark, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let (term, number) = mark.split_once('.').unwrap_or((mark, "0"));
                let mark = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
                if !self.databases.holds(self.member, mark) {
                    return Outcome::Failure("LAGGING");
                }
                rest
            }
        };
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if self.phase == Phase::Failed && words[0] != "ROLLBACK" {
            return Outcome::Failure("MALFORMED");
        }
        match (words[0], &words[1..]) {
            ("BEGIN", []) => self.begin(true),
            ("BEGIN", ["READ"]) => self.begin(false),
            ("ROLLBACK", []) => {
                self.phase = Phase::Idle;
                self.writes.clear();
                Outcome::Rows(Vec::new())
            }
            ("COMMIT", []) => self.commit(id),
            ("RESET", []) => {
                self.values.clear();
                self.prepared.clear();
                Outcome::Rows(Vec::new())
            }
            ("SET", [name, value]) => {
                self.values.insert((*name).to_owned(), (*value).to_owned());
                Outcome::Rows(Vec::new())
            }
            ("PREPARE", [name, rest]) => {
                let (mode, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                let prepared = (mode == "WRITE", shape.to_owned());
                self.prepared.insert((*name).to_owned(), prepared);
                Outcome::Rows(Vec::new())
            }
            ("PAUSE", [term]) => self.status(term.parse().ok()),
            ("RESUME", []) => self.status(Some(0)),
            ("STATUS", []) => self.status(None),
            ("EXECUTE", [name, rest @ ..]) => {
                let Some((write, shape)) = self.prepared.get(*name).cloned() else {
                    return Outcome::Failure("UNKNOWN");
                };
                let rest = rest.first().copied().unwrap_or_default();
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.note(id, &format!("{shape} {rest}"));
                self.access(write, item, data)
            }
            ("READ", [item]) => {
                self.note(id, text);
                self.access(false, item, "")
            }
            ("WRITE", [item, data]) => {
                self.note(id, text);
                self.access(true, item, data)
            }
            _ => Outcome::Failure("MALFORMED"),
        }
    }

    /// Tells the state, after a change of the fence if one is given.
    fn status(&self, fence: Option<u64>) -> Outcome {
        let role = if self.databases.leads(self.member) {
            "primary"
        } else {
            "replica"
        };
        let (newest, fence) = self.databases.fence(self.member, fence);
        let (term, number) = self.databases.received(self.member);
        let row = format!("{role} {newest} {term}.{number} {fence} 0 0 1");
        Outcome::Rows(vec![row])
    }

    fn begin(&mut self, plain: bool) -> Outcome {
        if plain && !self.databases.leads(self.member) {
            return Outcome::Failure("READONLY");
        }
        self.phase = Phase::Open { plain };
        Outcome::Rows(Vec::new())
    }

    fn access(&mut self, write: bool, item: &str, data: &str) -> Outcome {
        let guarded = write || self.phase == (Phase::Open { plain: true });
        if guarded && !self.databases.leads(self.member) {
            return Outcome::Failure("READONLY");
        }
        if !write {
            let own = self.writes.iter().rev().find(|(name, _)| name == item);
            let own = own.map(|(_, data)| data.clone());
            let value = own.or_else(|| self.databases.read(self.member, item));
            return Outcome::Rows(vec![value.unwrap_or_else(|| "-".to_owned())]);
        }
        self.writes.push((item.to_owned(), data.to_owned()));
        if self.phase == Phase::Idle {
            return self.store_writes();
        }
        Outcome::Rows(Vec::new())
    }

    fn commit(&mut self, id: &str) -> Outcome {
        self.note(id, "COMMIT");
        self.phase = Phase::Idle;
        if self.writes.is_empty() {
            return Outcome::Rows(Vec::new());
        }
        self.store_writes()
    }

    fn store_writes(&mut self) -> Outcome {
        let writes = std::mem::take(&mut self.writes);
        match self.databases.commit(self.member, writes) {
            None => Outcome::Failure("READONLY"),
            Some(true) => Outcome::Lost,
            Some(false) => Outcome::Rows(Vec::new()),
        }
    }

    fn note(&self, id: &str, text: &str) {
        self.databases.note(Execution {
            member: self.member,
            connection: self.connection,
            id: id.to_owned(),
            text: text.to_owned(),
            variables: self.values.clone(),
            in_transaction: self.phase != Phase::Idle,
        });
    }
}
