//! Selection of the next leader by the logs of the replicas.

use chervildrift_core::relay::{Replica, SelectionError, quorum, select_leader};
use chervildrift_core::types::{LogPosition, Upstream};
use proptest::prelude::*;

fn replica(name: &str, term: u64, position: u64, eligible: bool) -> Replica {
    Replica {
        upstream: Upstream::from(name),
        received: LogPosition::new(term, position),
        eligible,
    }
}

/// Guards against a promotion that loses commits held by another replica.
#[test]
fn most_complete_log() {
    let reported = [
        replica("a", 1, 9, true),
        replica("b", 2, 3, true),
        replica("c", 2, 2, true),
    ];
    assert_eq!(select_leader(&reported, None, 1, false), Ok(&reported[1]));
    let none = SelectionError::TooFew { told: 0, needed: 1 };
    assert_eq!(select_leader(&[], None, 1, false), Err(none));
}

/// Guards against a promotion while an unresponsive replica may be the only one with a commit.
#[test]
fn unresponsive_replicas() {
    assert_eq!([quorum(2, 0), quorum(2, 1), quorum(2, 2)], [1, 2, 1]);
    assert_eq!([quorum(0, 1), quorum(1, 1), quorum(4, 1)], [1, 1, 4]);
    let reported = [replica("a", 1, 9, true)];
    let error = SelectionError::TooFew { told: 1, needed: 2 };
    assert_eq!(select_leader(&reported, None, 2, false), Err(error));
}

/// Guards against promoting a leaving replica, and against losing commits that only it holds.
#[test]
fn leaving_replica() {
    let even = [replica("a", 1, 9, false), replica("b", 1, 9, true)];
    assert_eq!(select_leader(&even, None, 1, false), Ok(&even[1]));
    let ahead = [replica("a", 1, 9, false), replica("b", 1, 8, true)];
    assert_eq!(select_leader(&ahead, None, 1, false), Ok(&ahead[0]));
    assert_eq!(
        select_leader(&ahead, None, 1, true),
        Err(SelectionError::Behind)
    );
}

/// Guards against orders for two replicas, of which the platform may execute the earlier one last.
#[test]
fn repeated_order() {
    let reported = [replica("a", 1, 8, true), replica("b", 1, 9, true)];
    let ordered = Upstream::from("a");
    assert_eq!(
        select_leader(&reported, Some(&ordered), 1, true),
        Ok(&reported[0])
    );
    let leaving = [replica("a", 1, 8, false), replica("b", 1, 9, true)];
    assert_eq!(
        select_leader(&leaving, Some(&ordered), 1, true),
        Ok(&leaving[1])
    );
    let others = &reported[1..];
    assert_eq!(
        select_leader(others, Some(&ordered), 1, true),
        Ok(&reported[1])
    );
}

proptest! {
    /// Guards against selecting a replica that lacks a commit which enough replicas have received.
    #[test]
    fn acknowledged_commits(
        logs in prop::collection::vec(0_u64..20, 1..6),
        unresponsive in prop::collection::vec(any::<bool>(), 6),
        sync in 1_usize..4,
    ) {
        let known = logs.len();
        let acknowledged = (0_u64..20).rev().find(|commit| {
            logs.iter().filter(|log| *log >= commit).count() >= sync
        });
        let reported: Vec<Replica> = logs
            .iter()
            .zip(&unresponsive)
            .filter(|(_, unresponsive)| !**unresponsive)
            .map(|(log, _)| replica("r", 1, *log, true))
            .collect();
        if let Ok(chosen) = select_leader(&reported, None, quorum(known, sync), false)
            && let Some(commit) = acknowledged
        {
            prop_assert!(chosen.received.position.0 >= commit);
        }
    }
}
