//! Quotas of the log lines that requests cause.
//!
//! Lines on what the VM believes are rare and always written. Lines on requests grow with the load,
//! so each event has a quota, and its next line tells how many were dropped.

use std::cell::RefCell;

use chervildrift_core::limit::LineQuota;
use derive_more::Display;

use super::clock;

/// Event of a line that a request causes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum RequestEvent {
    /// An upstream refused a statement or gave no answer.
    #[display("try")]
    Try,
    /// A statement failed.
    #[display("failure")]
    Failure,
    /// A commit was acknowledged by the primary alone.
    #[display("unconfirmed")]
    Unconfirmed,
    /// A session was refused.
    #[display("session")]
    Session,
}

impl RequestEvent {
    const COUNT: usize = 4;
}

/// Quotas by event.
#[derive(Debug)]
pub(super) struct Lines {
    quotas: RefCell<[LineQuota; RequestEvent::COUNT]>,
}

impl Lines {
    /// Opens full quotas.
    pub(super) const fn open() -> Self {
        Self {
            quotas: RefCell::new([const { LineQuota::full() }; RequestEvent::COUNT]),
        }
    }

    /// Takes a line; returns how many were dropped since the last one, or `None` if this one is too.
    pub(super) fn take(&self, event: RequestEvent) -> Option<u64> {
        self.quotas.borrow_mut()[event as usize].admit(clock::now())
    }
}
