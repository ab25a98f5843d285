//! Outliers: upstreams that fail more of their work than the others of their group.
//!
//! Answers upstreams that fail, hang or break part of their work while their liveness check is
//! good, and those that go down and up by turns. Each holder of an upstream counts the outcomes of
//! its own exchanges; a liveness answer counts for nothing. An upstream whose share of failures is
//! far above that of the others is ejected: reads choose it last. Its reads return in steps, and a
//! failure meanwhile ejects it for twice as long. Ejections are passed on with their age; a VM
//! whose own exchanges with the upstream succeed ignores them. At least half of a group stays,
//! whatever is thought of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::rng::Rng;
use crate::types::{Time, Upstream};

/// Time in which a counted outcome loses half of its weight; callers tolerate a few seconds of
/// retries.
const OUTCOME_HALF_LIFE: Duration = Duration::from_secs(2);

/// Failures from which an upstream may be ejected; a single one may be a lost connection.
const MIN_FAILURES: f64 = 3.0;

/// Share of failures, above that of the rest of the group, from which an upstream is ejected; a
/// caller with two retries rarely notices less.
const MIN_FAILURE_SHARE: f64 = 0.1;

/// Standard deviations of the two shares that the difference has to exceed besides, since a window
/// holds few exchanges.
const DEVIATIONS: f64 = 1.5;

/// Successes from which a VM trusts its own exchanges more than an ejection by another VM.
const TRUSTED_SUCCESSES: f64 = 8.0;

/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Number of times that the length of an ejection doubles, which bounds it to 8 s.
const MAX_LEVEL: u8 = 3;

/// Length of a step of the return, long enough for some exchanges.
const RETURN_STEP: Duration = Duration::from_millis(500);

/// Shares of reads that an upstream gets in the steps of its return.
const RETURN_SHARES: [f64; 3] = [0.05, 0.2, 0.5];

/// Calm time after the end of an ejection in which the next one is longer.
const LEVEL_TTL: Duration = Duration::from_secs(10);

/// Outcome of one exchange with an upstream, or of an attempt to connect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream ran the statement and failed.
    Failed,
    /// The connection broke or can't be opened.
    Broken,
    /// No answer arrived in time; counts twice, since the caller has lost its time as well.
    NoReply,
}

/// Ejection of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ejection {
    /// Start of the ejection.
    pub at: Time,
    /// Number of ejections shortly before.
    pub level: u8,
}

/// Ejection as it is passed on to other VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EjectionNews {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Age of the ejection in milliseconds.
    pub age_ms: u64,
    /// Level of the ejection.
    pub level: u8,
}

/// Outcomes and ejection of one upstream as a VM knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    answered: f64,
    failed: f64,
    updated_at: Time,
    ejection: Option<Ejection>,
}

impl Ejection {
    fn end(&self) -> Time {
        self.at + FIRST_EJECTION * (1 << self.level.min(MAX_LEVEL))
    }

    /// Returns the share of reads that the upstream gets.
    #[must_use]
    pub fn admitted_share(&self, now: Time) -> f64 {
        if now < self.end() {
            return 0.0;
        }
        let step = now.since(self.end()).as_millis() / RETURN_STEP.as_millis();
        RETURN_SHARES.get(step as usize).copied().unwrap_or(1.0)
    }
}

