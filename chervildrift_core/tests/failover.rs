//! Coordination of a change of primary.

use std::time::Duration;

use chervildrift_core::failover::{
    Action, Answer, Coordinator, Event, Limits, Phase, Promoter, Reason,
};
use chervildrift_core::group::GroupView;
use chervildrift_core::invariant;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{LogPosition, Role, Status, Term, Time};

/// Step of the driven clock.
const STEP: Duration = Duration::from_millis(10);

/// Drives one coordinator against upstreams whose answers the test sets.
struct Driver {
    coordinator: Coordinator,
    now: Time,
    statuses: [Option<Status>; 3],
    refuses: [Option<Term>; 3],
    /// Primary that no replica can hear.
    unheard: Option<usize>,
    seen: Vec<Action>,
}

impl Driver {
    fn open(rank: u32, statuses: [Option<Status>; 3]) -> Self {
        let view = GroupView::new(&["a".into(), "b".into(), "c".into()]);
        let me = Promoter::new(&"vm-1".into(), 7);
        let coordinator = Coordinator::open(view, me, rank, Rng::new(1), Limits::default());
        Self {
            coordinator,
            now: Time(0),
            statuses,
            refuses: [None; 3],
            unheard: None,
            seen: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.feed(Event::Tick);
            self.now = self.now + STEP;
        }
    }

    fn feed(&mut self, event: Event) {
        for action in self.coordinator.handle(self.now, event) {
            self.seen.push(action);
            if let Some(answer) = self.answer(action) {
                self.feed(answer);
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
                answer: match self.refuses[index] {
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
            Action::Follow { primary, .. } if self.unheard == Some(primary) => None,
            Action::Follow { index, term, .. } => {
                let received = self.statuses[index]?.received;
                self.statuses[index] = Some(status(Role::Replica, term.0, received, Some(5)));
                None
            }
            Action::Hold | Action::Resume => None,
        }
    }

    /// Tells whether writes are held after the actions so far.
    fn held(&self) -> bool {
        let switch = |action: &&Action| matches!(action, Action::Hold | Action::Resume);
        self.seen.iter().rfind(switch) == Some(&Action::Hold)
    }

    fn promoted(&self) -> Vec<(usize, Term)> {
        let promoted = self.seen.iter().filter_map(|action| match action {
            Action::Promote { index, term } => Some((*index, *term)),
            _ => None,
        });
        promoted.collect()
    }

    fn fences(&self) -> usize {
        let fence = |action: &&Action| matches!(action, Action::Fence { .. });
        self.seen.iter().filter(fence).count()
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
    let mark = LogPosition::new(term, position);
    status(Role::Primary, term, mark, None)
}

fn replica(term: u64, position: u64, heard: u64) -> Status {
    let mark = LogPosition::new(term, position);
    status(Role::Replica, term, mark, Some(heard))
}

/// Guards against a dead primary that nobody replaces, and against the choice of a shorter log.
#[test]
fn dead_primary() {
    let mut driver = Driver::open(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.fences(), 0);
    driver.unheard = Some(0);
    driver.statuses = [None, Some(replica(4, 7, 700)), Some(replica(4, 8, 700))];
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promoted(), [(2, Term(5))]);
    let follow = Action::Follow {
        index: 1,
        primary: 2,
        term: Term(5),
    };
    assert!(driver.seen.contains(&follow));
}

/// Guards against a candidate that replaces a healthy primary because its own link is cut.
#[test]
fn own_link() {
    let mut driver = Driver::open(
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
    assert_eq!(driver.fences(), 0);
}

/// Guards against fences where no majority can be reached.
#[test]
fn no_majority() {
    let mut driver = Driver::open(0, [None, Some(replica(4, 7, 9_000)), None]);
    driver.run(Duration::from_secs(10));
    assert_eq!(driver.fences(), 0);
}

/// Guards against a new group that never gets its first primary.
#[test]
fn first_primary() {
    let empty = status(Role::Replica, 0, LogPosition::default(), None);
    let mut driver = Driver::open(0, [Some(empty); 3]);
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promoted(), [(0, Term(1))]);
}

/// Guards against a round that repeats a term that another promoter already holds.
#[test]
fn outbid_round() {
    let mut driver = Driver::open(
        0,
        [None, Some(replica(4, 7, 9_000)), Some(replica(4, 8, 9_000))],
    );
    driver.refuses = [None, Some(Term(11)), Some(Term(12))];
    driver.run(Duration::from_secs(3));
    assert_eq!(driver.promoted().last(), Some(&(2, Term(13))));
}

/// Guards against candidates that all start at once.
#[test]
fn later_rank() {
    let mut driver = Driver::open(
        2,
        [None, Some(replica(4, 7, 9_000)), Some(replica(4, 8, 9_000))],
    );
    driver.run(Duration::from_millis(1_150));
    assert_eq!(driver.fences(), 0);
    driver.run(Duration::from_millis(400));
    assert!(driver.fences() > 0);
}

/// Guards against a primary that answers callers while no replica can follow it.
#[test]
fn stalled_primary() {
    let deaf = [
        Some(primary(4, 9)),
        Some(replica(4, 7, 2_000)),
        Some(replica(4, 8, 2_000)),
    ];
    let mut driver = Driver::open(0, deaf);
    driver.unheard = Some(0);
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promoted(), [(2, Term(5))]);
}

/// Guards against a replica that a failed candidate fenced and that can never follow again.
#[test]
fn blocked_replica() {
    let ahead = status(Role::Replica, 6, LogPosition::new(4, 7), Some(20));
    let mut driver = Driver::open(
        0,
        [Some(primary(4, 9)), Some(ahead), Some(replica(4, 9, 5))],
    );
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promoted(), [(0, Term(7))]);
}

