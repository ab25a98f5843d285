//! Follows the tables of the platform's store with the operator's configuration and the upstreams'
//! entries.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{DirectoryEntry, StoreOutage, feed_wait, unconfirmed_limit};
use chervildrift_core::types::{Time, Upstream};
use chervildrift_platform::catalog::{
    CONFIG_KEY, CONFIG_TABLE, UPSTREAM_TABLE, decode_entry, decode_routes,
};
use chervildrift_platform::store::{Error, FeedResponse, Row, Timeouts};
use slog::{info, warn};
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::fleet::{outliers, view};
use crate::relay::node::{Node, RouteSource};

/// Delay after the first failed call; doubles with each failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Interval at which lapsed entries are expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a VM that receives the views of observers checks whether it has to read the
/// store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of that check right after the start, when callers wait for the first configuration.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Timing of one call that follows a table.
#[derive(Clone, Copy, Debug)]
struct CallTiming {
    /// Time for which the store waits for a change.
    wait: Duration,
    /// Time from which changes may have been missed.
    unseen_since: Time,
}

impl CallTiming {
    /// Returns the timing of a call that is sent now, after a number of failures in a row.
    fn new(node: &Node, table: &str, failures: u32) -> Self {
        let max_wait = feed_wait(apply_bound(node), lost_call_reaction());
        let now = clock::now();
        // Longer outages count as this long, so that an upstream that began to leave after one is not
        // taken for one that has left.
        let earliest = now.before(max_unseen_time(max_wait));
        let read_at = node.table_read_at(table);
        Self {
            // After a failure an answer is needed soon, to see that the store responds.
            wait: if failures > 0 {
                Duration::ZERO
            } else {
                max_wait
            },
            unseen_since: read_at.map_or(now, |at| at.max(earliest)),
        }
    }
}

/// Lists a table and follows its changes until the process ends.
async fn follow_table(
    node: Rc<Node>,
    table: &'static str,
    on_listing: impl Fn(&Node, Vec<Row>, Time),
    on_change: impl Fn(&Node, Row, Time),
) {
    let mut feed_version = None;
    let mut failures: u32 = 0;
    loop {
        let follows_store = may_read(&node);
        if !follows_store && !is_unconfirmed(&node, table) {
            // The table is listed again, since views may have brought newer rows than a feed repeats.
            feed_version = None;
            let is_settled = node.is_settled();
            let pause = if is_settled {
                ROLE_CHECK_INTERVAL
            } else {
                SETTLE_CHECK_INTERVAL
            };
            sleep(pause).await;
            continue;
        }
        let sent_at = clock::now();
        let read_before = node.table_read_at(table);
        let timing = CallTiming::new(&node, table, failures);
        let version = &mut feed_version;
        match fetch_changes(&node, table, version, timing, &on_listing, &on_change).await {
            Ok(()) => {
                node.metrics
                    .store_calls
                    .with_label_values(&[table, "done"])
                    .inc();
                node.update_outage(StoreOutage::record_answer);
                if failures > 0 {
                    let silence = read_before.map(|at| clock::now().since(at).as_millis() as u64);
                    info!(node.log, "store available again"; "event" => "store", "table" => table,
                        "silent_ms" => silence);
                }
                failures = 0;
            }
            Err(err) => {
                node.metrics
                    .store_calls
                    .with_label_values(&[table, "failed"])
                    .inc();
                if follows_store {
                    let due = sent_at + timing.wait;
                    node.update_outage(|outage| outage.record_failure(clock::now(), due));
                }
                if failures == 0 {
                    warn!(node.log, "store unavailable"; "event" => "store", "table" => table,
                        "error" => %err,
                        "waited_ms" => clock::now().since(sent_at).as_millis() as u64);
                }
                sleep((MIN_RETRY_DELAY * (1 << failures.min(3))).min(MAX_RETRY_DELAY)).await;
                failures += 1;
            }
        }
    }
}

/// Returns the maximum time from the end of the wait of a lost feed call until all VMs have the
/// change that it missed.
///
/// Either the observer reads the store again and the VMs of its zone request its view, or its view
/// stops being current and they request another one.
fn lost_call_reaction() -> Duration {
    let timeout = Timeouts::default().request;
    let own_view = timeout + MIN_RETRY_DELAY + timeout + view::MAX_VIEW_DELAY;
    let other_view = timeout.max(view::STORE_OUTAGE_THRESHOLD) + view::MAX_VIEW_DELAY * 2;
    own_view.max(other_view)
}

/// Returns the time within which a change must be in force.
fn apply_bound(node: &Node) -> Duration {
    Duration::from_secs_f64(node.settings.apply_ms / 1_000.0)
}

/// Returns whether a VM that receives the views of observers has to read a table itself, since they
/// haven't confirmed its content for so long that a change might come too late.
fn is_unconfirmed(node: &Node, table: &str) -> bool {
    let bound = apply_bound(node);
    let usual_age = feed_wait(bound, lost_call_reaction()) + view::MAX_VIEW_DELAY;
    let read_time = ROLE_CHECK_INTERVAL + Timeouts::default().request;
    let limit = unconfirmed_limit(bound, read_time, usual_age);
    let read_at = node.table_read_at(table);
    read_at.is_some_and(|at| clock::now().since(at) >= limit)
}