impl Health {
    /// Records the outcome of an own exchange.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / OUTCOME_HALF_LIFE.as_secs_f64();
        let kept = (-half_lives).exp2();
        self.answered *= kept;
        self.failed *= kept;
        self.updated_at = now;
        match outcome {
            Outcome::Answered => self.answered += 1.0,
            Outcome::Failed | Outcome::Broken => self.failed += 1.0,
            Outcome::NoReply => self.failed += 2.0,
        }
    }

    /// Returns the share of failures among the own exchanges.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failed / (self.answered + self.failed).max(1.0)
    }

    /// Returns the variance of the measured share of failures.
    fn share_variance(&self) -> f64 {
        let count = self.answered + self.failed;
        // One failure and one success more, since a share of 0 by few exchanges is no certain one.
        let share = (self.failed + 1.0) / (count + 2.0);
        share * (1.0 - share) / count.max(1.0)
    }

    /// Returns the share of reads that the upstream gets.
    #[must_use]
    pub fn admitted_share(&self, now: Time) -> f64 {
        self.ejection.map_or(1.0, |it| it.admitted_share(now))
    }

    /// Returns the ejection while it has an effect.
    #[must_use]
    pub fn ejection(&self, now: Time) -> Option<Ejection> {
        self.ejection.filter(|it| it.admitted_share(now) < 1.0)
    }

    /// Applies an ejection by another VM; returns whether it is new here.
    pub fn hear(&mut self, now: Time, heard: Ejection) -> bool {
        let serves =
            self.answered >= TRUSTED_SUCCESSES && self.failure_share() < MIN_FAILURE_SHARE / 2.0;
        let is_newer = self.ejection.is_none_or(|own| own.at < heard.at);
        if serves || !is_newer || heard.admitted_share(now) >= 1.0 {
            return false;
        }
        self.ejection = Some(heard);
        true
    }

    /// Ejects the upstream if its own exchanges fail far more often than those of `best`, another
    /// one of the group.
    fn eject_if_ill(&mut self, now: Time, best: &Self) -> bool {
        let is_fresh = now.since(self.updated_at) < OUTCOME_HALF_LIFE;
        let deviation = (self.share_variance() + best.share_variance()).sqrt();
        let excess = self.failure_share() - best.failure_share();
        let ill =
            self.failed >= MIN_FAILURES && excess >= MIN_FAILURE_SHARE + DEVIATIONS * deviation;
        let admitted = self.admitted_share(now);
        if !is_fresh || !ill || admitted == 0.0 {
            return false;
        }
        let level = match self.ejection {
            Some(last) if now < last.end() + LEVEL_TTL => (last.level + 1).min(MAX_LEVEL),
            _ => 0,
        };
        self.ejection = Some(Ejection { at: now, level });
        // The return is judged by what happens then.
        self.answered = 0.0;
        self.failed = 0.0;
        true
    }
}

/// Ejects the upstreams of a group that fail far more of their work than the others; returns their
/// indexes.
pub fn eject_outliers(now: Time, group: &mut [Health]) -> SmallVec<[usize; 2]> {
    let mut ejected = SmallVec::new();
    let is_out = |it: &Health| it.admitted_share(now) == 0.0;
    for at in 0..group.len() {
        let out = group.iter().filter(|it| is_out(it)).count();
        if is_out(&group[at]) || 2 * (out + 1) > group.len() {
            continue;
        }
        // The best of the others is what the group can do.
        let others = group.iter().enumerate().filter(|(other, _)| *other != at);
        let best = others.min_by(|a, b| a.1.failure_share().total_cmp(&b.1.failure_share()));
        let Some(best) = best.map(|(_, it)| *it) else {
            continue;
        };
        if group[at].eject_if_ill(now, &best) {
            ejected.push(at);
        }
    }
    ejected
}

/// Returns which upstreams of a group a read avoids: those ejected, and those that return unless
/// the read is drawn for them; at most half of the group.
pub fn avoided(now: Time, group: &[Health], rng: &mut Rng) -> SmallVec<[bool; 4]> {
    let mut marks: SmallVec<[bool; 4]> = SmallVec::from_elem(false, group.len());
    let mut ill: SmallVec<[(f64, usize); 4]> = SmallVec::new();
    for (at, health) in group.iter().enumerate() {
        let share = health.admitted_share(now);
        if share < 1.0 && rng.unit_f64() >= share {
            ill.push((share, at));
        }
    }
    ill.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    for (_, at) in ill.into_iter().take(group.len() / 2) {
        marks[at] = true;
    }
    marks
}
