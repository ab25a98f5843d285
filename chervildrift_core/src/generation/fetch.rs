//! Bundles from peers and from the object store.

use std::sync::Arc;

use super::patch::Body;
use super::version::{BundleHash, Version};
use super::{Action, Generations, Phase};
use crate::types::Time;

/// A request for a bundle that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fetch {
    pub version: Version,
    pub until: Time,
}

impl Generations {
    /// Starts the next fetch, and tells once that the configuration is the latest.
    pub(super) fn advance(&mut self, now: Time) {
        if self.target.generation > self.version.generation {
            if self.fetch.is_none() && now >= self.retry_at {
                self.start_fetch(now);
            }
            return;
        }
        let settled = self
            .first_heard
            .is_some_and(|at| now.since(at) >= self.limits.settle_delay);
        let known = settled || self.phase == Phase::Confirmed;
        if !self.is_ready() && self.version.generation > 0 && known {
            self.phase = Phase::Ready;
            self.out.push(Action::Ready);
        }
    }

    fn start_fetch(&mut self, now: Time) {
        let hash = self.target.hash;
        self.fetch = Some(Fetch {
            version: self.target,
            until: now + self.limits.fetch_timeout,
        });
        let base = (self.bundle.is_some() && !self.whole).then_some(self.version.hash);
        let index = self.rng.below(self.holders.len() as u64) as usize;
        let peers = self.tries < self.limits.peer_attempts && !self.holders.is_empty();
        self.out.push(if peers {
            Action::FetchPeer {
                vm: self.holders.swap_remove(index),
                hash,
                base,
            }
        } else {
            Action::FetchStore { hash }
        });
    }

    pub(super) fn take(&mut self, now: Time, hash: BundleHash, body: Body) {
        let Some(fetch) = self.fetch.filter(|fetch| fetch.version.hash == hash) else {
            return;
        };
        let Some(bundle) = self.assemble(&body, hash) else {
            // The next try asks for all bytes, since the patch may be for another bundle.
            self.whole = true;
            self.fail_fetch(now);
            return;
        };
        self.fetch = None;
        if fetch.version.generation > self.version.generation {
            self.install(fetch.version, bundle, body);
        }
    }

    /// Returns the bundle that a body makes, if its hash is the one asked for.
    fn assemble(&self, body: &Body, hash: BundleHash) -> Option<Arc<[u8]>> {
        let bundle: Arc<[u8]> = match body {
            Body::Whole(bytes) => Arc::clone(bytes),
            Body::Patches(patches) => {
                let (first, rest) = patches.split_first()?;
                let start = first.apply(self.bundle.as_ref()?)?;
                Arc::from(rest.iter().try_fold(start, |old, next| next.apply(&old))?)
            }
        };
        (BundleHash::of(&bundle) == hash).then_some(bundle)
    }

    fn install(&mut self, version: Version, bundle: Arc<[u8]>, body: Body) {
        self.remember(version.hash, &bundle, body);
        self.version = version;
        self.bundle = Some(Arc::clone(&bundle));
        self.tries = 0;
        self.whole = false;
        self.out.push(Action::Install { version, bundle });
    }

    pub(super) fn miss(&mut self, now: Time, hash: BundleHash) {
        if self.fetch.is_some_and(|fetch| fetch.version.hash == hash) {
            self.fail_fetch(now);
        }
    }

    /// Waits a short random time before the next try; after a round of peers and the store, a
    /// longer one.
    pub(super) fn fail_fetch(&mut self, now: Time) {
        self.fetch = None;
        self.tries += 1;
        let span = if self.tries > self.limits.peer_attempts {
            self.limits.store_backoff
        } else {
            self.limits.peer_backoff
        };
        if self.tries > self.limits.peer_attempts {
            self.tries = 0;
        }
        self.retry_at = now + span / 2 + self.rng.jitter(span);
    }
}
