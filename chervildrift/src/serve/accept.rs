//! Acceptance of a caller's call: checks, routing data and the idempotency record.

use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::config::{Access, Declaration, KindSpec};
use chervildrift_core::limit::{RetryBudget, RetryRules};
use chervildrift_core::route::{Repeatability, RoutedRequest};
use chervildrift_core::token::Tokens;
use chervildrift_core::types::{Caller, GroupId, Rank, Time, Upstream};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::entry::{Pending, Progress, find_group, repeat};
use super::node::Node;
use crate::peer::message::{self, Idempotency, Request, Statement, Step as TransactionStep};
use crate::work::{Answer, Call, Problem, ProblemKind, Run, Step};

/// Time limit of a step that names no kind of work: commit, rollback, settling an outcome.
const STEP_DEADLINE: Duration = Duration::from_secs(5);

/// Retries of a kind in one window beyond its share of requests.
///
/// A change of primary repeats the writes that were in flight at once, a few for each slot.
const FAILOVER_RETRIES: f64 = 20.0;

/// What a call needs before it can be routed.
struct Accepted {
    group: GroupId,
    rank: Rank,
    kind: String,
    key: String,
    access: message::Access,
    repeat: Repeatability,
    statements: Vec<Statement>,
    record: Option<Idempotency>,
    step: Option<TransactionStep>,
    transaction: Option<String>,
    max_age: Option<Duration>,
    limit: Duration,
}

impl Node {
    /// Takes a caller's call.
    pub(super) fn accept(&mut self, call: Call, reply: oneshot::Sender<Answer>) {
        match self.admit(&call) {
            Ok((accepted, tokens)) => self.begin(call, reply, accepted, tokens),
            Err(problem) => {
                // The caller may have gone away.
                let _gone = reply.send(Err(problem));
            }
        }
    }

    fn admit(&mut self, call: &Call) -> Result<(Accepted, Tokens), Problem> {
        if !self.has_room() {
            let detail = "this VM holds too many requests";
            return Err(Problem::not_run(ProblemKind::Overloaded, detail));
        }
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.service(call.service.as_str()).ok_or_else(|| {
            let detail = format!("service {} is not declared", call.service);
            Problem::not_run(ProblemKind::UnknownService, detail)
        })?;
        let tokens = match &call.session {
            None => Tokens::new(),
            Some(text) => self
                .sealer
                .verify_session(text, &call.service)
                .map_err(|err| Problem::not_run(ProblemKind::InvalidSession, err.to_string()))?,
        };
        let accepted = match &call.step {
            Step::Run(run) => self.run(declaration, call, run, None)?,
            Step::Open(run) => self.run(declaration, call, run, Some(TransactionStep::Open))?,
            Step::Execute {
                transaction,
                statements,
            } => step(
                declaration,
                transaction,
                TransactionStep::Execute,
                statements.clone(),
            )?,
            Step::Commit { transaction } => step(
                declaration,
                transaction,
                TransactionStep::Commit,
                Vec::new(),
            )?,
            Step::Rollback { transaction } => step(
                declaration,
                transaction,
                TransactionStep::Rollback,
                Vec::new(),
            )?,
            Step::Outcome { key, record } => outcome(declaration, call, key, record)?,
        };
        Ok((accepted, tokens))
    }

    fn run(
        &mut self,
        declaration: &Declaration,
        call: &Call,
        run: &Run,
        step: Option<TransactionStep>,
    ) -> Result<Accepted, Problem> {
        let kind = declaration.kind(run.kind.as_str()).ok_or_else(|| {
            let detail = format!("kind {} is not declared", run.kind);
            Problem::not_run(ProblemKind::UnknownKind, detail)
        })?;
        let write = kind.access == Access::Write;
        if step.is_some() && !write {
            let detail = "a transaction takes a kind with `access: write`";
            return Err(Problem::not_run(ProblemKind::MalformedRequest, detail));
        }
        let record = self.record_of(kind, call, run, step);
        Ok(Accepted {
            group: pick(declaration, &run.key)?,
            rank: kind.rank,
            kind: kind.name.to_string(),
            key: run.key.clone(),
            access: if write {
                message::Access::Write
            } else {
                message::Access::Read
            },
            // A transaction that may be open elsewhere is not opened twice.
            repeat: if step.is_some() {
                Repeatability::Unkeyed
            } else {
                repeat(kind, record.is_some())
            },
            statements: run.statements.clone(),
            record,
            step,
            transaction: None,
            max_age: bound(kind, run.max_age),
            limit: bounded(Duration::from_millis(kind.deadline_ms), run.deadline),
        })
    }

    /// Returns the record of a write; a single write without a key of its caller gets one here, so
    /// that this VM can repeat it safely.
    fn record_of(
        &mut self,
        kind: &KindSpec,
        call: &Call,
        run: &Run,
        step: Option<TransactionStep>,
    ) -> Option<Idempotency> {
        if kind.access == Access::Read {
            return None;
        }
        let key = match &run.record {
            Some(key) => record_key(&call.caller, key),
            None if step.is_some() => return None,
            None => {
                let key = format!("~{:016x}{:016x}", self.rng.next(), self.rng.next());
                record_key(&call.caller, &key)
            }
        };
        Some(Idempotency {
            key,
            digest: digest(&run.statements),
        })
    }

