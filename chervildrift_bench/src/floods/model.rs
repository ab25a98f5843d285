//! Entries, dispatchers and upstreams in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use chervildrift_core::dispatch::Load;
use chervildrift_core::types::{Rank, Time};

use super::deployment::Deployment;
use super::dispatcher::{Dispatcher, Fault};
use super::entry::Entry;
use super::load::{Generator, Loads, Request};
use super::outcome::Outcome;
use super::variant::Variant;

/// What one run does.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seed of arrivals, service times and retries.
    pub seed: u64,
    /// Load by rank.
    pub loads: Loads,
    /// Policy or alternative.
    pub variant: Variant,
    /// Fault of all upstreams.
    pub fault: Fault,
    /// Start and end of the fault.
    pub faulty: (Time, Time),
    /// Start and end of the measured time; arrivals end with it.
    pub measured: (Time, Time),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(Rank),
    /// The entry decides whether to forward a request.
    Try(usize),
    /// A request reaches the dispatcher's inbox.
    Receive(usize),
    /// The dispatcher's event loop gets to a request.
    Submit(usize),
    /// A statement ends.
    Finish(usize),
    /// An answer reaches the entry.
    Reply(usize, Answer),
    /// A dispatcher is called although nothing happened.
    Wake(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Done,
    Failed,
    Refused,
}

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: Request,
    failed: bool,
    /// Load that the dispatcher's answer carries.
    load: Load,
}

struct Model<'run> {
    deployment: &'run Deployment,
    run: &'run Run,
    generator: Generator,
    entries: Vec<Entry>,
    dispatchers: Vec<Dispatcher>,
    pending: Vec<Pending>,
    free: Vec<usize>,
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Event>,
    spare: Vec<usize>,
    number: u64,
    now: Time,
    outcome: Outcome,
}

/// Runs the model until all requests are answered.
pub fn simulate(deployment: &Deployment, run: &Run) -> Outcome {
    let mut model = Model::open(deployment, run);
    for rank in Rank::ALL {
        model.plan_arrival(rank);
    }
    while let Some(Reverse((now, _, at))) = model.heap.pop() {
        model.now = now;
        model.spare.push(at);
        model.handle(model.events[at]);
    }
    model.outcome
}

impl<'run> Model<'run> {
    fn open(deployment: &'run Deployment, run: &'run Run) -> Self {
        let entry = |at: usize| Entry::open(deployment, run.variant, run.seed + at as u64);
        let slots = deployment.upstreams * deployment.policy.slots;
        let dispatcher = Dispatcher::open(deployment, run.variant);
        Self {
            deployment,
            run,
            generator: Generator::open(run.seed, deployment, &run.loads),
            entries: (0..deployment.entries).map(entry).collect(),
            dispatchers: vec![dispatcher; deployment.upstreams],
            pending: Vec::new(),
            free: Vec::new(),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            spare: Vec::new(),
            number: 0,
            now: Time::default(),
            outcome: Outcome::open(run.measured.0, run.measured.1, slots),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(rank) => self.arrive(rank),
            Event::Try(id) => self.forward(id),
            Event::Receive(id) => self.receive(id),
            Event::Submit(id) => self.submit(id),
            Event::Finish(id) => self.finish(id),
            Event::Reply(id, answer) => self.reply(id, answer),
            Event::Wake(at) => self.wake(at),
        }
    }

    fn plan(&mut self, at: Time, event: Event) {
        self.number += 1;
        let place = self.spare.pop().unwrap_or(self.events.len());
        if place == self.events.len() {
            self.events.push(event);
        } else {
            self.events[place] = event;
        }
        self.heap.push(Reverse((at, self.number, place)));
    }

    fn plan_arrival(&mut self, rank: Rank) {
        let Some(gap) = self.generator.gap(rank) else {
            return;
        };
        let at = self.now + gap;
        if at < self.run.measured.1 {
            self.plan(at, Event::Arrive(rank));
        }
    }

    fn arrive(&mut self, rank: Rank) {
        self.plan_arrival(rank);
        let request = self.generator.request(self.now, rank, self.deployment);
        if self.outcome.measures(self.now) {
            self.outcome.ranks[rank.index()].offered += 1;
        }
        self.entries[request.entry].count(self.now, &request);
        let id = self.keep(request);
        self.forward(id);
    }

    fn forward(&mut self, id: usize) {
        let request = self.pending[id].request;
        let hop = self.hop(&request);
        if !self.entries[request.entry].forwards(self.now, &request, hop * 2) {
            self.refused(id);
            return;
        }
        if self.outcome.measures(self.now) {
            self.outcome.forwards += 1;
        }
        self.plan(self.now + hop, Event::Receive(id));
    }

