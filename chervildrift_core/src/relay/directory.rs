//! Directory of the upstreams listed by the platform.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{Role, Service, Time, Upstream, Zone};

/// Maximum time for which an upstream is kept after its entry disappeared, during which a leader
/// can be replaced.
const MISSING_GRACE: Duration = Duration::from_millis(4_500);

/// Time after which an upstream whose entry disappeared counts as leaving.
///
/// Entries that expired while the platform's store was unavailable reappear within two seconds of
/// its return.
const MISSING_LEAVING: Duration = Duration::from_millis(2_200);

/// Part of a leaving upstream's drain time that is reserved for statements already queued for it.
const QUEUE_RESERVE: Duration = Duration::from_millis(1_500);

/// Upstream as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryEntry {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Service that it belongs to.
    pub service: Service,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Role that it reports.
    pub role: Role,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Version of the entry, which increases with every change.
    pub version: u64,
}

/// Upstreams listed by the platform.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Time for which a leaving upstream still gets new work.
    drain_window: Duration,
    entries: HashMap<Upstream, DirectoryEntry>,
    missing_since: HashMap<Upstream, Time>,
    /// Time from which each draining upstream may have been draining.
    draining_since: HashMap<Upstream, Time>,
    /// Upstreams that were draining when they were first seen, for an unknown time.
    first_seen_draining: HashSet<Upstream>,
}

impl Directory {
    /// Creates an empty directory; a leaving upstream must get no work after `drain`.
    #[must_use]
    pub fn new(drain: Duration) -> Self {
        Self {
            drain_window: drain.saturating_sub(QUEUE_RESERVE).max(drain / 2),
            entries: HashMap::new(),
            missing_since: HashMap::new(),
            draining_since: HashMap::new(),
            first_seen_draining: HashSet::new(),
        }
    }

    /// Inserts a new or changed entry; `changed` is the earliest time at which it may have changed.
    pub fn put(&mut self, changed: Time, entry: DirectoryEntry) {
        if entry.draining {
            if !self.entries.contains_key(&entry.upstream) {
                self.first_seen_draining.insert(entry.upstream.clone());
            }
            self.draining_since
                .entry(entry.upstream.clone())
                .or_insert(changed);
        } else {
            self.draining_since.remove(&entry.upstream);
            self.first_seen_draining.remove(&entry.upstream);
        }
        self.missing_since.remove(&entry.upstream);
        self.entries.insert(entry.upstream.clone(), entry);
    }

    /// Returns the times for which upstreams have been draining.
    pub fn drain_ages(&self, now: Time) -> impl Iterator<Item = (&Upstream, Duration)> {
        let drains = self.draining_since.iter();
        drains.map(move |(upstream, since)| (upstream, now.since(*since)))
    }

    /// Records that an entry disappeared; its upstream is kept for a grace period.
    pub fn mark_missing(&mut self, now: Time, upstream: &Upstream) {
        if self.entries.contains_key(upstream) {
            self.missing_since.entry(upstream.clone()).or_insert(now);
        }
    }

    /// Removes an upstream at once, for example if its entry can't be parsed.
    pub fn remove(&mut self, upstream: &Upstream) {
        self.entries.remove(upstream);
        self.missing_since.remove(upstream);
        self.draining_since.remove(upstream);
        self.first_seen_draining.remove(upstream);
    }

    /// Marks all upstreams that a full listing lacks as missing.
    pub fn apply_listing(&mut self, now: Time, listed: &[Upstream]) {
        let known: Vec<Upstream> = self.entries.keys().cloned().collect();
        for upstream in known.iter().filter(|name| !listed.contains(name)) {
            self.mark_missing(now, upstream);
        }
    }

    /// Removes and returns the upstreams whose grace period is over.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let grace = MISSING_GRACE.min(self.drain_window);
        let is_over = |at: &Time| now.since(*at) >= grace;
        let expired: Vec<Upstream> = self
            .missing_since
            .iter()
            .filter(|(_, at)| is_over(at))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in &expired {
            self.remove(upstream);
        }
        expired
    }

    /// Returns whether an upstream is draining, or its entry has been missing for a while.
    #[must_use]
    pub fn is_leaving(&self, now: Time, upstream: &Upstream) -> bool {
        let draining = self.get(upstream).is_some_and(|entry| entry.draining);
        let missing_since = self.missing_since.get(upstream);
        draining || missing_since.is_some_and(|at| now.since(*at) >= MISSING_LEAVING)
    }

    /// Returns whether an upstream must get no more work, even if nothing has replaced it: it has been
    /// leaving for too long, or for a time that this VM can't know.
    #[must_use]
    pub fn is_closed(&self, now: Time, upstream: &Upstream) -> bool {
        self.first_seen_draining.contains(upstream) || self.is_past_drain(now, upstream)
    }

    /// Returns whether an upstream has been seen leaving for so long that it must get no more work
    /// and may have ended.
    #[must_use]
    pub fn is_past_drain(&self, now: Time, upstream: &Upstream) -> bool {
        let since = self
            .draining_since
            .get(upstream)
            .or(self.missing_since.get(upstream));
        since.is_some_and(|at| now.since(*at) >= self.drain_window)
    }

    /// Returns the entry of an upstream.
    #[must_use]
    pub fn get(&self, upstream: &Upstream) -> Option<&DirectoryEntry> {
        self.entries.get(upstream)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Returns the entries of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.iter().filter(move |entry| entry.service == *service)
    }

    /// Returns the entries of a service except that of its leader.
    pub fn replicas<'a>(
        &'a self,
        service: &'a Service,
        leader: Option<&'a Upstream>,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.of_service(service)
            .filter(move |entry| leader != Some(&entry.upstream))
    }

    /// Returns the entry of a service that most recently reported itself as primary.
    #[must_use]
    pub fn reported_primary<'a>(&'a self, service: &'a Service) -> Option<&'a DirectoryEntry> {
        let primaries = self
            .of_service(service)
            .filter(|it| it.role == Role::Primary);
        primaries.max_by_key(|entry| entry.version)
    }
}
