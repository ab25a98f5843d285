//! Group of databases of one service: roles, replicated logs and injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{Options, SERVICE};

/// Commit in the log of a database.
#[derive(Clone, Debug)]
struct LogEntry {
    term: u64,
    number: u64,
    writes: Vec<(String, String)>,
}

/// Statement that a database ran for a caller, kept for assertions.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Index of the database.
    pub member: usize,
    /// Id of the connection, unique across all databases.
    pub connection: u64,
    /// Client name with which the connection was started.
    pub client: String,
    /// Id of the statement.
    pub id: String,
    /// Text of the statement; EXECUTE shows the prepared statement in place of its name.
    pub text: String,
    /// Session variables of the connection when the statement ran.
    pub variables: BTreeMap<String, String>,
    /// Whether it ran in an open transaction.
    pub in_transaction: bool,
}

/// Injected fault of a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The database receives no commits.
    ReplicationCut,
    /// New connections hang, and open ones get no replies.
    Unresponsive,
}

impl Fault {
    const fn if_enabled(self, on: bool) -> Self {
        if on { self } else { Self::None }
    }
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    primary: bool,
    draining: bool,
    fault: Fault,
    /// Term below which the database accepts no commits; 0 means that it is not fenced.
    fence: u64,
    /// Delay after which the database receives a commit of the primary.
    receive_delay: Duration,
    log: Vec<LogEntry>,
    applied: usize,
    open_connections: usize,
}

impl Member {
    /// Receives the part of the primary's log that is missing; returns false if the database is
    /// fenced or cut off.
    fn receive(&mut self, log: &[LogEntry]) -> bool {
        if self.fault != Fault::None || self.fence > 0 {
            return false;
        }
        let missing = log.get(self.log.len()..).unwrap_or_default();
        self.log.extend_from_slice(missing);
        true
    }
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    term: u64,
    /// Promotions during which the old primary still led.
    overlapping: usize,
    /// Connections refused for the limit.
    refused_connections: usize,
    last_token: u64,
    apply_lag: Duration,
    lost_answers: u32,
    /// Number of bytes that the next reply to a write lacks at its end; 0 for a whole reply.
    cut_bytes: usize,
    ignored_orders: u32,
    /// Number of the next promotion orders that run late, and their delay.
    delayed_orders: (u32, Duration),
    executions: Vec<Execution>,
    last_connection: u64,
    row_sequence: u64,
    /// Incremented to close all connections.
    close_count: u64,
}

/// Group of databases of one service.
#[derive(Debug)]
pub struct DatabaseGroup {
    state: Mutex<State>,
    max_connections: usize,
    sync_replicas: usize,
    promotion_time: Duration,
    /// Notifies connections that they must close.
    pub(super) closing: Notify,
}

impl DatabaseGroup {
    pub(super) fn new(options: &Options) -> Self {
        let member = |index| Member {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            primary: index == 0,
            draining: false,
            fault: Fault::None,
            fence: 0,
            receive_delay: Duration::ZERO,
            log: Vec::new(),
            applied: 0,
            open_connections: 0,
        };
        Self {
            max_connections: options.max_connections,
            sync_replicas: options.sync_replicas,
            promotion_time: options.promotion_time,
            closing: Notify::new(),
            state: Mutex::new(State {
                members: (0..options.database_count).map(member).collect(),
                term: 1,
                overlapping: 0,
                refused_connections: 0,
                last_token: 0,
                apply_lag: options.apply_lag,
                lost_answers: 0,
                cut_bytes: 0,
                ignored_orders: 0,
                delayed_orders: (0, Duration::ZERO),
                executions: Vec::new(),
                last_connection: 0,
                row_sequence: 0,
                close_count: 0,
            }),
        }
    }

