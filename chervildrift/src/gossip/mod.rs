//! Membership messages between VMs over UDP.
