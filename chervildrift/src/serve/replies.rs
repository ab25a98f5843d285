//! Handling of dispatchers' replies and of failed attempts at the entry.

use std::time::Duration;

use chervildrift_core::limit::RetryBudget;
use chervildrift_core::route::{
    self, AttemptFailure, Cause, FailureAction, RefusedProof, UnsentProof, on_failure,
};
use chervildrift_core::token::Token;
use chervildrift_core::types::{LogPosition, Time};
use slog::debug;

use super::admission::retry_rules;
use super::entry::{PendingCall, REROUTE_DELAY, SendState};
use super::node::Node;
use crate::peer;
use crate::peer::message::{Reply, ReplyState, TransactionStep};
use crate::work::{Problem, ProblemKind, Reason, Success};

impl Node {
    /// Handles the result of an attempt.
    pub(super) fn complete_attempt(
        &mut self,
        id: u64,
        number: u64,
        result: Result<Reply, peer::Error>,
    ) {
        let now = self.clock.now();
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        if pending.attempt_number != number {
            // A late reply to an earlier attempt; only the latest attempt counts.
            return;
        }
        let Some((vm, upstream, sent)) = pending.target.clone() else {
            return;
        };
        let group = pending.group.clone();
        match result {
            Ok(reply) => {
                if let Some(state) = &reply.group {
                    self.update_group_cache(sent, &group, state, Some((upstream, reply.load)));
                }
                self.count_unless_overloaded(now, id, &reply.state);
                self.handle_reply(now, id, upstream, reply);
            }
            Err(err) => {
                debug!(self.log, "forwarding failed"; "request" => format!("{id:016x}"),
                    "to" => %vm, "error" => %err);
                self.report_link_error(now, &vm, &err);
                // A retry after a peer that was reached but is overloaded uses the retry budget.
                let overloaded = matches!(err, peer::Error::Busy | peer::Error::Refused);
                let cause = if overloaded {
                    Cause::Overloaded
                } else {
                    Cause::OutOfReach
                };
                if !overloaded {
                    self.count_accepted(now, id);
                }
                let proof = UnsentProof::prove(usize::from(err.sent()));
                let failure = proof.map_or(AttemptFailure::Lost, AttemptFailure::Unsent);
                self.fail_attempt(now, id, failure, cause);
            }
        }
    }

    /// Counts a request as accepted unless the dispatcher refused it because of its load.
    pub(super) fn count_unless_overloaded(&mut self, now: Time, id: u64, state: &ReplyState) {
        let overloaded = [Reason::Overloaded, Reason::Deadline].map(|it| it.to_string());
        if matches!(state, ReplyState::NotRun { reason } if overloaded.contains(reason)) {
            return;
        }
        self.count_accepted(now, id);
    }

    /// Counts an accepted request in the throttle of its upstream and kind.
    pub(super) fn count_accepted(&mut self, now: Time, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let key = (
            pending.request.upstream.clone(),
            pending.request.kind.clone(),
        );
        if let Some(throttle) = self.entry.throttles.get_mut(&key) {
            throttle.record_accepted(now);
        }
    }

    /// Answers or retries a call according to a dispatcher's reply.
    pub(super) fn handle_reply(&mut self, now: Time, id: u64, upstream: usize, reply: Reply) {
        match reply.state {
            ReplyState::Done => self.answer_success(id, upstream, reply),
            ReplyState::Failed {
                ref code,
                ref message,
            } => {
                let problem = failure_problem(code, message);
                self.answer_call(id, Err(problem));
            }
            ReplyState::Unknown => {
                self.fail_attempt(now, id, AttemptFailure::Lost, Cause::OutOfReach);
            }
            ReplyState::NotRun { ref reason } => self.handle_refusal(now, id, reason),
        }
    }

