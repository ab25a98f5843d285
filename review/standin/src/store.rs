//! The platform's metadata store: rows, transactions with preconditions, and change feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};

#[derive(Default)]
struct State {
    version: u64,
    /// Rows by table and key; all parts are empty.
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    history: Vec<Change>,
}

#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    version: u64,
    value: Option<Vec<u8>>,
}

/// Store, served over HTTP.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    /// Starts an empty store and returns its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let shared = Arc::clone(&store);
        let address = http::serve(move |request| shared.handle(request));
        (store, address)
    }

    /// Writes a row on behalf of the operator or a database.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("state");
        state.version += 1;
        state.set(table, key, Some(value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        // Systems that restart find a clock that has run for a while.
        100_000 + self.start.elapsed().as_millis()
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/rows-get") => self.list(request),
            ("GET", "/v1/rows-feed") => self.feed(request),
            ("POST", "/v1/rows-tx") => self.transact(request),
            _ => (404, String::new()),
        }
    }

    fn list(&self, request: &Request) -> Response {
        let table = request.query.get("table").cloned().unwrap_or_default();
        let from = request.query.get("from").cloned().unwrap_or_default();
        let state = self.state.lock().expect("state");
        let rows = state
            .rows
            .iter()
            .filter(|((name, key), _)| *name == table && *key >= from);
        let rows: Vec<String> = rows
            .map(|((table, key), (value, version))| row(table, key, Some(value), *version))
            .collect();
        (200, self.body(&rows, state.version))
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.query.get("table").cloned().unwrap_or_default();
        let parse = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|it| it.parse::<u64>().ok())
        };
        let after = parse("after").unwrap_or(0);
        let wait = Duration::from_millis(parse("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("state");
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|it| it.table == table && it.version > after);
            let rows: Vec<String> = changes
                .map(|it| row(&it.table, &it.key, it.value.as_deref(), it.version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.body(&rows, state.version));
            }
            state = self.changed.wait_timeout(state, left).expect("state").0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().expect("state");
        let conditions = body.list("precondition");
        let version_of = |state: &State, entry: &Json| {
            let row = state
                .rows
                .get(&(entry.text("table").to_owned(), entry.text("key").to_owned()));
            row.map_or(0, |(_, version)| *version)
        };
        let holds = |entry: &Json| version_of(&state, entry) == entry.number("version_number");
        if !conditions.iter().all(holds) {
            let current = conditions.iter().filter_map(|entry| {
                let (table, key) = (entry.text("table"), entry.text("key"));
                let (value, version) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
                Some(row(table, key, Some(value), *version))
            });
            let current: Vec<String> = current.collect();
            return (412, self.body(&current, state.version));
        }
        let reserved = |entry: &&Json| ["op", "servers"].contains(&entry.text("table"));
        let (set, delete) = (body.list("set_keys"), body.list("delete_keys"));
        if set.iter().chain(delete).any(|entry| reserved(&entry)) {
            return (403, String::new());
        }
        state.version += 1;
        for entry in set {
            let value = json::decode_base64(entry.text("value"));
            state.set(entry.text("table"), entry.text("key"), Some(value));
        }
        for entry in delete {
            state.set(entry.text("table"), entry.text("key"), None);
        }
        self.changed.notify_all();
        (200, self.body(&[], state.version))
    }

    fn body(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"version_number\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let version = self.version;
        let row_key = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(row_key, (value.clone(), version));
            }
            None => {
                self.rows.remove(&row_key);
            }
        }
        let (table, key) = (table.to_owned(), key.to_owned());
        self.history.push(Change {
            table,
            key,
            version,
            value,
        });
    }
}

fn row(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{}\"", json::encode_base64(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"version_number\":{version},{content}}}"
    )
}
