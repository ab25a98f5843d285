//! Fetches of bundles from peers and from the object store.

use std::sync::Arc;

use super::patch::Body;
use super::version::{BundleHash, Version};
use super::{Action, Generations, Phase};
use crate::types::Time;

/// A request for a bundle that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fetch {
    pub version: Version,
    pub deadline: Time,
}

impl Generations {
    /// Starts the next fetch, or reports once that the configuration is the latest.
    pub(super) fn advance(&mut self, now: Time) {
        if self.target.generation > self.version.generation {
            if self.fetch.is_none() && now >= self.retry_at {
                self.start_fetch(now);
            }
            return;
        }
        let settled = self
            .first_announced
            .is_some_and(|at| now.since(at) >= self.limits.settle_delay);
        let confirmed = settled || self.phase == Phase::Confirmed;
        if !self.is_ready() && self.version.generation > 0 && confirmed {
            self.phase = Phase::Ready;
            self.actions.push(Action::Ready);
        }
    }

    fn start_fetch(&mut self, now: Time) {
        let hash = self.target.hash;
        self.fetch = Some(Fetch {
            version: self.target,
            deadline: now + self.limits.fetch_timeout,
        });
        let base = (self.bundle.is_some() && !self.full_fetch).then_some(self.version.hash);
        let index = self.rng.below(self.sources.len() as u64) as usize;
        let from_peer = self.attempts < self.limits.peer_attempts && !self.sources.is_empty();
        self.actions.push(if from_peer {
            Action::FetchPeer {
                vm: self.sources.swap_remove(index),
                hash,
                base,
            }
        } else {
            Action::FetchStore { hash }
        });
    }

    pub(super) fn receive_body(&mut self, now: Time, hash: BundleHash, body: Body) {
        let Some(fetch) = self.fetch.filter(|fetch| fetch.version.hash == hash) else {
            return;
        };
        let Some(bundle) = self.assemble(&body, hash) else {
            // The next attempt requests the whole bundle, since the patches may belong to another
            // one.
            self.full_fetch = true;
            self.fail_fetch(now);
            return;
        };
        self.fetch = None;
        if fetch.version.generation > self.version.generation {
            self.install(fetch.version, bundle, body);
        }
    }

    /// Returns the bundle that results from a body, if it has the requested hash.
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
        self.store_patches(version.hash, &bundle, body);
        self.version = version;
        self.bundle = Some(Arc::clone(&bundle));
        self.attempts = 0;
        self.full_fetch = false;
        self.actions.push(Action::Install { version, bundle });
    }

    pub(super) fn handle_fetch_failure(&mut self, now: Time, hash: BundleHash) {
        if self.fetch.is_some_and(|fetch| fetch.version.hash == hash) {
            self.fail_fetch(now);
        }
    }

    /// Schedules the next attempt after a short random pause, or a longer one after the peers and
    /// the object store have failed.
    pub(super) fn fail_fetch(&mut self, now: Time) {
        self.fetch = None;
        self.attempts += 1;
        let backoff = if self.attempts > self.limits.peer_attempts {
            self.limits.store_backoff
        } else {
            self.limits.peer_backoff
        };
        if self.attempts > self.limits.peer_attempts {
            self.attempts = 0;
        }
        self.retry_at = now + backoff / 2 + self.rng.jitter(backoff);
    }
}