    fn receive(&mut self, id: usize) {
        let at = self.pending[id].request.upstream;
        let turn = self.dispatchers[at].receive(self.now);
        self.plan(turn, Event::Submit(id));
    }

    fn submit(&mut self, id: usize) {
        let request = self.pending[id].request;
        let hop = self.hop(&request);
        let taken = self.dispatchers[request.upstream].submit(self.now, id, &request, hop);
        if taken {
            self.pump(request.upstream);
        } else {
            self.answer(id, Answer::Refused);
        }
    }

    /// Hands out what may run and answers what has expired.
    fn pump(&mut self, at: usize) {
        while let Some(id) = self.dispatchers[at].next(self.now) {
            self.start(at, id);
        }
        for id in self.dispatchers[at].expire(self.now) {
            self.answer(id.0 as usize, Answer::Refused);
        }
        self.plan_wake(at);
    }

    fn plan_wake(&mut self, at: usize) {
        let dispatcher = &mut self.dispatchers[at];
        let Some(due) = dispatcher.due(self.now) else {
            return;
        };
        if dispatcher.wake.is_none_or(|wake| due < wake) {
            dispatcher.wake = Some(due);
            self.plan(due, Event::Wake(at));
        }
    }

    fn wake(&mut self, at: usize) {
        if self.dispatchers[at].wake == Some(self.now) {
            self.dispatchers[at].wake = None;
            self.pump(at);
        }
    }

    fn start(&mut self, at: usize, id: usize) {
        let fault = self.fault();
        let pending = &mut self.pending[id];
        pending.request.started = self.now;
        pending.failed = matches!(fault, Fault::Silent | Fault::Failing);
        let service = self.dispatchers[at].service(&pending.request, fault);
        self.plan(self.now + service, Event::Finish(id));
    }

    fn finish(&mut self, id: usize) {
        let Pending {
            request, failed, ..
        } = self.pending[id];
        self.dispatchers[request.upstream].finish(self.now, id, failed);
        self.account(&request, failed);
        self.answer(id, if failed { Answer::Failed } else { Answer::Done });
        self.pump(request.upstream);
    }

    /// Counts the slot time of a statement that has ended.
    fn account(&mut self, request: &Request, failed: bool) {
        let from = request.started.max(self.outcome.from);
        let to = self.now.min(self.outcome.to);
        let span = to.0.saturating_sub(from.0);
        self.outcome.ranks[request.rank.index()].used += span;
        if !failed && self.now + self.hop(request) <= request.deadline {
            self.outcome.good += span;
        }
    }

    fn answer(&mut self, id: usize, answer: Answer) {
        let request = self.pending[id].request;
        self.pending[id].load = self.dispatchers[request.upstream].load();
        let hop = self.hop(&request);
        self.plan(self.now + hop, Event::Reply(id, answer));
    }

    fn reply(&mut self, id: usize, answer: Answer) {
        let Pending { request, load, .. } = self.pending[id];
        let taken = answer != Answer::Refused;
        self.entries[request.entry].note(self.now, &request, &load, taken);
        if answer == Answer::Refused {
            self.refused(id);
            return;
        }
        self.free.push(id);
        if !self.outcome.measures(request.arrived) {
            return;
        }
        let rank = &mut self.outcome.ranks[request.rank.index()];
        if answer == Answer::Failed {
            rank.failed += 1;
            return;
        }
        rank.latency
            .saturating_record(self.now.0 - request.arrived.0);
        if self.now <= request.deadline {
            rank.served += 1;
        } else {
            rank.late += 1;
        }
    }

    fn refused(&mut self, id: usize) {
        let request = self.pending[id].request;
        if let Some(at) = self.entries[request.entry].retry(self.now, &request) {
            self.plan(at, Event::Try(id));
            return;
        }
        self.free.push(id);
        if self.outcome.measures(request.arrived) {
            self.outcome.ranks[request.rank.index()].refused += 1;
        }
    }

    fn keep(&mut self, request: Request) -> usize {
        let pending = Pending {
            request,
            failed: false,
            load: Load::default(),
        };
        if let Some(id) = self.free.pop() {
            self.pending[id] = pending;
            return id;
        }
        self.pending.push(pending);
        self.pending.len() - 1
    }

    /// Returns the delay to the request's dispatcher, which may run in the entry's own VM.
    fn hop(&self, request: &Request) -> Duration {
        if request.upstream % self.deployment.entries == request.entry {
            return Duration::ZERO;
        }
        self.deployment.hop
    }

    fn fault(&self) -> Fault {
        let (from, to) = self.run.faulty;
        if from <= self.now && self.now < to {
            return self.run.fault;
        }
        Fault::None
    }
}
