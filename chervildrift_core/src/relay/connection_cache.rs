//! Connections to one upstream that stay open, each of which belongs to one organisation.
//!
//! Answers the load of far more organisations than connections: some of them steady, some busy with
//! several statements at once, and many that are seen once. A new connection occupies a slot of the
//! upstream for longer than most statements, so the connections stay with those who use them again.
//!
//! The n-th connection of an organisation counts for itself: it is used as often as n statements of
//! the organisation run at once. A connection that isn't used again counts nothing, so a flood of
//! organisations that are seen once closes the connections of each other only. A statement whose
//! organisation has connections, all of them in use, waits for one of them for as long as opening
//! another would take, so that a burst costs at most twice what the best choice would.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::placement::{name_hash, weight};
use crate::types::{Organisation, Time, Upstream};

/// Time constant over which uses are counted; upstreams close connections idle for longer.
const USE_WINDOW: Duration = Duration::from_secs(60);

/// Number of [`USE_WINDOW`]s after which uses are forgotten.
const FORGET_WINDOWS: u32 = 3;

/// Number of counts up to which none is dropped.
const MIN_COUNTS: usize = 256;

/// Time to open a connection that is assumed until one was opened.
const INITIAL_SETUP: Duration = Duration::from_millis(20);

/// Weight of the newest measurement in the estimated time to open a connection.
const SETUP_WEIGHT: f64 = 0.2;

/// Organisation that a connection belongs to; `None` for callers without one.
type Owner = Option<Organisation>;

/// Idle connection that may be closed for another one.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection<'a> {
    /// Organisation that it belongs to.
    pub owner: Option<&'a Organisation>,
    /// Number of open connections of the organisation, this one included.
    pub open: usize,
    /// Time of its last use.
    pub last_used: Time,
}

/// Statement whose organisation has no idle connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest<'a> {
    /// Time since which the statement has looked for a connection.
    pub since: Time,
    /// Number of the organisation's connections that are in use.
    pub in_use: usize,
    /// Number of connections that are open or being opened.
    pub open: usize,
    /// Maximum number of open connections.
    pub limit: usize,
    /// Idle connections of other organisations.
    pub idle: &'a [IdleConnection<'a>],
}

/// Way to a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionStep {
    /// Wait until a connection is returned, at most this long.
    Wait(Duration),
    /// Open one, after closing the idle one at this index.
    Open(Option<usize>),
}

/// Decaying count of uses.
#[derive(Clone, Copy, Debug, Default)]
struct UseCount {
    count: f64,
    last: Time,
}

impl UseCount {
    fn decayed(self, now: Time) -> f64 {
        let windows = now.since(self.last).as_secs_f64() / USE_WINDOW.as_secs_f64();
        self.count * (-windows).exp()
    }

    /// Returns the uses before the last one, as they count now.
    fn repeats(self, now: Time) -> f64 {
        Self {
            count: self.count - 1.0,
            ..self
        }
        .decayed(now)
    }
}

/// Uses of the connections to one upstream.
#[derive(Clone, Debug)]
pub struct ConnectionCache {
    /// Uses of the n-th connection of each organisation, also of those that are closed.
    uses: HashMap<(Owner, usize), UseCount>,
    /// Number of counts at which old ones are dropped.
    max_counts: usize,
    setup: Duration,
}

impl Default for ConnectionCache {
    fn default() -> Self {
        Self {
            uses: HashMap::new(),
            max_counts: MIN_COUNTS,
            setup: INITIAL_SETUP,
        }
    }
}

impl ConnectionCache {
    /// Records a use by an organisation that has `in_use` other connections in use.
    pub fn record_use(&mut self, now: Time, owner: Option<&Organisation>, in_use: usize) {
        let uses = self.uses.entry((owner.cloned(), in_use)).or_default();
        uses.count = uses.decayed(now) + 1.0;
        uses.last = now;
        if self.uses.len() > self.max_counts {
            let since = USE_WINDOW * FORGET_WINDOWS;
            self.uses.retain(|_, uses| now.since(uses.last) < since);
            self.max_counts = (2 * self.uses.len()).max(MIN_COUNTS);
        }
    }

    /// Records the time that opening a connection took.
    pub fn record_setup(&mut self, elapsed: Duration) {
        let old = self.setup.mul_f64(1.0 - SETUP_WEIGHT);
        self.setup = old + elapsed.mul_f64(SETUP_WEIGHT);
    }

    /// Returns the expected time to open a connection.
    #[must_use]
    pub const fn setup(&self) -> Duration {
        self.setup
    }

    /// Decides how a statement whose organisation has no idle connection gets one.
    #[must_use]
    pub fn decide(&self, now: Time, request: &ConnectionRequest<'_>) -> ConnectionStep {
        let wait = self.setup.saturating_sub(now.since(request.since));
        if request.in_use > 0 && !wait.is_zero() {
            return ConnectionStep::Wait(wait);
        }
        let is_full = request.open >= request.limit;
        let closed = is_full.then(|| self.select_closed(now, request.idle));
        ConnectionStep::Open(closed.flatten())
    }

    /// Returns the index of the idle connection that is least likely to be used again.
    #[must_use]
    pub fn select_closed(&self, now: Time, idle: &[IdleConnection<'_>]) -> Option<usize> {
        let repeats = |it: &IdleConnection<'_>| {
            let key = (it.owner.cloned(), it.open.saturating_sub(1));
            self.uses.get(&key).map_or(0.0, |uses| uses.repeats(now))
        };
        let ranked = idle
            .iter()
            .enumerate()
            .map(|(at, it)| (at, repeats(it), it));
        let lowest = ranked
            .min_by(|(_, a, x), (_, b, y)| a.total_cmp(b).then(x.last_used.cmp(&y.last_used)));
        lowest.map(|(at, ..)| at)
    }
}

/// Returns the upstream where an organisation's connections are kept, among those that may serve
/// its reads; all VMs return the same one.
pub fn preferred_upstream<'a>(
    organisation: &Organisation,
    upstreams: impl IntoIterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let key = name_hash(organisation.as_str());
    let upstreams = upstreams.into_iter();
    let ranked: SmallVec<[(u64, &Upstream); 4]> = upstreams
        .map(|it| (weight(key, name_hash(it.as_str())), it))
        .collect();
    ranked.into_iter().max().map(|(_, upstream)| upstream)
}
