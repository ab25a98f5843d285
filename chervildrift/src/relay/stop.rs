//! Graceful shutdown of the VM.
//!
//! The VM first reports that it is not ready. Once the balancer has noticed, idle sessions are
//! closed, which callers do not count as a failure. Transactions may go on for half of the grace
//! period and are aborted at their next statement after that.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::time::{Instant, sleep, sleep_until};

use crate::relay::fleet::presence;
use crate::relay::node::Node;

/// Time until the balancer sends no more callers: two failed checks a second apart, plus network
/// delay.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);

/// Time kept between the last response to a caller and the end of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// Interval at which open sessions are counted.
const SESSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::relay) enum StopPhase {
    /// No shutdown is in progress.
    Serving,
    /// The VM reports that it is not ready.
    Leaving,
    /// Idle sessions are closed.
    ClosingIdle,
    /// Transactions are aborted at their next statement.
    AbortingTransactions,
}

/// Shuts down gracefully; returns once all sessions have ended or the grace period is nearly over.
pub(in crate::relay) async fn stop(node: &Rc<Node>) {
    let start = Instant::now();
    let grace = Duration::from_secs_f64(node.settings.grace_s.max(0.0));
    info!(node.log, "stopping"; "event" => "stop", "sessions" => node.session_count.get());
    enter_phase(node, StopPhase::Leaving);
    tokio::task::spawn_local(presence::remove_record(Rc::clone(node)));
    sleep(BALANCER_DELAY.min(grace / 2)).await;
    enter_phase(node, StopPhase::ClosingIdle);
    let abort_at = start + grace / 2;
    let deadline = start + grace.saturating_sub(SHUTDOWN_RESERVE);
    // Tunnels end when the VMs that use them close their idle connections.
    let is_busy = |now| {
        node.session_count.get() > 0
            || has_loans(node)
            || node.tunnel_count.get() > 0 && now < abort_at
    };
    while is_busy(Instant::now()) && Instant::now() < deadline {
        if Instant::now() >= abort_at {
            enter_phase(node, StopPhase::AbortingTransactions);
        }
        sleep_until(Instant::now() + SESSION_POLL_INTERVAL).await;
    }
    info!(node.log, "stopped"; "event" => "stop", "sessions" => node.session_count.get());
}

/// Returns whether other VMs use connections of this one.
fn has_loans(node: &Node) -> bool {
    node.loan_count.get() > 0
}

fn enter_phase(node: &Node, phase: StopPhase) {
    if *node.stop_phase.borrow() != phase {
        node.stop_phase.send_replace(phase);
        node.update_readiness();
    }
}
