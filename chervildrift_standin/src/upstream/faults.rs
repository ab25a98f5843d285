//! Injected faults of an upstream, which can change while it runs.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Fault that can be injected into an upstream stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// While not zero, keeps connections open but doesn't reply, pull or apply entries.
    Freeze,
    /// Closes the connection instead of replying to the next n statements that take effect.
    DropAnswer,
    /// Delay in milliseconds before each batch of statements.
    DelayMs,
    /// Delay in milliseconds before pulled entries count as received.
    ReceiveLagMs,
    /// Delay in milliseconds before received entries are applied.
    ApplyLagMs,
    /// While not zero, neither serves nor sends pulls of the log.
    CutReplication,
    /// Milliseconds added to each statement, including those in a transaction.
    SlowStatementMs,
    /// While not zero, closes new connections without a reply.
    RefuseConnections,
    /// Closes all open connections when set to a value other than zero, as a crash would.
    Disconnect,
}

impl Fault {
    const COUNT: usize = 9;

    /// All faults, in declaration order.
    pub const ALL: [Self; Self::COUNT] = [
        Self::Freeze,
        Self::DropAnswer,
        Self::DelayMs,
        Self::ReceiveLagMs,
        Self::ApplyLagMs,
        Self::CutReplication,
        Self::SlowStatementMs,
        Self::RefuseConnections,
        Self::Disconnect,
    ];

    /// Returns the name of the fault in calls of `chervildrift_fault`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Freeze => "freeze",
            Self::DropAnswer => "drop_answer",
            Self::DelayMs => "delay_ms",
            Self::ReceiveLagMs => "receive_lag_ms",
            Self::ApplyLagMs => "apply_lag_ms",
            Self::CutReplication => "cut_replication",
            Self::SlowStatementMs => "slow_statement_ms",
            Self::RefuseConnections => "refuse_connections",
            Self::Disconnect => "disconnect",
        }
    }

    /// Finds a fault by its name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// Current values of all faults.
#[derive(Debug)]
pub(super) struct Faults {
    values: [AtomicI64; Fault::COUNT],
    frozen: watch::Sender<bool>,
    /// Count of requests to close all connections.
    disconnects: watch::Sender<u64>,
}

impl Faults {
    /// Creates a set with every fault off.
    pub fn new() -> Self {
        Self {
            values: std::array::from_fn(|_| AtomicI64::new(0)),
            frozen: watch::Sender::new(false),
            disconnects: watch::Sender::new(0),
        }
    }

    /// Sets the value of a fault; zero turns it off.
    pub fn set(&self, fault: Fault, value: i64) {
        self.values[fault as usize].store(value, Ordering::SeqCst);
        match fault {
            Fault::Freeze => {
                self.frozen.send_replace(value != 0);
            }
            Fault::Disconnect if value != 0 => self.disconnects.send_modify(|count| *count += 1),
            _ => {}
        }
    }

    /// Checks whether a fault is on.
    pub fn is_on(&self, fault: Fault) -> bool {
        self.value(fault) != 0
    }

    /// Returns the value of a fault in milliseconds as a duration.
    pub fn duration(&self, fault: Fault) -> Duration {
        Duration::from_millis(u64::try_from(self.value(fault)).unwrap_or(0))
    }

    /// Returns whether to drop an answer, and counts it.
    pub fn consume_dropped_answer(&self) -> bool {
        let remaining = &self.values[Fault::DropAnswer as usize];
        let decrement = |value: i64| (value > 0).then(|| value - 1);
        remaining
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }

    /// Waits until the upstream isn't frozen.
    pub async fn wait_unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The wait can't fail, because the sender lives as long as `self`.
        drop(frozen.wait_for(|frozen| !frozen).await);
    }

    /// Subscribes to requests to close all connections.
    pub fn watch_disconnects(&self) -> watch::Receiver<u64> {
        self.disconnects.subscribe()
    }

    fn value(&self, fault: Fault) -> i64 {
        self.values[fault as usize].load(Ordering::SeqCst)
    }
}
