//! Generations of the published configuration.
//!
//! Two VMs of each availability zone poll the platform's head record; all others hear of a
//! generation from the membership messages of VMs that have it in force. The bundle comes from
//! such a VM, as a patch where possible, or else from the object store. Each VM serves few
//! transfers at once, so a new generation spreads as a tree. A VM's generation never goes down.

mod event;
mod fetch;
mod head;
mod limits;
mod patch;
mod publisher;
mod serve;
mod version;

use std::collections::VecDeque;
use std::sync::Arc;

use smallvec::SmallVec;

use self::fetch::Fetch;
use self::serve::Transfer;
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

/// How sure a VM is that it has the latest configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Only peers told of generations, and only for a short time.
    Starting,
    /// The platform told the latest generation.
    Confirmed,
    /// The latest generation was put in force.
    Ready,
}

/// The configuration of one VM.
#[derive(Debug)]
pub struct Generations {
    limits: Limits,
    rng: Rng,
    version: Version,
    bundle: Option<Arc<[u8]>>,
    patches: VecDeque<Patch>,
    target: Version,
    holders: SmallVec<[Vm; 8]>,
    fetch: Option<Fetch>,
    tries: u32,
    whole: bool,
    retry_at: Time,
    poller: bool,
    reading: Option<Time>,
    read_at: Time,
    first_heard: Option<Time>,
    phase: Phase,
    transfers: Vec<Transfer>,
    out: Actions,
}

impl Generations {
    /// Opens a VM without a configuration.
    #[must_use]
    pub fn open(rng: Rng, limits: Limits) -> Self {
        Self {
            limits,
            rng,
            version: Version::default(),
            bundle: None,
            patches: VecDeque::new(),
            target: Version::default(),
            holders: SmallVec::new(),
            fetch: None,
            tries: 0,
            whole: false,
            retry_at: Time::default(),
            poller: false,
            reading: None,
            read_at: Time::default(),
            first_heard: None,
            phase: Phase::Starting,
            transfers: Vec::new(),
            out: Actions::new(),
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::HeadRead(head) => self.read(head.as_ref()),
            Event::HeadReadFailed => self.reading = None,
            Event::Announced { vm, version } => self.hear(now, vm, version),
            Event::Fetched { hash, body } => self.take(now, hash, body),
            Event::FetchFailed { hash } => self.miss(now, hash),
            Event::Requested { vm, hash, base } => self.asked(now, vm, hash, base),
            Event::TransferEnded { vm } => self.transfers.retain(|transfer| transfer.vm != vm),
            Event::PollerChanged(poller) => self.poller = poller,
            Event::Tick => self.tick(now),
        }
        self.advance(now);
        std::mem::take(&mut self.out)
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

    /// Tells whether this VM may serve requests by its configuration.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    /// Returns the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let bundle = self.bundle.as_ref().map_or(0, |bundle| bundle.len());
        let patches: usize = self.patches.iter().map(Patch::size).sum();
        let transfers = self.transfers.capacity() * size_of::<Transfer>();
        size_of::<Self>() + bundle + patches + transfers
    }

    fn read(&mut self, head: Option<&Head>) {
        self.reading = None;
        if let Some(head) = head {
            if self.phase == Phase::Starting {
                self.phase = Phase::Confirmed;
            }
            self.aim(head.version());
        }
    }

    fn hear(&mut self, now: Time, vm: Vm, version: Version) {
        if version.generation > 0 {
            self.first_heard.get_or_insert(now);
        }
        self.aim(version);
        let wanted = version == self.target && version != self.version;
        if !wanted || self.holders.contains(&vm) {
            return;
        }
        if self.holders.len() < self.limits.max_sources {
            self.holders.push(vm);
        }
    }

    /// Takes a generation as the next one, if it is greater than all known. A lower one, such as
    /// from a platform restored from an old copy, is ignored.
    fn aim(&mut self, version: Version) {
        let greatest = self.target.max(self.version);
        let conflict = version.generation == greatest.generation && version.hash != greatest.hash;
        if conflict {
            invariant::breach("one hash per generation", &version.hash.to_string());
        }
        if version.generation > greatest.generation {
            self.target = version;
            self.holders.clear();
            self.tries = 0;
            self.whole = false;
            self.retry_at = Time::default();
        }
    }

    fn tick(&mut self, now: Time) {
        self.transfers.retain(|transfer| now < transfer.until);
        if self.fetch.is_some_and(|fetch| now >= fetch.until) {
            self.fail_fetch(now);
        }
        if self
            .reading
            .is_some_and(|since| now.since(since) >= self.limits.read_timeout)
        {
            self.reading = None;
        }
        if self.reading.is_none() && now >= self.read_at {
            self.start_read(now);
        }
    }

    /// Reads the head record often as a poller or without a configuration, and else rarely.
    fn start_read(&mut self, now: Time) {
        let often = self.poller || !self.is_ready();
        let first = self.read_at == Time::default();
        self.read_at = if often {
            now + self.limits.poll_period
        } else {
            now + self.limits.idle_period / 2 + self.rng.jitter(self.limits.idle_period)
        };
        if often && first && !self.poller {
            // A VM that starts first asks its peers; most starts then need no platform.
            return;
        }
        self.reading = Some(now);
        self.out.push(Action::ReadHead);
    }
}
