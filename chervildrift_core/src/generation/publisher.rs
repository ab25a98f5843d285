//! Publishing of a configuration.
//!
//! The head record is moved by compare-and-set from the record that was read at the start, so a
//! publisher that was frozen meanwhile cannot overwrite a newer generation. When the answer is
//! lost, the record is read back: its publish ids tell whether this publish took effect.

use std::time::Duration;

use smallvec::SmallVec;

use super::head::{Head, Publish};
use super::version::{BundleHash, PublishId};
use crate::types::Time;

/// Pause before a step is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Steps that may fail before the outcome is given as unknown.
const TRIES: u32 = 20;

/// The head record as it was read, with the tag for compare-and-set; both none when there is no
/// record yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaggedHead {
    /// Record.
    pub head: Option<Head>,
    /// Entity tag of the record.
    pub tag: Option<String>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum PublishEvent {
    /// The publish starts.
    Start,
    /// The head record was read.
    HeadRead(TaggedHead),
    /// The bundle is in the object store.
    BundleStored,
    /// The platform moved the head record.
    HeadSwapped,
    /// The platform refused to move the head record, since its tag is another.
    SwapRefused,
    /// A step failed, or its answer was lost.
    StepFailed,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishAction {
    /// Read the head record.
    ReadHead,
    /// Put the bundle in the object store.
    StoreBundle {
        /// Its hash.
        hash: BundleHash,
    },
    /// Move the head record if its tag is still this one, or make it if there was none.
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
    /// The platform did not tell. The head record tells later by the publish id.
    Unknown {
        /// Publish id to look for.
        id: PublishId,
    },
}

/// What to do after one event.
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
    expected: Option<u64>,
    base: TaggedHead,
    step: Step,
    tries: u32,
    retry_at: Option<Time>,
}

impl Publisher {
    /// Opens a publish of the bundle with `hash`. With `expected`, it loses unless that generation
    /// is still the latest when it starts, so it cannot undo a publish that its files lack.
    #[must_use]
    pub fn open(author: &str, id: PublishId, hash: BundleHash, expected: Option<u64>) -> Self {
        Self {
            author: author.to_owned(),
            id,
            hash,
            expected,
            base: TaggedHead::default(),
            step: Step::Reading,
            tries: 0,
            retry_at: None,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: PublishEvent) -> PublishActions {
        match (event, self.step) {
            (_, Step::Done) => PublishActions::new(),
            (PublishEvent::Start, _) => self.act(),
            (PublishEvent::HeadRead(reading), Step::Reading) => self.start(reading),
            (PublishEvent::HeadRead(reading), Step::ReadingBack) => self.judge(now, &reading),
            (PublishEvent::BundleStored, Step::Storing) => self.enter(Step::Swapping),
            (PublishEvent::HeadSwapped, Step::Swapping) => self.publish(),
            (PublishEvent::SwapRefused, Step::Swapping) => self.enter(Step::ReadingBack),
            (PublishEvent::StepFailed, _) => self.fail(now),
            (PublishEvent::Tick, _) => self.retry(now),
            _ => PublishActions::new(),
        }
    }

    /// Returns the publish id.
    #[must_use]
    pub const fn id(&self) -> PublishId {
        self.id
    }

    fn start(&mut self, reading: TaggedHead) -> PublishActions {
        self.base = reading;
        let generation = self.generation();
        match (&self.base.head, self.expected) {
            (Some(head), Some(expected)) if generation != expected => {
                let winner = head
                    .find_publish(expected + 1)
                    .unwrap_or(&head.latest)
                    .clone();
                self.finish(Outcome::Lost { winner })
            }
            _ => self.enter(Step::Storing),
        }
    }

    fn enter(&mut self, step: Step) -> PublishActions {
        self.step = step;
        self.retry_at = None;
        self.act()
    }

    /// Returns the action of the current step.
    fn act(&mut self) -> PublishActions {
        let action = match self.step {
            Step::Reading | Step::ReadingBack => PublishAction::ReadHead,
            Step::Storing => PublishAction::StoreBundle { hash: self.hash },
            Step::Swapping => {
                let latest = Publish {
                    generation: self.generation() + 1,
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
    fn judge(&mut self, now: Time, reading: &TaggedHead) -> PublishActions {
        let Some(head) = &reading.head else {
            return self.again(now);
        };
        let made = self.generation() + 1;
        if head.latest.generation < made {
            return self.again(now);
        }
        match head.find_publish(made) {
            Some(publish) if publish.id == self.id => self.publish(),
            Some(publish) => {
                let winner = publish.clone();
                self.finish(Outcome::Lost { winner })
            }
            None => self.finish(Outcome::Unknown { id: self.id }),
        }
    }

    /// Swaps again from the same record. An earlier swap that arrives late makes this one fail,
    /// so it takes effect once.
    fn again(&mut self, now: Time) -> PublishActions {
        self.step = Step::Swapping;
        self.fail_step(now)
    }

    /// A swap whose answer is lost is followed by reading back, every other step by itself.
    fn fail(&mut self, now: Time) -> PublishActions {
        if self.step == Step::Swapping {
            self.step = Step::ReadingBack;
        }
        self.fail_step(now)
    }

    fn fail_step(&mut self, now: Time) -> PublishActions {
        self.tries += 1;
        self.retry_at = Some(now + RETRY_PAUSE);
        if self.tries < TRIES {
            return PublishActions::new();
        }
        self.finish(Outcome::Unknown { id: self.id })
    }

    fn retry(&mut self, now: Time) -> PublishActions {
        if self.retry_at.is_none_or(|at| now < at) {
            return PublishActions::new();
        }
        self.retry_at = None;
        self.act()
    }

    fn publish(&mut self) -> PublishActions {
        let generation = self.generation() + 1;
        self.finish(Outcome::Published { generation })
    }

    fn finish(&mut self, outcome: Outcome) -> PublishActions {
        self.step = Step::Done;
        PublishActions::from_iter([PublishAction::Done(outcome)])
    }

    /// Returns the generation that this publish follows. Where the platform lost its record, the
    /// expected one counts, since the VMs take no lower generation.
    fn generation(&self) -> u64 {
        let read = self.base.head.as_ref().map(|head| head.latest.generation);
        read.or(self.expected).unwrap_or(0)
    }
}
