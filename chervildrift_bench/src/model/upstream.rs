//! Simulated upstream with a replicated log.

use std::collections::HashMap;
use std::time::Duration;

use chervildrift_core::failover::Answer;
use chervildrift_core::types::{LogPosition, Position, Role, Status, Term, Time};

use super::message::{Entry, Reply, Request};

/// Greatest number of entries in the answer to one pull.
const MAX_PULL_ENTRIES: usize = 512;

/// Time after which a pull without an answer is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(150);

/// Simulated upstream with a durable log.
#[derive(Debug)]
pub struct FakeUpstream {
    role: Role,
    fenced: Term,
    promoter: Option<u64>,
    log: Vec<Entry>,
    /// Number of entries by key, to detect a repeated key.
    key_counts: HashMap<u64, u32>,
    following: Option<(usize, Term)>,
    /// Length of the log prefix that the next pull compares with the primary's log.
    match_length: usize,
    /// Time of the pull that has not been answered.
    pull_sent: Option<Time>,
    last_contact: Option<Time>,
    receive_lag: Duration,
    apply_lag: Duration,
    /// Length of the log that reads have already seen, which stays visible.
    shown_length: usize,
}

impl Default for FakeUpstream {
    fn default() -> Self {
        Self {
            role: Role::Replica,
            fenced: Term::default(),
            promoter: None,
            log: Vec::new(),
            key_counts: HashMap::new(),
            following: None,
            match_length: 0,
            pull_sent: None,
            last_contact: None,
            receive_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            shown_length: 0,
        }
    }
}

impl FakeUpstream {
    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &[Entry] {
        &self.log
    }

    /// Tells whether the upstream accepts writes.
    #[must_use]
    pub fn accepts_writes(&self) -> bool {
        self.role == Role::Primary && self.received().term == self.fenced
    }

    /// Returns the delay with which the upstream receives entries.
    #[must_use]
    pub const fn receive_lag(&self) -> Duration {
        self.receive_lag
    }

    /// Delays the receipt of entries by `receive`, and their visibility to reads by `apply`.
    pub fn set_lag(&mut self, now: Time, receive: Duration, apply: Duration) {
        self.shown_length = self.applied_length(now);
        self.receive_lag = receive;
        self.apply_lag = apply;
    }

    /// Returns the position of the last log entry.
    #[must_use]
    pub fn received(&self) -> LogPosition {
        self.position_at(self.log.len())
    }

    /// Returns the primary that the upstream pulls from, and its term.
    #[must_use]
    pub const fn following(&self) -> Option<(usize, Term)> {
        self.following
    }

