//! Limits on what callers that don't behave may take of a relaying VM.

use serde::{Deserialize, Serialize};

use crate::limit::BudgetBounds;

/// Bytes of a mebibyte.
const MIB: usize = 1 << 20;

/// Part of the memory that callers' messages and answers may take; the rest is for the process
/// itself, its connections to upstreams and the copies of messages on their way.
const CALLER_MEMORY_DIVISOR: usize = 4;

/// Part of the callers' memory that is divided among all sessions; the rest is for larger messages.
const GUARANTEED_DIVISOR: usize = 2;

/// Copies of a large reply that are in memory while it is received and encoded.
const REPLY_COPIES: usize = 4;

/// Descriptors that the platform keeps for files.
const FILE_RESERVE: usize = 200;

/// Sockets for listeners, signals, the store, operators and the VM's own links to other VMs.
const OWN_SOCKETS: usize = 48;

/// Part of the sockets of callers that is for links to the VMs from which their statements borrow
/// connections; the statements of further sessions wait for a link.
const LINK_DIVISOR: usize = 4;

/// Sockets that callers and their statements may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SocketShares {
    /// Maximum number of open sessions.
    pub sessions: usize,
    /// Maximum number of statements and transactions on borrowed connections.
    pub links: usize,
}

/// Limits on callers of a relaying VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Memory of the VM, in MiB.
    pub memory_mb: usize,
    /// File descriptors of the process.
    pub file_descriptors: usize,
    /// Maximum length of a message, in bytes.
    pub message_bytes: usize,
    /// Time within which a message must arrive in full after its first byte, in milliseconds.
    pub message_ms: u64,
    /// Time without progress after which an answer that a caller doesn't read is given up, in
    /// milliseconds.
    pub unread_ms: u64,
    /// Time after which a caller whose machine no longer responds counts as gone, in milliseconds.
    pub silent_ms: u64,
    /// Maximum number of open sessions; three quarters of the sockets if it isn't set.
    pub sessions: Option<usize>,
    /// Maximum number of sessions that haven't said who they are; a quarter of the sessions if it
    /// isn't set.
    pub unidentified: Option<usize>,
    /// Maximum number of messages that a caller sends ahead of the answer to an earlier one.
    pub sent_ahead: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            // The largest VM of the platform that the program was first deployed on.
            memory_mb: 512,
            // The fewest descriptors of a VM on that platform.
            file_descriptors: 4_300,
            // Maximum length of a message in the protocol.
            message_bytes: MIB,
            // Several times what a whole message takes on the slowest link, after a network fault
            // of some seconds.
            message_ms: 30_000,
            // Longer than callers wait for an answer, and than a network fault lasts.
            unread_ms: 30_000,
            // As long as an answer may stay unread.
            silent_ms: 30_000,
            sessions: None,
            unidentified: None,
            // Callers wait for each answer; libraries that pipeline send some dozens of messages.
            sent_ahead: 256,
        }
    }
}

impl CallerLimits {
    /// Returns the bytes that callers' messages, sessions and unread answers may take together.
    #[must_use]
    pub const fn budget_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(MIB) / CALLER_MEMORY_DIVISOR
    }

    /// Returns the bounds of all sessions together.
    #[must_use]
    pub fn bounds(&self) -> BudgetBounds {
        let sessions = self.sessions();
        let session_bytes = self.budget_bytes() / GUARANTEED_DIVISOR / sessions.max(1);
        BudgetBounds {
            session_bytes,
            shared_bytes: self.budget_bytes() - session_bytes * sessions,
            sessions,
            unidentified: self.unidentified(),
        }
    }

    /// Returns the number of large replies that may be received from upstreams at a time.
    ///
    /// A reply of the greatest size is in memory several times: as received, as rows and as sent.
    #[must_use]
    pub const fn large_replies(&self) -> usize {
        let replies = self.budget_bytes() / REPLY_COPIES / self.message_bytes;
        if replies == 0 { 1 } else { replies }
    }

    /// Returns the sockets that the process may open.
    #[must_use]
    pub const fn sockets(&self) -> usize {
        self.file_descriptors.saturating_sub(FILE_RESERVE)
    }

    /// Returns the maximum number of open sessions.
    ///
    /// By default a quarter of the sockets is kept for upstreams, other VMs, the store and operators.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.unwrap_or(self.sockets() / 4 * 3)
    }

    /// Returns the sockets for callers and their statements beside up to `upstream_connections`; a
    /// VM that borrows connections needs links to other VMs for statements.
    #[must_use]
    pub fn socket_shares(&self, upstream_connections: usize, borrows: bool) -> SocketShares {
        let reserve = self.peers() + OWN_SOCKETS + upstream_connections;
        let rest = self.sockets().saturating_sub(reserve);
        let min_links = if borrows { rest / LINK_DIVISOR } else { 0 };
        let sessions = self.sessions().min(rest - min_links).max(1);
        SocketShares {
            sessions,
            links: rest.saturating_sub(sessions).max(1),
        }
    }

    /// Returns the maximum number of connections that other VMs may have open.
    ///
    /// A quarter of what callers can't use is left for upstreams, the store and operators.
    #[must_use]
    pub fn peers(&self) -> usize {
        (self.sockets().saturating_sub(self.sessions()) / 4 * 3).max(1)
    }

    /// Returns the maximum number of sessions that haven't said who they are.
    #[must_use]
    pub fn unidentified(&self) -> usize {
        self.unidentified.unwrap_or(self.sessions().div_ceil(4))
    }
}
