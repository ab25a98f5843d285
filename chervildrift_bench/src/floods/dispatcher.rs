//! One dispatcher with its upstream.

use std::time::Duration;

use chervildrift_core::dispatch::{Completion, Job, JobId, JobIds, Load, Refusal, Scheduler};
use chervildrift_core::types::{Caller, Kind, Time};

use super::breaker::Breaker;
use super::deployment::Deployment;
use super::load::Request;
use super::variant::{ANY_KIND, Variant};

/// Time that a dispatcher's event loop spends on one forwarded request.
///
/// Follows from the target of 50,000 forwarded requests a second.
const FORWARD_COST: Duration = Duration::from_micros(20);

/// Time after which an unanswered statement counts as failed.
const STATEMENT_TIMEOUT_US: f64 = 250_000.0;

/// Share of the service time that each statement beyond half of the slots adds under
/// [`Fault::Slow`].
const CONTENTION_FACTOR: f64 = 2.0;

/// Deadline of jobs that run even if they are late.
const NO_DEADLINE: Time = Time(u64::MAX / 2);

/// Fault of all upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Statements beyond half of the slots slow each other down.
    Slow,
    /// No statement is answered.
    Silent,
    /// Statements fail at once.
    Failing,
}

/// A dispatcher, its scheduler and its upstream.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    scheduler: Scheduler,
    variant: Variant,
    slots: usize,
    kinds: Vec<Kind>,
    callers: Vec<Caller>,
    breaker: Breaker,
    running: usize,
    /// Time at which the event loop is free again.
    free_at: Time,
    /// Time of the next scheduled wake-up.
    pub next_wake: Option<Time>,
}

impl Dispatcher {
    /// Creates an idle dispatcher.
    pub fn new(deployment: &Deployment, variant: Variant) -> Self {
        let callers = (0..deployment.callers).map(|at| Caller::from(format!("caller-{at}")));
        let kinds = deployment.work_kinds.iter().map(|work| work.kind.clone());
        Self {
            scheduler: Scheduler::new(&variant.policy(&deployment.policy)),
            variant,
            slots: deployment.policy.slots,
            kinds: kinds.collect(),
            callers: callers.collect(),
            breaker: Breaker::new(),
            running: 0,
            free_at: Time::default(),
            next_wake: None,
        }
    }

    /// Queues a request that arrives now, and returns when the event loop processes it.
    pub fn enqueue(&mut self, now: Time) -> Time {
        self.free_at = self.free_at.max(now) + FORWARD_COST;
        self.free_at
    }

    /// Submits a request to the scheduler, and returns false if it is refused.
    pub fn submit(&mut self, now: Time, id: usize, request: &Request, hop_delay: Duration) -> bool {
        if self.variant.breaker && !self.breaker.allow(now) {
            return false;
        }
        let refused = self.scheduler.submit(now, self.job(id, request, hop_delay));
        if let Err(refusal) = &refused {
            assert!(!matches!(
                refusal,
                Refusal::DuplicateId(_) | Refusal::UnknownKind(_)
            ));
            self.breaker.cancel_trial(now);
        }
        refused.is_ok()
    }

    /// Starts the next request if a slot is free, and returns it.
    pub fn start_next(&mut self, now: Time) -> Option<usize> {
        let JobId(id) = self.scheduler.start_next(now)?;
        self.running += 1;
        assert!(self.running <= self.slots, "more statements run than slots");
        Some(id as usize)
    }

    /// Returns the service time of a statement that starts now.
    pub fn service_time(&self, request: &Request, fault: Fault) -> Duration {
        let excess = self.running as f64 - self.slots as f64 / 2.0;
        let micros = match fault {
            Fault::None => request.service_us,
            Fault::Slow => request.service_us * (1.0 + CONTENTION_FACTOR * excess.max(0.0)),
            Fault::Silent => STATEMENT_TIMEOUT_US,
            Fault::Failing => request.service_us / 2.0,
        };
        Duration::from_micros(micros.max(1.0) as u64)
    }

    /// Frees the slot of a request.
    pub fn finish(&mut self, now: Time, id: usize, failed: bool) {
        self.running -= 1;
        self.breaker.record_answer(now, failed);
        let completion = if failed {
            Completion::UpstreamFailed
        } else {
            Completion::Answered
        };
        self.scheduler.finish(now, JobId(id as u64), completion);
    }

    /// Removes and returns the requests that can no longer finish in time.
    pub fn expire(&mut self, now: Time) -> JobIds {
        let expired = self.scheduler.expire(now);
        if !expired.is_empty() {
            self.breaker.cancel_trial(now);
        }
        expired
    }

    /// Returns when the scheduler must be called although nothing else happens.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        self.scheduler.next_wakeup(now)
    }

    /// Returns the load by rank.
    pub fn load(&self) -> Load {
        self.scheduler.load()
    }

    fn job(&self, id: usize, request: &Request, hop_delay: Duration) -> Job {
        let fifo = self.variant.fifo;
        let caller = if fifo { 0 } else { request.caller as usize };
        let kind = &self.kinds[request.work];
        let deadline = Time(
            request
                .deadline
                .0
                .saturating_sub(hop_delay.as_micros() as u64),
        );
        Job {
            id: JobId(id as u64),
            kind: if fifo {
                Kind::from(ANY_KIND)
            } else {
                kind.clone()
            },
            caller: self.callers[caller].clone(),
            organisation: None,
            deadline: if self.variant.ignore_deadlines {
                NO_DEADLINE
            } else {
                deadline
            },
        }
    }
}
