//! Places and memory of callers' sessions, as the core's budget decides about them.
//!
//! A seat that is taken away is out of the budget at once. Its session notices when it next waits
//! for its caller, and starts no statement after that.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::config::CallerLimits;
use chervildrift_core::limit::{Admission, SessionBudget, SessionId, Standing};
use derive_more::Display;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::relay::clock;

/// Time for which a message waits unread for memory before the least worthy session gives way;
/// several times what a statement takes.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// Reason why the VM closes a caller's connection.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(in crate::relay) enum CloseCause {
    /// A message is longer than allowed.
    #[display("too_long")]
    TooLong,
    /// A message did not arrive in full in time.
    #[display("slow_message")]
    SlowMessage,
    /// An answer was not read in time.
    #[display("unread_answer")]
    UnreadAnswer,
    /// More messages were sent ahead than allowed.
    #[display("sent_ahead")]
    SentAhead,
    /// Another session needs the memory.
    #[display("memory")]
    Memory,
    /// Another session needs the place.
    #[display("place")]
    Place,
}

/// All seats of a VM.
#[derive(Debug)]
pub(in crate::relay) struct Seats {
    budget: RefCell<SessionBudget>,
    taken: RefCell<HashMap<SessionId, Rc<Withdrawal>>>,
    /// Number of sessions that have not ended, including those whose seats were taken away.
    open: Cell<usize>,
    max_open: Cell<usize>,
    /// Wakes a session that waits for memory.
    freed: Notify,
    /// Wakes the listener when a session has ended.
    ended: Notify,
}

/// Message to a session that its seat was taken away.
#[derive(Debug, Default)]
struct Withdrawal {
    cause: Cell<Option<CloseCause>>,
    notify: Notify,
}

/// Seat of one session, which it gives back when it ends.
#[derive(Debug)]
pub(in crate::relay) struct Seat {
    seats: Rc<Seats>,
    id: SessionId,
    withdrawal: Rc<Withdrawal>,
    held: Held,
}

/// Bytes that a session holds.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    received: usize,
    state: usize,
    answer: usize,
}

impl Held {
    const fn sum(self) -> usize {
        self.received + self.state + self.answer
    }
}

impl Seats {
    /// Creates the seats that the limits allow.
    pub(in crate::relay) fn new(limits: &CallerLimits) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(SessionBudget::new(limits.bounds())),
            taken: RefCell::default(),
            open: Cell::default(),
            max_open: Cell::new(limits.sessions()),
            freed: Notify::new(),
            ended: Notify::new(),
        })
    }

    /// Takes a seat for a new session, if need be from the least worthy one; `None` if each session
    /// is worthier.
    pub(in crate::relay) async fn take(self: &Rc<Self>) -> Option<Seat> {
        loop {
            // The descriptor of a withdrawn seat is free only when its session has ended.
            while self.open.get() >= self.max_open.get()
                && self.open.get() > self.budget.borrow().sessions()
            {
                self.ended.notified().await;
            }
            let admission = self.budget.borrow_mut().admit(clock::now());
            match admission {
                Admission::Admitted(id) => {
                    let withdrawal = Rc::<Withdrawal>::default();
                    self.taken.borrow_mut().insert(id, Rc::clone(&withdrawal));
                    self.open.set(self.open.get() + 1);
                    return Some(Seat {
                        seats: Rc::clone(self),
                        id,
                        withdrawal,
                        held: Held::default(),
                    });
                }
                Admission::After(id) => self.withdraw(id, CloseCause::Place),
                Admission::Refused => return None,
            }
        }
    }

    /// Changes the maximum number of sessions; the least worthy ones beyond it are closed.
    pub(in crate::relay) fn set_places(&self, places: usize) {
        self.max_open.set(places);
        let removed = self.budget.borrow_mut().set_places(places);
        for id in removed {
            self.withdraw(id, CloseCause::Place);
        }
    }

    /// Takes the memory of the least worthy holder; returns false if no session gives way.
    fn withdraw_memory(&self) -> bool {
        let holder = self.budget.borrow().least_worthy_holder();
        if let Some(id) = holder {
            self.withdraw(id, CloseCause::Memory);
        }
        holder.is_some()
    }

    fn withdraw(&self, id: SessionId, cause: CloseCause) {
        self.budget.borrow_mut().remove(id);
        if let Some(withdrawal) = self.taken.borrow_mut().remove(&id) {
            withdrawal.cause.set(Some(cause));
            withdrawal.notify.notify_one();
        }
        self.freed.notify_one();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let seats = &self.seats;
        seats.budget.borrow_mut().remove(self.id);
        seats.taken.borrow_mut().remove(&self.id);
        seats.open.set(seats.open.get() - 1);
        seats.freed.notify_one();
        seats.ended.notify_one();
    }
}

