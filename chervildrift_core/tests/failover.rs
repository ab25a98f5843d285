//! Tests of the coordinator of failovers and planned changes of primary.

use std::time::Duration;

use chervildrift_core::failover::{
    Action, Answer, Coordinator, Event, Limits, Phase, Promoter, Reason,
};
use chervildrift_core::group::GroupView;
use chervildrift_core::invariant;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{LogPosition, Role, Status, Term, Time};

/// Step of the simulated clock.
const CLOCK_STEP: Duration = Duration::from_millis(10);

/// Drives one coordinator against upstreams whose answers the test sets.
struct Driver {
    coordinator: Coordinator,
    now: Time,
    statuses: [Option<Status>; 3],
    refusals: [Option<Term>; 3],
    /// Primary that no replica can connect to.
    isolated_primary: Option<usize>,
    actions: Vec<Action>,
}

impl Driver {
    fn new(rank: u32, statuses: [Option<Status>; 3]) -> Self {
        let view = GroupView::new(&["a".into(), "b".into(), "c".into()]);
        let promoter = Promoter::new(&"vm-1".into(), 7);
        let coordinator = Coordinator::new(view, promoter, rank, Rng::new(1), Limits::default());
        Self {
            coordinator,
            now: Time(0),
            statuses,
            refusals: [None; 3],
            isolated_primary: None,
            actions: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.handle_event(Event::Tick);
            self.now = self.now + CLOCK_STEP;
        }
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.coordinator.handle(self.now, event) {
            self.actions.push(action);
            if let Some(answer) = self.answer(action) {
                self.handle_event(answer);
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        let granted = |received| Some(Answer::Granted { received });
        match action {
            Action::ReadStatus { index } => Some(Event::Observed {
                index,
                sent: self.now,
                status: self.statuses[index],
            }),
            Action::Fence { index, term } => Some(Event::Fenced {
                index,
                term,
                answer: match self.refusals[index] {
                    Some(fenced) if fenced >= term => Some(Answer::Refused { fenced }),
                    _ => self.statuses[index].and_then(|status| granted(status.received)),
                },
            }),
            Action::Promote { index, term } => {
                let received = LogPosition {
                    term,
                    position: self.statuses[index]?.received.position,
                };
                self.statuses[index] = Some(status(Role::Primary, term.0, received, None));
                Some(Event::Promoted {
                    index,
                    term,
                    answer: granted(received),
                })
            }
            Action::Follow { primary, .. } if self.isolated_primary == Some(primary) => None,
            Action::Follow { index, term, .. } => {
                let received = self.statuses[index]?.received;
                self.statuses[index] = Some(status(Role::Replica, term.0, received, Some(5)));
                None
            }
            Action::Hold | Action::Resume => None,
        }
    }

    /// Returns whether writes are held after the actions so far.
    fn writes_held(&self) -> bool {
        let is_switch = |action: &&Action| matches!(action, Action::Hold | Action::Resume);
        self.actions.iter().rfind(is_switch) == Some(&Action::Hold)
    }

    fn promotions(&self) -> Vec<(usize, Term)> {
        let promoted = self.actions.iter().filter_map(|action| match action {
            Action::Promote { index, term } => Some((*index, *term)),
            _ => None,
        });
        promoted.collect()
    }

    fn fence_count(&self) -> usize {
        let fence = |action: &&Action| matches!(action, Action::Fence { .. });
        self.actions.iter().filter(fence).count()
    }
}

fn status(role: Role, fenced: u64, received: LogPosition, heard: Option<u64>) -> Status {
    Status {
        role,
        fenced: Term(fenced),
        received,
        applied: received,
        heard: heard.map(Duration::from_millis),
    }
}

fn primary(term: u64, position: u64) -> Status {
    let position = LogPosition::new(term, position);
    status(Role::Primary, term, position, None)
}

fn replica(term: u64, position: u64, heard: u64) -> Status {
    let position = LogPosition::new(term, position);
    status(Role::Replica, term, position, Some(heard))
}

/// Guards against a dead primary that nobody replaces, and against the choice of a shorter log.
#[test]
fn dead_primary() {
    let mut driver = Driver::new(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.fence_count(), 0);
    driver.isolated_primary = Some(0);
    driver.statuses = [None, Some(replica(4, 7, 700)), Some(replica(4, 8, 700))];
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promotions(), [(2, Term(5))]);
    let follow = Action::Follow {
        index: 1,
        primary: 2,
        term: Term(5),
    };
    assert!(driver.actions.contains(&follow));
}

/// Guards against a candidate that replaces a healthy primary because its own link is cut.
#[test]
fn own_link_cut() {
    let mut driver = Driver::new(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.run(Duration::from_secs(1));
    driver.statuses[0] = None;
    driver.run(Duration::from_secs(10));
    assert_eq!(driver.fence_count(), 0);
}

/// Guards against fences where no majority can be reached.
#[test]
fn no_majority() {
    let mut driver = Driver::new(0, [None, Some(replica(4, 7, 9_000)), None]);
    driver.run(Duration::from_secs(10));
    assert_eq!(driver.fence_count(), 0);
}

/// Guards against a new group that never gets its first primary.
#[test]
fn first_primary() {
    let empty = status(Role::Replica, 0, LogPosition::default(), None);
    let mut driver = Driver::new(0, [Some(empty); 3]);
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promotions(), [(0, Term(1))]);
}

/// Guards against a round that repeats a term that another promoter already holds.
#[test]
fn refused_terms() {
    let mut driver = Driver::new(
        0,
        [None, Some(replica(4, 7, 9_000)), Some(replica(4, 8, 9_000))],
    );
    driver.refusals = [None, Some(Term(11)), Some(Term(12))];
    driver.run(Duration::from_secs(3));
    assert_eq!(driver.promotions().last(), Some(&(2, Term(13))));
}

/// Guards against candidates that all start a round at the same time.
#[test]
fn rank_delays_round() {
    let mut driver = Driver::new(
        2,
        [None, Some(replica(4, 7, 9_000)), Some(replica(4, 8, 9_000))],
    );
    driver.run(Duration::from_millis(1_150));
    assert_eq!(driver.fence_count(), 0);
    driver.run(Duration::from_millis(400));
    assert!(driver.fence_count() > 0);
}

/// Guards against a primary that answers callers while no replica can follow it.
#[test]
fn stalled_primary() {
    let disconnected = [
        Some(primary(4, 9)),
        Some(replica(4, 7, 2_000)),
        Some(replica(4, 8, 2_000)),
    ];
    let mut driver = Driver::new(0, disconnected);
    driver.isolated_primary = Some(0);
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promotions(), [(2, Term(5))]);
}

