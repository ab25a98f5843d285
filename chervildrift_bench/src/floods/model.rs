//! Event loop of entries, dispatchers and upstreams in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use chervildrift_core::dispatch::Load;
use chervildrift_core::types::{Rank, Time};

use super::deployment::Deployment;
use super::dispatcher::{Dispatcher, Fault};
use super::entry::Entry;
use super::load::{Loads, Request, RequestGenerator};
use super::outcome::Outcome;
use super::variant::Variant;

/// Parameters of one run.
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
    pub fault_span: (Time, Time),
    /// Start and end of the measured time; arrivals end with it.
    pub measured_span: (Time, Time),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(Rank),
    /// The entry decides whether to forward a request.
    Forward(usize),
    /// A request reaches the dispatcher's inbox.
    Receive(usize),
    /// The dispatcher's event loop processes a request.
    Submit(usize),
    /// A statement ends.
    Finish(usize),
    /// An answer reaches the entry.
    Reply(usize, Answer),
    /// A scheduled wake-up of a dispatcher.
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
    generator: RequestGenerator,
    entries: Vec<Entry>,
    dispatchers: Vec<Dispatcher>,
    pending: Vec<Pending>,
    free_requests: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Event>,
    free_events: Vec<usize>,
    sequence: u64,
    now: Time,
    outcome: Outcome,
}

/// Runs the model until all requests are answered.
pub fn simulate(deployment: &Deployment, run: &Run) -> Outcome {
    let mut model = Model::new(deployment, run);
    for rank in Rank::ALL {
        model.schedule_arrival(rank);
    }
    while let Some(Reverse((now, _, at))) = model.queue.pop() {
        model.now = now;
        model.free_events.push(at);
        model.handle(model.events[at]);
    }
    model.outcome
}

impl<'run> Model<'run> {
    fn new(deployment: &'run Deployment, run: &'run Run) -> Self {
        let entry = |at: usize| Entry::new(deployment, run.variant, run.seed + at as u64);
        let slots = deployment.upstreams * deployment.policy.slots;
        let dispatcher = Dispatcher::new(deployment, run.variant);
        Self {
            deployment,
            run,
            generator: RequestGenerator::new(run.seed, deployment, &run.loads),
            entries: (0..deployment.entries).map(entry).collect(),
            dispatchers: vec![dispatcher; deployment.upstreams],
            pending: Vec::new(),
            free_requests: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_events: Vec::new(),
            sequence: 0,
            now: Time::default(),
            outcome: Outcome::new(run.measured_span.0, run.measured_span.1, slots),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(rank) => self.arrive(rank),
            Event::Forward(id) => self.forward(id),
            Event::Receive(id) => self.receive(id),
            Event::Submit(id) => self.submit(id),
            Event::Finish(id) => self.finish(id),
            Event::Reply(id, answer) => self.reply(id, answer),
            Event::Wake(at) => self.wake(at),
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        let index = self.free_events.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(event);
        } else {
            self.events[index] = event;
        }
        self.queue.push(Reverse((at, self.sequence, index)));
    }

    fn schedule_arrival(&mut self, rank: Rank) {
        let Some(gap) = self.generator.next_gap(rank) else {
            return;
        };
        let at = self.now + gap;
        if at < self.run.measured_span.1 {
            self.schedule(at, Event::Arrive(rank));
        }
    }

    fn arrive(&mut self, rank: Rank) {
        self.schedule_arrival(rank);
        let request = self.generator.next_request(self.now, rank, self.deployment);
        if self.outcome.is_measured(self.now) {
            self.outcome.ranks[rank.index()].offered += 1;
        }
        self.entries[request.entry].record_first_attempt(self.now, &request);
        let id = self.add_pending(request);
        self.forward(id);
    }

    fn forward(&mut self, id: usize) {
        let request = self.pending[id].request;
        let hop = self.hop_delay(&request);
        if !self.entries[request.entry].should_forward(self.now, &request, hop * 2) {
            self.handle_refusal(id);
            return;
        }
        if self.outcome.is_measured(self.now) {
            self.outcome.forwards += 1;
        }
        self.schedule(self.now + hop, Event::Receive(id));
    }

    fn receive(&mut self, id: usize) {
        let at = self.pending[id].request.upstream;
        let submit_at = self.dispatchers[at].enqueue(self.now);
        self.schedule(submit_at, Event::Submit(id));
    }

    fn submit(&mut self, id: usize) {
        let request = self.pending[id].request;
        let hop = self.hop_delay(&request);
        let accepted = self.dispatchers[request.upstream].submit(self.now, id, &request, hop);
        if accepted {
            self.run_dispatcher(request.upstream);
        } else {
            self.answer(id, Answer::Refused);
        }
    }

