//! Choice of upstream and handling of failed attempts.

use std::time::Duration;

use chervildrift_core::group::GroupView;
use chervildrift_core::route::{
    AttemptFailure, CancelledProof, Cause, ConfirmedWrite, DispatcherOrder, FailureAction,
    GroupCache, Path, RefusedProof, Repeatability, Request, RequestFailure, Route, RoutedRequest,
    UnsentProof, UpstreamState, choose_route, on_failure,
};
use chervildrift_core::types::{LogPosition, Rank, Role, Status, Term, Time, Vm, Zone};

const MS: Duration = Duration::from_millis(1);

fn cache(lag: u64, queue: Duration) -> GroupCache {
    let upstream = |index: u64| UpstreamState {
        zone: Zone::from(format!("z{index}")),
        applied: LogPosition::new(3, 1_000 - index.min(1) * lag),
        data_age: Some(MS * (lag as u32) * (index.min(1) as u32)),
        queue_waits: [queue; Rank::COUNT],
        rtt: MS,
        accepting: true,
    };
    GroupCache {
        updated_at: Some(Time(0)),
        term: Term(3),
        primary: Some(0),
        upstreams: (0..3).map(upstream).collect(),
    }
}

fn ranked() -> Vec<DispatcherOrder> {
    let vms = |index: usize| (0..3).map(move |vm| Vm::from(format!("vm-{}", (index + vm) % 3)));
    (0..3).map(|index| vms(index).collect()).collect()
}

fn path(route: Route) -> Path {
    match route {
        Route::Forward(path) => path,
        other => panic!("{other:?}"),
    }
}

struct Read {
    token: Option<LogPosition>,
    max_age: Option<Duration>,
}

impl Read {
    fn route(&self, now: Time, cache: &GroupCache) -> Route {
        let request = Request {
            write: false,
            rank: Rank::Bulk,
            min_position: self.token,
            max_age: self.max_age,
            deadline: now + Duration::from_secs(1),
            zone: &Zone::from("z2"),
        };
        choose_route(now, &request, cache, &ranked())
    }
}

/// Guards against reads that load the primary while a replica could serve them.
#[test]
fn replica_first() {
    let read = Read {
        token: Some(LogPosition::new(3, 700)),
        max_age: Some(Duration::from_secs(10)),
    };
    let path = path(read.route(Time(1_000), &cache(200, Duration::ZERO)));
    assert_eq!(path.upstream, 2);
    assert_eq!(path.dispatchers[0], Vm::from("vm-2"));
}

/// Guards against a long wait at a replica while the primary is free, and the reverse.
#[test]
fn wait_or_primary() {
    let read = Read {
        token: Some(LogPosition::new(3, 1_000)),
        max_age: Some(Duration::from_secs(10)),
    };
    let free = path(read.route(Time(1_000), &cache(200, Duration::ZERO)));
    assert_eq!(free.upstream, 0);
    let mut busy = cache(20, Duration::ZERO);
    busy.upstreams[0].queue_waits = [MS * 300; Rank::COUNT];
    let waits = path(read.route(Time(1_000), &busy));
    assert_eq!(waits.upstream, 2);
    assert!(waits.wait > MS * 10);
    assert_eq!(waits.fallback, Some(0));
}

/// Guards against answers older than the kind allows.
#[test]
fn age_bound() {
    let read = |age| Read {
        token: None,
        max_age: age,
    };
    let mut cache = cache(200, Duration::ZERO);
    let old = read(Some(MS * 100)).route(Time(1_000), &cache);
    assert_eq!(path(old).upstream, 0);
    let grown = read(Some(MS * 300)).route(Time(200_000), &cache);
    assert_eq!(path(grown).upstream, 0);
    let undeclared = read(None).route(Time(1_000), &cache);
    assert_eq!(path(undeclared).upstream, 0);
    cache.upstreams[0].accepting = false;
    let refused = read(Some(MS * 100)).route(Time(1_000), &cache);
    assert_eq!(refused, Route::Refuse(Cause::TooOld));
}

/// Guards against routing by group state that is missing or outdated.
#[test]
fn stale_state() {
    let read = Read {
        token: None,
        max_age: Some(Duration::from_secs(60)),
    };
    assert_eq!(
        read.route(Time(0), &GroupCache::default()),
        Route::FetchState
    );
    let late = Time(0) + Duration::from_secs(6);
    assert_eq!(
        read.route(late, &cache(200, Duration::ZERO)),
        Route::FetchState
    );
}