    pub(super) fn handle_refusal(&mut self, now: Time, id: u64, text: &str) {
        let reason = text.parse().unwrap_or(Reason::Malformed);
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let number = pending.attempt_number;
        let cause = match reason {
            Reason::NotPrimary => {
                if let Some(cache) = self.entry.group_caches.get_mut(&pending.group) {
                    let term = cache.term;
                    cache.forget_primary(term);
                }
                Cause::NoPrimary
            }
            // Retries at the primary, which has all confirmed writes and the freshest data.
            Reason::Behind | Reason::TooOld if pending.max_age.is_some() => {
                pending.max_age = None;
                Cause::Moved
            }
            Reason::Behind | Reason::TooOld => Cause::TooOld,
            Reason::Overloaded => Cause::Overloaded,
            Reason::Deadline => Cause::Deadline,
            Reason::NoConnection => Cause::OutOfReach,
            Reason::Undeclared if pending.step.is_none() => Cause::Moved,
            Reason::Cancelled => return self.answer_cancelled(id),
            Reason::UnknownTransaction | Reason::Undeclared => {
                let detail = "the transaction is not open; it was rolled back or never opened";
                let problem = Problem::failed(ProblemKind::TransactionLost, detail);
                return self.answer_call(id, Err(problem));
            }
            Reason::TransactionBusy => {
                let detail = "a statement of the transaction is still running";
                let problem = Problem::not_run(ProblemKind::Overloaded, detail);
                return self.answer_call(id, Err(problem));
            }
            Reason::Malformed => {
                let detail = "the parameters can't be read";
                let problem = Problem::not_run(ProblemKind::MalformedRequest, detail);
                return self.answer_call(id, Err(problem));
            }
        };
        let Some(proof) = RefusedProof::prove(number, number) else {
            return;
        };
        self.fail_attempt(now, id, AttemptFailure::Refused(proof, cause), cause);
    }

    pub(super) fn answer_cancelled(&mut self, id: u64) {
        let detail = "the request was cancelled under its idempotency key and never runs";
        self.answer_call(id, Err(Problem::not_run(ProblemKind::Cancelled, detail)));
    }

    /// Retries a call after a failed attempt, or answers it with an error.
    pub(super) fn fail_attempt(
        &mut self,
        now: Time,
        id: u64,
        failure: AttemptFailure,
        cause: Cause,
    ) {
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let Some(SendState::MaybeSent(request)) = pending.send_state.take() else {
            return;
        };
        // An attempt that found no VM, no primary or no connection to it costs the upstreams
        // nothing, and its retries are paced, so they don't use the budget. Otherwise a failover or
        // a lost VM would use up the budget before it is detected.
        let unreached = cause == Cause::OutOfReach && !matches!(failure, AttemptFailure::Lost);
        let unbudgeted = unreached || matches!(cause, Cause::NoPrimary | Cause::Moved);
        let key = (pending.group.service.clone(), pending.request.kind.clone());
        let budget = self.entry.retry_budgets.entry(key);
        let budget = budget.or_insert_with(|| RetryBudget::new(retry_rules()));
        let allowed = unbudgeted || budget.try_retry(now);
        match on_failure(now, request, failure, allowed) {
            FailureAction::Retry(request) => {
                pending.send_state = Some(SendState::NotSent(request));
                let delay = if cause == Cause::Moved {
                    Duration::ZERO
                } else {
                    REROUTE_DELAY
                };
                self.schedule_retry(now, id, delay);
            }
            FailureAction::Resend(request) => {
                pending.send_state = Some(SendState::MaybeSent(request));
                self.schedule_retry(now, id, REROUTE_DELAY);
            }
            FailureAction::Fail(route::RequestFailure::NotRun(answer)) => {
                self.answer_call(id, Err(refusal_problem(answer.cause())));
            }
            FailureAction::Fail(route::RequestFailure::Unknown(_)) => self.answer_unknown(id),
        }
    }

    pub(super) fn schedule_retry(&mut self, now: Time, id: u64, delay: Duration) {
        if delay.is_zero() {
            return self.route_call(id);
        }
        let jitter = self.rng.jitter(delay);
        self.schedule_route(id, now + delay + jitter);
    }