    /// Returns the id under which the store lists a database.
    #[must_use]
    pub fn member_id(member: usize) -> String {
        format!("i-{member}")
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> Option<usize> {
        self.lock().members.iter().position(|it| it.primary)
    }

    /// Returns all statements that were run for callers, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Returns the committed value of an item at the primary.
    pub fn value(&self, item: &str) -> Option<String> {
        let state = self.lock();
        let primary = state.members.iter().find(|it| it.primary)?;
        find_value(&primary.log, item)
    }

    /// Sets the delay after which replicas apply a commit.
    pub fn set_apply_lag(&self, lag: Duration) {
        self.lock().apply_lag = lag;
    }

    /// Sets whether a replica is cut off from replication, so that it receives no commits.
    pub fn set_replication_cut(&self, member: usize, cut: bool) {
        self.lock().members[member].fault = Fault::ReplicationCut.if_enabled(cut);
    }

    /// Sets the delay after which a replica receives a commit.
    pub fn set_receive_delay(&self, member: usize, delay: Duration) {
        self.lock().members[member].receive_delay = delay;
    }

    /// Returns the number of commits that each database has received.
    pub fn log_lengths(&self) -> Vec<usize> {
        self.lock().members.iter().map(|it| it.log.len()).collect()
    }

    /// Returns the indexes of the fenced databases.
    pub fn fenced_members(&self) -> Vec<usize> {
        let state = self.lock();
        let fenced = state.members.iter().enumerate();
        let fenced = fenced.filter(|(_, member)| member.fence > 0);
        fenced.map(|(index, _)| index).collect()
    }

    /// Returns how many promotions took effect while the old primary responded and still led.
    pub fn overlapping_promotions(&self) -> usize {
        self.lock().overlapping
    }

    /// Returns how many connections were refused for the limit.
    pub fn refused_connections(&self) -> usize {
        self.lock().refused_connections
    }

    pub(super) const fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Makes a primary of a lower term a replica.
    pub(super) fn demote(&self, member: usize, term: u64) {
        let mut state = self.lock();
        if state.term < term {
            state.members[member].primary = false;
        }
    }

    pub(super) const fn sync_replicas(&self) -> usize {
        self.sync_replicas
    }

    pub(super) const fn promotion_time(&self) -> Duration {
        self.promotion_time
    }

    /// Fences a database at a term or lifts its fence with term 0, if a term is given.
    ///
    /// A term that isn't above the current one is ignored. Returns the current term and the fence.
    pub(super) fn update_fence(&self, member: usize, term: Option<u64>) -> (u64, u64) {
        let mut state = self.lock();
        let newest = state.term;
        let member = &mut state.members[member];
        if let Some(term) = term.filter(|term| *term > newest || *term == 0) {
            member.fence = term;
        }
        (newest, member.fence)
    }

    /// Sets whether a database accepts connections but doesn't reply.
    pub fn set_unresponsive(&self, member: usize, unresponsive: bool) {
        self.lock().members[member].fault = Fault::Unresponsive.if_enabled(unresponsive);
    }

    /// Marks a database as draining in its row of the store.
    pub fn mark_draining(&self, member: usize) {
        self.lock().members[member].draining = true;
    }

    /// Drops the replies to the next `count` commits, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Cuts off the last `bytes` of the reply to the next write and closes the connection.
    pub fn cut_reply(&self, bytes: usize) {
        self.lock().cut_bytes = bytes;
    }

    pub(super) fn consume_cut(&self) -> usize {
        std::mem::take(&mut self.lock().cut_bytes)
    }

    /// Ignores the next `count` promotion orders without a response.
    pub fn ignore_orders(&self, count: u32) {
        self.lock().ignored_orders = count;
    }

    pub(super) fn consume_ignored_order(&self) -> bool {
        let mut state = self.lock();
        let ignored = state.ignored_orders > 0;
        state.ignored_orders = state.ignored_orders.saturating_sub(1);
        ignored
    }

    /// Leaves the next `count` promotion orders without a response and runs them after a delay.
    pub fn delay_orders(&self, count: u32, delay: Duration) {
        self.lock().delayed_orders = (count, delay);
    }

    /// Returns the delay of a promotion order if it is one of those that run late.
    pub(super) fn consume_order_delay(&self) -> Option<Duration> {
        let (count, delay) = &mut self.lock().delayed_orders;
        *count = count.checked_sub(1)?;
        Some(*delay)
    }

    /// Closes all connections, as a restart of all databases does.
    pub fn close_connections(&self) {
        self.lock().close_count += 1;
        self.closing.notify_waiters();
    }

    pub(super) fn close_count(&self) -> u64 {
        self.lock().close_count
    }

    /// Makes a database the primary of the next term and truncates the other logs to its length.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let serves = |it: &Member| it.primary && it.fault != Fault::Unresponsive;
        state.overlapping += usize::from(state.members.iter().any(serves));
        let Some(target) = (0..state.members.len()).find(|it| Self::member_id(*it) == id) else {
            return;
        };
        if state.members[target].primary {
            return;
        }
        state.term += 1;
        let term = state.term;
        let log = state.members[target].log.clone();
        for (index, member) in state.members.iter_mut().enumerate() {
            member.primary = index == target;
            // A fence above the new term stays in force.
            if member.fence <= term {
                member.fence = 0;
            }
            let common = member.log.len().min(log.len());
            member.log.truncate(common);
            member.applied = member.applied.min(common);
        }
        state.members[target].applied = log.len();
    }

    pub(super) fn may_promote(&self, id: &str, token: u64) -> bool {
        let mut state = self.lock();
        let running = (0..state.members.len())
            .any(|it| Self::member_id(it) == id && state.members[it].fault != Fault::Unresponsive);
        if token < state.last_token || !running {
            return false;
        }
        state.last_token = token;
        true
    }