/// Guards against a replica that a failed candidate fenced and that can never follow again.
#[test]
fn blocked_replica() {
    let ahead = status(Role::Replica, 6, LogPosition::new(4, 7), Some(20));
    let mut driver = Driver::new(
        0,
        [Some(primary(4, 9)), Some(ahead), Some(replica(4, 9, 5))],
    );
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promotions(), [(0, Term(7))]);
}

/// Guards against a former primary that comes back and is left without a primary to follow.
#[test]
fn returned_primary() {
    let mut driver = Driver::new(
        2,
        [
            Some(primary(4, 9)),
            Some(primary(5, 8)),
            Some(replica(5, 8, 5)),
        ],
    );
    driver.run(Duration::from_millis(50));
    let follow = Action::Follow {
        index: 0,
        primary: 1,
        term: Term(5),
    };
    assert!(driver.actions.contains(&follow));
    assert_eq!(driver.fence_count(), 0);
}

/// Guards against a planned change that discards writes which no replica has yet.
#[test]
fn planned_change() {
    let mut driver = Driver::new(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.run(Duration::from_millis(200));
    driver.handle_event(Event::Leaving {
        index: 0,
        leaving: true,
    });
    driver.run(Duration::from_millis(300));
    assert_eq!(driver.coordinator.phase(), Phase::CatchUp);
    assert_eq!(driver.coordinator.reason(), Some(Reason::Planned));
    assert!(driver.actions.contains(&Action::Hold));
    assert_eq!(driver.fence_count(), 0);
    driver.statuses[2] = Some(replica(4, 9, 5));
    driver.run(Duration::from_millis(300));
    assert_eq!(driver.promotions(), [(2, Term(5))]);
    assert!(!driver.writes_held());
}

/// Guards against writes that stay held when the replicas are too far behind for a planned change.
#[test]
fn planned_timeout() {
    let mut driver = Driver::new(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.handle_event(Event::Leaving {
        index: 0,
        leaving: true,
    });
    driver.run(Duration::from_secs(3));
    assert!(driver.actions.contains(&Action::Hold));
    assert!(!driver.writes_held());
    assert_eq!(driver.fence_count(), 0);
}

/// Guards against a promotion that drops a confirmed write after an upstream lost durable state.
#[test]
fn confirmed_write_kept() {
    let before = invariant::count();
    let mut driver = Driver::new(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 9, 5)),
            Some(replica(4, 6, 5)),
        ],
    );
    driver.run(Duration::from_millis(200));
    driver.isolated_primary = Some(0);
    driver.statuses = [None, Some(replica(4, 8, 700)), Some(replica(4, 6, 700))];
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promotions(), []);
    assert!(invariant::count() > before);
}

/// Guards against a restarted process with the promoter identity of its predecessor.
#[test]
fn restarted_promoter() {
    let start = |start| Promoter::new(&"vm-1".into(), start);
    assert_ne!(start(1), start(2));
}