    /// Answers a request with an error; its outcome is unknown if it may have been sent.
    pub(super) fn fail_call(&mut self, id: u64, cause: Cause) {
        let send_state = self
            .entry
            .calls
            .get_mut(&id)
            .and_then(|it| it.send_state.take());
        match send_state {
            Some(SendState::NotSent(request)) => {
                let answer = request.into_not_run(cause);
                self.answer_call(id, Err(refusal_problem(answer.cause())));
            }
            Some(SendState::MaybeSent(_)) | None => self.answer_unknown(id),
        }
    }

    pub(super) fn answer_unknown(&mut self, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let is_read =
            pending.request.access == peer::message::Access::Read && pending.step.is_none();
        let problem = if is_read {
            // A read has no effect, so its outcome needs no query.
            Problem::not_run(
                ProblemKind::DeadlineExceeded,
                "no upstream answered in time",
            )
        } else {
            let path = pending
                .request
                .idempotency
                .as_ref()
                .map(|it| outcome_path(pending, &it.key));
            let detail = "the request may or may not have taken effect; ask for its outcome";
            Problem::unknown(detail, path)
        };
        self.answer_call(id, Err(problem));
    }

    pub(super) fn answer_success(&mut self, id: u64, upstream: usize, reply: Reply) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let age = reply
            .group
            .as_ref()
            .and_then(|it| it.upstreams.get(upstream)?.age);
        let is_read = pending.request.access == peer::message::Access::Read;
        let opened = pending.step == Some(TransactionStep::Open);
        let session_token = match reply.position {
            Some(position) => Some(self.sign_session_token(pending, position)),
            None => pending.call.session_token.clone(),
        };
        let done = Success {
            results: String::from_utf8(reply.answer).unwrap_or_default(),
            session_token,
            upstream: Some(pending.request.upstream.to_string()),
            age: age.filter(|_age| is_read),
            transaction: pending.request.transaction.clone().filter(|_id| opened),
        };
        self.answer_call(id, Ok(done));
    }

    /// Returns the session token with the position of a confirmed write.
    pub(super) fn sign_session_token(
        &self,
        pending: &PendingCall,
        position: LogPosition,
    ) -> String {
        let mut tokens = pending.tokens.clone();
        tokens.retain(|token| token.group != pending.group);
        tokens.push(Token {
            group: pending.group.clone(),
            position,
        });
        self.signer.sign_session(&tokens)
    }
}

/// Returns the path at which the caller can query the outcome of a write.
pub(super) fn outcome_path(pending: &PendingCall, record_key: &str) -> String {
    let prefix = format!("{}/", pending.call.caller);
    let idempotency_key = record_key.strip_prefix(&prefix).unwrap_or(record_key);
    let encode = |text: &str| {
        percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
    };
    let key = encode(&pending.request.key);
    format!(
        "/v1/outcomes/{}/{key}/{}",
        pending.group.service,
        encode(idempotency_key)
    )
}

pub(super) fn failure_problem(code: &str, message: &str) -> Problem {
    let kind = match code {
        "key-reused" => ProblemKind::KeyReused,
        "transaction-lost" => ProblemKind::TransactionLost,
        _ => ProblemKind::StatementFailed,
    };
    Problem::failed(kind, message)
}

pub(super) fn refusal_problem(cause: Cause) -> Problem {
    let kind = match cause {
        Cause::Overloaded => ProblemKind::Overloaded,
        Cause::Deadline => ProblemKind::DeadlineExceeded,
        Cause::TooOld => ProblemKind::DataTooOld,
        Cause::Cancelled => ProblemKind::Cancelled,
        Cause::NoPrimary | Cause::Moved | Cause::OutOfReach => ProblemKind::Unavailable,
    };
    Problem::not_run(kind, cause.to_string())
}
