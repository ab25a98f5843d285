//! Failure detection and membership among the VMs.
