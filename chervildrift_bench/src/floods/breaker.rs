//! Circuit breaker, measured as an addition to the adaptive limit.

use std::time::Duration;

use chervildrift_core::types::Time;

/// Time constant with which the counts of answers decay.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Smallest count of answers at which the breaker may open.
const MIN_ANSWERS: f64 = 8.0;

/// Share of failed answers at which the breaker opens.
const FAILURE_THRESHOLD: f64 = 0.5;

/// Time for which an open breaker rejects all requests.
const OPEN_DURATION: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open(Time),
    /// One trial request is in flight, to show whether the upstream answers.
    HalfOpen,
}

/// Circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    updated_at: Time,
    answers: f64,
    failures: f64,
}

impl Breaker {
    /// Creates a closed breaker, which allows all requests.
    pub const fn new() -> Self {
        Self {
            state: State::Closed,
            updated_at: Time(0),
            answers: 0.0,
            failures: 0.0,
        }
    }

    /// Tells whether to allow a request, which is the trial if the breaker was open.
    pub fn allow(&mut self, now: Time) -> bool {
        match self.state {
            State::Closed => true,
            State::HalfOpen => false,
            State::Open(since) if now.since(since) < OPEN_DURATION => false,
            State::Open(_) => {
                self.state = State::HalfOpen;
                true
            }
        }
    }

    /// Reopens the breaker if it is half open and its trial request was not run.
    pub fn cancel_trial(&mut self, now: Time) {
        if self.state == State::HalfOpen {
            self.state = State::Open(now);
        }
    }

    /// Counts an answer of the upstream and updates the state.
    pub fn record_answer(&mut self, now: Time, failed: bool) {
        self.count(now, failed);
        let is_failing =
            self.answers >= MIN_ANSWERS && self.failures >= FAILURE_THRESHOLD * self.answers;
        self.state = match self.state {
            State::HalfOpen if failed => State::Open(now),
            State::HalfOpen => self.close(),
            State::Closed if is_failing => State::Open(now),
            state => state,
        };
    }

    fn count(&mut self, now: Time, failed: bool) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / COUNT_WINDOW.as_secs_f64()).exp();
        self.updated_at = now;
        self.answers = self.answers * decay + 1.0;
        self.failures = self.failures * decay + f64::from(u8::from(failed));
    }

    fn close(&mut self) -> State {
        self.answers = 0.0;
        self.failures = 0.0;
        State::Closed
    }
}
