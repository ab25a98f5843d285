//! Memory and places of callers' sessions on one VM.
//!
//! Load: callers that don't behave send many large messages at once, stop half-way through them,
//! read no answers, or only hold connections. Each session has a guaranteed part of the memory,
//! which holds any ordinary message, and larger ones share the rest. A session inside its part
//! never waits and never gives way to the memory of others. Of the sessions above their part, and
//! of all sessions when places run out, the least worthy gives way: one that hasn't said who it is
//! before an idle one, an idle one before one inside a transaction, and among equals the one that has
//! been so, or above its part, for longest. A session whose statement is running never gives way.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::types::Time;

/// Identifier of a session, unique in its process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SessionId(u64);

/// What a session is doing, from the least to the most worthy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The caller hasn't said who it is.
    Unidentified,
    /// Nothing is in flight.
    Idle,
    /// A transaction is open and waits for its caller.
    InTransaction,
    /// A statement is running.
    Running,
}

/// Bounds of a [`SessionBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Bytes that each session may hold whatever the others do.
    pub session_bytes: usize,
    /// Bytes that sessions share beyond their parts.
    pub shared_bytes: usize,
    /// Maximum number of sessions.
    pub sessions: usize,
    /// Maximum number of sessions that haven't said who they are.
    pub unidentified: usize,
}

/// Result of asking for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The session has a place.
    Admitted(SessionId),
    /// This session gives way first.
    After(SessionId),
    /// There is no place, and no session gives way.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    held: usize,
    standing: Standing,
    /// Time since which it has this standing.
    since: Time,
    /// Time since which it holds more than its part.
    above_since: Time,
}

/// Memory and places of the sessions of a VM.
#[derive(Debug)]
pub struct SessionBudget {
    bounds: BudgetBounds,
    sessions: HashMap<SessionId, Entry>,
    shared_held: usize,
    unidentified: usize,
    last_id: u64,
}

impl SessionBudget {
    /// Creates a budget without sessions.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            sessions: HashMap::new(),
            shared_held: 0,
            unidentified: 0,
            last_id: 0,
        }
    }

    /// Changes the maximum number of sessions; returns those that give their places up.
    pub fn set_places(&mut self, places: usize) -> SmallVec<[SessionId; 8]> {
        self.bounds.sessions = places;
        let mut removed = SmallVec::new();
        while self.sessions.len() > places
            && let Admission::After(id) =
                self.find_place(|entry| entry.standing < Standing::Running)
        {
            self.remove(id);
            removed.push(id);
        }
        removed
    }

    /// Gives a new session a place.
    pub fn admit(&mut self, now: Time) -> Admission {
        if self.unidentified >= self.bounds.unidentified {
            let last = Standing::Unidentified;
            return self.find_place(|entry| entry.standing == last);
        }
        if self.sessions.len() >= self.bounds.sessions {
            return self.find_place(|entry| entry.standing < Standing::Running);
        }
        self.last_id += 1;
        self.unidentified += 1;
        let id = SessionId(self.last_id);
        let entry = Entry {
            held: 0,
            standing: Standing::Unidentified,
            since: now,
            above_since: now,
        };
        self.sessions.insert(id, entry);
        Admission::Admitted(id)
    }

    fn find_place(&self, filter: impl Fn(&Entry) -> bool) -> Admission {
        let found = self.least_worthy(filter, |entry| entry.since);
        found.map_or(Admission::Refused, Admission::After)
    }

    /// Removes a session and what it holds; returns false if it was removed before.
    pub fn remove(&mut self, id: SessionId) -> bool {
        let Some(entry) = self.sessions.remove(&id) else {
            return false;
        };
        self.shared_held -= self.shared_part(entry.held);
        self.unidentified -= usize::from(entry.standing == Standing::Unidentified);
        true
    }

    /// Records what a session is doing from now on; returns false if it was removed.
    pub fn set_standing(&mut self, id: SessionId, standing: Standing, now: Time) -> bool {
        let Some(entry) = self.sessions.get_mut(&id) else {
            return false;
        };
        self.unidentified -= usize::from(entry.standing == Standing::Unidentified);
        self.unidentified += usize::from(standing == Standing::Unidentified);
        entry.standing = standing;
        entry.since = now;
        true
    }

    /// Changes the bytes that a session holds; returns false, and changes nothing, if they don't
    /// fit or the session was removed.
    pub fn resize(&mut self, id: SessionId, bytes: usize, now: Time) -> bool {
        let part = self.bounds.session_bytes;
        let Some(entry) = self.sessions.get_mut(&id) else {
            return false;
        };
        let others = self.shared_held - entry.held.saturating_sub(part);
        let shared_held = others.saturating_add(bytes.saturating_sub(part));
        if bytes > entry.held && shared_held > self.bounds.shared_bytes {
            return false;
        }
        if entry.held <= part {
            entry.above_since = now;
        }
        entry.held = bytes;
        self.shared_held = shared_held;
        true
    }

    /// Returns the session above its part that gives its memory up first.
    #[must_use]
    pub fn least_worthy_holder(&self) -> Option<SessionId> {
        let holds = |entry: &Entry| self.shared_part(entry.held) > 0;
        self.least_worthy(
            |entry| entry.standing < Standing::Running && holds(entry),
            |entry| entry.above_since,
        )
    }

    /// Returns the bytes that all sessions hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.sessions.values().map(|entry| entry.held).sum()
    }

    /// Returns the number of sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    fn least_worthy(
        &self,
        filter: impl Fn(&Entry) -> bool,
        since: impl Fn(&Entry) -> Time,
    ) -> Option<SessionId> {
        let candidates = self.sessions.iter().filter(|(_, entry)| filter(entry));
        let first = candidates.min_by_key(|(id, entry)| (entry.standing, since(entry), **id));
        first.map(|(id, _)| *id)
    }

    const fn shared_part(&self, held: usize) -> usize {
        held.saturating_sub(self.bounds.session_bytes)
    }
}
