//! Observed state of one database group.