    /// Tells whether the log contains a key.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.key_counts.get(&key).is_some_and(|&count| count > 0)
    }

    /// Tells whether reads see a key.
    #[must_use]
    pub fn is_visible(&self, now: Time, key: u64) -> bool {
        let applied = &self.log[..self.applied_length(now)];
        applied.iter().rev().any(|entry| entry.key == key)
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            role: self.role,
            fenced: self.fenced,
            received: self.received(),
            applied: self.position_at(self.applied_length(now)),
            heard: self.last_contact.map(|contact| now.since(contact)),
        }
    }

    /// Handles a request; `lag` is the receive lag of the replica that pulls.
    pub fn handle(&mut self, now: Time, request: Request, lag: Duration) -> Reply {
        match request {
            Request::Status => Reply::Status(self.status(now)),
            Request::Fence { term, promoter } => Reply::Fence(self.fence(term, promoter)),
            Request::Promote { term, promoter } => {
                Reply::Promote(self.promote(now, term, promoter))
            }
            Request::Follow { primary, term } => self.follow(now, primary, term),
            Request::Write { key, is_cancel } => self.write(now, key, is_cancel),
            Request::Read { key, .. } => Reply::Read {
                status: self.status(now),
                visible: self.is_visible(now, key),
            },
            Request::Pull { term, after, tail } => self.serve_pull(now, term, after, tail, lag),
        }
    }

    /// Starts the next pull and returns its target, unless one is pending.
    pub fn start_pull(&mut self, now: Time) -> Option<(usize, Request)> {
        let (primary, term) = self.following?;
        if self
            .pull_sent
            .is_some_and(|at| now.since(at) < PULL_TIMEOUT)
        {
            return None;
        }
        self.pull_sent = Some(now);
        let after = self.match_length;
        let tail = self.position_at(after).term;
        Some((primary, Request::Pull { term, after, tail }))
    }

    /// Handles the answer to a pull.
    pub fn end_pull(&mut self, now: Time, from: usize, reply: &Reply) {
        self.pull_sent = None;
        let current = |term| self.following == Some((from, term)) && self.fenced == term;
        match reply {
            Reply::Entries {
                term,
                after,
                entries,
            } if current(*term) => {
                self.last_contact = Some(now);
                self.append(*after, entries);
            }
            Reply::Mismatch { term, length, tail } if current(*term) => {
                self.last_contact = Some(now);
                self.step_back(*length, *tail);
            }
            _ => {}
        }
    }

    /// Restarts after a crash; the log, the fence and the role are durable.
    pub fn restart(&mut self) {
        self.following = None;
        self.pull_sent = None;
        self.last_contact = None;
    }

    fn position_at(&self, length: usize) -> LogPosition {
        let last = length.checked_sub(1).and_then(|index| self.log.get(index));
        LogPosition {
            term: last.map_or(Term::default(), |entry| entry.term),
            position: Position(length as u64),
        }
    }

    fn applied_length(&self, now: Time) -> usize {
        if self.role == Role::Primary {
            return self.log.len();
        }
        let lag = self.apply_lag;
        let visible = self
            .log
            .partition_point(|entry| entry.written_at + lag <= now);
        visible.max(self.shown_length)
    }

    fn fence(&mut self, term: Term, promoter: u64) -> Answer {
        let repeat = term == self.fenced && self.promoter == Some(promoter);
        if term > self.fenced {
            self.fenced = term;
            self.promoter = Some(promoter);
            self.following = None;
        } else if !repeat {
            return Answer::Refused {
                fenced: self.fenced,
            };
        }
        Answer::Granted {
            received: self.received(),
        }
    }

    fn promote(&mut self, now: Time, term: Term, promoter: u64) -> Answer {
        if term != self.fenced || self.promoter != Some(promoter) {
            return Answer::Refused {
                fenced: self.fenced,
            };
        }
        if !self.accepts_writes() {
            self.role = Role::Primary;
            self.following = None;
            self.push(Entry {
                term,
                key: 0,
                is_cancel: false,
                written_at: now,
            });
        }
        Answer::Granted {
            received: self.received(),
        }
    }

    fn follow(&mut self, now: Time, primary: usize, term: Term) -> Reply {
        let leads_term = self.accepts_writes() && self.fenced == term;
        if term >= self.fenced && !leads_term && self.following != Some((primary, term)) {
            self.fenced = term;
            self.promoter = None;
            self.shown_length = self.applied_length(now);
            self.role = Role::Replica;
            self.following = Some((primary, term));
            self.match_length = self.log.len();
            self.pull_sent = None;
            self.last_contact = None;
        }
        Reply::Follow
    }

    fn write(&mut self, now: Time, key: u64, is_cancel: bool) -> Reply {
        if !self.accepts_writes() {
            return Reply::NotPrimary;
        }
        if !self.contains(key) {
            self.push(Entry {
                term: self.fenced,
                key,
                is_cancel,
                written_at: now,
            });
        }
        let record = self.log.iter().rev().find(|entry| entry.key == key);
        Reply::Written {
            position: self.received(),
            cancelled: record.is_some_and(|entry| entry.is_cancel),
        }
    }

    fn serve_pull(&self, now: Time, term: Term, after: usize, tail: Term, lag: Duration) -> Reply {
        if !self.accepts_writes() || self.fenced != term {
            return Reply::PullRefused;
        }
        let length = after.min(self.log.len());
        if length < after || self.position_at(after).term != tail {
            let length = length.min(after.saturating_sub(1));
            // Entries above the replica's term can't match, so they are skipped at once.
            let above = self.log[..length].iter().rev();
            let length = length - above.take_while(|entry| entry.term > tail).count();
            let tail = self.position_at(length).term;
            return Reply::Mismatch { term, length, tail };
        }
        let ready = |entry: &&Entry| entry.written_at + lag <= now;
        let entries = self.log[after..].iter().take_while(ready);
        Reply::Entries {
            term,
            after,
            entries: entries.take(MAX_PULL_ENTRIES).copied().collect(),
        }
    }

    fn append(&mut self, after: usize, entries: &[Entry]) {
        if after != self.match_length {
            return;
        }
        for entry in entries {
            let same = self.log.get(self.match_length).map(|own| own.term) == Some(entry.term);
            if !same {
                self.truncate(self.match_length);
                self.push(*entry);
            }
            self.match_length += 1;
        }
    }

    /// Moves the matched length back to the last entry whose term is not above `tail`, the term of
    /// the primary's entry at `length`.
    fn step_back(&mut self, length: usize, tail: Term) {
        let length = length.min(self.log.len());
        let above = self.log[..length].iter().rev();
        let above = above.take_while(|entry| entry.term > tail).count();
        self.match_length = length - above;
    }

    fn push(&mut self, entry: Entry) {
        *self.key_counts.entry(entry.key).or_default() += 1;
        self.log.push(entry);
    }

    fn truncate(&mut self, length: usize) {
        self.shown_length = self.shown_length.min(length);
        for entry in self.log.drain(length..) {
            if let Some(count) = self.key_counts.get_mut(&entry.key) {
                *count -= 1;
            }
        }
    }
}
