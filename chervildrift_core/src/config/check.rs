//! Validation of operator files and settings files.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use serde_saphyr::{Location, Spanned};

use super::file::{File, FileFloors, FileInstance, FileKind, FileObjective, FileUpstream};
use super::{
    Access, CallerLimits, Declaration, GroupSpec, GuaranteedShares, KindSpec, Objective,
    RelaySettings, Settings, UpstreamSpec,
};
use crate::types::{Kind, Service, Upstream};

/// Maximum length of the name of a service, instance, upstream, kind or zone.
const MAX_NAME_BYTES: usize = 63;

/// Maximum deadline of a kind of work.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Minimum grace period of a relaying VM; a shorter one leaves no time to answer.
const MIN_GRACE_S: f64 = 0.1;

/// Maximum grace period of a relaying VM.
const MAX_GRACE_S: f64 = 600.0;

/// Minimum of `drain_ms` and `apply_ms`, several times the one-way latency between regions.
const MIN_PLATFORM_BOUND_MS: f64 = 500.0;

/// Maximum of `drain_ms` and `apply_ms`.
const MAX_PLATFORM_BOUND_MS: f64 = 600_000.0;

/// Maximum of `hold_ms` and `confirm_ms`, for which a relaying VM holds a request.
const MAX_WAIT_MS: u64 = 60_000;

/// Minimum of the times that callers are given; shorter ones cut callers behind a short fault.
const MIN_CALLER_MS: u64 = 1_000;

/// Maximum of the times that callers are given.
const MAX_CALLER_MS: u64 = 3_600_000;

/// Minimum length limit of a message, above that of ordinary statements.
const MIN_MESSAGE_BYTES: usize = 1_024;

/// Minimum memory of a session: its first buffer and a few variables.
const MIN_SESSION_BYTES: usize = 2_048;

/// Guaranteed shares of a file that has no `floors_percent`.
const DEFAULT_GUARANTEED_SHARES: GuaranteedShares = GuaranteedShares {
    urgent: 30,
    routine: 20,
    bulk: 10,
};

/// Mistake in a file.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{line}:{column}: {problem}; {expected}")]
pub struct Finding {
    /// Line, counted from 1; 0 if the position is unknown.
    pub line: u64,
    /// Column, counted from 1; 0 if the position is unknown.
    pub column: u64,
    /// Description of the mistake.
    pub problem: String,
    /// Description of a correct value.
    pub expected: String,
}

/// Parses and checks an operator file.
pub fn check_operator_file(text: &str) -> Result<Declaration, Vec<Finding>> {
    let file: File = serde_saphyr::from_str(text).map_err(|err| vec![parse_finding(&err)])?;
    let mut checker = Checker::default();
    let declaration = checker.check_file(&file);
    if checker.findings.is_empty() {
        Ok(declaration)
    } else {
        Err(checker.findings)
    }
}

/// Parses and checks the settings file of a VM.
pub fn check_settings(text: &str) -> Result<Settings, Vec<Finding>> {
    serde_saphyr::from_str(text).map_err(|err| vec![parse_finding(&err)])
}