    fn begin(
        &mut self,
        call: Call,
        reply: oneshot::Sender<Answer>,
        accepted: Accepted,
        tokens: Tokens,
    ) {
        let now = self.clock.now();
        let arrived = self.clock.time(call.arrived);
        let deadline = arrived + accepted.limit;
        let id = call.id.0;
        let mark = tokens
            .iter()
            .find(|token| token.group == accepted.group)
            .map(|it| it.position);
        let request = Request {
            id,
            service: accepted.group.service.clone(),
            kind: accepted.kind.as_str().into(),
            key: accepted.key,
            caller: call.caller.clone(),
            rank: accepted.rank,
            upstream: Upstream::from(""),
            statements: accepted.statements,
            token: mark,
            age_bound: accepted.max_age,
            remaining: Duration::ZERO,
            idempotency: accepted.record,
            access: accepted.access,
            transaction: accepted.transaction,
            generation: self.generation(),
        };
        self.count_request(now, &request);
        let pending = Pending {
            call,
            reply: Some(reply),
            group: accepted.group,
            tokens,
            request,
            step: accepted.step,
            max_age: accepted.max_age,
            deadline,
            arrived,
            progress: Some(Progress::NotSent(RoutedRequest::new(
                accepted.repeat,
                deadline,
            ))),
            number: 0,
            target: None,
            retry_at: None,
        };
        self.entry.calls.insert(id, pending);
        self.route(id);
    }

    fn count_request(&mut self, now: Time, request: &Request) {
        let key = (request.service.clone(), request.kind.clone());
        let budget = self.entry.budgets.entry(key);
        budget
            .or_insert_with(|| RetryBudget::new(retry_rules()))
            .record_request(now);
    }
}

/// Returns the rules of a kind's retry budget.
pub(super) fn retry_rules() -> RetryRules {
    RetryRules {
        min_retries: FAILOVER_RETRIES,
        ..RetryRules::default()
    }
}

fn pick(declaration: &Declaration, key: &str) -> Result<GroupId, Problem> {
    let group = declaration.group(key).ok_or_else(|| {
        let detail = "the key picks no instance of the service";
        Problem::not_run(ProblemKind::MalformedRequest, detail)
    })?;
    Ok(declaration.group_id(group))
}

/// Returns the greatest age that both the kind and the caller accept.
fn bound(kind: &KindSpec, wanted: Option<Duration>) -> Option<Duration> {
    let allowed = Duration::from_millis(kind.max_age_ms?);
    Some(bounded(allowed, wanted))
}

fn bounded(limit: Duration, wanted: Option<Duration>) -> Duration {
    wanted.map_or(limit, |wanted| wanted.min(limit))
}

fn step(
    declaration: &Declaration,
    transaction: &str,
    step: TransactionStep,
    statements: Vec<Statement>,
) -> Result<Accepted, Problem> {
    let unknown = || {
        let detail = "no transaction has this identifier";
        Problem::not_run(ProblemKind::UnknownTransaction, detail)
    };
    let upstream = transaction.split('.').nth(1).ok_or_else(unknown)?;
    let holds = |name: &str| name == upstream;
    let group = declaration
        .groups
        .iter()
        .find(|group| group.upstreams.iter().any(|it| holds(it.name.as_str())))
        .ok_or_else(unknown)?;
    // Finishing a transaction frees its locks and its connection, so it goes before other work.
    let kind = declaration
        .kinds
        .iter()
        .filter(|kind| kind.access == Access::Write);
    let kind = kind.min_by_key(|kind| kind.rank).ok_or_else(unknown)?;
    Ok(Accepted {
        group: declaration.group_id(group),
        rank: kind.rank,
        kind: kind.name.to_string(),
        key: String::new(),
        access: message::Access::Write,
        repeat: Repeatability::Unkeyed,
        statements,
        record: None,
        step: Some(step),
        transaction: Some(transaction.to_owned()),
        max_age: None,
        limit: STEP_DEADLINE,
    })
}

/// Settles an outcome by a request without statements under the same key.
fn outcome(
    declaration: &Declaration,
    call: &Call,
    key: &str,
    record: &str,
) -> Result<Accepted, Problem> {
    let kind = declaration
        .kinds
        .iter()
        .filter(|kind| kind.access == Access::Write);
    let kind = kind.min_by_key(|kind| kind.rank).ok_or_else(|| {
        let detail = "the service has no kind with `access: write`";
        Problem::not_run(ProblemKind::UnknownKind, detail)
    })?;
    let group = pick(declaration, key)?;
    debug_assert!(
        find_group(declaration, &group).is_some(),
        "picked groups are declared"
    );
    Ok(Accepted {
        group,
        rank: kind.rank,
        kind: kind.name.to_string(),
        key: key.to_owned(),
        access: message::Access::Write,
        repeat: Repeatability::Keyed,
        statements: Vec::new(),
        record: Some(Idempotency {
            key: record_key(&call.caller, record),
            digest: String::new(),
        }),
        step: None,
        transaction: None,
        max_age: None,
        limit: STEP_DEADLINE,
    })
}

/// Returns the key of a record; callers can't reach each other's records.
fn record_key(caller: &Caller, key: &str) -> String {
    format!("{caller}/{key}")
}

fn digest(statements: &[Statement]) -> String {
    let mut hash = Sha256::new();
    for statement in statements {
        hash.update((statement.sql.len() as u64).to_le_bytes());
        hash.update(&statement.sql);
        hash.update((statement.params.len() as u64).to_le_bytes());
        hash.update(&statement.params);
    }
    hex::encode(hash.finalize())
}
