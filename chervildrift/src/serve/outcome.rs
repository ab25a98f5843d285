//! What an entry makes of a dispatcher's reply or of a try that failed.

use std::time::Duration;

use chervildrift_core::limit::RetryBudget;
use chervildrift_core::route::{
    self, AttemptFailure, Cause, FailureAction, RefusedProof, UnsentProof, on_failure,
};
use chervildrift_core::token::Token;
use chervildrift_core::types::{LogPosition, Time};
use slog::debug;

use super::accept::retry_rules;
use super::entry::{HOLD_PAUSE, Pending, Progress};
use super::node::Node;
use crate::peer;
use crate::peer::message::{Reply, State, Step as TransactionStep};
use crate::work::{Done, Problem, ProblemKind, Reason};

impl Node {
    /// Takes the end of a try.
    pub(super) fn take_reply(&mut self, id: u64, number: u64, result: Result<Reply, peer::Error>) {
        let now = self.clock.now();
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        if pending.number != number {
            // A late answer to an earlier try; the latest try decides.
            return;
        }
        let Some((vm, upstream, sent)) = pending.target.clone() else {
            return;
        };
        let group = pending.group.clone();
        match result {
            Ok(reply) => {
                if let Some(state) = &reply.group {
                    self.learn(sent, &group, state, Some((upstream, reply.load)));
                }
                self.note_taken(now, id, &reply.state);
                self.heed(now, id, upstream, reply);
            }
            Err(err) => {
                debug!(self.log, "forwarding failed"; "request" => format!("{id:016x}"),
                    "to" => %vm, "error" => %err);
                self.suspect(now, &vm, &err);
                // A peer that is reached but has no room is not tried for free.
                let full = matches!(err, peer::Error::Busy | peer::Error::Refused);
                let cause = if full {
                    Cause::Overloaded
                } else {
                    Cause::OutOfReach
                };
                if !full {
                    self.count_taken(now, id);
                }
                let proof = UnsentProof::prove(usize::from(err.sent()));
                let failure = proof.map_or(AttemptFailure::Lost, AttemptFailure::Unsent);
                self.fail_try(now, id, failure, cause);
            }
        }
    }

    /// Counts a request that the dispatcher did not refuse for its load.
    pub(super) fn note_taken(&mut self, now: Time, id: u64, state: &State) {
        let overloaded = [Reason::Overloaded, Reason::Deadline].map(|it| it.to_string());
        if matches!(state, State::NotRun { reason } if overloaded.contains(reason)) {
            return;
        }
        self.count_taken(now, id);
    }

