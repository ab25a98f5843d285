//! A circuit breaker, measured as an addition to the adaptive limit.

use std::time::Duration;

use chervildrift_core::types::Time;

/// Time constant over which answers are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Answers needed before the breaker may open.
const LEAST_ANSWERS: f64 = 8.0;

/// Part of failed answers at which the breaker opens.
const OPEN_AT: f64 = 0.5;

/// Time for which an open breaker lets nothing through.
const OPEN_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open(Time),
    /// One request is on its way to show whether the upstream is well.
    Trying,
}

/// Circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    at: Time,
    answers: f64,
    failures: f64,
}

impl Breaker {
    /// Opens a breaker that lets everything through.
    pub const fn open() -> Self {
        Self {
            state: State::Closed,
            at: Time(0),
            answers: 0.0,
            failures: 0.0,
        }
    }

    /// Tells whether a request may pass.
    pub fn pass(&mut self, now: Time) -> bool {
        match self.state {
            State::Closed => true,
            State::Trying => false,
            State::Open(since) if now.since(since) < OPEN_TIME => false,
            State::Open(_) => {
                self.state = State::Trying;
                true
            }
        }
    }

    /// Takes back a request that passed but was not run.
    pub fn untried(&mut self, now: Time) {
        if self.state == State::Trying {
            self.state = State::Open(now);
        }
    }

    /// Counts an answer of the upstream.
    pub fn answer(&mut self, now: Time, failed: bool) {
        self.count(now, failed);
        let bad = self.answers >= LEAST_ANSWERS && self.failures >= OPEN_AT * self.answers;
        self.state = match self.state {
            State::Trying if failed => State::Open(now),
            State::Trying => self.close(),
            State::Closed if bad => State::Open(now),
            state => state,
        };
    }

    fn count(&mut self, now: Time, failed: bool) {
        let kept = (-now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.at = now;
        self.answers = self.answers * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
    }

    fn close(&mut self) -> State {
        self.answers = 0.0;
        self.failures = 0.0;
        State::Closed
    }
}
