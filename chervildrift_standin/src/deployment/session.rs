//! Session of one connection to a database, in the platform's line protocol.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::database::{DatabaseGroup, Execution};
use super::{SERVICE, replies};

/// Transaction state of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TransactionState {
    Idle,
    Open { read_write: bool },
    Failed,
}

struct Session {
    databases: Arc<DatabaseGroup>,
    member: usize,
    connection: u64,
    client: String,
    transaction: TransactionState,
    writes: Vec<(String, String)>,
    variables: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
}

/// Outcome of a statement; `NoAnswer` closes the connection without a reply.
enum Outcome {
    Rows(Vec<String>),
    Failure(&'static str),
    NoAnswer,
}

/// Serves one connection until either side closes it.
pub(super) async fn serve(databases: Arc<DatabaseGroup>, member: usize, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut buffer = Vec::new();
    let Some(start) = read_line(&mut reader, &mut buffer).await else {
        return;
    };
    if databases.is_unresponsive(member) {
        std::future::pending::<()>().await;
    }
    let fields: Vec<&str> = start.split(' ').collect();
    let known_service = fields.first() == Some(&"START") && fields.get(1) == Some(&SERVICE);
    let expected_member = fields
        .get(3)
        .is_none_or(|id| *id == DatabaseGroup::member_id(member));
    let mut out = String::new();
    let connection = databases.connect(member);
    if !known_service || !expected_member || connection.is_none() {
        let at_limit = known_service && expected_member;
        replies::write_failure(if at_limit { "OVERLOADED" } else { "WRONGNODE" }, &mut out);
        // The connection closes whether or not the refusal arrives.
        let _sent = reader.get_mut().write_all(out.as_bytes()).await;
        return;
    }
    replies::write_ready('I', databases.applied_position(member), &mut out);
    let mut session = Session {
        databases: Arc::clone(&databases),
        member,
        connection: connection.unwrap_or_default(),
        client: fields.get(2).copied().unwrap_or_default().to_owned(),
        transaction: TransactionState::Idle,
        writes: Vec::new(),
        variables: BTreeMap::new(),
        prepared: HashMap::new(),
    };
    let mut connected = reader.get_mut().write_all(out.as_bytes()).await.is_ok();
    let close_count = databases.close_count();
    while connected {
        let closing = databases.closing.notified();
        if databases.close_count() != close_count {
            break;
        }
        let line = tokio::select! {
            line = read_line(&mut reader, &mut buffer) => line,
            () = closing => break,
        };
        let Some(line) = line else {
            break;
        };
        if databases.is_unresponsive(member) {
            break;
        }
        let mut out = String::new();
        connected = session.handle_message(&line, &mut out);
        let is_write = line.contains(" WRITE ");
        let cut_bytes = if is_write { databases.consume_cut() } else { 0 };
        let sent = &out.as_bytes()[..out.len().saturating_sub(cut_bytes)];
        connected &= reader.get_mut().write_all(sent).await.is_ok() && cut_bytes == 0;
    }
    if databases.is_unresponsive(member) {
        std::future::pending::<()>().await;
    }
    databases.disconnect(member);
}

/// Reads a line up to CR LF and returns it without this ending; `None` at the end of the connection.
///
/// Cancelling this keeps the part that has arrived in the buffer.
async fn read_line(reader: &mut BufReader<TcpStream>, buffer: &mut Vec<u8>) -> Option<String> {
    while !buffer.ends_with(b"\r\n") {
        if reader.read_until(b'\n', buffer).await.ok()? == 0 {
            return None;
        }
    }
    let line = std::mem::take(buffer);
    String::from_utf8(line[..line.len() - 2].to_vec()).ok()
}

impl Session {
    /// Handles a message; returns false if the connection must close.
    fn handle_message(&mut self, line: &str, out: &mut String) -> bool {
        let Some((id, text)) = line
            .strip_prefix("QUERY ")
            .and_then(|it| it.split_once(' '))
        else {
            return false;
        };
        match self.run(id, text) {
            Outcome::Rows(rows) => {
                let signature = if id == "-" { "-" } else { &format!("sig.{id}") };
                replies::write_success(&rows, signature, out);
            }
            Outcome::Failure(code) => {
                if self.transaction != TransactionState::Idle {
                    self.transaction = TransactionState::Failed;
                }
                replies::write_failure(code, out);
            }
            Outcome::NoAnswer => return false,
        }
        let state = match self.transaction {
            TransactionState::Idle => 'I',
            TransactionState::Open { .. } => 'T',
            TransactionState::Failed => 'E',
        };
        replies::write_ready(state, self.databases.applied_position(self.member), out);
        true
    }

