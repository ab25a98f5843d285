//! Decisions of a VM that relays callers' sessions to the upstreams of its services.
//!
//! A session belongs to one caller connection. Its statements run on upstream connections that all
//! sessions share, so the session stores the state that an upstream connection needs before a
//! statement of the session may run on it. Reads at replicas carry the log position that they
//! require; reads at the primary run inside a transaction, which an upstream that is no longer the
//! leader refuses.

mod admission;
mod cached_view;
mod choice;
mod code;
mod configuration_check;
mod connection_cache;
mod directory;
mod election;
mod feed_wait;
mod group;
mod holders;
mod leader_selection;
mod membership;
mod observers;
mod occupancy;
mod organisation;
mod outliers;
mod route;
mod session;
mod statement;
mod store_outage;
mod upstream_limit;

pub use self::admission::{PROBE_KIND, admission_policy, fallback_kind};
pub use self::cached_view::{CachedView, ContentAges, LeaderStatus, Peer, ViewRequest, digest};
pub use self::choice::{Candidate, choose_upstream};
pub use self::code::Code;
pub use self::configuration_check::{
    ConfigurationChange, ConfigurationFinding, Severity, check_configuration,
    compare_configurations,
};
pub use self::connection_cache::{
    ConnectionCache, ConnectionRequest, ConnectionStep, IdleConnection, preferred_upstream,
};
pub use self::directory::{Directory, DirectoryEntry};
pub use self::election::{
    Authority, ElectionAction, ElectionState, Lease, ORDER_WINDOW, PROMOTION_DURATION, Vote,
    decide_election,
};
pub use self::feed_wait::{feed_wait, unconfirmed_limit};
pub use self::group::{
    FenceState, Group, MinPosition, ReplicationState, SessionCommit, fence_timeout,
};
pub use self::holders::{HolderPlan, HolderSet};
pub use self::leader_selection::{FencedLogs, Replica, SelectionError, quorum, select_leader};
pub use self::membership::{
    HEARD_TTL, ListedPresence, MIN_RENEWAL_AGE, PRESENCE_TTL, Presence, due_renewals, running_peers,
};
pub use self::observers::{observer_to_ask, observers, zone_observers};
pub use self::occupancy::{OCCUPANCY_WINDOW, Occupancy};
pub use self::organisation::{KeyDigest, OrganisationRules, OrganisationTable, Quota};
pub use self::outliers::{Ejection, EjectionNews, Health, Outcome, avoided, eject_outliers};
pub use self::route::{Consistency, Route, RouteTable, Routes, ServiceRules};
pub use self::session::{Session, SessionVariables, SetupStep, TransactionStatus};
pub use self::statement::{Access, PreparedStatement, Statement};
pub use self::store_outage::StoreOutage;
pub use self::upstream_limit::ConnectionLimit;
