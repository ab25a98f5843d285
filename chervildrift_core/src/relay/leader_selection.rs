//! Which upstream takes over from a leader so that no acknowledged commit is lost.
//!
//! A commit that was acknowledged stands in the logs of as many replicas as the service declares.
//! So many replicas have to tell their position that one of them must have it, and the furthest of
//! all takes over. The others are fenced before, so that the old leader can't have a commit
//! acknowledged by them meanwhile.

use derive_more::Display;

use crate::types::{LogPosition, Upstream};

/// What an upstream that does not lead has told of its log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Last position that it has received.
    pub received: LogPosition,
    /// Whether it may lead; one that leaves may not.
    pub eligible: bool,
}

/// Why no upstream can take over yet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SelectionError {
    /// Too few replicas answer to know all acknowledged commits.
    #[display("{told} of {needed} replicas answer")]
    TooFew {
        /// Replicas that have told their position.
        told: usize,
        /// Replicas that have to.
        needed: usize,
    },
    /// No replica that may lead has received everything.
    #[display("no replica that stays has received everything")]
    Behind,
}

/// Returns how many of `known` replicas have to answer, if a commit is acknowledged once
/// `sync_replicas` of them have received it.
#[must_use]
pub const fn quorum(known: usize, sync_replicas: usize) -> usize {
    if sync_replicas == 0 || known < sync_replicas {
        return 1;
    }
    known - sync_replicas + 1
}

/// Returns the replica that takes over: the one that was ordered to before, or the furthest one.
///
/// An order without an answer may still be carried out, so a second one names the same replica; it has
/// to be brought up to the others before. One that leaves takes over only if it alone has the last
/// commits and the old leader is gone.
pub fn select_leader<'a>(
    replicas: &'a [Replica],
    ordered: Option<&Upstream>,
    needed: usize,
    planned: bool,
) -> Result<&'a Replica, SelectionError> {
    let told = replicas.len();
    if told < needed {
        return Err(SelectionError::TooFew { told, needed });
    }
    let mut eligible = replicas.iter().filter(|it| it.eligible);
    if let Some(ordered_before) = eligible.find(|it| Some(&it.upstream) == ordered) {
        return Ok(ordered_before);
    }
    let by_log = |it: &&Replica| (it.received, it.eligible);
    let furthest = replicas.iter().max_by_key(by_log);
    let furthest = furthest.ok_or(SelectionError::TooFew { told, needed })?;
    // A leader that still runs sends the others what they lack.
    if !furthest.eligible && planned {
        return Err(SelectionError::Behind);
    }
    Ok(furthest)
}

/// What is known once the replicas that were not chosen have been fenced.
#[derive(Clone, Copy, Debug)]
pub struct FencedLogs<'a> {
    /// Last position that the chosen replica has received.
    pub chosen: LogPosition,
    /// Last positions that the fenced replicas have received.
    pub others: &'a [LogPosition],
    /// Newest position that any of them or the leader was seen to have, if it has to be kept.
    pub required: Option<LogPosition>,
}

impl FencedLogs<'_> {
    /// Tells whether the chosen replica has received all that is known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let highest = self.others.iter().copied().max().max(self.required);
        highest.is_none_or(|highest| self.chosen >= highest)
    }

    /// Tells whether the promotion keeps every acknowledged commit, if `needed` replicas have to be
    /// known.
    #[must_use]
    pub fn is_safe(&self, needed: usize) -> bool {
        self.others.len() + 1 >= needed && self.is_complete()
    }
}
