//! Placement of dispatchers by rendezvous hashing.