    /// Starts the requests that may run, refuses those that have expired and schedules a wake-up.
    fn run_dispatcher(&mut self, at: usize) {
        while let Some(id) = self.dispatchers[at].start_next(self.now) {
            self.start(at, id);
        }
        for id in self.dispatchers[at].expire(self.now) {
            self.answer(id.0 as usize, Answer::Refused);
        }
        self.schedule_wake(at);
    }

    fn schedule_wake(&mut self, at: usize) {
        let dispatcher = &mut self.dispatchers[at];
        let Some(wakeup) = dispatcher.next_wakeup(self.now) else {
            return;
        };
        if dispatcher.next_wake.is_none_or(|wake| wakeup < wake) {
            dispatcher.next_wake = Some(wakeup);
            self.schedule(wakeup, Event::Wake(at));
        }
    }

    fn wake(&mut self, at: usize) {
        if self.dispatchers[at].next_wake == Some(self.now) {
            self.dispatchers[at].next_wake = None;
            self.run_dispatcher(at);
        }
    }

    fn start(&mut self, at: usize, id: usize) {
        let fault = self.fault();
        let pending = &mut self.pending[id];
        pending.request.started_at = self.now;
        pending.failed = matches!(fault, Fault::Silent | Fault::Failing);
        let service = self.dispatchers[at].service_time(&pending.request, fault);
        self.schedule(self.now + service, Event::Finish(id));
    }

    fn finish(&mut self, id: usize) {
        let Pending {
            request, failed, ..
        } = self.pending[id];
        self.dispatchers[request.upstream].finish(self.now, id, failed);
        self.count_slot_time(&request, failed);
        self.answer(id, if failed { Answer::Failed } else { Answer::Done });
        self.run_dispatcher(request.upstream);
    }

    /// Counts the slot time of a statement that has ended.
    fn count_slot_time(&mut self, request: &Request, failed: bool) {
        let from = request.started_at.max(self.outcome.start);
        let to = self.now.min(self.outcome.end);
        let span = to.0.saturating_sub(from.0);
        self.outcome.ranks[request.rank.index()].used_us += span;
        if !failed && self.now + self.hop_delay(request) <= request.deadline {
            self.outcome.good_us += span;
        }
    }

    fn answer(&mut self, id: usize, answer: Answer) {
        let request = self.pending[id].request;
        self.pending[id].load = self.dispatchers[request.upstream].load();
        let hop = self.hop_delay(&request);
        self.schedule(self.now + hop, Event::Reply(id, answer));
    }

    fn reply(&mut self, id: usize, answer: Answer) {
        let Pending { request, load, .. } = self.pending[id];
        let accepted = answer != Answer::Refused;
        self.entries[request.entry].record_answer(self.now, &request, &load, accepted);
        if answer == Answer::Refused {
            self.handle_refusal(id);
            return;
        }
        self.free_requests.push(id);
        if !self.outcome.is_measured(request.arrived_at) {
            return;
        }
        let rank = &mut self.outcome.ranks[request.rank.index()];
        if answer == Answer::Failed {
            rank.failed += 1;
            return;
        }
        rank.latency
            .saturating_record(self.now.0 - request.arrived_at.0);
        if self.now <= request.deadline {
            rank.served += 1;
        } else {
            rank.late += 1;
        }
    }

    fn handle_refusal(&mut self, id: usize) {
        let request = self.pending[id].request;
        if let Some(at) = self.entries[request.entry].retry_at(self.now, &request) {
            self.schedule(at, Event::Forward(id));
            return;
        }
        self.free_requests.push(id);
        if self.outcome.is_measured(request.arrived_at) {
            self.outcome.ranks[request.rank.index()].refused += 1;
        }
    }

    fn add_pending(&mut self, request: Request) -> usize {
        let pending = Pending {
            request,
            failed: false,
            load: Load::default(),
        };
        if let Some(id) = self.free_requests.pop() {
            self.pending[id] = pending;
            return id;
        }
        self.pending.push(pending);
        self.pending.len() - 1
    }

    /// Returns the delay to the request's dispatcher, which may run in the entry's own VM.
    fn hop_delay(&self, request: &Request) -> Duration {
        if request.upstream % self.deployment.entries == request.entry {
            return Duration::ZERO;
        }
        self.deployment.hop_delay
    }

    fn fault(&self) -> Fault {
        let (from, to) = self.run.fault_span;
        if from <= self.now && self.now < to {
            return self.run.fault;
        }
        Fault::None
    }
}
