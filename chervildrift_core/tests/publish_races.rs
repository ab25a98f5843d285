//! Concurrent publishers with a platform that loses answers.

#[path = "net/cases.rs"]
mod net;

use std::time::Duration;

use chervildrift_core::generation::{
    BundleHash, Head, Outcome, PublishAction, PublishActions, PublishEvent, PublishId, Publisher,
    TaggedHead,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;
use proptest::prelude::*;

/// A table service with one record.
#[derive(Default)]
struct Table {
    head: Option<Head>,
    writes: u64,
    history: Vec<(u64, PublishId)>,
}

impl Table {
    fn tag(&self) -> Option<String> {
        self.head.is_some().then(|| self.writes.to_string())
    }

    fn head_event(&self) -> PublishEvent {
        PublishEvent::HeadRead(TaggedHead {
            head: self.head.clone(),
            tag: self.tag(),
        })
    }

    fn swap(&mut self, tag: Option<&String>, head: &Head) -> PublishEvent {
        if tag != self.tag().as_ref() {
            return PublishEvent::SwapRefused;
        }
        self.writes += 1;
        self.head = Some(head.clone());
        self.history.push((head.latest.generation, head.latest.id));
        PublishEvent::HeadSwapped
    }

    fn answer(&mut self, action: &PublishAction) -> Option<PublishEvent> {
        match action {
            PublishAction::ReadHead => Some(self.head_event()),
            PublishAction::StoreBundle { .. } => Some(PublishEvent::BundleStored),
            PublishAction::SwapHead { tag, head } => Some(self.swap(tag.as_ref(), head)),
            PublishAction::Done(_) => None,
        }
    }
}

/// Publisher with the actions that the platform has not yet carried out.
struct Run {
    publisher: Publisher,
    pending: Vec<PublishAction>,
    outcome: Option<Outcome>,
}

impl Run {
    fn new(number: u64) -> Self {
        let hash = BundleHash::of(&number.to_le_bytes());
        let author = format!("operator-{number}");
        let mut publisher = Publisher::new(&author, PublishId(number), hash, None);
        let pending = publisher.handle(Time(0), PublishEvent::Start).into_vec();
        Self {
            publisher,
            pending,
            outcome: None,
        }
    }

    fn record_actions(&mut self, actions: PublishActions) {
        for action in actions {
            match action {
                PublishAction::Done(outcome) => self.outcome = Some(outcome),
                other => self.pending.push(other),
            }
        }
    }

    /// Carries out the next action on the platform; a lost answer appears as a failed step.
    fn step(&mut self, now: Time, table: &mut Table, lose_answer: bool) {
        if self.pending.is_empty() {
            let actions = self.publisher.handle(now, PublishEvent::Tick);
            self.record_actions(actions);
            return;
        }
        let action = self.pending.remove(0);
        let answer = table.answer(&action);
        let event = if lose_answer {
            Some(PublishEvent::StepFailed)
        } else {
            answer
        };
        if let Some(event) = event {
            let actions = self.publisher.handle(now, event);
            self.record_actions(actions);
        }
    }

    fn finish(&mut self, now: &mut Time, table: &mut Table) -> Outcome {
        while self.outcome.is_none() {
            *now = *now + Duration::from_secs(1);
            self.step(*now, table, false);
        }
        self.outcome.clone().expect("set above")
    }
}

proptest! {
    #![proptest_config(net::cases(256))]

    /// Guards against two publishes of one generation, against a publish that took effect and is
    /// reported as lost, and against the reverse, with random orders and lost answers.
    #[test]
    fn racing_publishers(seed: u64, count in 2_u64..6, loss in 0_u64..60) {
        let mut rng = Rng::new(seed);
        let mut table = Table::default();
        let mut runs: Vec<Run> = (1..=count).map(Run::new).collect();
        let mut now = Time(0);
        for _ in 0..60 {
            now = now + Duration::from_millis(200);
            let index = rng.below(count) as usize;
            let lose_answer = rng.below(100) < loss;
            runs[index].step(now, &mut table, lose_answer);
        }
        for run in &mut runs {
            run.finish(&mut now, &mut table);
        }
        let numbers: Vec<u64> = table.history.iter().map(|(generation, _)| *generation).collect();
        prop_assert_eq!(&numbers, &(1..=numbers.len() as u64).collect::<Vec<_>>());
        for run in &runs {
            let id = run.publisher.id();
            let published = table.history.iter().find(|(_, other)| *other == id);
            match run.outcome.clone().expect("finished") {
                Outcome::Published { generation } => {
                    prop_assert_eq!(published, Some(&(generation, id)));
                }
                Outcome::Lost { winner } => {
                    prop_assert_eq!(published, None);
                    prop_assert!(table.history.contains(&(winner.generation, winner.id)));
                    prop_assert!(winner.id != id);
                }
                Outcome::Unknown { .. } => prop_assert!(loss > 0),
            }
        }
    }
}

/// Guards against a second generation from a publish whose answer was lost, also when others
/// published after it before the record was read back.
#[test]
fn lost_answer() {
    let mut table = Table::default();
    let mut now = Time(0);
    let mut first = Run::new(1);
    first.step(now, &mut table, false);
    first.step(now, &mut table, false);
    first.step(now, &mut table, true);
    let second = Run::new(2).finish(&mut now, &mut table);
    assert_eq!(second, Outcome::Published { generation: 2 });
    let outcome = first.finish(&mut now, &mut table);
    assert_eq!(outcome, Outcome::Published { generation: 1 });
    assert_eq!(table.history.len(), 2);
}

/// Guards against a publisher that was frozen before its swap and overwrites what was published
/// meanwhile; it has to name the winner.
#[test]
fn late_publisher() {
    let mut table = Table::default();
    let mut now = Time(0);
    let mut late = Run::new(1);
    late.step(now, &mut table, false);
    late.step(now, &mut table, false);
    for number in 2..5 {
        Run::new(number).finish(&mut now, &mut table);
    }
    let Outcome::Lost { winner } = late.finish(&mut now, &mut table) else {
        panic!("the late publisher won");
    };
    assert_eq!(winner.author, "operator-2");
    assert_eq!(table.head.map(|head| head.latest.generation), Some(3));
}

/// Guards against a bundle built from an old generation that undoes the newer one.
#[test]
fn outdated_files() {
    let mut table = Table::default();
    let mut now = Time(0);
    for number in 1..4 {
        Run::new(number).finish(&mut now, &mut table);
    }
    let hash = BundleHash::of(b"old files");
    let mut publisher = Publisher::new("operator-9", PublishId(9), hash, Some(1));
    let actions = publisher.handle(now, table.head_event());
    let PublishAction::Done(Outcome::Lost { winner }) = &actions[0] else {
        panic!("the outdated files were published");
    };
    assert_eq!(winner.author, "operator-2");
}
