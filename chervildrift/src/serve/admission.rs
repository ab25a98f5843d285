//! Admission of callers' requests: checks, routing data and the idempotency record.

use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::config::{Access, Declaration, KindSpec};
use chervildrift_core::limit::{RetryBudget, RetryRules};
use chervildrift_core::route::{Repeatability, RoutedRequest};
use chervildrift_core::token::Tokens;
use chervildrift_core::types::{Caller, GroupId, Rank, Time, Upstream};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::entry::{PendingCall, SendState, find_group, repeat_policy};
use super::node::Node;
use crate::peer::message::{self, Idempotency, Request, Statement, TransactionStep};
use crate::work::{Call, CallResult, Operation, Problem, ProblemKind, StatementBatch};

/// Time limit of operations without a kind: steps of open transactions and queries of outcomes.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// Retries that a kind may make in one window in addition to its share of requests.
///
/// A change of primary causes all writes in flight, a few for each slot, to be retried at once.
const BASE_RETRIES_PER_WINDOW: f64 = 20.0;

/// Admitted call with the data that its routing needs.
struct AdmittedCall {
    group: GroupId,
    rank: Rank,
    kind: String,
    key: String,
    access: message::Access,
    repeat: Repeatability,
    statements: Vec<Statement>,
    idempotency: Option<Idempotency>,
    step: Option<TransactionStep>,
    transaction: Option<String>,
    max_age: Option<Duration>,
    timeout: Duration,
}

impl Node {
    /// Admits and routes a call, or answers it with an error.
    pub(super) fn accept_call(&mut self, call: Call, reply: oneshot::Sender<CallResult>) {
        match self.admit(&call) {
            Ok((admitted, tokens)) => self.start_call(call, reply, admitted, tokens),
            Err(problem) => {
                // The caller may have disconnected.
                let _result = reply.send(Err(problem));
            }
        }
    }

    fn admit(&mut self, call: &Call) -> Result<(AdmittedCall, Tokens), Problem> {
        if !self.has_capacity() {
            let detail = "this VM holds too many requests";
            return Err(Problem::not_run(ProblemKind::Overloaded, detail));
        }
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.declaration(call.service.as_str()).ok_or_else(|| {
            let detail = format!("service {} is not declared", call.service);
            Problem::not_run(ProblemKind::UnknownService, detail)
        })?;
        let tokens = match &call.session_token {
            None => Tokens::new(),
            Some(text) => self
                .signer
                .verify_session(text, &call.service)
                .map_err(|err| Problem::not_run(ProblemKind::InvalidSession, err.to_string()))?,
        };
        let admitted = match &call.operation {
            Operation::Run(batch) => self.admit_batch(declaration, call, batch, None)?,
            Operation::Open(batch) => {
                self.admit_batch(declaration, call, batch, Some(TransactionStep::Open))?
            }
            Operation::Execute {
                transaction,
                statements,
            } => admit_step(
                declaration,
                transaction,
                TransactionStep::Execute,
                statements.clone(),
            )?,
            Operation::Commit { transaction } => admit_step(
                declaration,
                transaction,
                TransactionStep::Commit,
                Vec::new(),
            )?,
            Operation::Rollback { transaction } => admit_step(
                declaration,
                transaction,
                TransactionStep::Rollback,
                Vec::new(),
            )?,
            Operation::ResolveOutcome {
                key,
                idempotency_key,
            } => admit_outcome(declaration, call, key, idempotency_key)?,
        };
        Ok((admitted, tokens))
    }

    fn admit_batch(
        &mut self,
        declaration: &Declaration,
        call: &Call,
        batch: &StatementBatch,
        step: Option<TransactionStep>,
    ) -> Result<AdmittedCall, Problem> {
        let kind = declaration.kind(batch.kind.as_str()).ok_or_else(|| {
            let detail = format!("kind {} is not declared", batch.kind);
            Problem::not_run(ProblemKind::UnknownKind, detail)
        })?;
        let write = kind.access == Access::Write;
        if step.is_some() && !write {
            let detail = "a transaction takes a kind with `access: write`";
            return Err(Problem::not_run(ProblemKind::MalformedRequest, detail));
        }
        let idempotency = self.idempotency_record(kind, call, batch, step);
        Ok(AdmittedCall {
            group: select_group(declaration, &batch.key)?,
            rank: kind.rank,
            kind: kind.name.to_string(),
            key: batch.key.clone(),
            access: if write {
                message::Access::Write
            } else {
                message::Access::Read
            },
            // A lost attempt may have opened the transaction, so it is not repeated.
            repeat: if step.is_some() {
                Repeatability::Unkeyed
            } else {
                repeat_policy(kind, idempotency.is_some())
            },
            statements: batch.statements.clone(),
            idempotency,
            step,
            transaction: None,
            max_age: effective_max_age(kind, batch.max_age),
            timeout: shorter(Duration::from_millis(kind.deadline_ms), batch.deadline),
        })
    }

    /// Returns the idempotency record of a write.
    ///
    /// A write outside a transaction gets a random key if its caller set none, so that this VM can
    /// repeat it safely.
    fn idempotency_record(
        &mut self,
        kind: &KindSpec,
        call: &Call,
        batch: &StatementBatch,
        step: Option<TransactionStep>,
    ) -> Option<Idempotency> {
        if kind.access == Access::Read {
            return None;
        }
        let key = match &batch.idempotency_key {
            Some(key) => record_key(&call.caller, key),
            None if step.is_some() => return None,
            None => {
                let key = format!("~{:016x}{:016x}", self.rng.next(), self.rng.next());
                record_key(&call.caller, &key)
            }
        };
        Some(Idempotency {
            key,
            digest: digest(&batch.statements),
        })
    }

