//! Transfers of bundles and patches to other VMs.

use std::sync::Arc;

use super::patch::{Body, Patch};
use super::version::BundleHash;
use super::{Action, Answer, Generations};
use crate::types::{Time, Vm};

/// Transfer of a bundle to another VM.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub vm: Vm,
    pub deadline: Time,
}

impl Generations {
    /// Answers a VM that requests a bundle.
    pub(super) fn serve_request(
        &mut self,
        now: Time,
        vm: Vm,
        hash: BundleHash,
        base: Option<BundleHash>,
    ) {
        let answer = match self.find_body(hash, base) {
            None => Answer::Unknown,
            Some(_) if self.transfers.len() >= self.limits.max_transfers => Answer::Busy,
            Some(body) => Answer::Body(body),
        };
        if matches!(answer, Answer::Body(_)) {
            self.transfers.push(Transfer {
                vm: vm.clone(),
                deadline: now + self.limits.transfer_timeout,
            });
        }
        self.actions.push(Action::Serve { vm, hash, answer });
    }

    /// Returns the patches from `base` to `hash`, or else the whole bundle if this VM has it.
    fn find_body(&self, hash: BundleHash, base: Option<BundleHash>) -> Option<Body> {
        if let Some(patches) = base.and_then(|base| self.patch_chain(base, hash)) {
            return Some(Body::Patches(patches));
        }
        let bundle = self.bundle.as_ref().filter(|_| self.version.hash == hash);
        bundle.map(|bundle| Body::Whole(Arc::clone(bundle)))
    }

    /// Returns the patches that lead from `base` to `hash`, unless they are too long.
    fn patch_chain(&self, base: BundleHash, hash: BundleHash) -> Option<Vec<Patch>> {
        let start = self.patches.iter().rposition(|patch| patch.base == base)?;
        let mut chain: Vec<Patch> = Vec::new();
        for patch in self.patches.range(start..) {
            if chain.last().is_some_and(|last| last.hash != patch.base) {
                return None;
            }
            chain.push(patch.clone());
            if patch.hash == hash {
                break;
            }
        }
        let size: usize = chain.iter().map(Patch::size).sum();
        let bundle = self.bundle.as_ref().map_or(0, |bundle| bundle.len());
        let short = size * 100 <= bundle * self.limits.patch_percent;
        let complete = chain.last().is_some_and(|last| last.hash == hash);
        (complete && short).then_some(chain)
    }

    /// Keeps the patches of a bundle that is about to be put in force.
    pub(super) fn store_patches(&mut self, hash: BundleHash, bundle: &[u8], body: Body) {
        match (body, &self.bundle) {
            (Body::Patches(patches), _) => self.patches.extend(patches),
            (Body::Whole(_), Some(old)) => {
                let patch = Patch::between(old, self.version.hash, bundle, hash);
                self.patches.push_back(patch);
            }
            (Body::Whole(_), None) => {}
        }
        while self.patches.len() > self.limits.max_patches {
            self.patches.pop_front();
        }
    }
}
