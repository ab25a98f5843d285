//! Limits on open transactions.

use std::time::Duration;

use chervildrift_core::invariant;
use chervildrift_core::transaction::{Limits, Refusal, TransactionId, Transactions};
use chervildrift_core::types::{Rank, Time};

const IDLE: Duration = Duration::from_secs(1);

fn limits(bulk: usize) -> Limits {
    Limits {
        idle_timeout: IDLE,
        connections: [10, 5, bulk],
    }
}

/// Guards against the transactions of one rank holding all connections.
#[test]
fn rank_limit() {
    let mut transactions = Transactions::new(&limits(2));
    for id in 0..2 {
        transactions
            .begin(Time(0), TransactionId(id), Rank::Bulk)
            .expect("below the limit");
    }
    let third = transactions.begin(Time(0), TransactionId(2), Rank::Bulk);
    assert_eq!(third, Err(Refusal::RankFull(Rank::Bulk, 2)));
    transactions
        .begin(Time(0), TransactionId(2), Rank::Urgent)
        .expect("another rank");
    assert!(transactions.close(TransactionId(0)));
    transactions
        .begin(Time(0), TransactionId(3), Rank::Bulk)
        .expect("a connection was released");
    transactions.apply(&limits(1));
    assert_eq!(transactions.connections(Rank::Bulk), 2);
    assert!(
        !transactions.close(TransactionId(0)),
        "a transaction ends once"
    );
}

/// Guards against an idle transaction that keeps its connection, and against expiring a busy one.
#[test]
fn idle_limit() {
    let mut transactions = Transactions::new(&limits(5));
    let (busy, idle) = (TransactionId(1), TransactionId(2));
    transactions
        .begin(Time(0), busy, Rank::Routine)
        .expect("below the limit");
    transactions
        .begin(Time(0), idle, Rank::Routine)
        .expect("below the limit");
    transactions.start_statement(Time(10), busy).expect("open");
    assert_eq!(
        transactions.start_statement(Time(10), busy),
        Err(Refusal::Busy(busy))
    );
    let end = Time(0) + IDLE;
    assert_eq!(transactions.next_expiry(), Some(end));
    assert_eq!(
        transactions.start_statement(end, idle),
        Err(Refusal::NotOpen(idle)),
        "late, though not expired yet"
    );
    assert_eq!(transactions.expire(end).as_slice(), [idle]);
    transactions.finish_statement(end, busy);
    assert_eq!(transactions.next_expiry(), Some(end + IDLE));
    assert_eq!(transactions.expire(end + IDLE).as_slice(), [busy]);
    assert_eq!(transactions.connections(Rank::Routine), 0);
    assert_eq!(
        transactions.start_statement(end + IDLE, busy),
        Err(Refusal::NotOpen(busy))
    );
    assert_eq!(invariant::count(), 0);
}
