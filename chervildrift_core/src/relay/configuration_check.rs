//! Check of a configuration before it is published.
//!
//! It finds entries that can never match, limits that contradict each other, and what differs from
//! the version in force. The decoder finds entries that can't be read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::holders::MIN_HOLDERS;
use super::organisation::{KeyDigest, OrganisationRules, Quota};
use super::route::{Consistency, Route, Routes, ServiceRules};

/// Digits by which a key is named; its digest tells nothing about it.
const FINGERPRINT_DIGITS: usize = 8;

/// Weight of a [`ConfigurationFinding`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration can't do what it says.
    Error,
    /// The configuration works, and is unlikely to be meant.
    Warning,
}

/// Mistake in a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{severity}: {place}: {problem}")]
pub struct ConfigurationFinding {
    /// Weight of the mistake.
    pub severity: Severity,
    /// Entry that has it.
    pub place: String,
    /// Description of it.
    pub problem: String,
}

impl ConfigurationFinding {
    /// Returns a mistake that keeps the configuration from doing what it says.
    pub fn error(place: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            place: place.into(),
            problem: problem.into(),
        }
    }

    fn warning(place: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, problem)
        }
    }
}

/// Difference between two configurations.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{place}: {change}")]
pub struct ConfigurationChange {
    /// Entry that differs.
    pub place: String,
    /// Description of the difference.
    pub change: String,
}

/// Returns the mistakes in a configuration.
#[must_use]
pub fn check_configuration(routes: &Routes) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    check_routes(routes, &mut findings);
    check_services(routes, &mut findings);
    check_organisations(routes, &mut findings);
    findings
}

fn check_routes(routes: &Routes, findings: &mut Vec<ConfigurationFinding>) {
    let mut databases: HashMap<&str, &Route> = HashMap::new();
    let mut kinds = BTreeSet::new();
    for route in &routes.routes {
        let place = format!("route {}", route.kind);
        // Of two routes of one database the later one counts.
        if let Some(hidden) = databases.insert(&route.database, route) {
            findings.push(ConfigurationFinding::error(
                format!("route {}", hidden.kind),
                format!(
                    "never matches, since {place} has the same database {}",
                    route.database
                ),
            ));
        }
        if !kinds.insert(&route.kind) {
            findings.push(ConfigurationFinding::error(
                &place,
                "has the name of another route",
            ));
        }
        if !routes.services.contains_key(&route.service) {
            let problem = format!("leads to service {}, which isn't declared", route.service);
            findings.push(ConfigurationFinding::error(&place, problem));
        }
        if route.timeout.is_zero() {
            findings.push(ConfigurationFinding::error(&place, "has a timeout of 0 ms"));
        }
        if route.target.is_zero() {
            findings.push(ConfigurationFinding::warning(
                &place,
                "has a target latency of 0 ms",
            ));
        }
        if matches!(route.consistency, Consistency::Bounded(bound) if bound.is_zero()) {
            let problem = "allows replicas no staleness, so that none ever serves it";
            findings.push(ConfigurationFinding::warning(&place, problem));
        }
    }
}

fn check_services(routes: &Routes, findings: &mut Vec<ConfigurationFinding>) {
    let services: BTreeMap<_, _> = routes.services.iter().collect();
    for (service, rules) in services {
        let place = format!("service {service}");
        if rules.connections == 0 {
            let problem = "allows no connections, so that nothing is served";
            findings.push(ConfigurationFinding::error(&place, problem));
        } else if rules.connections < MIN_HOLDERS {
            let problem = format!(
                "allows {} connections, fewer than the {MIN_HOLDERS} VMs that hold them",
                rules.connections
            );
            findings.push(ConfigurationFinding::warning(&place, problem));
        }
        if !routes.routes.iter().any(|route| route.service == *service) {
            findings.push(ConfigurationFinding::warning(&place, "has no route"));
        }
    }
}

fn check_organisations(routes: &Routes, findings: &mut Vec<ConfigurationFinding>) {
    let Some(organisations) = &routes.organisations else {
        return;
    };
    let mut names = BTreeSet::new();
    let mut holders: HashMap<KeyDigest, &OrganisationRules> = HashMap::new();
    for organisation in organisations {
        let place = format!("organisation {}", organisation.name);
        if !names.insert(&organisation.name) {
            let problem = "has the name of another organisation";
            findings.push(ConfigurationFinding::error(&place, problem));
        }
        if organisation.keys.is_empty() {
            let problem = "has no keys, so that only public routes serve it";
            findings.push(ConfigurationFinding::warning(&place, problem));
        }
        for key in &organisation.keys {
            // Of two organisations with one key the later one counts.
            if let Some(other) = holders.insert(*key, organisation) {
                let problem = if other.name == organisation.name {
                    format!("holds key {} twice", fingerprint(key))
                } else {
                    format!(
                        "holds key {} of organisation {} too",
                        fingerprint(key),
                        other.name
                    )
                };
                findings.push(ConfigurationFinding::error(&place, problem));
            }
        }
        if let Some(quota) = organisation.quota {
            findings.extend(
                quota_problem(quota).map(|(severity, problem)| ConfigurationFinding {
                    severity,
                    place,
                    problem: format!("{problem} ({})", describe_quota(quota)),
                }),
            );
        }
    }
}

