//! Coordination of a change of primary.
