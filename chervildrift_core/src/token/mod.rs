//! Session tokens that callers hold.