/// Parses and checks the settings file of a VM that relays callers' sessions.
pub fn check_relay_settings(text: &str) -> Result<RelaySettings, Vec<Finding>> {
    let settings = serde_saphyr::from_str(text).map_err(|err| vec![parse_finding(&err)])?;
    let findings = relay_findings(&settings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

fn relay_findings(settings: &RelaySettings) -> Vec<Finding> {
    let finding = |problem: String, expected: String| Finding {
        line: 0,
        column: 0,
        problem,
        expected,
    };
    let mut findings = Vec::new();
    let grace = settings.grace_s;
    if !(MIN_GRACE_S..=MAX_GRACE_S).contains(&grace) {
        findings.push(finding(
            format!("grace_s is {grace}"),
            format!("give a number from {MIN_GRACE_S} to {MAX_GRACE_S}"),
        ));
    }
    for (name, value) in [
        ("drain_ms", settings.drain_ms),
        ("apply_ms", settings.apply_ms),
    ] {
        if !(MIN_PLATFORM_BOUND_MS..=MAX_PLATFORM_BOUND_MS).contains(&value) {
            findings.push(finding(
                format!("{name} is {value}"),
                format!("give a number from {MIN_PLATFORM_BOUND_MS} to {MAX_PLATFORM_BOUND_MS}"),
            ));
        }
    }
    for (name, value) in [
        ("hold_ms", settings.hold_ms),
        ("confirm_ms", settings.confirm_ms),
    ] {
        if value > MAX_WAIT_MS {
            findings.push(finding(
                format!("{name} is {value}"),
                format!("give a number of at most {MAX_WAIT_MS}"),
            ));
        }
    }
    findings.extend(limit_findings(&settings.limits));
    let listeners = [settings.callers, settings.operators, settings.peers];
    if (1..listeners.len()).any(|at| listeners[..at].contains(&listeners[at])) {
        findings.push(finding(
            "two listeners have the same address".to_owned(),
            "give callers, operators and peers different addresses".to_owned(),
        ));
    }
    findings
}

/// Checks limits on callers alone and against each other.
fn limit_findings(limits: &CallerLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut require = |holds: bool, problem: String, expected: &str| {
        if !holds {
            findings.push(Finding {
                line: 0,
                column: 0,
                problem,
                expected: expected.to_owned(),
            });
        }
    };
    for (name, value) in [
        ("message_ms", limits.message_ms),
        ("unread_ms", limits.unread_ms),
        ("silent_ms", limits.silent_ms),
    ] {
        require(
            (MIN_CALLER_MS..=MAX_CALLER_MS).contains(&value),
            format!("limits.{name} is {value}"),
            "give a number from 1000 to 3600000",
        );
    }
    let bounds = limits.bounds();
    let shared_mb = bounds.shared_bytes >> 20;
    require(
        limits.message_bytes >= MIN_MESSAGE_BYTES,
        format!("limits.message_bytes is {}", limits.message_bytes),
        "give at least 1024 bytes",
    );
    require(
        bounds.shared_bytes >= limits.message_bytes.saturating_mul(2),
        format!("limits.memory_mb leaves {shared_mb} MiB for large messages"),
        "give memory for two messages of message_bytes: 16 times as much memory",
    );
    require(
        bounds.session_bytes >= MIN_SESSION_BYTES,
        format!(
            "limits.memory_mb leaves {} bytes to a session",
            bounds.session_bytes
        ),
        "give more memory or fewer sessions, so that each has 2048 bytes",
    );
    require(
        (1..=limits.sockets()).contains(&bounds.sessions),
        format!(
            "limits.sessions is {} with {} sockets",
            bounds.sessions,
            limits.sockets()
        ),
        "give fewer sessions than file_descriptors without 200 for files",
    );
    require(
        (1..=bounds.sessions).contains(&bounds.unidentified),
        format!("limits.unidentified is {}", bounds.unidentified),
        "give at least 1 and at most as many as sessions",
    );
    require(
        limits.sent_ahead > 0,
        "limits.sent_ahead is 0".to_owned(),
        "give at least 1",
    );
    findings
}

fn parse_finding(err: &serde_saphyr::Error) -> Finding {
    let location = err.location().unwrap_or(Location::UNKNOWN);
    let text = err.without_snippet().to_string();
    let problem = text.lines().next().unwrap_or_default().to_owned();
    let expected =
        "see `chervildrift check --explain` for the fields and their defaults".to_owned();
    Finding {
        line: location.line(),
        column: location.column(),
        problem,
        expected,
    }
}

#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn add_finding<T>(&mut self, value: &Spanned<T>, problem: impl Into<String>, expected: &str) {
        self.findings.push(Finding {
            line: value.referenced.line(),
            column: value.referenced.column(),
            problem: problem.into(),
            expected: expected.to_owned(),
        });
    }

    fn check_file(&mut self, file: &File) -> Declaration {
        self.check_name(&file.service);
        if file.instances.value.is_empty() {
            self.add_finding(
                &file.instances,
                "no instances",
                "list at least one instance",
            );
        }
        if file.kinds.value.is_empty() {
            self.add_finding(&file.kinds, "no kinds of work", "list at least one kind");
        }
        self.check_unique(file.instances.value.iter().map(|it| &it.name));
        self.check_unique(file.kinds.value.iter().map(|it| &it.name));
        self.check_unique(upstream_names(&file.instances.value));
        Declaration {
            service: Service::from(file.service.value.as_str()),
            routing: file.routing,
            floors: self.check_floors(file.floors_percent.as_ref()),
            groups: file
                .instances
                .value
                .iter()
                .map(|it| self.check_instance(it))
                .collect(),
            kinds: file
                .kinds
                .value
                .iter()
                .map(|it| self.check_kind(it))
                .collect(),
        }
    }

    fn check_floors(&mut self, floors: Option<&Spanned<FileFloors>>) -> GuaranteedShares {
        let Some(floors) = floors else {
            return DEFAULT_GUARANTEED_SHARES;
        };
        let FileFloors {
            urgent,
            routine,
            bulk,
        } = floors.value;
        let sum = u32::from(urgent) + u32::from(routine) + u32::from(bulk);
        if sum > 100 {
            let expected = "floors add up to at most 100 percent";
            self.add_finding(floors, format!("floors add up to {sum} percent"), expected);
        }
        GuaranteedShares {
            urgent,
            routine,
            bulk,
        }
    }

    fn check_instance(&mut self, instance: &FileInstance) -> GroupSpec {
        self.check_name(&instance.name);
        let count = instance.upstreams.value.len();
        // A change of primary needs a majority, so one more upstream than an odd number tolerates
        // no more failures.
        if count == 0 || count.is_multiple_of(2) {
            let expected = "list an odd number of upstreams, usually three";
            self.add_finding(&instance.upstreams, format!("{count} upstreams"), expected);
        }
        GroupSpec {
            instance: instance.name.value.as_str().into(),
            upstreams: instance
                .upstreams
                .value
                .iter()
                .map(|it| self.check_upstream(it))
                .collect(),
        }
    }

    fn check_upstream(&mut self, upstream: &FileUpstream) -> UpstreamSpec {
        self.check_name(&upstream.name);
        self.check_name(&upstream.zone);
        let address = self.check_address(&upstream.address);
        self.check_positive(&upstream.slots, "slots");
        if upstream.connections.value <= upstream.slots.value {
            let expected =
                "give more connections than slots, since open transactions hold connections";
            self.add_finding(&upstream.connections, "too few connections", expected);
        }
        UpstreamSpec {
            name: Upstream::from(upstream.name.value.as_str()),
            address,
            zone: upstream.zone.value.as_str().into(),
            slots: upstream.slots.value,
            connections: upstream.connections.value,
        }
    }

    fn check_address(&mut self, address: &Spanned<String>) -> SocketAddr {
        address.value.parse().unwrap_or_else(|_err| {
            let problem = format!("`{}` is no address", address.value);
            self.add_finding(
                address,
                problem,
                "give an IP address and a port, such as 10.0.0.7:5432",
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn check_kind(&mut self, kind: &FileKind) -> KindSpec {
        self.check_name(&kind.name);
        self.check_deadline(kind);
        self.check_max_age(kind);
        if let Some(share) = &kind.share {
            self.check_positive(share, "share");
        }
        if let Some(concurrency) = &kind.concurrency {
            self.check_positive(concurrency, "concurrency");
        }
        KindSpec {
            name: Kind::from(kind.name.value.as_str()),
            rank: kind.rank,
            access: kind.access,
            share: kind.share.as_ref().map_or(1, |share| share.value),
            deadline_ms: kind.deadline_ms.value,
            max_age_ms: kind.max_age_ms.as_ref().map(|age| age.value),
            repeatable: kind.repeatable || kind.access == Access::Read,
            concurrency: kind.concurrency.as_ref().map(|it| it.value),
            objective: kind.objective.as_ref().map(|it| self.check_objective(it)),
        }
    }

    fn check_deadline(&mut self, kind: &FileKind) {
        let deadline = &kind.deadline_ms;
        if deadline.value == 0 || deadline.value > MAX_DEADLINE_MS {
            let expected = "give a deadline from 1 to 600000 ms";
            self.add_finding(
                deadline,
                format!("deadline of {} ms", deadline.value),
                expected,
            );
        }
    }

    fn check_max_age(&mut self, kind: &FileKind) {
        if let (Access::Write, Some(age)) = (kind.access, &kind.max_age_ms) {
            let expected = "only a kind with `access: read` has an age bound";
            self.add_finding(age, "a write with an age bound", expected);
        }
    }

    fn check_objective(&mut self, objective: &FileObjective) -> Objective {
        let target = &objective.target_percent;
        if !(target.value > 0.0 && target.value < 100.0) {
            let expected = "give a target above 0 and below 100 percent";
            self.add_finding(
                target,
                format!("target of {} percent", target.value),
                expected,
            );
        }
        self.check_positive(&objective.within_ms, "within_ms");
        Objective {
            target_percent: target.value,
            within_ms: objective.within_ms.value,
        }
    }

    fn check_positive<T: Copy + Default + PartialEq>(&mut self, value: &Spanned<T>, field: &str) {
        if value.value == T::default() {
            self.add_finding(
                value,
                format!("{field} is 0"),
                "give a number of at least 1",
            );
        }
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        let text = name.value.as_str();
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
            let expected = "use 1 to 63 lower-case letters, digits and hyphens";
            self.add_finding(name, format!("`{text}` is not a valid name"), expected);
        }
    }

    fn check_unique<'a>(&mut self, names: impl Iterator<Item = &'a Spanned<String>>) {
        let mut seen = std::collections::HashSet::new();
        for name in names {
            if !seen.insert(name.value.as_str()) {
                let problem = format!("`{}` is declared twice", name.value);
                self.add_finding(name, problem, "give each a unique name");
            }
        }
    }
}

fn upstream_names(instances: &[FileInstance]) -> impl Iterator<Item = &Spanned<String>> {
    instances
        .iter()
        .flat_map(|it| it.upstreams.value.iter().map(|upstream| &upstream.name))
}