    pub(super) fn count_taken(&mut self, now: Time, id: u64) {
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

    /// Acts on a dispatcher's reply.
    pub(super) fn heed(&mut self, now: Time, id: u64, upstream: usize, reply: Reply) {
        match reply.state {
            State::Done => self.finish_call(id, upstream, reply),
            State::Failed {
                ref code,
                ref message,
            } => {
                let problem = failed(code, message);
                self.conclude_call(id, Err(problem));
            }
            State::Unknown => self.fail_try(now, id, AttemptFailure::Lost, Cause::OutOfReach),
            State::NotRun { ref reason } => self.heed_refusal(now, id, reason),
        }
    }

    pub(super) fn heed_refusal(&mut self, now: Time, id: u64, text: &str) {
        let reason = text.parse().unwrap_or(Reason::Malformed);
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let number = pending.number;
        let cause = match reason {
            Reason::NotPrimary => {
                if let Some(cache) = self.entry.caches.get_mut(&pending.group) {
                    let term = cache.term;
                    cache.forget_primary(term);
                }
                Cause::NoPrimary
            }
            // The primary has all confirmed writes and the freshest data.
            Reason::Behind | Reason::TooOld if pending.max_age.is_some() => {
                pending.max_age = None;
                Cause::Moved
            }
            Reason::Behind | Reason::TooOld => Cause::TooOld,
            Reason::Overloaded => Cause::Overloaded,
            Reason::Deadline => Cause::Deadline,
            Reason::NoConnection => Cause::OutOfReach,
            Reason::Undeclared if pending.step.is_none() => Cause::Moved,
            Reason::Cancelled => return self.conclude_cancelled(id),
            Reason::UnknownTransaction | Reason::Undeclared => {
                let detail = "the transaction is not open; it was rolled back or never opened";
                let problem = Problem::failed(ProblemKind::TransactionLost, detail);
                return self.conclude_call(id, Err(problem));
            }
            Reason::TransactionBusy => {
                let detail = "a statement of the transaction is still running";
                let problem = Problem::not_run(ProblemKind::Overloaded, detail);
                return self.conclude_call(id, Err(problem));
            }
            Reason::Malformed => {
                let detail = "the parameters can't be read";
                let problem = Problem::not_run(ProblemKind::MalformedRequest, detail);
                return self.conclude_call(id, Err(problem));
            }
        };
        let Some(proof) = RefusedProof::prove(number, number) else {
            return;
        };
        self.fail_try(now, id, AttemptFailure::Refused(proof, cause), cause);
    }

    pub(super) fn conclude_cancelled(&mut self, id: u64) {
        let detail = "the request was cancelled under its idempotency key and never runs";
        self.conclude_call(id, Err(Problem::not_run(ProblemKind::Cancelled, detail)));
    }

    /// Decides what follows a failed try.
    pub(super) fn fail_try(&mut self, now: Time, id: u64, failure: AttemptFailure, cause: Cause) {
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let Some(Progress::MaybeSent(attempt)) = pending.progress.take() else {
            return;
        };
        // A try that found no VM, no primary or no connection to it costs the upstreams nothing and
        // is paced, so it takes nothing from the budget. A failover or a lost VM would otherwise
        // use the budget up before anyone knows of it.
        let waiting = cause == Cause::OutOfReach && !matches!(failure, AttemptFailure::Lost);
        let free = waiting || matches!(cause, Cause::NoPrimary | Cause::Moved);
        let key = (pending.group.service.clone(), pending.request.kind.clone());
        let budget = self.entry.budgets.entry(key);
        let budget = budget.or_insert_with(|| RetryBudget::new(retry_rules()));
        let allowed = free || budget.try_retry(now);
        match on_failure(now, attempt, failure, allowed) {
            FailureAction::Retry(attempt) => {
                pending.progress = Some(Progress::NotSent(attempt));
                let pause = if cause == Cause::Moved {
                    Duration::ZERO
                } else {
                    HOLD_PAUSE
                };
                self.retry(now, id, pause);
            }
            FailureAction::Resend(attempt) => {
                pending.progress = Some(Progress::MaybeSent(attempt));
                self.retry(now, id, HOLD_PAUSE);
            }
            FailureAction::Fail(route::RequestFailure::NotRun(answer)) => {
                self.conclude_call(id, Err(refusal(answer.cause())));
            }
            FailureAction::Fail(route::RequestFailure::Unknown(_)) => self.conclude_unknown(id),
        }
    }

    pub(super) fn retry(&mut self, now: Time, id: u64, pause: Duration) {
        if pause.is_zero() {
            return self.route(id);
        }
        let jitter = self.rng.jitter(pause);
        self.hold(id, now + pause + jitter);
    }

    /// Answers a request that can't be routed.
    pub(super) fn give_up(&mut self, id: u64, cause: Cause) {
        let progress = self
            .entry
            .calls
            .get_mut(&id)
            .and_then(|it| it.progress.take());
        match progress {
            Some(Progress::NotSent(attempt)) => {
                let answer = attempt.into_not_run(cause);
                self.conclude_call(id, Err(refusal(answer.cause())));
            }
            Some(Progress::MaybeSent(_)) | None => self.conclude_unknown(id),
        }
    }

    pub(super) fn conclude_unknown(&mut self, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let read = pending.request.access == peer::message::Access::Read && pending.step.is_none();
        let problem = if read {
            // A read has no effect, so its loss needs no settling.
            Problem::not_run(
                ProblemKind::DeadlineExceeded,
                "no upstream answered in time",
            )
        } else {
            let ask = pending
                .request
                .idempotency
                .as_ref()
                .map(|it| ask_path(pending, &it.key));
            let detail = "the request may or may not have taken effect; ask for its outcome";
            Problem::unknown(detail, ask)
        };
        self.conclude_call(id, Err(problem));
    }

    pub(super) fn finish_call(&mut self, id: u64, upstream: usize, reply: Reply) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let age = reply
            .group
            .as_ref()
            .and_then(|it| it.upstreams.get(upstream)?.age);
        let read = pending.request.access == peer::message::Access::Read;
        let opened = pending.step == Some(TransactionStep::Open);
        let session = match reply.mark {
            Some(mark) => Some(self.seal(pending, mark)),
            None => pending.call.session.clone(),
        };
        let done = Done {
            results: String::from_utf8(reply.answer).unwrap_or_default(),
            session,
            upstream: Some(pending.request.upstream.to_string()),
            age: age.filter(|_age| read),
            transaction: pending.request.transaction.clone().filter(|_id| opened),
        };
        self.conclude_call(id, Ok(done));
    }

    /// Seals the session with a confirmed write.
    pub(super) fn seal(&self, pending: &Pending, position: LogPosition) -> String {
        let mut tokens = pending.tokens.clone();
        tokens.retain(|token| token.group != pending.group);
        tokens.push(Token {
            group: pending.group.clone(),
            position,
        });
        self.sealer.sign_session(&tokens)
    }
}

pub(super) fn ask_path(pending: &Pending, record: &str) -> String {
    let prefix = format!("{}/", pending.call.caller);
    let record = record.strip_prefix(&prefix).unwrap_or(record);
    let encode = |text: &str| {
        percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
    };
    let key = encode(&pending.request.key);
    format!(
        "/v1/outcomes/{}/{key}/{}",
        pending.group.service,
        encode(record)
    )
}

pub(super) fn failed(code: &str, message: &str) -> Problem {
    let kind = match code {
        "key-reused" => ProblemKind::KeyReused,
        "transaction-lost" => ProblemKind::TransactionLost,
        _ => ProblemKind::StatementFailed,
    };
    Problem::failed(kind, message)
}

pub(super) fn refusal(cause: Cause) -> Problem {
    let kind = match cause {
        Cause::Overloaded => ProblemKind::Overloaded,
        Cause::Deadline => ProblemKind::DeadlineExceeded,
        Cause::TooOld => ProblemKind::DataTooOld,
        Cause::Cancelled => ProblemKind::Cancelled,
        Cause::NoPrimary | Cause::Moved | Cause::OutOfReach => ProblemKind::Unavailable,
    };
    Problem::not_run(kind, cause.to_string())
}
