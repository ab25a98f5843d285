//! Generations of the published configuration.
//!
//! Two VMs of each availability zone poll the platform's head record; all others learn of a
//! generation from the membership messages of VMs that have it in force. The bundle is fetched from
//! such a VM, as a patch where possible, or else from the object store. Each VM serves few
//! transfers at once, so a new generation spreads as a tree. The generation of a VM never
//! decreases.

mod event;
mod fetch;
mod head;
mod limits;
mod patch;
mod publisher;
mod transfer;
mod version;

use std::collections::VecDeque;
use std::sync::Arc;

use smallvec::SmallVec;

use self::fetch::Fetch;
use self::transfer::Transfer;
use crate::invariant;
use crate::rng::Rng;
use crate::types::{Time, Vm};

pub use self::event::{Action, Actions, Answer, Event};
pub use self::head::{Head, MAX_PAST_PUBLISHES, Publish};
pub use self::limits::Limits;
pub use self::patch::{Body, Patch};
pub use self::publisher::{
    Outcome, PublishAction, PublishActions, PublishEvent, Publisher, TaggedHead,
};
pub use self::version::{BundleHash, HashError, PublishId, Version};

/// Phase of the start of a VM, which ends when it has the latest configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The platform has not named the latest generation yet.
    Starting,
    /// The platform has named the latest generation, which may not be in force yet.
    Confirmed,
    /// The latest generation that the platform or the peers named was put in force.
    Ready,
}

/// Configuration in force on one VM, and the search for newer ones.
#[derive(Debug)]
pub struct Generations {
    limits: Limits,
    rng: Rng,
    version: Version,
    bundle: Option<Arc<[u8]>>,
    patches: VecDeque<Patch>,
    target: Version,
    sources: SmallVec<[Vm; 8]>,
    fetch: Option<Fetch>,
    attempts: u32,
    full_fetch: bool,
    retry_at: Time,
    is_poller: bool,
    read_started: Option<Time>,
    next_read: Time,
    first_announced: Option<Time>,
    phase: Phase,
    transfers: Vec<Transfer>,
    actions: Actions,
}

impl Generations {
    /// Creates the state of a VM without a configuration.
    #[must_use]
    pub fn new(rng: Rng, limits: Limits) -> Self {
        Self {
            limits,
            rng,
            version: Version::default(),
            bundle: None,
            patches: VecDeque::new(),
            target: Version::default(),
            sources: SmallVec::new(),
            fetch: None,
            attempts: 0,
            full_fetch: false,
            retry_at: Time::default(),
            is_poller: false,
            read_started: None,
            next_read: Time::default(),
            first_announced: None,
            phase: Phase::Starting,
            transfers: Vec::new(),
            actions: Actions::new(),
        }
    }

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::HeadRead(head) => self.record_head(head.as_ref()),
            Event::HeadReadFailed => self.read_started = None,
            Event::Announced { vm, version } => self.record_announcement(now, vm, version),
            Event::Fetched { hash, body } => self.receive_body(now, hash, body),
            Event::FetchFailed { hash } => self.handle_fetch_failure(now, hash),
            Event::Requested { vm, hash, base } => self.serve_request(now, vm, hash, base),
            Event::TransferEnded { vm } => self.transfers.retain(|transfer| transfer.vm != vm),
            Event::PollerChanged(poller) => self.is_poller = poller,
            Event::Tick => self.tick(now),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the generation and hash in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the bundle in force.
    #[must_use]
    pub const fn bundle(&self) -> Option<&Arc<[u8]>> {
        self.bundle.as_ref()
    }

    /// Returns whether this VM may serve requests with its configuration.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    /// Estimates the memory used, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let bundle = self.bundle.as_ref().map_or(0, |bundle| bundle.len());
        let patches: usize = self.patches.iter().map(Patch::size).sum();
        let transfers = self.transfers.capacity() * size_of::<Transfer>();
        size_of::<Self>() + bundle + patches + transfers
    }

    fn record_head(&mut self, head: Option<&Head>) {
        self.read_started = None;
        if let Some(head) = head {
            if self.phase == Phase::Starting {
                self.phase = Phase::Confirmed;
            }
            self.raise_target(head.version());
        }
    }

    fn record_announcement(&mut self, now: Time, vm: Vm, version: Version) {
        if version.generation > 0 {
            self.first_announced.get_or_insert(now);
        }
        self.raise_target(version);
        let relevant = version == self.target && version != self.version;
        if !relevant || self.sources.contains(&vm) {
            return;
        }
        if self.sources.len() < self.limits.max_sources {
            self.sources.push(vm);
        }
    }

    /// Makes a generation the target if it is greater than all known ones. A lower one, such as
    /// from a platform restored from an old copy, is ignored.
    fn raise_target(&mut self, version: Version) {
        let greatest = self.target.max(self.version);
        let conflict = version.generation == greatest.generation && version.hash != greatest.hash;
        if conflict {
            invariant::breach("one hash per generation", &version.hash.to_string());
        }
        if version.generation > greatest.generation {
            self.target = version;
            self.sources.clear();
            self.attempts = 0;
            self.full_fetch = false;
            self.retry_at = Time::default();
        }
    }

    fn tick(&mut self, now: Time) {
        self.transfers.retain(|transfer| now < transfer.deadline);
        if self.fetch.is_some_and(|fetch| now >= fetch.deadline) {
            self.fail_fetch(now);
        }
        if self
            .read_started
            .is_some_and(|since| now.since(since) >= self.limits.read_timeout)
        {
            self.read_started = None;
        }
        if self.read_started.is_none() && now >= self.next_read {
            self.start_read(now);
        }
    }

    /// Reads the head record, and schedules the next read: soon for a poller or a VM that is not
    /// ready, late for any other.
    fn start_read(&mut self, now: Time) {
        let frequent = self.is_poller || !self.is_ready();
        let first = self.next_read == Time::default();
        self.next_read = if frequent {
            now + self.limits.poll_period
        } else {
            now + self.limits.idle_period / 2 + self.rng.jitter(self.limits.idle_period)
        };
        if frequent && first && !self.is_poller {
            // A starting VM first waits for announcements of its peers; most starts then do not
            // need the platform.
            return;
        }
        self.read_started = Some(now);
        self.actions.push(Action::ReadHead);
    }
}