    pub(super) fn set_address(&self, member: usize, address: SocketAddr) {
        self.lock().members[member].address = address;
    }

    pub(super) fn server_rows(&self) -> Vec<(String, Value)> {
        let mut state = self.lock();
        state.row_sequence += 1;
        let sequence = state.row_sequence;
        let row = |(index, member): (usize, &Member)| {
            let row = json!({
                "service": SERVICE, "address": member.address, "zone": "north", "version": "v1",
                "slots": 5, "state": if member.draining { "draining" } else { "ready" },
                "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
                "database_role": if member.primary { "primary" } else { "replica" },
            });
            (Self::member_id(index), row)
        };
        state.members.iter().enumerate().map(row).collect()
    }

    /// Opens a connection and returns its id, or `None` if the limit is reached.
    pub(super) fn connect(&self, member: usize) -> Option<u64> {
        let mut state = self.lock();
        if state.members[member].open_connections >= self.max_connections {
            state.refused_connections += 1;
            return None;
        }
        state.members[member].open_connections += 1;
        state.last_connection += 1;
        Some(state.last_connection)
    }

    pub(super) fn disconnect(&self, member: usize) {
        self.lock().members[member].open_connections -= 1;
    }

    pub(super) fn is_unresponsive(&self, member: usize) -> bool {
        self.lock().members[member].fault == Fault::Unresponsive
    }

    pub(super) fn is_primary(&self, member: usize) -> bool {
        self.lock().members[member].primary
    }

    pub(super) fn record(&self, execution: Execution) {
        self.lock().executions.push(execution);
    }

    /// Returns the term and number of the last commit that a database has applied.
    pub(super) fn applied_position(&self, member: usize) -> (u64, u64) {
        let state = self.lock();
        let member = &state.members[member];
        let last = member.applied.checked_sub(1).map(|at| &member.log[at]);
        last.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Returns the term and number of the last commit that a database has received.
    pub(super) fn received_position(&self, member: usize) -> (u64, u64) {
        let state = self.lock();
        let last = state.members[member].log.last();
        last.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Checks whether a database has applied the commit at a position.
    pub(super) fn has_applied(&self, member: usize, position: (u64, u64)) -> bool {
        let state = self.lock();
        let member = &state.members[member];
        let applied = &member.log[..member.applied];
        position.1 == 0 || applied.iter().any(|it| (it.term, it.number) == position)
    }

    pub(super) fn read(&self, member: usize, item: &str) -> Option<String> {
        let state = self.lock();
        let member = &state.members[member];
        find_value(&member.log[..member.applied], item)
    }

    /// Commits at the primary and replicates the commit.
    ///
    /// Returns whether the reply is dropped, or `None` if the database isn't the primary.
    pub(super) fn commit(
        self: &Arc<Self>,
        member: usize,
        writes: Vec<(String, String)>,
    ) -> Option<bool> {
        let mut state = self.lock();
        if !state.members[member].primary {
            return None;
        }
        let (term, number) = (state.term, state.members[member].log.len() as u64 + 1);
        let entry = LogEntry {
            term,
            number,
            writes,
        };
        let lag = state.apply_lag;
        let mut log = std::mem::take(&mut state.members[member].log);
        log.push(entry);
        let mut received = 0;
        let mut delays = Vec::new();
        for (index, it) in state.members.iter_mut().enumerate() {
            if index == member {
                continue;
            }
            if !it.receive_delay.is_zero() {
                delays.push((index, it.receive_delay));
            } else if it.receive(&log) {
                received += 1;
            }
        }
        state.members[member].applied = log.len();
        state.members[member].log = log;
        // A commit that fewer than `sync_replicas` replicas received is never acknowledged.
        let lost = state.lost_answers > 0 || received < self.sync_replicas;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        drop(state);
        for (replica, delay) in delays {
            let database = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                database.replicate(replica, term, number as usize);
                tokio::time::sleep(lag).await;
                database.apply(number);
            });
        }
        let database = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            database.apply(number);
        });
        Some(lost)
    }

    /// Delivers the first `count` commits of the primary of a term to a replica.
    fn replicate(&self, replica: usize, term: u64, count: usize) {
        let mut state = self.lock();
        let primary = state.members.iter().find(|it| it.primary);
        let log = primary.map(|it| it.log[..count.min(it.log.len())].to_vec());
        if state.term == term
            && let Some(log) = log
        {
            state.members[replica].receive(&log);
        }
    }

    fn apply(&self, number: u64) {
        for member in &mut self.lock().members {
            let received = member.log.len().min(number as usize);
            member.applied = member.applied.max(received);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find_value(log: &[LogEntry], item: &str) -> Option<String> {
    let mut writes = log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
    writes
        .find(|(name, _)| name == item)
        .map(|(_, data)| data.clone())
}
