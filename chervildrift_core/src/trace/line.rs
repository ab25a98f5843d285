//! Lines of a trace.

use serde::{Deserialize, Serialize};

use crate::failover::{Action, Event};
use crate::types::{Term, Time, Upstream};

/// Line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// Parameters of the coordinator; the first line.
    Opened(Opened),
    /// An event and the actions that followed.
    Step(Step),
    /// State that the run is expected to have reached at this line.
    Outcome(Outcome),
}

/// Parameters of a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opened {
    /// Upstreams of the group.
    pub upstreams: Vec<Upstream>,
    /// Identity that fences and promotions carry.
    pub promoter: String,
    /// Rank among the candidates.
    pub rank: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// An event and the actions that followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time of the event.
    pub at: Time,
    /// Event.
    pub event: Event,
    /// Actions that followed.
    pub actions: Vec<Action>,
}

/// State that a run is expected to reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Primary.
    pub primary: Option<usize>,
    /// Term.
    pub term: Term,
}
