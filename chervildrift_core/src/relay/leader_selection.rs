//! Selection of the upstream that replaces a leader, so that no acknowledged commit is lost.
//!
//! An acknowledged commit is present in the logs of as many replicas as the service declares.
//! Enough replicas have to report their position that one of them must have the commit, and the one
//! that is furthest ahead takes over. The others are fenced first, so that the old leader can't
//! have a commit acknowledged by them in the meantime.

use derive_more::Display;

use crate::types::{LogPosition, Upstream};

/// Log state that a replica has reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Last position that it has received.
    pub received: LogPosition,
    /// Whether it may become leader; a leaving replica may not.
    pub eligible: bool,
}

/// Reason why no upstream can take over yet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SelectionError {
    /// Too few replicas answer to cover all acknowledged commits.
    #[display("{told} of {needed} replicas answer")]
    TooFew {
        /// Number of replicas that have reported their position.
        told: usize,
        /// Number of replicas that have to report it.
        needed: usize,
    },
    /// No eligible replica has received every commit.
    #[display("no replica that stays has received everything")]
    Behind,
}

/// Returns how many of `known` replicas have to answer if a commit is acknowledged once
/// `sync_replicas` of them have received it.
#[must_use]
pub const fn quorum(known: usize, sync_replicas: usize) -> usize {
    if sync_replicas == 0 || known < sync_replicas {
        return 1;
    }
    known - sync_replicas + 1
}

/// Returns the replica to promote: the target of an earlier order, or the one furthest ahead.
///
/// An unanswered order may still take effect, so a second order names the same replica, which has
/// to catch up with the others first. A leaving replica is selected only if it alone has the last
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
    // A leader that is still running sends the other replicas what they lack.
    if !furthest.eligible && planned {
        return Err(SelectionError::Behind);
    }
    Ok(furthest)
}

/// Known log positions once the replicas that were not chosen are fenced.
#[derive(Clone, Copy, Debug)]
pub struct FencedLogs<'a> {
    /// Last position that the chosen replica has received.
    pub chosen: LogPosition,
    /// Last positions that the fenced replicas have received.
    pub others: &'a [LogPosition],
    /// Highest position that the new leader is required to have, if one is known.
    pub required: Option<LogPosition>,
}

impl FencedLogs<'_> {
    /// Returns whether the chosen replica has received every known position.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let highest = self.others.iter().copied().max().max(self.required);
        highest.is_none_or(|highest| self.chosen >= highest)
    }

    /// Returns whether the promotion keeps every acknowledged commit, if `needed` replicas have to
    /// be known.
    #[must_use]
    pub fn is_safe(&self, needed: usize) -> bool {
        self.others.len() + 1 >= needed && self.is_complete()
    }
}