fn quota_problem(quota: Quota) -> Option<(Severity, &'static str)> {
    let is_amount = |value: f64| value.is_finite() && value >= 0.0;
    if !is_amount(quota.rate) || !is_amount(quota.burst) {
        Some((
            Severity::Error,
            "has a quota that isn't a number of at least 0",
        ))
    } else if quota.rate == 0.0 && quota.burst > 0.0 {
        Some((Severity::Error, "has a burst that is never refilled"))
    } else if quota.rate == 0.0 {
        Some((Severity::Warning, "has a quota that allows nothing"))
    } else {
        None
    }
}

/// Returns what differs between two configurations, and an error if the newer one can't replace the
/// other.
#[must_use]
pub fn compare_configurations(
    before: &Routes,
    after: &Routes,
) -> (Vec<ConfigurationChange>, Option<ConfigurationFinding>) {
    let is_outdated = after.version <= before.version;
    let outdated = is_outdated.then(|| {
        let problem = format!(
            "{} is not above {}, so it is ignored",
            after.version, before.version
        );
        ConfigurationFinding::error("version", problem)
    });
    let mut changes = Vec::new();
    let routes = |routes: &Routes| -> BTreeMap<String, Route> {
        let routes = routes.routes.iter();
        routes
            .map(|it| (it.database.to_string(), Route::clone(it)))
            .collect()
    };
    compare_maps(
        "route of",
        &routes(before),
        &routes(after),
        route_changes,
        &mut changes,
    );
    let services = |routes: &Routes| -> BTreeMap<String, ServiceRules> {
        let services = routes.services.iter();
        services.map(|(name, it)| (name.to_string(), *it)).collect()
    };
    compare_maps(
        "service",
        &services(before),
        &services(after),
        service_changes,
        &mut changes,
    );
    let organisations = |routes: &Routes| -> BTreeMap<String, OrganisationRules> {
        let organisations = routes.organisations.iter().flatten();
        organisations
            .map(|it| (it.name.to_string(), it.clone()))
            .collect()
    };
    compare_maps(
        "organisation",
        &organisations(before),
        &organisations(after),
        organisation_changes,
        &mut changes,
    );
    let idle = field("idle limit", &before.idle, &after.idle, |it| {
        it.map_or_else(|| "none".to_owned(), milliseconds)
    });
    changes.extend(idle.map(|change| ConfigurationChange {
        place: "transactions".to_owned(),
        change,
    }));
    (changes, outdated)
}

fn compare_maps<T>(
    kind: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    differences: impl Fn(&T, &T) -> Vec<String>,
    changes: &mut Vec<ConfigurationChange>,
) {
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let found = match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => differences(before, after),
            (None, _) => vec!["added".to_owned()],
            (_, None) => vec!["removed".to_owned()],
        };
        changes.extend(found.into_iter().map(|change| ConfigurationChange {
            place: format!("{kind} {name}"),
            change,
        }));
    }
}

fn route_changes(before: &Route, after: &Route) -> Vec<String> {
    let fields = [
        field("name", &before.kind, &after.kind, ToString::to_string),
        field(
            "service",
            &before.service,
            &after.service,
            ToString::to_string,
        ),
        field(
            "consistency",
            &before.consistency,
            &after.consistency,
            describe_consistency,
        ),
        field("rank", &before.rank, &after.rank, |it| {
            format!("{it:?}").to_lowercase()
        }),
        field("timeout", &before.timeout, &after.timeout, |it| {
            milliseconds(*it)
        }),
        field("target latency", &before.target, &after.target, |it| {
            milliseconds(*it)
        }),
        field("public", &before.public, &after.public, ToString::to_string),
    ];
    fields.into_iter().flatten().collect()
}

fn service_changes(before: &ServiceRules, after: &ServiceRules) -> Vec<String> {
    let fields = [
        field(
            "connections",
            &before.connections,
            &after.connections,
            ToString::to_string,
        ),
        field(
            "synchronous replicas",
            &before.sync_replicas,
            &after.sync_replicas,
            ToString::to_string,
        ),
    ];
    fields.into_iter().flatten().collect()
}

fn organisation_changes(before: &OrganisationRules, after: &OrganisationRules) -> Vec<String> {
    let describe = |quota: &Option<Quota>| quota.map_or_else(|| "none".to_owned(), describe_quota);
    let mut changes: Vec<String> = field("quota", &before.quota, &after.quota, describe)
        .into_iter()
        .collect();
    let lacks = |keys: &[KeyDigest], key: &KeyDigest| !keys.contains(key);
    let added = after.keys.iter().filter(|it| lacks(&before.keys, it));
    changes.extend(added.map(|key| format!("key {} added", fingerprint(key))));
    let withdrawn = before.keys.iter().filter(|it| lacks(&after.keys, it));
    changes.extend(withdrawn.map(|key| format!("key {} withdrawn", fingerprint(key))));
    changes
}

/// Describes the change of a field; `None` if it is the same.
fn field<T: PartialEq>(
    name: &str,
    before: &T,
    after: &T,
    describe: impl Fn(&T) -> String,
) -> Option<String> {
    (before != after).then(|| format!("{name} {} -> {}", describe(before), describe(after)))
}

fn describe_consistency(consistency: &Consistency) -> String {
    match consistency {
        Consistency::Primary => "primary".to_owned(),
        Consistency::Bounded(bound) => format!("up to {} old", milliseconds(*bound)),
        Consistency::Session(bound) => {
            format!("own writes, otherwise up to {} old", milliseconds(*bound))
        }
    }
}

fn describe_quota(quota: Quota) -> String {
    format!("{} a second, burst {}", quota.rate, quota.burst)
}

fn milliseconds(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

fn fingerprint(key: &KeyDigest) -> String {
    key.to_string().chars().take(FINGERPRINT_DIGITS).collect()
}
