//! Faults of one upstream, switched while it runs.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Fault that an upstream stand-in can be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Answers nothing and neither pulls nor applies, but keeps connections, while not zero.
    Freeze,
    /// Loses the answers of the next n statements that take effect, and closes the connection.
    DropAnswer,
    /// Delays each batch of statements by this many milliseconds before it runs.
    DelayMs,
    /// Holds entries back for this many milliseconds before they count as received.
    ReceiveLagMs,
    /// Holds received entries back for this many milliseconds before they are applied.
    ApplyLagMs,
    /// Neither serves nor makes pulls of the log while not zero.
    CutReplication,
    /// Adds this many milliseconds to each statement, also within a transaction.
    SlowStatementMs,
    /// Closes new connections unanswered while not zero.
    RefuseConnections,
    /// Closes all open connections at once, as a crash would, whenever it is set to not zero.
    Disconnect,
}

impl Fault {
    const COUNT: usize = 9;

    /// All faults, in the order of their declaration.
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

    /// Returns the name under which `chervildrift_fault` takes the fault.
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
    /// Changes whenever all connections are to be closed.
    disconnects: watch::Sender<u64>,
}

impl Faults {
    /// Starts with every fault off.
    pub fn new() -> Self {
        Self {
            values: std::array::from_fn(|_| AtomicI64::new(0)),
            frozen: watch::Sender::new(false),
            disconnects: watch::Sender::new(0),
        }
    }

    /// Sets one fault; zero turns it off.
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

    /// Tells whether a fault is on.
    pub fn is_on(&self, fault: Fault) -> bool {
        self.value(fault) != 0
    }

    /// Returns a fault's value as a number of milliseconds.
    pub fn duration(&self, fault: Fault) -> Duration {
        Duration::from_millis(u64::try_from(self.value(fault)).unwrap_or(0))
    }

    /// Takes one of the answers that are to be lost, if any is left.
    pub fn consume_dropped_answer(&self) -> bool {
        let remaining = &self.values[Fault::DropAnswer as usize];
        let decrement = |value: i64| (value > 0).then(|| value - 1);
        remaining
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }

    /// Waits until the upstream is not frozen.
    pub async fn wait_unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so that waiting cannot fail.
        drop(frozen.wait_for(|frozen| !frozen).await);
    }

    /// Observes the orders to close all connections.
    pub fn watch_disconnects(&self) -> watch::Receiver<u64> {
        self.disconnects.subscribe()
    }

    fn value(&self, fault: Fault) -> i64 {
        self.values[fault as usize].load(Ordering::SeqCst)
    }
}
