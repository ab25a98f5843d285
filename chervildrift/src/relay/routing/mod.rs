//! Choice of the upstream for a statement, and its attempts.

pub(super) mod attempts;
pub(super) mod autocommit;
