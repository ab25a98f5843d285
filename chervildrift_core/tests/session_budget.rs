//! Memory and places of callers' sessions.

use chervildrift_core::limit::{Admission, BudgetBounds, SessionBudget, SessionId, Standing};
use chervildrift_core::types::Time;
use proptest::prelude::*;

const BOUNDS: BudgetBounds = BudgetBounds {
    session_bytes: 10,
    shared_bytes: 100,
    sessions: 8,
    unidentified: 4,
};

/// Step of a random history; a session is chosen by its place in the list of open ones.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Leave(usize),
    Resize(usize, usize),
    Standing(usize, Standing),
    /// The holder that is least worthy gives its memory up.
    MakeRoom,
    /// The number of places changes.
    Places(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let standing = prop_oneof![
        Just(Standing::Idle),
        Just(Standing::InTransaction),
        Just(Standing::Running),
    ];
    let step = prop_oneof![
        3 => Just(Step::Open),
        1 => (0_usize..8).prop_map(Step::Leave),
        6 => (0_usize..8, 0_usize..150).prop_map(|(at, bytes)| Step::Resize(at, bytes)),
        3 => (0_usize..8, standing).prop_map(|(at, it)| Step::Standing(at, it)),
        2 => Just(Step::MakeRoom),
        1 => (0..=BOUNDS.sessions).prop_map(Step::Places),
    ];
    prop::collection::vec(step, 1..200)
}

/// Sessions as the test knows them: id, bytes and standing.
type Known = Vec<(SessionId, usize, Standing)>;

/// Removes a session that gives way; one whose statement is running never does.
fn give_way(budget: &mut SessionBudget, known: &mut Known, id: SessionId) -> (usize, Standing) {
    let at = known
        .iter()
        .position(|it| it.0 == id)
        .expect("an open session");
    let (_, bytes, standing) = known.remove(at);
    assert_ne!(standing, Standing::Running);
    assert!(budget.remove(id));
    (bytes, standing)
}

proptest! {
    /// Guards against a sum of memory or sessions above its bound, and against a session that
    /// waits for memory or gives it up while it is inside its part.
    #[test]
    fn bounds_hold(steps in steps()) {
        let mut budget = SessionBudget::new(BOUNDS);
        let mut known = Known::new();
        for (count, step) in steps.into_iter().enumerate() {
            let now = Time(count as u64);
            match step {
                Step::Open => match budget.admit(now) {
                    Admission::Admitted(id) => known.push((id, 0, Standing::Unidentified)),
                    Admission::After(id) => {
                        let worst = known.iter().map(|it| it.2).min();
                        let (_, standing) = give_way(&mut budget, &mut known, id);
                        prop_assert_eq!(Some(standing), worst);
                    }
                    Admission::Refused => {
                        prop_assert!(known.iter().all(|it| it.2 == Standing::Running));
                    }
                },
                Step::Leave(at) if at < known.len() => {
                    let (id, ..) = known.remove(at);
                    prop_assert!(budget.remove(id));
                    prop_assert!(!budget.remove(id));
                    prop_assert!(!budget.resize(id, 1, now));
                }
                Step::Resize(at, bytes) if at < known.len() => {
                    let (id, held, _) = &mut known[at];
                    let fits = budget.resize(*id, bytes, now);
                    prop_assert!(fits || bytes > BOUNDS.session_bytes);
                    prop_assert!(fits || bytes > *held);
                    if fits {
                        *held = bytes;
                    }
                }
                Step::Standing(at, standing) if at < known.len() => {
                    known[at].2 = standing;
                    prop_assert!(budget.set_standing(known[at].0, standing, now));
                }
                Step::MakeRoom => {
                    if let Some(id) = budget.least_worthy_holder() {
                        let (bytes, _) = give_way(&mut budget, &mut known, id);
                        prop_assert!(bytes > BOUNDS.session_bytes);
                    }
                }
                Step::Places(places) => {
                    for id in budget.set_places(places) {
                        let at = known.iter().position(|it| it.0 == id).expect("an open session");
                        prop_assert_ne!(known.remove(at).2, Standing::Running);
                    }
                    let gives_way = |it: &(_, _, Standing)| it.2 != Standing::Running;
                    prop_assert!(known.len() <= places || !known.iter().any(gives_way));
                }
                Step::Leave(_) | Step::Resize(..) | Step::Standing(..) => {}
            }
            let held: usize = known.iter().map(|it| it.1).sum();
            let above = known.iter().map(|it| it.1.saturating_sub(BOUNDS.session_bytes));
            prop_assert_eq!(budget.held(), held);
            prop_assert!(above.sum::<usize>() <= BOUNDS.shared_bytes);
            prop_assert!(held <= BOUNDS.shared_bytes + BOUNDS.sessions * BOUNDS.session_bytes);
            prop_assert_eq!(budget.sessions(), known.len());
            prop_assert!(known.len() <= BOUNDS.sessions);
            let unidentified = known.iter().filter(|it| it.2 == Standing::Unidentified);
            prop_assert!(unidentified.count() <= BOUNDS.unidentified);
        }
    }
}

/// Guards against a crowd of senders that stop half-way and leave no room for a later message: the
/// one that has been awaited for longest gives way, one inside a transaction only after the others.
#[test]
fn stalled_senders() {
    let mut budget = SessionBudget::new(BOUNDS);
    let mut open = |at, standing| {
        let Admission::Admitted(id) = budget.admit(Time(at)) else {
            panic!("no place");
        };
        assert!(budget.set_standing(id, standing, Time(at)));
        id
    };
    let transaction = open(1, Standing::InTransaction);
    let first = open(2, Standing::Idle);
    let second = open(3, Standing::Idle);
    let later = open(4, Standing::Idle);
    for (id, at) in [(transaction, 5), (first, 6), (second, 7)] {
        assert!(budget.resize(id, 40, Time(at)));
    }
    assert!(!budget.resize(later, 40, Time(6)));
    assert!(budget.resize(later, BOUNDS.session_bytes, Time(6)));
    for id in [first, second, transaction] {
        assert_eq!(budget.least_worthy_holder(), Some(id));
        assert!(budget.remove(id));
    }
    assert!(budget.resize(later, 40, Time(6)));
}
