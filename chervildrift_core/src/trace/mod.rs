//! Recorded events and their replay.