/// Returns the maximum time for which one lost call may hide a change.
fn max_unseen_time(wait: Duration) -> Duration {
    let timeout = Timeouts::default().request;
    wait + timeout + MIN_RETRY_DELAY + timeout
}

/// Returns whether this VM reads the store now.
///
/// A VM whose role is not known yet waits for it, since an observer may have what it needs, unless
/// the call failed that would have told the role.
fn may_read(node: &Node) -> bool {
    node.follows_store() || !node.is_settled() && node.outage.get().has_begun()
}

/// Lists a table, or waits for its changes; passes on the rows with the earliest time at which they
/// may have changed.
async fn fetch_changes(
    node: &Node,
    table: &'static str,
    feed_version: &mut Option<u64>,
    timing: CallTiming,
    on_listing: &impl Fn(&Node, Vec<Row>, Time),
    on_change: &impl Fn(&Node, Row, Time),
) -> Result<(), Error> {
    let Some(after) = *feed_version else {
        let listing = node.store.list(table).await?;
        on_listing(node, listing.rows, timing.unseen_since);
        *feed_version = Some(listing.version);
        node.record_table_read(table, clock::now());
        return Ok(());
    };
    match node.store.feed(table, after, timing.wait).await? {
        FeedResponse::Changes(changes) => {
            // A call that waits returns with the change; one after a failure may return older ones.
            let since = if timing.wait.is_zero() {
                timing.unseen_since
            } else {
                clock::now()
            };
            for row in changes.rows {
                on_change(node, row, since);
            }
            *feed_version = Some(changes.version.max(after));
            node.record_table_read(table, clock::now());
        }
        FeedResponse::Compacted => *feed_version = None,
    }
    Ok(())
}

/// Follows the operator's configuration.
pub(in crate::relay) async fn follow_routes(node: Rc<Node>) {
    let on_listing = |node: &Node, rows: Vec<Row>, _changed| {
        for row in rows {
            apply_config(node, &row, RouteSource::Listing);
        }
    };
    let on_change = |node: &Node, row: Row, _changed| apply_config(node, &row, RouteSource::Feed);
    follow_table(node, CONFIG_TABLE, on_listing, on_change).await;
}

fn apply_config(node: &Node, row: &Row, source: RouteSource) {
    let Some(value) = row.value.as_deref().filter(|_| row.key == CONFIG_KEY) else {
        return;
    };
    let decoded = decode_routes(value, node.routes.borrow().current());
    match decoded {
        Ok(decoded) => {
            let is_newer = decoded.routes.version > node.routes.borrow().version();
            for entry in decoded.odd.iter().filter(|_| is_newer) {
                warn!(node.log, "invalid entry of the configuration"; "event" => "routes",
                    "version" => decoded.routes.version, "entry" => %entry);
            }
            node.apply_routes(decoded.routes, source);
        }
        Err(err) => {
            warn!(node.log, "invalid configuration"; "event" => "routes",
                "row" => row.version, "error" => %err);
        }
    }
}

/// Follows the entries of the upstreams.
pub(in crate::relay) async fn follow_upstreams(node: Rc<Node>) {
    let on_listing = |node: &Node, rows: Vec<Row>, changed: Time| {
        let entries: Vec<DirectoryEntry> = rows
            .iter()
            .filter_map(|row| decode_row(node, row))
            .collect();
        node.apply_listing(entries, |_| changed);
    };
    let on_change = |node: &Node, row: Row, changed: Time| {
        let upstream = Upstream::from(row.key.as_str());
        if row.removed {
            node.directory
                .borrow_mut()
                .mark_missing(clock::now(), &upstream);
        } else if let Some(entry) = decode_row(node, &row) {
            node.apply_entry(entry, changed);
        } else {
            node.directory.borrow_mut().remove(&upstream);
            node.remove_upstreams(&[upstream]);
        }
    };
    follow_table(node, UPSTREAM_TABLE, on_listing, on_change).await;
}

fn decode_row(node: &Node, row: &Row) -> Option<DirectoryEntry> {
    let entry = decode_entry(&row.key, row.value.as_deref()?, row.version);
    if entry.is_none() {
        warn!(node.log, "invalid upstream entry"; "event" => "upstream", "key" => &row.key,
            "row" => row.version);
    }
    entry
}

/// Removes upstreams whose entries have expired, updates the gauges and closes idle connections.
pub(in crate::relay) async fn expire_upstreams(node: Rc<Node>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let expired = node.directory.borrow_mut().expire(clock::now());
        node.remove_upstreams(&expired);
        node.metrics.update_gauges(&node);
        node.links.close_expired();
        outliers::judge(&node);
        node.update_readiness();
        for pool in node.pools.borrow().values() {
            pool.close_expired();
        }
    }
}
