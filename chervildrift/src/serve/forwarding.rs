//! Forwarding of requests from the entry to a dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::route::{Cause, Path};
use chervildrift_core::types::{Time, Upstream, Vm};

use super::Input;
use super::entry::{SendState, find_group};
use super::node::Node;
use crate::peer;
use crate::peer::message::{Reply, Request, TransactionStep};
use crate::work::{Problem, ProblemKind};

impl Node {
    /// Returns whether the dispatcher recently accepted enough of this kind to forward one more.
    ///
    /// A flood is shed here, before it loads the link and the dispatcher.
    pub(super) fn passes_throttle(&mut self, now: Time, id: u64, upstream: usize) -> bool {
        let Some(name) = self.upstream_name(id, upstream) else {
            return true;
        };
        let Some(pending) = self.entry.calls.get(&id) else {
            return true;
        };
        // A transaction step releases what others wait for, and a retry has passed before.
        if pending.step.is_some() || pending.attempt_number > 0 {
            return true;
        }
        let key = (name, pending.request.kind.clone());
        self.entry
            .throttles
            .entry(key)
            .or_default()
            .admit(now, &mut self.rng)
    }

    pub(super) fn forward_call(&mut self, now: Time, id: u64, path: &Path) {
        let number = self.next_number();
        let Some(pending) = self.entry.calls.get_mut(&id) else {
            return;
        };
        let vm = match &pending.send_state {
            Some(SendState::NotSent(request)) => request.next_dispatcher(&path.dispatchers),
            Some(SendState::MaybeSent(request)) => request.next_dispatcher(&path.dispatchers),
            None => None,
        };
        let Some(vm) = vm.cloned() else {
            return self.fail_call(id, Cause::OutOfReach);
        };
        self.send_attempt(now, id, number, &vm, path.upstream, path.wait);
    }

    pub(super) fn send_attempt(
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
        pending.send_state = match pending.send_state.take() {
            Some(SendState::NotSent(request)) => Some(SendState::MaybeSent(request.send(vm))),
            Some(SendState::MaybeSent(request)) => match request.resend(vm) {
                Ok(request) => Some(SendState::MaybeSent(request)),
                Err(_unknown) => return self.answer_unknown(id),
            },
            None => return,
        };
        pending.attempt_number = number;
        pending.target = Some((vm.clone(), upstream, now));
        pending.request.upstream = name;
        pending.request.generation = generation;
        pending.request.remaining = pending.deadline.since(now);
        if pending.step == Some(TransactionStep::Open) {
            let transaction = format!("{vm}.{}.{number:016x}", pending.request.upstream);
            pending.request.transaction = Some(transaction);
        }
        let (request, step) = (pending.request.clone(), pending.step);
        let deadline = self.clock.instant(pending.deadline);
        if *vm == self.settings.vm && wait.is_zero() {
            let inputs = self.inputs.clone();
            let reply = move |reply: Reply| {
                let _result = inputs.send(Input::AttemptResult(id, number, Ok(reply)));
            };
            return self.serve_request(request, step, Box::new(reply));
        }
        let address = self.peer_address(vm);
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
            let _result = inputs.send(Input::AttemptResult(id, number, result));
        });
    }

    /// Returns the address of a VM's peer listener.
    pub(super) fn peer_address(&self, vm: &Vm) -> Option<SocketAddr> {
        if *vm == self.settings.vm {
            return Some(self.peers.address());
        }
        self.addresses.get(vm).copied()
    }

    pub(super) fn upstream_name(&self, id: u64, index: usize) -> Option<Upstream> {
        let group = &self.entry.calls.get(&id)?.group;
        let declaration = self.bundle.declaration(group.service.as_str())?;
        let spec = find_group(declaration, group)?;
        spec.upstreams.get(index).map(|it| it.name.clone())
    }

    /// Sends a step of an open transaction to the VM that holds its connection.
    pub(super) fn forward_transaction_step(&mut self, id: u64, vm: &Vm, upstream: &Upstream) {
        let now = self.clock.now();
        let known = *vm == self.settings.vm || self.addresses.contains_key(vm);
        let position = self.entry.calls.get(&id).and_then(|pending| {
            let declaration = self.bundle.declaration(pending.group.service.as_str())?;
            let group = find_group(declaration, &pending.group)?;
            group.upstreams.iter().position(|it| it.name == *upstream)
        });
        let Some(index) = position.filter(|_index| known) else {
            let detail = "the VM that held the transaction is gone; it was rolled back";
            let problem = Problem::failed(ProblemKind::TransactionLost, detail);
            return self.answer_call(id, Err(problem));
        };
        let number = self.next_number();
        self.send_attempt(now, id, number, vm, index, Duration::ZERO);
    }
}
