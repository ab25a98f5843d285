//! Quotas of organisations: permits for this VM's operations, and the shares that it keeps.
//!
//! Nothing here runs unless the configuration has organisations. The decisions are those of
//! `chervildrift_core::quota`.

mod admission;
mod shares;

pub(in crate::relay) use self::admission::admit;
pub(in crate::relay) use self::shares::{
    Quotas, apply_listing, apply_update, grant, is_enforced, needs_announcement, run,
};
