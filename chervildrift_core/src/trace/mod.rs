//! Traces of a coordinator and their replay.
//!
//! A trace holds the events that the coordinator of one group handled and the actions that it
//! requested, one JSON object per line: first the parameters of the coordinator, then each event
//! with the actions that followed. The coordinator has no clock and no other input, so a replay
//! must produce the same actions; a difference shows that a decision has changed. A trace may end
//! with the outcome that is expected of the run.

mod error;
mod line;

use crate::failover::{Actions, Coordinator, Event, Limits, Promoter};
use crate::group::GroupView;
use crate::rng::Rng;
use crate::types::Time;

pub use self::error::Error;
pub use self::line::{Line, Opened, Outcome, Step};

/// Difference between a trace and its replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Line of the trace, counted from 1.
    pub line: usize,
    /// Content of the trace.
    pub expected: String,
    /// Result of the replay.
    pub actual: String,
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Events that were replayed.
    pub events: usize,
    /// Lines on which the replay differs, in order.
    pub differences: Vec<Difference>,
}

/// Creates a coordinator like the one that a trace was recorded from.
#[must_use]
pub fn new_coordinator(opened: &Opened) -> Coordinator {
    let view = GroupView::new(&opened.upstreams);
    let promoter = Promoter::from_text(&opened.promoter);
    let rng = Rng::new(opened.seed);
    Coordinator::new(view, promoter, opened.rank, rng, Limits::default())
}

/// Encodes an event and its actions as a line, without the line break.
pub fn encode_step(at: Time, event: &Event, actions: &Actions) -> Result<String, Error> {
    let step = Step {
        at,
        event: *event,
        actions: actions.to_vec(),
    };
    Ok(serde_json::to_string(&Line::Step(step))?)
}

/// Replays a trace and compares the results with its content.
pub fn replay(text: &str) -> Result<Report, Error> {
    let mut report = Report::default();
    let mut coordinator = None;
    for (index, text) in text.lines().enumerate() {
        let line = index + 1;
        match serde_json::from_str(text).map_err(|err| Error::InvalidLine(line, err))? {
            Line::Opened(opened) => coordinator = Some(new_coordinator(&opened)),
            Line::Step(step) => {
                let coordinator = coordinator.as_mut().ok_or(Error::MissingOpened)?;
                let actions = coordinator.handle(step.at, step.event);
                report.events += 1;
                compare(&mut report, line, &step.actions, &actions.to_vec());
            }
            Line::Outcome(outcome) => {
                let coordinator = coordinator.as_ref().ok_or(Error::MissingOpened)?;
                let view = coordinator.view();
                let reached = Outcome {
                    primary: view.primary(),
                    term: view.term(),
                };
                compare(&mut report, line, &outcome, &reached);
            }
        }
    }
    Ok(report)
}

fn compare<T: std::fmt::Debug + PartialEq>(
    report: &mut Report,
    line: usize,
    expected: &T,
    actual: &T,
) {
    if expected != actual {
        let (expected, actual) = (format!("{expected:?}"), format!("{actual:?}"));
        report.differences.push(Difference {
            line,
            expected,
            actual,
        });
    }
}
