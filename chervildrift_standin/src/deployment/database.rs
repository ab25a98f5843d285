//! Databases of one service: their logs, roles and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{Options, SERVICE};

/// A commit of one item in a log.
#[derive(Clone, Debug)]
struct Entry {
    term: u64,
    number: u64,
    writes: Vec<(String, String)>,
}

/// A statement that a database ran for a caller.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Index of the database.
    pub member: usize,
    /// Connection, which is unique over all databases.
    pub connection: u64,
    /// Id of the statement.
    pub id: String,
    /// Text of the statement, with the shape in place of a prepared name.
    pub text: String,
    /// Values of the connection at that time.
    pub variables: BTreeMap<String, String>,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
}

/// What is wrong with a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// No commits arrive.
    Deaf,
    /// Connections hang and answers stay away.
    Dark,
}

impl Fault {
    const fn when(self, on: bool) -> Self {
        if on { self } else { Self::None }
    }
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    primary: bool,
    draining: bool,
    fault: Fault,
    /// Term below which no commits are received, or 0.
    fence: u64,
    log: Vec<Entry>,
    applied: usize,
    connections: usize,
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    term: u64,
    token: u64,
    apply_lag: Duration,
    lost_answers: u32,
    ignored_orders: u32,
    /// Orders that are carried out late, and how late.
    late_orders: (u32, Duration),
    runs: Vec<Execution>,
    next: u64,
    sequence: u64,
    /// Rises when all connections are to be closed.
    closed: u64,
}

/// Databases of one service.
#[derive(Debug)]
pub struct DatabaseGroup {
    state: Mutex<State>,
    limit: usize,
    sync_replicas: usize,
    promotion_time: Duration,
    /// Wakes connections that are to be closed.
    pub(super) closing: Notify,
}

impl DatabaseGroup {
    pub(super) fn open(options: &Options) -> Self {
        let member = |index| Member {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            primary: index == 0,
            draining: false,
            fault: Fault::None,
            fence: 0,
            log: Vec::new(),
            applied: 0,
            connections: 0,
        };
        Self {
            limit: options.max_connections,
            sync_replicas: options.sync_replicas,
            promotion_time: options.promotion_time,
            closing: Notify::new(),
            state: Mutex::new(State {
                members: (0..options.database_count).map(member).collect(),
                term: 1,
                token: 0,
                apply_lag: options.apply_lag,
                lost_answers: 0,
                ignored_orders: 0,
                late_orders: (0, Duration::ZERO),
                runs: Vec::new(),
                next: 0,
                sequence: 0,
                closed: 0,
            }),
        }
    }

    /// Returns the id of a database.
    #[must_use]
    pub fn member_id(member: usize) -> String {
        format!("i-{member}")
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> Option<usize> {
        self.lock().members.iter().position(|it| it.primary)
    }

    /// Returns the statements that were run for callers.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().runs.clone()
    }

    /// Returns the value of an item at the primary.
    pub fn value(&self, item: &str) -> Option<String> {
        let state = self.lock();
        let primary = state.members.iter().find(|it| it.primary)?;
        find(&primary.log, item)
    }

    /// Sets the time after which replicas apply a commit.
    pub fn set_apply_lag(&self, lag: Duration) {
        self.lock().apply_lag = lag;
    }

    /// Sets whether a replica receives no commits.
    pub fn set_replication_cut(&self, member: usize, deaf: bool) {
        self.lock().members[member].fault = Fault::Deaf.when(deaf);
    }

    /// Returns the number of commits that each database has received.
    pub fn log_lengths(&self) -> Vec<usize> {
        self.lock().members.iter().map(|it| it.log.len()).collect()
    }

    /// Returns the databases that are fenced.
    pub fn fenced_members(&self) -> Vec<usize> {
        let state = self.lock();
        let fenced = state.members.iter().enumerate();
        let fenced = fenced.filter(|(_, member)| member.fence > 0);
        fenced.map(|(index, _)| index).collect()
    }

    pub(super) const fn sync_replicas(&self) -> usize {
        self.sync_replicas
    }

    pub(super) const fn promotion_time(&self) -> Duration {
        self.promotion_time
    }

    /// Sets the term below which a replica receives nothing, or lifts it by 0; returns the newest
    /// term and the fence.
    pub(super) fn fence(&self, member: usize, term: Option<u64>) -> (u64, u64) {
        let mut state = self.lock();
        let newest = state.term;
        let member = &mut state.members[member];
        if let Some(term) = term.filter(|term| *term > newest || *term == 0) {
            member.fence = term;
        }
        (newest, member.fence)
    }

    /// Sets whether a database stays silent.
    pub fn set_unresponsive(&self, member: usize, dark: bool) {
        self.lock().members[member].fault = Fault::Dark.when(dark);
    }

    /// Sets whether a database is about to leave.
    pub fn mark_draining(&self, member: usize) {
        self.lock().members[member].draining = true;
    }

