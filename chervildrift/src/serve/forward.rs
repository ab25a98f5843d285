//! The way of a request from the entry to a dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::route::{Cause, Path};
use chervildrift_core::types::{Time, Upstream, Vm};

use super::Input;
use super::entry::{Progress, find_group};
use super::node::Node;
use crate::peer;
use crate::peer::message::{Reply, Request, Step as TransactionStep};
use crate::work::{Problem, ProblemKind};

impl Node {
    /// Tells whether the dispatcher has lately taken enough of this kind to forward one more.
    ///
    /// A flood is shed here, before it costs the link and the dispatcher anything.
    pub(super) fn passes(&mut self, now: Time, id: u64, upstream: usize) -> bool {
        let Some(name) = self.upstream_name(id, upstream) else {
            return true;
        };
        let Some(pending) = self.entry.calls.get(&id) else {
            return true;
        };
        // A step of a transaction frees what others wait for, and a later try has passed before.
        if pending.step.is_some() || pending.number > 0 {
            return true;
        }
        let key = (name, pending.request.kind.clone());
        self.entry
            .throttles
            .entry(key)
            .or_default()
            .admit(now, &mut self.rng)
    }

    pub(super) fn forward(&mut self, now: Time, id: u64, path: &Path) {
        let number = self.next_number();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let vm = match &pending.progress {
            Some(Progress::NotSent(attempt)) => attempt.next_dispatcher(&path.dispatchers),
            Some(Progress::MaybeSent(attempt)) => attempt.next_dispatcher(&path.dispatchers),
            None => None,
        };
        let Some(vm) = vm.cloned() else {
            return self.give_up(id, Cause::OutOfReach);
        };
        self.send(now, id, number, &vm, path.upstream, path.wait);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: u64,
        number: u64,
        vm: &Vm,
        upstream: usize,
        wait: Duration,
    ) {
        let Some(name) = self.upstream_name(id, upstream) else {
            return;
        };
        let generation = self.generation();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        pending.progress = match pending.progress.take() {
            Some(Progress::NotSent(attempt)) => Some(Progress::MaybeSent(attempt.send(vm))),
            Some(Progress::MaybeSent(attempt)) => match attempt.resend(vm) {
                Ok(attempt) => Some(Progress::MaybeSent(attempt)),
                Err(_unknown) => return self.conclude_unknown(id),
            },
            None => return,
        };
        pending.number = number;
        pending.target = Some((vm.clone(), upstream, now));
        pending.request.upstream = name;
        pending.request.generation = generation;
        pending.request.remaining = pending.deadline.since(now);
        if pending.step == Some(TransactionStep::Open) {
            let home = format!("{vm}.{}.{number:016x}", pending.request.upstream);
            pending.request.transaction = Some(home);
        }
        let (request, step) = (pending.request.clone(), pending.step);
        let deadline = self.clock.instant(pending.deadline);
        if *vm == self.settings.vm && wait.is_zero() {
            let inputs = self.inputs.clone();
            let reply = move |reply: Reply| {
                let _ended = inputs.send(Input::Replied(id, number, Ok(reply)));
            };
            return self.serve_request(request, step, Box::new(reply));
        }
        let address = self.address(vm);
        self.send_to_peer(id, number, address, request, step, deadline, wait);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call site that names each of them"
    )]
    pub(super) fn send_to_peer(
        &self,
        id: u64,
        number: u64,
        address: Option<SocketAddr>,
        request: Request,
        step: Option<TransactionStep>,
        deadline: std::time::Instant,
        wait: Duration,
    ) {
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        self.io.spawn(async move {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let result = match (address, step) {
                (None, _) => Err(peer::Error::Unreachable(std::io::ErrorKind::NotFound)),
                (Some(to), None) => peers.forward(to, request, deadline).await,
                (Some(to), Some(step)) => peers.transaction(to, step, request, deadline).await,
            };
            let _ended = inputs.send(Input::Replied(id, number, result));
        });
    }

    /// Returns the address of a VM's peer listener.
    pub(super) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        if *vm == self.settings.vm {
            return Some(self.peers.address());
        }
        self.addresses.get(vm).copied()
    }

    pub(super) fn upstream_name(&self, id: u64, index: usize) -> Option<Upstream> {
        let group = &self.entry.calls.get(&id)?.group;
        let declaration = self.bundle.service(group.service.as_str())?;
        let spec = find_group(declaration, group)?;
        spec.upstreams.get(index).map(|it| it.name.clone())
    }

    /// Sends a step of an open transaction to the VM that holds its connection.
    pub(super) fn send_transaction(&mut self, id: u64, vm: &Vm, upstream: &Upstream) {
        let now = self.clock.now();
        let known = *vm == self.settings.vm || self.addresses.contains_key(vm);
        let place = self.entry.calls.get(&id).and_then(|pending| {
            let declaration = self.bundle.service(pending.group.service.as_str())?;
            let group = find_group(declaration, &pending.group)?;
            group.upstreams.iter().position(|it| it.name == *upstream)
        });
        let Some(index) = place.filter(|_index| known) else {
            let detail = "the VM that held the transaction is gone; it was rolled back";
            let problem = Problem::failed(ProblemKind::TransactionLost, detail);
            return self.conclude_call(id, Err(problem));
        };
        let number = self.next_number();
        self.send(now, id, number, vm, index, Duration::ZERO);
    }
}
