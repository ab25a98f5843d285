//! Rate limits of the log lines that requests cause.
//!
//! Lines about the VM's view of the fleet are rare and always written. Lines about requests grow
//! with the load, so each event has a quota, and the next line that is written tells how many were
//! dropped.

use std::cell::RefCell;

use chervildrift_core::limit::LineQuota;
use derive_more::Display;

use crate::relay::clock;

/// Event of a log line that a request causes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(in crate::relay) enum RequestEvent {
    /// An upstream refused a statement or gave no reply.
    #[display("try")]
    Try,
    /// A statement failed.
    #[display("failure")]
    Failure,
    /// A commit was acknowledged without confirmation by a replica.
    #[display("unconfirmed")]
    Unconfirmed,
    /// A session was refused.
    #[display("session")]
    Session,
    /// An operation was refused since the quota of its organisation was used up.
    #[display("quota")]
    Quota,
    /// A caller's connection was closed for a limit.
    #[display("close")]
    Close,
}

impl RequestEvent {
    const COUNT: usize = 6;
}

/// Log quota of each event.
#[derive(Debug)]
pub(in crate::relay) struct LogQuotas {
    quotas: RefCell<[LineQuota; RequestEvent::COUNT]>,
}

impl LogQuotas {
    /// Returns unused quotas.
    pub(in crate::relay) const fn full() -> Self {
        Self {
            quotas: RefCell::new([const { LineQuota::full() }; RequestEvent::COUNT]),
        }
    }

    /// Counts a line against the quota of its event; returns how many lines were dropped since the
    /// last one that was written, or `None` if this one has to be dropped too.
    pub(in crate::relay) fn admit(&self, event: RequestEvent) -> Option<u64> {
        self.quotas.borrow_mut()[event as usize].admit(clock::now())
    }
}
