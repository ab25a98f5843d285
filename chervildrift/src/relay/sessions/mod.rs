//! Callers' sessions, their transactions and responses.

pub(super) mod caller_stream;
pub(super) mod listener;
pub(super) mod response;
pub(super) mod seats;
pub(super) mod session;
pub(super) mod transaction;