/// Guards against a former primary that comes back and is left without a primary to follow.
#[test]
fn returned_primary() {
    let mut driver = Driver::open(
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
    assert!(driver.seen.contains(&follow));
    assert_eq!(driver.fences(), 0);
}

/// Guards against a planned change that discards writes which no replica has yet.
#[test]
fn planned_change() {
    let mut driver = Driver::open(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.run(Duration::from_millis(200));
    driver.feed(Event::Leaving {
        index: 0,
        leaving: true,
    });
    driver.run(Duration::from_millis(300));
    assert_eq!(driver.coordinator.phase(), Phase::CatchUp);
    assert_eq!(driver.coordinator.reason(), Some(Reason::Planned));
    assert!(driver.seen.contains(&Action::Hold));
    assert_eq!(driver.fences(), 0);
    driver.statuses[2] = Some(replica(4, 9, 5));
    driver.run(Duration::from_millis(300));
    assert_eq!(driver.promoted(), [(2, Term(5))]);
    assert!(!driver.held());
}

/// Guards against writes that stay held when the replicas are too far behind for a planned change.
#[test]
fn planned_timeout() {
    let mut driver = Driver::open(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 7, 5)),
            Some(replica(4, 8, 5)),
        ],
    );
    driver.feed(Event::Leaving {
        index: 0,
        leaving: true,
    });
    driver.run(Duration::from_secs(3));
    assert!(driver.seen.contains(&Action::Hold));
    assert!(!driver.held());
    assert_eq!(driver.fences(), 0);
}

/// Guards against a promotion that drops a confirmed write after an upstream lost durable state.
#[test]
fn confirmed_kept() {
    let before = invariant::count();
    let mut driver = Driver::open(
        0,
        [
            Some(primary(4, 9)),
            Some(replica(4, 9, 5)),
            Some(replica(4, 6, 5)),
        ],
    );
    driver.run(Duration::from_millis(200));
    driver.unheard = Some(0);
    driver.statuses = [None, Some(replica(4, 8, 700)), Some(replica(4, 6, 700))];
    driver.run(Duration::from_secs(1));
    assert_eq!(driver.promoted(), []);
    assert!(invariant::count() > before);
}

/// Guards against a restarted process that is taken for its predecessor in the same term.
#[test]
fn restarted_promoter() {
    let start = |start| Promoter::new(&"vm-1".into(), start);
    assert_ne!(start(1), start(2));
}
