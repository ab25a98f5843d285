//! Check of a configuration before it is published.

use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{
    Consistency, KeyDigest, OrganisationRules, Quota, Route, Routes, ServiceRules,
    check_configuration, compare_configurations,
};
use chervildrift_core::types::{Kind, Organisation, Rank, Service};

fn route(name: &str, database: &str, service: &str) -> Route {
    Route {
        kind: Kind::from(name),
        database: database.into(),
        service: Service::from(service),
        consistency: Consistency::Primary,
        rank: Rank::Urgent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(800),
        public: false,
    }
}

fn organisation(name: &str, keys: &[&str], rate: f64, burst: f64) -> OrganisationRules {
    OrganisationRules {
        name: Organisation::from(name),
        keys: keys.iter().map(|it| KeyDigest::of(it)).collect(),
        quota: Some(Quota { rate, burst }),
    }
}

fn configuration(version: u64) -> Routes {
    let rules = ServiceRules {
        connections: 30,
        sync_replicas: 0,
    };
    Routes {
        version,
        routes: vec![Arc::new(route("save", "d1", "svc"))],
        services: [(Service::from("svc"), rules)].into(),
        idle: None,
        organisations: Some(vec![organisation("north", &["k1"], 20.0, 30.0)]),
    }
}

fn problems(routes: &Routes) -> Vec<String> {
    let findings = check_configuration(routes);
    findings.iter().map(ToString::to_string).collect()
}

/// Guards against mistakes that are reported one at a time, or not at all.
#[test]
fn contradictions() {
    assert!(problems(&configuration(1)).is_empty());
    let mut routes = configuration(1);
    let mut stale = route("look", "d2", "gone");
    stale.consistency = Consistency::Bounded(Duration::ZERO);
    stale.timeout = Duration::ZERO;
    routes.routes.push(Arc::new(route("save", "d1", "svc")));
    routes.routes.push(Arc::new(stale));
    let rules = ServiceRules {
        connections: 0,
        sync_replicas: 0,
    };
    routes.services.insert(Service::from("idle"), rules);
    routes.organisations = Some(vec![
        organisation("north", &["k1"], 0.0, 30.0),
        organisation("south", &["k1", "k2", "k2"], f64::NAN, 1.0),
        organisation("north", &[], 1.0, 1.0),
    ]);
    let found = problems(&routes).join("\n");
    for expected in [
        "error: route save: never matches, since route save has the same database d1",
        "error: route save: has the name of another route",
        "error: route look: leads to service gone, which isn't declared",
        "error: route look: has a timeout of 0 ms",
        "warning: route look: allows replicas no staleness",
        "error: service idle: allows no connections",
        "warning: service idle: has no route",
        "error: organisation north: has a burst that is never refilled (0 a second, burst 30)",
        "error: organisation south: holds key",
        "of organisation north too",
        "twice",
        "error: organisation south: has a quota that isn't a number",
        "error: organisation north: has the name of another organisation",
        "warning: organisation north: has no keys",
    ] {
        assert!(found.contains(expected), "{expected:?} in\n{found}");
    }
    assert!(!found.contains("k1"), "{found}");
}

/// Guards against a change that goes unnoticed, and against one that is reported where nothing
/// differs.
#[test]
fn differences() {
    let before = configuration(7);
    let (changes, outdated) = compare_configurations(&before, &configuration(8));
    assert!(changes.is_empty() && outdated.is_none(), "{changes:?}");
    let mut after = configuration(7);
    let mut moved = route("save", "d1", "other");
    moved.timeout = Duration::from_millis(500);
    moved.public = true;
    after.routes = vec![Arc::new(moved), Arc::new(route("look", "d2", "other"))];
    let rules = ServiceRules {
        connections: 9,
        sync_replicas: 1,
    };
    after.services = [(Service::from("other"), rules)].into();
    after.idle = Some(Duration::from_secs(3));
    after.organisations = Some(vec![organisation("north", &["k2"], 10.0, 30.0)]);
    let (changes, outdated) = compare_configurations(&before, &after);
    let changes: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let key = |key: &str| KeyDigest::of(key).to_string()[..8].to_owned();
    assert_eq!(
        changes,
        [
            "route of d1: service svc -> other".to_owned(),
            "route of d1: timeout 1000 ms -> 500 ms".to_owned(),
            "route of d1: public false -> true".to_owned(),
            "route of d2: added".to_owned(),
            "service other: added".to_owned(),
            "service svc: removed".to_owned(),
            "organisation north: quota 20 a second, burst 30 -> 10 a second, burst 30".to_owned(),
            format!("organisation north: key {} added", key("k2")),
            format!("organisation north: key {} withdrawn", key("k1")),
            "transactions: idle limit none -> 3000 ms".to_owned(),
        ]
    );
    let outdated = outdated.expect("an error").to_string();
    assert_eq!(
        outdated,
        "error: version: 7 is not above 7, so it is ignored"
    );
}
