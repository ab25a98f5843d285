//! Observed state of a database group.

use std::time::Duration;

use chervildrift_core::group::{Confirmation, GroupView};
use chervildrift_core::invariant;
use chervildrift_core::types::{LogPosition, Role, Status, Term, Time};

fn ms(value: u64) -> Time {
    Time(value * 1_000)
}

fn status(role: Role, fenced: u64, received: LogPosition, applied: LogPosition) -> Status {
    Status {
        role,
        fenced: Term(fenced),
        received,
        applied,
        heard: None,
    }
}

fn primary(term: u64, position: u64) -> Status {
    let position = LogPosition::new(term, position);
    status(Role::Primary, term, position, position)
}

fn replica(fenced: u64, term: u64, position: u64) -> Status {
    let position = LogPosition::new(term, position);
    status(Role::Replica, fenced, position, position)
}

fn view() -> GroupView {
    GroupView::new(&["a".into(), "b".into(), "c".into()])
}

fn observe(view: &mut GroupView, sent: u64, index: usize, status: Status) {
    view.observe(ms(sent), ms(sent + 2), index, Some(&status));
}

/// Guards against acknowledging a write before a majority holds it in the current term.
#[test]
fn majority_confirms() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    assert_eq!(view.confirmed(), None);
    observe(&mut view, 1, 1, replica(1, 1, 5));
    assert_eq!(view.confirmed(), Some(LogPosition::new(1, 5)));
    assert_eq!(
        view.confirmation(LogPosition::new(1, 5), ms(0)),
        Confirmation::Confirmed
    );
    assert_eq!(
        view.confirmation(LogPosition::new(1, 6), ms(0)),
        Confirmation::Pending
    );
}

/// Guards against counting a former primary's writes after a later term has started.
#[test]
fn later_term() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    observe(&mut view, 1, 1, primary(2, 7));
    assert_eq!(view.primary(), Some(1));
    assert_eq!(
        view.confirmation(LogPosition::new(1, 5), ms(0)),
        Confirmation::Superseded
    );
    assert_eq!(view.confirmed(), None);
    observe(&mut view, 2, 2, replica(2, 1, 50));
    assert_eq!(view.confirmed(), None);
}

/// Guards against an acknowledgement that relies on an upstream already fenced for a new primary.
#[test]
fn fenced_holder() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    observe(&mut view, 1, 1, replica(2, 1, 9));
    let position = LogPosition::new(1, 9);
    assert_eq!(view.confirmation(position, ms(0)), Confirmation::Pending);
    observe(&mut view, 2, 2, replica(1, 1, 9));
    assert_eq!(view.confirmation(position, ms(0)), Confirmation::Confirmed);
}

/// Guards against a frozen process that confirms a write by answers from before the write.
#[test]
fn frozen_reader() {
    let mut view = view();
    let delayed = [primary(1, 9), replica(1, 1, 9)];
    view.observe(ms(0), ms(5_000), 0, Some(&delayed[0]));
    view.observe(ms(0), ms(5_000), 1, Some(&delayed[1]));
    let position = LogPosition::new(1, 9);
    assert_eq!(
        view.confirmation(position, ms(5_000)),
        Confirmation::Pending
    );
    observe(&mut view, 5_001, 0, delayed[0]);
    observe(&mut view, 5_001, 1, delayed[1]);
    assert_eq!(
        view.confirmation(position, ms(5_000)),
        Confirmation::Confirmed
    );
}

/// Guards against a delayed old answer that replaces a newer one.
#[test]
fn late_answer() {
    let mut view = view();
    observe(&mut view, 10, 0, primary(1, 9));
    view.observe(ms(5), ms(20), 0, Some(&primary(1, 4)));
    let received = view.status(0).map(|status| status.received);
    assert_eq!(received, Some(LogPosition::new(1, 9)));
}

/// Guards against a data age that stays low while the primary is unreachable.
#[test]
fn age_grows() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    observe(&mut view, 0, 1, replica(1, 1, 9));
    observe(&mut view, 100, 0, primary(1, 12));
    observe(&mut view, 100, 1, replica(1, 1, 10));
    assert_eq!(view.data_age(ms(150), 1), Some(Duration::from_millis(150)));
    assert_eq!(view.data_age(ms(150), 0), Some(Duration::from_millis(50)));
    observe(&mut view, 9_000, 1, replica(1, 1, 11));
    assert_eq!(view.data_age(ms(9_000), 1), Some(Duration::from_secs(9)));
    assert_eq!(view.data_age(ms(9_000), 2), None);
}

/// Guards against a replaced primary that looks fresh although the end of its log was discarded.
#[test]
fn diverged_log() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 50));
    observe(&mut view, 0, 2, replica(1, 1, 50));
    observe(&mut view, 1_000, 1, primary(2, 40));
    observe(&mut view, 1_000, 2, replica(2, 2, 40));
    observe(&mut view, 1_000, 0, primary(1, 90));
    assert_eq!(view.primary(), Some(1));
    assert_eq!(view.data_age(ms(1_000), 0), Some(Duration::from_secs(1)));
    assert_eq!(view.data_age(ms(1_000), 2), Some(Duration::ZERO));
}

/// Guards against a primary whose unobserved replacement makes its stale data count as fresh.
#[test]
fn hidden_successor() {
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    observe(&mut view, 0, 1, replica(1, 1, 9));
    for sent in 1..50 {
        observe(&mut view, sent * 100, 0, primary(1, 9 + sent));
    }
    assert_eq!(view.data_age(ms(5_000), 0), Some(Duration::from_secs(5)));
}

/// Guards against data ages that are understated or unknown once the position history is full.
#[test]
fn long_history() {
    let mut view = view();
    for sent in 0..4_000 {
        observe(&mut view, sent * 100, 0, primary(1, sent));
        observe(&mut view, sent * 100, 1, replica(1, 1, sent));
    }
    for behind in [0, 30, 900, 2_500] {
        let mut view = view.clone();
        observe(&mut view, 399_900, 2, replica(1, 1, 3_999 - behind));
        let age = view
            .data_age(ms(399_900), 2)
            .expect("covered by the history");
        let exact = Duration::from_millis(behind * 100);
        assert!(age >= exact, "{age:?} at {behind}");
        assert!(age <= exact + Duration::from_secs(2), "{age:?} at {behind}");
    }
}

/// Guards against a read at an upstream that lacks the session's last write.
#[test]
fn token_cover() {
    let log = replica(2, 2, 40);
    assert!(GroupView::may_serve(&log, None));
    assert!(GroupView::may_serve(&log, Some(LogPosition::new(1, 40))));
    assert!(!GroupView::may_serve(&log, Some(LogPosition::new(1, 41))));
    assert!(!GroupView::may_serve(&log, Some(LogPosition::new(3, 2))));
}

/// Guards against counting an upstream that lost durable state towards a majority.
#[test]
fn lost_state() {
    let before = invariant::count();
    let mut view = view();
    observe(&mut view, 0, 0, primary(1, 9));
    observe(&mut view, 10, 0, primary(1, 5));
    assert_eq!(invariant::count(), before + 1);
    let received = view.status(0).map(|status| status.received);
    assert_eq!(received, Some(LogPosition::new(1, 9)));
}
