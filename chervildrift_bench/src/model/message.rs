//! Messages between VMs and upstreams.

use chervildrift_core::failover::Answer;
use chervildrift_core::types::{LogPosition, Status, Term, Time};

/// Sender or receiver of a message.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Party {
    /// An upstream of the group.
    Upstream(usize),
    /// A VM.
    Vm(usize),
}

/// Entry of a log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term the entry was written in.
    pub term: Term,
    /// Key of the write; 0 for the entry that starts a term.
    pub key: u64,
    /// Whether the entry is the cancel record of its key.
    pub is_cancel: bool,
    /// Time at which the primary wrote it.
    pub written_at: Time,
}

/// Request to an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Request {
    /// Read the status.
    Status,
    /// Fence at a term.
    Fence {
        /// Term of the fence.
        term: Term,
        /// Identity of the promoter.
        promoter: u64,
    },
    /// Promote at a term.
    Promote {
        /// Term of the promotion.
        term: Term,
        /// Identity of the promoter.
        promoter: u64,
    },
    /// Follow a primary.
    Follow {
        /// Primary to follow.
        primary: usize,
        /// Term of the primary.
        term: Term,
    },
    /// Write a key, or its cancel record.
    Write {
        /// Key of the write.
        key: u64,
        /// Whether to write the cancel record.
        is_cancel: bool,
    },
    /// Read a key for a session.
    Read {
        /// Key that the session wrote last.
        key: u64,
        /// Position that the upstream must have applied.
        min_position: LogPosition,
    },
    /// Pull the entries that follow the first `after` entries.
    Pull {
        /// Term of the primary that the replica follows.
        term: Term,
        /// Number of entries before the pulled ones.
        after: usize,
        /// Term of the last of them.
        tail: Term,
    },
}

/// Answer of an upstream.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answer to a status read.
    Status(Status),
    /// Answer to a fence.
    Fence(Answer),
    /// Answer to a promotion.
    Promote(Answer),
    /// The request to follow a primary was handled.
    Follow,
    /// The write or its cancel record is in the log.
    Written {
        /// Position of the last log entry when the transaction ended.
        position: LogPosition,
        /// Whether the key's record is a cancel record.
        cancelled: bool,
    },
    /// The upstream is not the primary; nothing was written.
    NotPrimary,
    /// Answer to a read.
    Read {
        /// Status on the connection that ran the read.
        status: Status,
        /// Whether the read saw the key.
        visible: bool,
    },
    /// Entries of the primary's log.
    Entries {
        /// Term of the primary.
        term: Term,
        /// Number of entries before the first one.
        after: usize,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The replica's log differs before the pulled entries.
    Mismatch {
        /// Term of the primary.
        term: Term,
        /// Length of the log to try next.
        length: usize,
        /// Term of the primary's entry there.
        tail: Term,
    },
    /// The pulled upstream is not the primary of that term.
    PullRefused,
}
