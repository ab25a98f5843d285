//! Limits on open transactions.
