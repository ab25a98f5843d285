//! Follows the operator's configuration and the upstreams' entries in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::DirectoryEntry;
use chervildrift_core::types::Upstream;
use chervildrift_platform::catalog::{
    CONFIG_KEY, CONFIG_TABLE, UPSTREAM_TABLE, decode_entry, decode_routes,
};
use chervildrift_platform::store::{Error, Feed, Row};
use slog::{info, warn};
use tokio::time::sleep;

use super::clock;
use super::node::Node;

/// Shortest pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Interval at which entries that have gone are looked for.
const EXPIRY: Duration = Duration::from_millis(200);

/// Follows a table until the process ends.
async fn follow(
    node: Rc<Node>,
    table: &'static str,
    list: impl Fn(&Node, Vec<Row>),
    change: impl Fn(&Node, Row),
) {
    let mut at = None;
    let mut failures = 0;
    loop {
        match step(&node, table, &mut at, &list, &change).await {
            Ok(()) => {
                node.metrics.feeds.with_label_values(&[table, "done"]).inc();
                node.lost.set(None);
                if failures > 0 {
                    info!(node.log, "store answers again"; "event" => "store", "table" => table);
                }
                failures = 0;
            }
            Err(err) => {
                node.metrics
                    .feeds
                    .with_label_values(&[table, "failed"])
                    .inc();
                if node.lost.get().is_none() {
                    node.lost.set(Some(clock::now()));
                }
                if failures == 0 {
                    warn!(node.log, "store lost"; "event" => "store", "table" => table,
                        "error" => %err);
                }
                sleep((PAUSE * (1 << failures.min(3))).min(LONGEST_PAUSE)).await;
                failures += 1;
            }
        }
    }
}

async fn step(
    node: &Node,
    table: &str,
    at: &mut Option<u64>,
    list: &impl Fn(&Node, Vec<Row>),
    change: &impl Fn(&Node, Row),
) -> Result<(), Error> {
    let Some(after) = *at else {
        let listing = node.store.list(table).await?;
        list(node, listing.rows);
        *at = Some(listing.version);
        return Ok(());
    };
    // A call that the store has lost is noticed about when the next configuration must be in force.
    let wait = Duration::from_secs_f64(node.settings.apply_ms / 1_000.0);
    match node.store.feed(table, after, wait).await? {
        Feed::Changes(changes) => {
            for row in changes.rows {
                change(node, row);
            }
            *at = Some(changes.version.max(after));
        }
        Feed::Compacted => *at = None,
    }
    Ok(())
}

/// Follows the operator's configuration.
pub(super) async fn routes(node: Rc<Node>) {
    let list =
        |node: &Node, rows: Vec<Row>| rows.into_iter().for_each(|row| take_routes(node, &row));
    let change = |node: &Node, row: Row| take_routes(node, &row);
    follow(node, CONFIG_TABLE, list, change).await;
}

fn take_routes(node: &Node, row: &Row) {
    let Some(value) = row.value.as_deref().filter(|_| row.key == CONFIG_KEY) else {
        return;
    };
    match decode_routes(value) {
        Ok(routes) => node.take_routes(routes),
        Err(err) => {
            warn!(node.log, "configuration not understood"; "event" => "routes",
                "row" => row.version, "error" => %err);
        }
    }
}

/// Follows the upstreams' entries.
pub(super) async fn upstreams(node: Rc<Node>) {
    let list = |node: &Node, rows: Vec<Row>| {
        let entries: Vec<DirectoryEntry> = rows.iter().filter_map(|row| entry(node, row)).collect();
        node.take_listing(entries);
    };
    let change = |node: &Node, row: Row| {
        let upstream = Upstream::from(row.key.as_str());
        if row.removed {
            node.directory
                .borrow_mut()
                .mark_missing(clock::now(), &upstream);
        } else if let Some(entry) = entry(node, &row) {
            node.take_entry(entry);
        } else {
            node.directory.borrow_mut().remove(&upstream);
            node.forget(&[upstream]);
        }
    };
    follow(node, UPSTREAM_TABLE, list, change).await;
}

fn entry(node: &Node, row: &Row) -> Option<DirectoryEntry> {
    let entry = decode_entry(&row.key, row.value.as_deref()?, row.version);
    if entry.is_none() {
        warn!(node.log, "entry not understood"; "event" => "upstream", "key" => &row.key,
            "row" => row.version);
    }
    entry
}

/// Forgets upstreams whose entries have gone, and closes idle connections to the others.
pub(super) async fn expire(node: Rc<Node>) {
    loop {
        sleep(EXPIRY).await;
        let gone = node.directory.borrow_mut().expire(clock::now());
        node.forget(&gone);
        node.metrics.gauge(&node);
        for pool in node.pools.borrow().values() {
            pool.close_idle();
        }
    }
}