    fn run(&mut self, id: &str, text: &str) -> Outcome {
        let text = match text.strip_prefix("AFTER ") {
            None => text,
            Some(rest) => {
                let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let (term, number) = position.split_once('.').unwrap_or((position, "0"));
                let position = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
                if !self.databases.has_applied(self.member, position) {
                    return Outcome::Failure("LAGGING");
                }
                rest
            }
        };
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if self.transaction == TransactionState::Failed && words[0] != "ROLLBACK" {
            return Outcome::Failure("MALFORMED");
        }
        match (words[0], &words[1..]) {
            ("BEGIN", []) => self.begin(true),
            ("BEGIN", ["READ"]) => self.begin(false),
            ("ROLLBACK", []) => {
                self.transaction = TransactionState::Idle;
                self.writes.clear();
                Outcome::Rows(Vec::new())
            }
            ("COMMIT", []) => self.commit(id),
            ("RESET", []) => {
                self.variables.clear();
                self.prepared.clear();
                Outcome::Rows(Vec::new())
            }
            ("SET", [name, value]) => {
                self.variables
                    .insert((*name).to_owned(), (*value).to_owned());
                Outcome::Rows(Vec::new())
            }
            ("PREPARE", [name, rest]) => {
                let (mode, statement) = rest.split_once(' ').unwrap_or((rest, ""));
                let prepared = (mode == "WRITE", statement.to_owned());
                self.prepared.insert((*name).to_owned(), prepared);
                Outcome::Rows(Vec::new())
            }
            ("PAUSE", [term]) => self.status(term.parse().ok()),
            ("RESUME", []) => self.status(Some(0)),
            ("DEMOTE", [term]) => {
                let term = term.parse().unwrap_or_default();
                self.databases.demote(self.member, term);
                self.status(None)
            }
            ("STATUS", []) => self.status(None),
            ("EXECUTE", [name, rest @ ..]) => {
                let Some((write, statement)) = self.prepared.get(*name).cloned() else {
                    return Outcome::Failure("UNKNOWN");
                };
                let rest = rest.first().copied().unwrap_or_default();
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.record(id, &format!("{statement} {rest}"));
                self.access(write, item, data)
            }
            ("READ", [item]) => {
                self.record(id, text);
                self.access(false, item, "")
            }
            ("WRITE", [item, data]) => {
                self.record(id, text);
                self.access(true, item, data)
            }
            _ => Outcome::Failure("MALFORMED"),
        }
    }

    /// Replies with the state of the database, after it has changed the fence if one is given.
    fn status(&self, fence: Option<u64>) -> Outcome {
        let role = if self.databases.is_primary(self.member) {
            "primary"
        } else {
            "replica"
        };
        let (newest_term, fence) = self.databases.update_fence(self.member, fence);
        let (term, number) = self.databases.received_position(self.member);
        let row = format!("{role} {newest_term} {term}.{number} {fence} 0 0 1");
        Outcome::Rows(vec![row])
    }

    fn begin(&mut self, read_write: bool) -> Outcome {
        if read_write && !self.databases.is_primary(self.member) {
            return Outcome::Failure("READONLY");
        }
        self.transaction = TransactionState::Open { read_write };
        Outcome::Rows(Vec::new())
    }

    fn access(&mut self, write: bool, item: &str, data: &str) -> Outcome {
        let needs_primary =
            write || self.transaction == (TransactionState::Open { read_write: true });
        if needs_primary && !self.databases.is_primary(self.member) {
            return Outcome::Failure("READONLY");
        }
        if !write {
            let uncommitted = self.writes.iter().rev().find(|(name, _)| name == item);
            let uncommitted = uncommitted.map(|(_, data)| data.clone());
            let value = uncommitted.or_else(|| self.databases.read(self.member, item));
            return Outcome::Rows(vec![value.unwrap_or_else(|| "-".to_owned())]);
        }
        self.writes.push((item.to_owned(), data.to_owned()));
        if self.transaction == TransactionState::Idle {
            return self.commit_writes();
        }
        Outcome::Rows(Vec::new())
    }

    fn commit(&mut self, id: &str) -> Outcome {
        self.record(id, "COMMIT");
        self.transaction = TransactionState::Idle;
        if self.writes.is_empty() {
            return Outcome::Rows(Vec::new());
        }
        self.commit_writes()
    }

    fn commit_writes(&mut self) -> Outcome {
        let writes = std::mem::take(&mut self.writes);
        match self.databases.commit(self.member, writes) {
            None => Outcome::Failure("READONLY"),
            Some(true) => Outcome::NoAnswer,
            Some(false) => Outcome::Rows(Vec::new()),
        }
    }

    fn record(&self, id: &str, text: &str) {
        self.databases.record(Execution {
            member: self.member,
            connection: self.connection,
            client: self.client.clone(),
            id: id.to_owned(),
            text: text.to_owned(),
            variables: self.variables.clone(),
            in_transaction: self.transaction != TransactionState::Idle,
        });
    }
}
