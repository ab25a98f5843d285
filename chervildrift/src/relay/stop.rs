//! Planned stop of the VM.
//!
//! Readiness goes first. Once the balancer has noticed, idle sessions are closed, which callers take
//! as no failure; transactions get half of the grace period, then end at their next statement.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::time::{Instant, sleep, sleep_until};

use super::node::Node;
use super::presence;

/// Time after which the balancer sends no more callers: two misses a second apart, and the way.
const ROTATION: Duration = Duration::from_millis(2_300);

/// Time between the last chance to answer and the end of the process.
const RESERVE: Duration = Duration::from_millis(500);

/// Interval at which open sessions are counted.
const POLL: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Stage {
    /// No stop is planned.
    Serving,
    /// The balancer has been told.
    Leaving,
    /// Idle sessions are closed.
    Closing,
    /// Transactions end at their next statement.
    Ending,
}

/// Stops gracefully; returns once all sessions have ended or the grace period is nearly over.
pub(super) async fn stop(node: &Rc<Node>) {
    let start = Instant::now();
    let grace = Duration::from_secs_f64(node.settings.grace_s.max(0.0));
    info!(node.log, "stopping"; "event" => "stop", "sessions" => node.sessions.get());
    enter(node, Stage::Leaving);
    tokio::task::spawn_local(presence::withdraw(Rc::clone(node)));
    sleep(ROTATION.min(grace / 2)).await;
    enter(node, Stage::Closing);
    let ending = start + grace / 2;
    let end = start + grace.saturating_sub(RESERVE);
    // Connections that are carried for other VMs end as these close them for being idle.
    let is_busy = |now| node.sessions.get() > 0 || node.tunnels.get() > 0 && now < ending;
    while is_busy(Instant::now()) && Instant::now() < end {
        if Instant::now() >= ending {
            enter(node, Stage::Ending);
        }
        sleep_until(Instant::now() + POLL).await;
    }
    info!(node.log, "stopped"; "event" => "stop", "sessions" => node.sessions.get());
}

fn enter(node: &Node, stage: Stage) {
    if *node.stage.borrow() != stage {
        node.stage.send_replace(stage);
        node.update_ready();
    }
}