    fn start_call(
        &mut self,
        call: Call,
        reply: oneshot::Sender<CallResult>,
        admitted: AdmittedCall,
        tokens: Tokens,
    ) {
        let now = self.clock.now();
        let received_at = self.clock.time(call.received_at);
        let deadline = received_at + admitted.timeout;
        let id = call.id.0;
        let position = tokens
            .iter()
            .find(|token| token.group == admitted.group)
            .map(|it| it.position);
        let request = Request {
            id,
            service: admitted.group.service.clone(),
            kind: admitted.kind.as_str().into(),
            key: admitted.key,
            caller: call.caller.clone(),
            rank: admitted.rank,
            upstream: Upstream::from(""),
            statements: admitted.statements,
            min_position: position,
            age_bound: admitted.max_age,
            remaining: Duration::ZERO,
            idempotency: admitted.idempotency,
            access: admitted.access,
            transaction: admitted.transaction,
            generation: self.generation(),
        };
        self.count_request(now, &request);
        let pending = PendingCall {
            call,
            reply: Some(reply),
            group: admitted.group,
            tokens,
            request,
            step: admitted.step,
            max_age: admitted.max_age,
            deadline,
            received_at,
            send_state: Some(SendState::NotSent(RoutedRequest::new(
                admitted.repeat,
                deadline,
            ))),
            attempt_number: 0,
            target: None,
            retry_at: None,
        };
        self.entry.calls.insert(id, pending);
        self.route_call(id);
    }

    fn count_request(&mut self, now: Time, request: &Request) {
        let key = (request.service.clone(), request.kind.clone());
        let budget = self.entry.retry_budgets.entry(key);
        budget
            .or_insert_with(|| RetryBudget::new(retry_rules()))
            .record_request(now);
    }
}

/// Returns the rules of a kind's retry budget.
pub(super) fn retry_rules() -> RetryRules {
    RetryRules {
        min_retries: BASE_RETRIES_PER_WINDOW,
        ..RetryRules::default()
    }
}

fn select_group(declaration: &Declaration, key: &str) -> Result<GroupId, Problem> {
    let group = declaration.group_for_key(key).ok_or_else(|| {
        let detail = "the key picks no instance of the service";
        Problem::not_run(ProblemKind::MalformedRequest, detail)
    })?;
    Ok(declaration.group_id(group))
}

/// Returns the maximum age that both the kind and the caller accept.
fn effective_max_age(kind: &KindSpec, wanted: Option<Duration>) -> Option<Duration> {
    let allowed = Duration::from_millis(kind.max_age_ms?);
    Some(shorter(allowed, wanted))
}

fn shorter(limit: Duration, wanted: Option<Duration>) -> Duration {
    wanted.map_or(limit, |wanted| wanted.min(limit))
}

fn admit_step(
    declaration: &Declaration,
    transaction: &str,
    step: TransactionStep,
    statements: Vec<Statement>,
) -> Result<AdmittedCall, Problem> {
    let unknown = || {
        let detail = "no transaction has this identifier";
        Problem::not_run(ProblemKind::UnknownTransaction, detail)
    };
    let upstream = transaction.split('.').nth(1).ok_or_else(unknown)?;
    let is_named = |name: &str| name == upstream;
    let group = declaration
        .groups
        .iter()
        .find(|group| group.upstreams.iter().any(|it| is_named(it.name.as_str())))
        .ok_or_else(unknown)?;
    // Finishing a transaction releases its locks and its connection, so it precedes other work.
    let kind = declaration
        .kinds
        .iter()
        .filter(|kind| kind.access == Access::Write);
    let kind = kind.min_by_key(|kind| kind.rank).ok_or_else(unknown)?;
    Ok(AdmittedCall {
        group: declaration.group_id(group),
        rank: kind.rank,
        kind: kind.name.to_string(),
        key: String::new(),
        access: message::Access::Write,
        repeat: Repeatability::Unkeyed,
        statements,
        idempotency: None,
        step: Some(step),
        transaction: Some(transaction.to_owned()),
        max_age: None,
        timeout: DEFAULT_DEADLINE,
    })
}

/// Admits the query of an outcome as a write without statements under the same key.
fn admit_outcome(
    declaration: &Declaration,
    call: &Call,
    key: &str,
    idempotency_key: &str,
) -> Result<AdmittedCall, Problem> {
    let kind = declaration
        .kinds
        .iter()
        .filter(|kind| kind.access == Access::Write);
    let kind = kind.min_by_key(|kind| kind.rank).ok_or_else(|| {
        let detail = "the service has no kind with `access: write`";
        Problem::not_run(ProblemKind::UnknownKind, detail)
    })?;
    let group = select_group(declaration, key)?;
    debug_assert!(
        find_group(declaration, &group).is_some(),
        "picked groups are declared"
    );
    Ok(AdmittedCall {
        group,
        rank: kind.rank,
        kind: kind.name.to_string(),
        key: key.to_owned(),
        access: message::Access::Write,
        repeat: Repeatability::Keyed,
        statements: Vec::new(),
        idempotency: Some(Idempotency {
            key: record_key(&call.caller, idempotency_key),
            digest: String::new(),
        }),
        step: None,
        transaction: None,
        max_age: None,
        timeout: DEFAULT_DEADLINE,
    })
}

/// Returns the key of an idempotency record, which differs between callers.
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
