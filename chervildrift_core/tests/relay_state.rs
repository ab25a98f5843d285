//! Directory of upstreams, routes, connection limits, choice of upstreams and connection setup.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{
    Access, Candidate, ConnectionLimit, Consistency, Directory, DirectoryEntry, Peer,
    PreparedStatement, Presence, Route, RouteTable, Routes, Session, SessionVariables, SetupStep,
    choose_upstream, running_peers,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Kind, Rank, Role, Service, Time, Upstream, Vm, Zone};

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn entry(name: &str, role: Role, version: u64) -> DirectoryEntry {
    DirectoryEntry {
        upstream: Upstream::from(name),
        service: Service::from("ledger"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::from("north"),
        slots: 5,
        draining: false,
        role,
        born: 1,
        version,
    }
}

/// Time after which a leaving upstream must get no more work.
const DRAIN: Duration = Duration::from_secs(7);

fn routes(version: u64, databases: &[&str]) -> Routes {
    let route = |database: &&str| {
        Arc::new(Route {
            kind: Kind::from(*database),
            database: (*database).into(),
            service: Service::from("ledger"),
            consistency: Consistency::Primary,
            rank: Rank::Urgent,
            timeout: Duration::from_secs(1),
            target: Duration::from_secs(1),
            public: false,
        })
    };
    Routes {
        version,
        routes: databases.iter().map(route).collect(),
        ..Routes::default()
    }
}

/// Guards against dropping upstreams whose entry is missing only briefly, and against keeping them
/// for too long.
#[test]
fn missing_entries() {
    let (mut directory, name) = (Directory::new(DRAIN), Upstream::from("a"));
    directory.put(at(0), entry("a", Role::Primary, 1));
    directory.mark_missing(at(0), &name);
    assert!(!directory.is_leaving(at(2_000), &name) && directory.is_leaving(at(2_200), &name));
    directory.put(at(2_200), entry("a", Role::Primary, 2));
    assert!(directory.expire(at(9_000)).is_empty() && !directory.is_leaving(at(9_000), &name));
    directory.apply_listing(at(10_000), &[]);
    assert!(directory.expire(at(14_000)).is_empty());
    assert_eq!(directory.expire(at(14_500)), [name]);
    assert_eq!(directory.iter().count(), 0);
}

/// Guards against a leaving leader that gets work until it is replaced, however late that is.
#[test]
fn closed_upstream() {
    let (mut directory, name) = (Directory::new(DRAIN), Upstream::from("a"));
    for ms in [1_000, 3_000] {
        let mut leaving = entry("a", Role::Primary, ms);
        leaving.draining = true;
        directory.put(at(ms), leaving);
    }
    assert!(!directory.is_past_drain(at(6_400), &name));
    assert!(directory.is_past_drain(at(6_500), &name));
}

/// Guards against a VM that has just started and takes an old drain for a new one, so that work
/// reaches an upstream whose drain is over.
#[test]
fn unknown_drain() {
    let (mut directory, name) = (Directory::new(DRAIN), Upstream::from("a"));
    let mut leaving = entry("a", Role::Primary, 1);
    leaving.draining = true;
    directory.put(at(0), leaving);
    assert!(directory.is_closed(at(0), &name));
    assert!(
        !directory.is_past_drain(at(0), &name),
        "it may still run, so its commits count"
    );
    directory.put(at(100), entry("a", Role::Primary, 2));
    assert!(!directory.is_closed(at(100), &name));
    let mut leaving = entry("a", Role::Primary, 3);
    leaving.draining = true;
    directory.put(at(200), leaving);
    assert!(!directory.is_closed(at(300), &name), "the age is known");
}

/// Guards against a drain that counts only from when a VM learned of it, after lost calls.
#[test]
fn drain_age() {
    let (mut directory, name) = (Directory::new(DRAIN), Upstream::from("a"));
    directory.put(at(0), entry("a", Role::Primary, 1));
    let mut leaving = entry("a", Role::Primary, 2);
    leaving.draining = true;
    directory.put(at(1_000), leaving);
    let ages: Vec<_> = directory.drain_ages(at(4_000)).collect();
    assert_eq!(ages, [(&name, Duration::from_secs(3))]);
    assert!(directory.is_past_drain(at(6_500), &name));
}

/// Guards against work for a leaving upstream on platforms with a shorter drain time.
#[test]
fn short_drain() {
    for drain_ms in [1_000, 2_500, 3_500, 5_000, 14_000] {
        let (mut directory, name) = (
            Directory::new(Duration::from_millis(drain_ms)),
            Upstream::from("a"),
        );
        directory.put(at(0), entry("a", Role::Primary, 1));
        directory.mark_missing(at(0), &name);
        assert!(!directory.is_past_drain(at(drain_ms / 2 - 1), &name));
        assert!(directory.is_past_drain(at(drain_ms - drain_ms.min(3_000) / 2), &name));
        assert_eq!(directory.expire(at(drain_ms)), [name], "kept for too long");
    }
}

/// Guards against using an outdated report of a primary.
#[test]
fn newest_report() {
    let (mut directory, service) = (Directory::new(DRAIN), Service::from("ledger"));
    directory.put(at(0), entry("a", Role::Primary, 3));
    directory.put(at(0), entry("b", Role::Primary, 7));
    directory.put(at(0), entry("c", Role::Replica, 9));
    let primary = directory.reported_primary(&service).expect("a primary");
    assert_eq!(primary.upstream, Upstream::from("b"));
}

/// Guards against a configuration that returns to an older version.
#[test]
fn route_versions() {
    let mut table = RouteTable::default();
    assert!(table.apply(routes(5, &["a", "b"])));
    assert!(!table.apply(routes(5, &["c"])) && !table.apply(routes(4, &["c"])));
    assert!(table.find("a").is_some() && table.find("c").is_none());
    assert!(table.apply(routes(9, &["c"])));
    assert!(table.find("a").is_none() && table.find("c").is_some());
}

/// Guards against ignoring a refusal, and against a limit that stays low forever.
#[test]
fn refused_connections() {
    let mut limit = ConnectionLimit::new(4);
    limit.record_refusal(at(0), 2);
    assert_eq!(limit.get(), 2);
    assert!(!limit.recover(at(100)));
    assert!(limit.recover(at(200)) && !limit.recover(at(300)) && limit.recover(at(400)));
    assert_eq!((limit.get(), limit.recover(at(9_000))), (4, false));
    limit.record_refusal(at(9_000), 0);
    assert_eq!(limit.get(), 1);
}

/// Guards against stopped VMs that still get a share.
#[test]
fn counted_vms() {
    let record = |vm: &str, at| Presence {
        peer: Peer {
            vm: Vm::from(vm),
            zone: Zone::from("north"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        },
        at,
        keeps_from: None,
    };
    let records = [
        record("b", 90_000),
        record("a", 80_000),
        record("c", 10_000),
    ];
    let names: Vec<Vm> = running_peers(&records, 100_000)
        .into_iter()
        .map(|it| it.vm)
        .collect();
    assert_eq!(names, [Vm::from("a"), Vm::from("b")]);
}

/// Guards against reads at upstreams that failed or lag while another one can serve them.
#[test]
fn nearest_upstream() {
    let candidate = |name: &str, ms| Candidate {
        upstream: Upstream::from(name),
        is_leader: false,
        rtt: Duration::from_millis(ms),
        queue_wait: Duration::ZERO,
        news_age: Duration::ZERO,
        setup: Duration::ZERO,
        is_outlier: false,
        lagged_at: None,
        failed_at: None,
    };
    let mut candidates = vec![candidate("near", 1), candidate("far", 40)];
    let chosen = |candidates: &[Candidate], now| {
        let chosen = choose_upstream(at(now), candidates, &mut Rng::new(now)).expect("a candidate");
        chosen.upstream.as_str().to_owned()
    };
    assert_eq!(chosen(&candidates, 1_000), "near");
    candidates[0].lagged_at = Some(at(950));
    assert_eq!(chosen(&candidates, 1_000), "far");
    assert_eq!(chosen(&candidates, 1_100), "near");
    candidates[1].failed_at = Some(at(900));
    assert_eq!(chosen(&candidates, 1_000), "near", "lagging beats failed");
    candidates[0].queue_wait = Duration::from_millis(60);
    assert_eq!(chosen(&candidates, 2_000), "far", "a long queue");
    let mut equal = vec![candidate("leader", 1), candidate("replica", 2)];
    equal[0].is_leader = true;
    assert_eq!(chosen(&equal, 0), "replica");
}

/// Guards against connections that keep variables of another session or lack a prepared statement.
#[test]
fn connection_setup() {
    let mut session = Session::default();
    session.set("path", "x");
    session.prepare("s1", PreparedStatement::new(Access::Read, "q"));
    let statement = session.prepared("s1").cloned();
    let (mut values, mut prepared) = (SessionVariables::new(), HashSet::new());
    let steps = session.setup_steps(&values, &prepared, statement.as_ref());
    assert!(matches!(
        steps[..],
        [SetupStep::Set("path", "x"), SetupStep::Prepare(_)]
    ));
    values.insert("path".into(), "x".into());
    prepared.extend(statement.as_ref().map(|statement| statement.name.clone()));
    assert!(
        session
            .setup_steps(&values, &prepared, statement.as_ref())
            .is_empty()
    );
    values.insert("other".into(), "y".into());
    let steps = session.setup_steps(&values, &prepared, statement.as_ref());
    assert!(
        matches!(
            steps[..],
            [SetupStep::Reset, SetupStep::Set(..), SetupStep::Prepare(_)]
        ),
        "a reset forgets prepared names as well"
    );
    assert_ne!(
        PreparedStatement::new(Access::Write, "q").name,
        PreparedStatement::new(Access::Read, "q").name
    );
}