/// Guards against a reply of a lower term that restores a replaced primary.
#[test]
fn older_reply() {
    let mut known = cache(0, Duration::ZERO);
    let mut older = cache(0, Duration::ZERO);
    older.updated_at = Some(Time(9_000));
    older.term = Term(2);
    older.primary = Some(1);
    known.update(older);
    assert_eq!(known.primary, Some(0));
    known.forget_primary(Term(2));
    assert_eq!(known.primary, Some(0));
    known.forget_primary(Term(3));
    assert_eq!(known.primary, None);
}

fn sent_request(repeat: Repeatability) -> RoutedRequest<chervildrift_core::route::MaybeSent> {
    RoutedRequest::new(repeat, Time(1_000_000)).send(&"vm-1".into())
}

fn after_loss(
    sent_request: RoutedRequest<chervildrift_core::route::MaybeSent>,
    retry_allowed: bool,
) -> FailureAction {
    on_failure(Time(10), sent_request, AttemptFailure::Lost, retry_allowed)
}

/// Guards against sending a write without a key again after it may have run.
#[test]
fn sent_once() {
    let next = after_loss(sent_request(Repeatability::Unkeyed), true);
    let FailureAction::Fail(RequestFailure::Unknown(unknown)) = next else {
        panic!("{next:?}");
    };
    assert!(!unknown.can_query_outcome());
    sent_request(Repeatability::Unkeyed)
        .resend(&"vm-2".into())
        .unwrap_err();
}

/// Guards against "not run" for a request of which an earlier attempt may have run.
#[test]
fn earlier_attempt() {
    let FailureAction::Resend(first) = after_loss(sent_request(Repeatability::Keyed), true) else {
        panic!("a keyed write is repeated");
    };
    let vm = Vm::from("vm-2");
    assert_eq!(first.next_dispatcher(&ranked()[1]), Some(&vm));
    let second = first.resend(&vm).expect("keyed");
    let proof = RefusedProof::prove(8, 8).expect("same attempt");
    let failure = AttemptFailure::Refused(proof, Cause::Overloaded);
    let next = on_failure(Time(10), second, failure, false);
    let FailureAction::Fail(RequestFailure::Unknown(unknown)) = next else {
        panic!("{next:?}");
    };
    assert!(unknown.can_query_outcome());
}

/// Guards against "unknown" for a request that certainly did not run.
#[test]
fn proven_refusal() {
    assert!(UnsentProof::prove(1).is_none());
    assert!(RefusedProof::prove(7, 8).is_none());
    let unsent = AttemptFailure::Unsent(UnsentProof::prove(0).expect("no byte"));
    let FailureAction::Retry(again) =
        on_failure(Time(10), sent_request(Repeatability::Unkeyed), unsent, true)
    else {
        panic!("an unsent attempt is retried");
    };
    let proof = RefusedProof::prove(8, 8).expect("same attempt");
    let refused = AttemptFailure::Refused(proof, Cause::Overloaded);
    let next = on_failure(Time(10), again.send(&"vm-2".into()), refused, true);
    let FailureAction::Fail(RequestFailure::NotRun(not_run)) = next else {
        panic!("{next:?}");
    };
    assert_eq!(not_run.cause(), Cause::Overloaded);
}

/// Guards against "not run" by a cancel record, or a success, that no majority confirms.
#[test]
fn unconfirmed_record() {
    let mut view = GroupView::new(&["a".into(), "b".into(), "c".into()]);
    let position = LogPosition::new(1, 9);
    let status = |role| Status {
        role,
        fenced: Term(1),
        received: position,
        applied: position,
        heard: None,
    };
    view.observe(Time(10), Time(11), 0, Some(&status(Role::Primary)));
    assert!(CancelledProof::prove(&view, position, Time(5)).is_none());
    sent_request(Repeatability::Keyed)
        .confirm(&view, position, Time(5))
        .unwrap_err();
    view.observe(Time(10), Time(11), 1, Some(&status(Role::Replica)));
    let proof = CancelledProof::prove(&view, position, Time(5)).expect("confirmed");
    let not_run = sent_request(Repeatability::Keyed).into_cancelled(proof);
    assert_eq!(not_run.cause(), Cause::Cancelled);
    sent_request(Repeatability::Keyed)
        .confirm(&view, position, Time(11))
        .unwrap_err();
    let done = sent_request(Repeatability::Keyed).confirm(&view, position, Time(5));
    assert_eq!(done.ok().map(ConfirmedWrite::position), Some(position));
}
