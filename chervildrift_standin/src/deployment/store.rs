//! Store of the platform: tables of versioned rows with a change feed.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Row of a table.
#[derive(Clone, Debug)]
struct Row {
    value: Vec<u8>,
    version: u64,
}

/// Change of a row, as the feed returns it.
#[derive(Clone, Debug)]
struct Change {
    table: String,
    key: String,
    version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    history: Vec<Change>,
    /// Version up to which the history has been discarded.
    compacted_version: u64,
    version: u64,
    down: bool,
    lost_answers: u32,
    delay: Duration,
    /// Number of times that the open connections have fallen silent.
    silences: u64,
}

/// Store of the platform.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
    start: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: Notify::new(),
            start: Instant::now(),
        }
    }
}

impl Store {
    /// Writes a row, as another client of the store would.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.lock().set(table, key, Some(value));
        self.changed.notify_waiters();
    }

    /// Removes a row, as another client of the store would.
    pub fn remove(&self, table: &str, key: &str) {
        self.lock().set(table, key, None);
        self.changed.notify_waiters();
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|row| row.value.clone())
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.rows.keys().filter(|(name, _)| name == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    /// Sets whether the store responds to every call with 503.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Drops the responses to the next `count` writes, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Makes the connections that are open now silent for good, without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.lock().silences += 1;
    }

    /// Returns how often the open connections have fallen silent.
    pub(super) fn silences(&self) -> u64 {
        self.lock().silences
    }

    /// Sets the time between a write and its response.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// Discards the history, so that feeds from an earlier version fail.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_version = state.version;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    pub(super) fn is_down(&self) -> bool {
        self.lock().down
    }

    pub(super) fn list(&self, table: &str) -> Value {
        let state = self.lock();
        let rows = state.rows.iter().filter(|((name, _), _)| name == table);
        let rows: Vec<Value> = rows
            .map(|((_, key), row)| row_json(table, key, Some(&row.value), row.version))
            .collect();
        self.response_body(&state, &rows)
    }

    /// Waits for changes after a version; returns `None` if the history doesn't reach back to it.
    pub(super) async fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<Value> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            {
                let state = self.lock();
                if after < state.compacted_version {
                    return None;
                }
                let changes = state.history.iter();
                let changes = changes.filter(|it| it.table == table && it.version > after);
                let rows: Vec<Value> = changes
                    .map(|it| row_json(table, &it.key, it.value.as_deref(), it.version))
                    .collect();
                if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                    return Some(self.response_body(&state, &rows));
                }
            }
            // A wait that times out leads to an empty response.
            let _changed = timeout(
                deadline.duration_since(tokio::time::Instant::now()),
                notified,
            )
            .await;
        }
    }

    /// Applies a transaction if its preconditions hold.
    ///
    /// Returns whether it took effect, whether the response is dropped, and the response body.
    pub(super) fn transact(&self, call: &Value) -> (bool, bool, Value) {
        let mut state = self.lock();
        let items = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |item: &Value, name: &str| item[name].as_str().unwrap_or_default().to_owned();
        let conditions = items("precondition");
        let conditions_hold = conditions.iter().all(|it| {
            let row = state.rows.get(&(text(it, "table"), text(it, "key")));
            row.map_or(0, |row| row.version) == it["version_number"].as_u64().unwrap_or_default()
        });
        if !conditions_hold {
            let rows: Vec<Value> = conditions
                .iter()
                .filter_map(|it| {
                    let (table, key) = (text(it, "table"), text(it, "key"));
                    let row = state.rows.get(&(table.clone(), key.clone()))?;
                    Some(row_json(&table, &key, Some(&row.value), row.version))
                })
                .collect();
            return (false, false, self.response_body(&state, &rows));
        }
        for item in items("set_keys") {
            let value = decode(&text(&item, "value"));
            state.set(&text(&item, "table"), &text(&item, "key"), Some(&value));
        }
        for item in items("delete_keys") {
            state.set(&text(&item, "table"), &text(&item, "key"), None);
        }
        let lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        let body = self.response_body(&state, &[]);
        drop(state);
        self.changed.notify_waiters();
        (true, lost, body)
    }

    fn response_body(&self, state: &State, rows: &[Value]) -> Value {
        json!({"rows": rows, "has_more": false, "version_number": state.version,
            "now_ms": u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)})
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<&[u8]>) {
        self.version += 1;
        let version = self.version;
        let row_key = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => {
                let value = value.to_vec();
                self.rows.insert(row_key, Row { value, version });
            }
            None => {
                self.rows.remove(&row_key);
            }
        }
        self.history.push(Change {
            table: table.to_owned(),
            key: key.to_owned(),
            version,
            value: value.map(<[u8]>::to_vec),
        });
    }
}

fn row_json(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "version_number": version});
    match value {
        Some(value) => row["value"] = encode(value).into(),
        None => row["removed"] = true.into(),
    }
    row
}

fn encode(value: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(value)
}

fn decode(text: &str) -> Vec<u8> {
    use base64::Engine;
    let decoded = base64::engine::general_purpose::STANDARD.decode(text);
    decoded.unwrap_or_default()
}
