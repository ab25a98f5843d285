//! Planned stop of a VM.

use std::time::Duration;

use chervildrift_core::membership;
use slog::info;
use tokio::sync::oneshot;

use super::node::Node;

impl Node {
    /// Starts to leave: the VM is no longer ready and no longer a dispatcher for other VMs.
    pub(super) fn begin_leave(&mut self) {
        let now = self.clock.now();
        info!(self.log, "leaving");
        self.stopping = true;
        self.shared
            .ready
            .store(false, std::sync::atomic::Ordering::Release);
        self.placement.remove(&self.settings.vm.clone());
        let actions = self.membership.handle(now, membership::Event::Leave);
        self.run_membership_actions(now, actions);
        self.reconcile(now);
    }

    /// Notifies the other VMs that this process is about to end.
    pub(super) fn announce_stop(&mut self) {
        let now = self.clock.now();
        let actions = self.membership.handle(now, membership::Event::Stop);
        self.run_membership_actions(now, actions);
    }

    /// Returns whether all work has ended.
    pub(super) fn is_drained(&self) -> bool {
        let busy = self.dispatchers.values().any(|it| !it.is_idle());
        let unconfirmed = self.groups.values().any(|it| !it.unconfirmed.is_empty());
        !busy && !unconfirmed && self.entry.calls.is_empty()
    }

    /// Completes a stop once all work has ended or the time for it is over.
    pub(super) fn check_stop(
        &mut self,
        waited: Duration,
        reply: &mut Option<oneshot::Sender<bool>>,
    ) {
        let drained = self.is_drained();
        let limit = Duration::from_millis(self.settings.stop.drain_ms);
        if drained || waited >= limit {
            self.announce_stop();
            if let Some(reply) = reply.take() {
                let _result = reply.send(drained);
            }
        }
    }
}
