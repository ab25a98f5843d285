//! Publishing of a configuration.
//!
//! The head record is replaced by compare-and-set against the record that was read at the start, so
//! a publisher that was frozen meanwhile cannot overwrite a newer generation. When the answer is
//! lost, the record is read back: its publish ids tell whether this publish took effect.

use std::time::Duration;

use smallvec::SmallVec;

use super::head::{Head, Publish};
use super::version::{BundleHash, PublishId};
use crate::types::Time;

/// Pause before a failed step is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of failed steps at which the outcome is reported as unknown.
const MAX_FAILED_STEPS: u32 = 20;

/// The head record as it was read, with the tag for compare-and-set; both none when there is no
/// record yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaggedHead {
    /// Record.
    pub head: Option<Head>,
    /// Entity tag of the record.
    pub tag: Option<String>,
}

/// Event that a publisher handles.
#[derive(Clone, Debug)]
pub enum PublishEvent {
    /// The publish starts.
    Start,
    /// The head record was read.
    HeadRead(TaggedHead),
    /// The bundle is in the object store.
    BundleStored,
    /// The platform replaced the head record.
    HeadSwapped,
    /// The platform refused to replace the head record, since its tag has changed.
    SwapRefused,
    /// A step failed, or its answer was lost.
    StepFailed,
    /// Time passed.
    Tick,
}

/// Action requested by a publisher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishAction {
    /// Read the head record.
    ReadHead,
    /// Put the bundle in the object store.
    StoreBundle {
        /// Its hash.
        hash: BundleHash,
    },
    /// Replace the head record if it still has this tag, or create it if there was none.
    SwapHead {
        /// Tag of the record that was read.
        tag: Option<String>,
        /// New record.
        head: Head,
    },
    /// The publish is over.
    Done(Outcome),
}

/// How a publish ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It took effect.
    Published {
        /// Generation that it made.
        generation: u64,
    },
    /// Another publish came first; this one never takes effect.
    Lost {
        /// Publish that came first.
        winner: Publish,
    },
    /// The outcome could not be determined. The publish took effect if a later head record names
    /// its id.
    Unknown {
        /// Publish id to look for.
        id: PublishId,
    },
}

/// Actions that follow one event.
pub type PublishActions = SmallVec<[PublishAction; 1]>;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Reading,
    Storing,
    Swapping,
    ReadingBack,
    Done,
}

/// One publish.
#[derive(Debug)]
pub struct Publisher {
    author: String,
    id: PublishId,
    hash: BundleHash,
    expected_generation: Option<u64>,
    base: TaggedHead,
    step: Step,
    failed_steps: u32,
    retry_at: Option<Time>,
}