    /// Loses the answers of the next commits, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Leaves the next orders to promote without answer and effect.
    pub fn ignore_orders(&self, count: u32) {
        self.lock().ignored_orders = count;
    }

    pub(super) fn ignores_order(&self) -> bool {
        let mut state = self.lock();
        let ignored = state.ignored_orders > 0;
        state.ignored_orders = state.ignored_orders.saturating_sub(1);
        ignored
    }

    /// Leaves the next orders to promote without answer and carries them out after a time.
    pub fn delay_orders(&self, count: u32, delay: Duration) {
        self.lock().late_orders = (count, delay);
    }

    /// Returns how late an order is carried out, if it is.
    pub(super) fn delays_order(&self) -> Option<Duration> {
        let (count, delay) = &mut self.lock().late_orders;
        *count = count.checked_sub(1)?;
        Some(*delay)
    }

    /// Closes all connections to the databases, as a restart of them does.
    pub fn close_connections(&self) {
        self.lock().closed += 1;
        self.closing.notify_waiters();
    }

    pub(super) fn closed(&self) -> u64 {
        self.lock().closed
    }

    /// Makes a database the primary of the next term, with what it has received.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
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
            // A fence above the new term holds on.
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
            .any(|it| Self::member_id(it) == id && state.members[it].fault != Fault::Dark);
        if token < state.token || !running {
            return false;
        }
        state.token = token;
        true
    }

    pub(super) fn place(&self, member: usize, address: SocketAddr) {
        self.lock().members[member].address = address;
    }

    pub(super) fn server_rows(&self) -> Vec<(String, Value)> {
        let mut state = self.lock();
        state.sequence += 1;
        let sequence = state.sequence;
        let entry = |(index, member): (usize, &Member)| {
            let entry = json!({
                "service": SERVICE, "address": member.address, "zone": "north", "version": "v1",
                "slots": 5, "state": if member.draining { "draining" } else { "ready" },
                "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
                "database_role": if member.primary { "primary" } else { "replica" },
            });
            (Self::member_id(index), entry)
        };
        state.members.iter().enumerate().map(entry).collect()
    }

    /// Takes a connection; `None` if there are too many.
    pub(super) fn connect(&self, member: usize) -> Option<u64> {
        let mut state = self.lock();
        if state.members[member].connections >= self.limit {
            return None;
        }
        state.members[member].connections += 1;
        state.next += 1;
        Some(state.next)
    }

    pub(super) fn disconnect(&self, member: usize) {
        self.lock().members[member].connections -= 1;
    }

    pub(super) fn is_dark(&self, member: usize) -> bool {
        self.lock().members[member].fault == Fault::Dark
    }

    pub(super) fn leads(&self, member: usize) -> bool {
        self.lock().members[member].primary
    }

    pub(super) fn note(&self, run: Execution) {
        self.lock().runs.push(run);
    }

    /// Returns the applied position of a database.
    pub(super) fn position(&self, member: usize) -> (u64, u64) {
        let state = self.lock();
        let member = &state.members[member];
        let last = member.applied.checked_sub(1).map(|at| &member.log[at]);
        last.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Returns the received position of a database.
    pub(super) fn received(&self, member: usize) -> (u64, u64) {
        let state = self.lock();
        let last = state.members[member].log.last();
        last.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Tells whether a database has applied a position.
    pub(super) fn holds(&self, member: usize, mark: (u64, u64)) -> bool {
        let state = self.lock();
        let member = &state.members[member];
        let applied = &member.log[..member.applied];
        mark.1 == 0 || applied.iter().any(|it| (it.term, it.number) == mark)
    }

    pub(super) fn read(&self, member: usize, item: &str) -> Option<String> {
        let state = self.lock();
        let member = &state.members[member];
        find(&member.log[..member.applied], item)
    }

    /// Commits at the primary and sends the commit to the replicas; tells whether its answer is
    /// lost, or `None` if the database is not the primary.
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
        let entry = Entry {
            term,
            number,
            writes,
        };
        let lag = state.apply_lag;
        let mut received = 0;
        for (index, it) in state.members.iter_mut().enumerate() {
            let reached = it.fault == Fault::None && it.fence == 0;
            if index == member || reached && it.log.len() as u64 + 1 == number {
                it.log.push(entry.clone());
                received += usize::from(index != member);
            }
        }
        state.members[member].applied = state.members[member].log.len();
        // A commit that too few replicas have received stays without an answer.
        let lost = state.lost_answers > 0 || received < self.sync_replicas;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        drop(state);
        let database = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            database.apply(number);
        });
        Some(lost)
    }

    fn apply(&self, number: u64) {
        for member in &mut self.lock().members {
            let known = member.log.len().min(number as usize);
            member.applied = member.applied.max(known);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(log: &[Entry], item: &str) -> Option<String> {
    let mut writes = log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
    writes
        .find(|(name, _)| name == item)
        .map(|(_, data)| data.clone())
}