impl Seat {
    /// Returns the reason why the seat was taken away, if it was.
    pub(in crate::relay) fn withdrawn(&self) -> Option<CloseCause> {
        self.withdrawal.cause.get()
    }

    /// Waits until the seat is taken away.
    ///
    /// The future borrows nothing, so that the session may use its seat meanwhile.
    pub(in crate::relay) fn await_withdrawal(&self) -> impl Future<Output = CloseCause> + use<> {
        let withdrawal = Rc::clone(&self.withdrawal);
        async move {
            loop {
                if let Some(cause) = withdrawal.cause.get() {
                    return cause;
                }
                withdrawal.notify.notified().await;
            }
        }
    }

    /// Records what the session is doing from now on; fails if the seat was taken away.
    pub(in crate::relay) fn set_standing(&self, standing: Standing) -> Result<(), CloseCause> {
        let mut budget = self.seats.budget.borrow_mut();
        if budget.set_standing(self.id, standing, clock::now()) {
            Ok(())
        } else {
            Err(self.withdrawn().unwrap_or(CloseCause::Place))
        }
    }

    /// Counts the bytes that variables and prepared statements take; returns false if they don't
    /// fit.
    pub(in crate::relay) fn hold_state(&mut self, bytes: usize) -> bool {
        if bytes == self.held.state {
            return true;
        }
        let state = bytes;
        self.hold(Held { state, ..self.held })
    }

    /// Counts the bytes that messages take, as soon as there is room for them.
    ///
    /// Meanwhile the caller's bytes stay unread. After some time the least worthy session gives
    /// way, perhaps this one.
    pub(in crate::relay) async fn hold_received(&mut self, bytes: usize) -> Result<(), CloseCause> {
        let received = bytes;
        let mut waited = false;
        loop {
            if self.hold(Held {
                received,
                ..self.held
            }) {
                if waited {
                    // There may be room for the next one too.
                    self.seats.freed.notify_one();
                }
                return Ok(());
            }
            if let Some(cause) = self.withdrawn() {
                return Err(cause);
            }
            waited = true;
            let freed = timeout(MEMORY_WAIT, self.seats.freed.notified()).await;
            if freed.is_err() && !self.seats.withdraw_memory() {
                return Err(CloseCause::Memory);
            }
        }
    }

    /// Gives back the memory of messages.
    pub(in crate::relay) fn release_received(&mut self) {
        let received = 0;
        // Fewer bytes always fit; a withdrawn seat holds none any more.
        let _held = self.hold(Held {
            received,
            ..self.held
        });
    }

    /// Counts the bytes of an answer that its caller hasn't read; the least worthy sessions give
    /// way for it, perhaps this one.
    pub(in crate::relay) fn hold_answer(&mut self, bytes: usize) -> Result<(), CloseCause> {
        if bytes == self.held.answer {
            return Ok(());
        }
        let answer = bytes;
        while !self.hold(Held {
            answer,
            ..self.held
        }) {
            if let Some(cause) = self.withdrawn() {
                return Err(cause);
            }
            if !self.seats.withdraw_memory() {
                return Err(CloseCause::Memory);
            }
        }
        Ok(())
    }

    fn hold(&mut self, held: Held) -> bool {
        let old = self.held.sum();
        let fits = self
            .seats
            .budget
            .borrow_mut()
            .resize(self.id, held.sum(), clock::now());
        if fits {
            self.held = held;
            if held.sum() < old {
                self.seats.freed.notify_one();
            }
        }
        fits
    }
}