impl Publisher {
    /// Creates a publish of the bundle with `hash`. With `expected_generation`, it ends as lost
    /// unless that generation is still the latest when it starts, so it cannot undo a publish that
    /// its files do not contain.
    #[must_use]
    pub fn new(
        author: &str,
        id: PublishId,
        hash: BundleHash,
        expected_generation: Option<u64>,
    ) -> Self {
        Self {
            author: author.to_owned(),
            id,
            hash,
            expected_generation,
            base: TaggedHead::default(),
            step: Step::Reading,
            failed_steps: 0,
            retry_at: None,
        }
    }

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Time, event: PublishEvent) -> PublishActions {
        match (event, self.step) {
            (_, Step::Done) => PublishActions::new(),
            (PublishEvent::Start, _) => self.step_action(),
            (PublishEvent::HeadRead(tagged), Step::Reading) => self.check_expected(tagged),
            (PublishEvent::HeadRead(tagged), Step::ReadingBack) => self.resolve(now, &tagged),
            (PublishEvent::BundleStored, Step::Storing) => self.enter_step(Step::Swapping),
            (PublishEvent::HeadSwapped, Step::Swapping) => self.finish_published(),
            (PublishEvent::SwapRefused, Step::Swapping) => self.enter_step(Step::ReadingBack),
            (PublishEvent::StepFailed, _) => self.handle_failure(now),
            (PublishEvent::Tick, _) => self.retry_if_due(now),
            _ => PublishActions::new(),
        }
    }

    /// Returns the publish id.
    #[must_use]
    pub const fn id(&self) -> PublishId {
        self.id
    }

    fn check_expected(&mut self, tagged: TaggedHead) -> PublishActions {
        self.base = tagged;
        let generation = self.base_generation();
        match (&self.base.head, self.expected_generation) {
            (Some(head), Some(expected)) if generation != expected => {
                let winner = head
                    .find_publish(expected + 1)
                    .unwrap_or(&head.latest)
                    .clone();
                self.finish(Outcome::Lost { winner })
            }
            _ => self.enter_step(Step::Storing),
        }
    }

    fn enter_step(&mut self, step: Step) -> PublishActions {
        self.step = step;
        self.retry_at = None;
        self.step_action()
    }

    /// Returns the action of the current step.
    fn step_action(&mut self) -> PublishActions {
        let action = match self.step {
            Step::Reading | Step::ReadingBack => PublishAction::ReadHead,
            Step::Storing => PublishAction::StoreBundle { hash: self.hash },
            Step::Swapping => {
                let latest = Publish {
                    generation: self.base_generation() + 1,
                    id: self.id,
                    author: self.author.clone(),
                };
                PublishAction::SwapHead {
                    tag: self.base.tag.clone(),
                    head: Head::next(self.base.head.as_ref(), latest, self.hash),
                }
            }
            Step::Done => return PublishActions::new(),
        };
        PublishActions::from_iter([action])
    }

    /// Tells from the record read back whether this publish took effect.
    fn resolve(&mut self, now: Time, tagged: &TaggedHead) -> PublishActions {
        let Some(head) = &tagged.head else {
            return self.retry_swap(now);
        };
        let new_generation = self.base_generation() + 1;
        if head.latest.generation < new_generation {
            return self.retry_swap(now);
        }
        match head.find_publish(new_generation) {
            Some(publish) if publish.id == self.id => self.finish_published(),
            Some(publish) => {
                let winner = publish.clone();
                self.finish(Outcome::Lost { winner })
            }
            None => self.finish(Outcome::Unknown { id: self.id }),
        }
    }

    /// Repeats the swap from the same record. If the earlier swap arrives late, this one is
    /// refused, so the publish takes effect only once.
    fn retry_swap(&mut self, now: Time) -> PublishActions {
        self.step = Step::Swapping;
        self.schedule_retry(now)
    }

    /// Schedules the step that follows a failure: reading the record back after a swap, which may
    /// have taken effect, or else the same step again.
    fn handle_failure(&mut self, now: Time) -> PublishActions {
        if self.step == Step::Swapping {
            self.step = Step::ReadingBack;
        }
        self.schedule_retry(now)
    }

    fn schedule_retry(&mut self, now: Time) -> PublishActions {
        self.failed_steps += 1;
        self.retry_at = Some(now + RETRY_DELAY);
        if self.failed_steps < MAX_FAILED_STEPS {
            return PublishActions::new();
        }
        self.finish(Outcome::Unknown { id: self.id })
    }

    fn retry_if_due(&mut self, now: Time) -> PublishActions {
        if self.retry_at.is_none_or(|at| now < at) {
            return PublishActions::new();
        }
        self.retry_at = None;
        self.step_action()
    }

    fn finish_published(&mut self) -> PublishActions {
        let generation = self.base_generation() + 1;
        self.finish(Outcome::Published { generation })
    }

    fn finish(&mut self, outcome: Outcome) -> PublishActions {
        self.step = Step::Done;
        PublishActions::from_iter([PublishAction::Done(outcome)])
    }

    /// Returns the generation that this publish follows. If the platform lost its record, that is
    /// the expected one, since the VMs accept no lower generation.
    fn base_generation(&self) -> u64 {
        let read = self.base.head.as_ref().map(|head| head.latest.generation);
        read.or(self.expected_generation).unwrap_or(0)
    }
}
