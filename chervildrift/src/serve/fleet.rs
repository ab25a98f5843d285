//! Membership and configuration as the event loop handles them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervildrift_core::burn;
use chervildrift_core::config::Bundle;
use chervildrift_core::failover;
use chervildrift_core::generation::{self, BundleHash, Head, Version};
use chervildrift_core::membership::{self, Member, Seed};
use chervildrift_core::placement;
use chervildrift_core::types::{Time, Upstream, Vm};
use slog::{error, info, warn};

use super::Input;
use super::node::Node;
use crate::control_store::{ListedVm, VmState};
use crate::gossip::Datagram;
use crate::peer;
use crate::peer::message::{Inbound, Pong};

/// Table and key of the head record.
pub const HEAD_TABLE: &str = "config";

/// Key of the head record.
pub const HEAD_KEY: &str = "head";

/// Time between two reads of the platform's list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time limit of a bundle's transfer from a peer.
const BUNDLE_LIMIT: Duration = Duration::from_secs(1);

impl Node {
    /// Passes time to the membership and the configuration.
    pub(super) fn tick_fleet(&mut self, now: Time) {
        let actions = self.membership.handle(now, membership::Event::Tick);
        self.carry_out(now, actions);
        let actions = self.generations.handle(now, generation::Event::Tick);
        self.configure(now, actions);
        if now >= self.list_at {
            self.list_at = now + LIST_PERIOD;
            self.list();
            self.close_idle(now);
        }
        let ready = self.generations.is_ready() && !self.stopping;
        self.tick_burn(now);
        self.shared.ready.store(ready, Ordering::Release);
    }

    /// Takes a membership message.
    pub(super) fn datagram(&mut self, datagram: Datagram) {
        let now = self.clock.now();
        let Datagram { from, message } = datagram;
        let event = membership::Event::Message { from, message };
        let actions = self.membership.handle(now, event);
        self.carry_out(now, actions);
    }

    /// Tells the membership what a peer link showed.
    pub(super) fn suspect(&mut self, now: Time, vm: &Vm, err: &peer::Error) {
        let silent = matches!(
            err,
            peer::Error::Unreachable(_)
                | peer::Error::Unresponsive { .. }
                | peer::Error::Disconnected { .. }
        );
        if silent {
            let event = membership::Event::LinkObserved {
                vm: vm.clone(),
                reachable: false,
            };
            let actions = self.membership.handle(now, event);
            self.carry_out(now, actions);
        }
    }

    pub(super) fn carry_out(&mut self, now: Time, actions: membership::Actions) {
        let mut changed = false;
        for action in actions {
            match action {
                membership::Action::Send { to, message } => self.gossip.send(to, &message),
                membership::Action::MemberChanged(member) => changed |= self.change_member(&member),
                membership::Action::VersionAnnounced { vm, version } => {
                    let event = generation::Event::Announced { vm, version };
                    let actions = self.generations.handle(now, event);
                    self.configure(now, actions);
                }
                membership::Action::Joined => info!(self.log, "joined the fleet"),
                membership::Action::Replaced => {
                    error!(self.log, "another process has this VM's name; stopping");
                    self.stopping = true;
                    self.shared.replaced.store(true, Ordering::Release);
                }
            }
        }
        if changed {
            self.place_pollers(now);
            self.reconcile(now);
            self.burn_event(burn::Event::MembersChanged);
        }
    }

    /// Takes a member's change; true when it changes who may be a dispatcher.
    fn change_member(&mut self, member: &Member) -> bool {
        info!(self.log, "member changed"; "member" => %member.vm, "state" => %member.state,
            "incarnation" => %member.incarnation, "leaving" => member.leaving);
        self.addresses
            .insert(member.vm.clone(), member.place.address);
        let live = member.state.is_member() && !member.leaving;
        if live {
            self.placement.add(&member.vm, &member.place.zone);
        } else {
            self.placement.remove(&member.vm);
        }
        if !member.state.is_member() {
            self.addresses.remove(&member.vm);
        }
        true
    }

    /// Tells whether this VM polls the platform's head record.
    pub(super) fn place_pollers(&mut self, now: Time) {
        let zone = &self.settings.zone;
        let own = self.membership.live().filter(|(_, place)| *place == zone);
        let pollers = placement::pollers(zone, own.map(|(vm, _)| vm));
        let poller = pollers.contains(&self.settings.vm);
        let actions = self
            .generations
            .handle(now, generation::Event::PollerChanged(poller));
        self.configure(now, actions);
    }

    pub(super) fn configure(&mut self, now: Time, actions: generation::Actions) {
        for action in actions {
            match action {
                generation::Action::ReadHead => self.read_head(),
                generation::Action::FetchPeer { vm, hash, base } => {
                    self.fetch_peer(now, &vm, hash, base);
                }
                generation::Action::FetchStore { hash } => self.fetch_store(hash),
                generation::Action::Install { version, bundle } => {
                    self.install(now, version, &bundle);
                }
                generation::Action::Serve { vm, answer, .. } => self.send_bundle(&vm, answer),
                generation::Action::Ready => info!(self.log, "ready"),
            }
        }
    }

    /// Puts a configuration in force.
    fn install(&mut self, now: Time, version: Version, body: &[u8]) {
        let bundle = match Bundle::decode(body) {
            Ok(bundle) => bundle,
            Err(err) => {
                // The publisher checks a bundle, so this is a bundle of a newer program.
                error!(self.log, "bundle can't be read"; "error" => %err);
                return;
            }
        };
        info!(self.log, "configuration in force"; "generation" => version.generation,
            "hash" => %version.hash);
        self.bundle = Arc::new(bundle);
        self.shared
            .metrics
            .generation
            .set(version.generation.cast_signed());
        let actions = self
            .membership
            .handle(now, membership::Event::VersionInstalled(version));
        self.carry_out(now, actions);
        self.reconcile(now);
        self.declare_objectives();
    }

    fn read_head(&self) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = match platform.read::<Head>(HEAD_TABLE, HEAD_KEY).await {
                Ok(row) => generation::Event::HeadRead(row.map(|row| row.value)),
                Err(_err) => generation::Event::HeadReadFailed,
            };
            let _ended = inputs.send(Input::Head(event));
        });
    }

    fn fetch_peer(&self, now: Time, vm: &Vm, hash: BundleHash, base: Option<BundleHash>) {
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        let address = self.address(vm);
        let deadline = self.clock.instant(now + BUNDLE_LIMIT);
        self.io.spawn(async move {
            let answer = match address {
                Some(to) => peers.bundle(to, hash, base, deadline).await.ok(),
                None => None,
            };
            let body = match answer {
                Some(generation::Answer::Body(body)) => Some(body),
                _ => None,
            };
            let _ended = inputs.send(Input::Body(hash, body));
        });
    }

    /// Sends a bundle to the VM that asked for it.
    fn send_bundle(&mut self, vm: &Vm, answer: generation::Answer) {
        if let Some(index) = self.bundle_asks.iter().position(|(from, _)| from == vm) {
            let (_, reply) = self.bundle_asks.swap_remove(index);
            let _gone = reply.send(answer);
        }
    }

    fn fetch_store(&self, hash: BundleHash) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let body = platform.object(&hash.to_string()).await.ok().flatten();
            let body = body.map(|body| generation::Body::Whole(Arc::from(body)));
            let _ended = inputs.send(Input::Body(hash, body));
        });
    }

    /// Takes the platform's head record.
    pub(super) fn take_head(&mut self, event: generation::Event) {
        let now = self.clock.now();
        let actions = self.generations.handle(now, event);
        self.configure(now, actions);
    }

    /// Takes a bundle that was fetched.
    pub(super) fn take_body(&mut self, hash: BundleHash, body: Option<generation::Body>) {
        let now = self.clock.now();
        let event = match body {
            Some(body) => generation::Event::Fetched { hash, body },
            None => generation::Event::FetchFailed { hash },
        };
        let actions = self.generations.handle(now, event);
        self.configure(now, actions);
    }

    /// Reads the platform's list of VMs.
    fn list(&self) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let Ok(listed) = platform.vms().await else {
                return;
            };
            let leaving = listed.iter().filter(|it| it.state == VmState::Leaving);
            let leaving = leaving.map(|it| it.name.clone()).collect();
            let seed = |it: &ListedVm| Seed {
                vm: Some(Vm::from(it.name.as_str())),
                address: it.address,
            };
            // A listed VM without a port can't be asked.
            let seeds = listed
                .iter()
                .filter(|it| it.state != VmState::Leaving && it.address.port() != 0)
                .map(seed)
                .collect();
            let _ended = inputs.send(Input::Listed(seeds, leaving));
        });
    }

    /// Takes the platform's list of VMs, which also names the upstreams that leave.
    pub(super) fn take_list(&mut self, mut seeds: Vec<Seed>, leaving: Vec<String>) {
        let now = self.clock.now();
        let upstreams: HashSet<String> = self.upstream_names();
        seeds.retain(|it| {
            it.vm
                .as_ref()
                .is_none_or(|vm| !upstreams.contains(vm.as_str()))
        });
        let actions = self.membership.handle(now, membership::Event::Seeds(seeds));
        self.carry_out(now, actions);
        let named = leaving.into_iter().filter(|name| upstreams.contains(name));
        self.set_leaving(named.map(Upstream::from).collect());
    }

    fn upstream_names(&self) -> HashSet<String> {
        let groups = self.bundle.declarations().iter().flat_map(|it| &it.groups);
        groups
            .flat_map(|it| &it.upstreams)
            .map(|it| it.name.to_string())
            .collect()
    }

    /// Takes new work away from leaving upstreams and moves their primaries.
    fn set_leaving(&mut self, leaving: HashSet<Upstream>) {
        if leaving == self.leaving {
            return;
        }
        for name in leaving.symmetric_difference(&self.leaving) {
            warn!(self.log, "upstream changes state"; "upstream" => %name,
                "leaving" => leaving.contains(name));
        }
        self.leaving = leaving;
        self.tell_leaving();
    }

    /// Tells the coordinators which upstreams are leaving.
    pub(super) fn tell_leaving(&mut self) {
        let mut events = Vec::new();
        for (id, group) in &self.groups {
            for (index, spec) in group.spec.upstreams.iter().enumerate() {
                let leaving = self.leaving.contains(&spec.name);
                let event = failover::Event::Leaving { index, leaving };
                events.push((id.clone(), event));
            }
        }
        for (id, event) in events {
            self.group_event(&id, event);
        }
    }

    /// Takes a call of another VM.
    pub(super) fn serve_peer(&mut self, inbound: Inbound) {
        let now = self.clock.now();
        match inbound {
            Inbound::Forward { request, reply } => self.serve_remote(request, None, reply),
            Inbound::Transaction {
                step,
                request,
                reply,
            } => {
                self.serve_remote(request, Some(step), reply);
            }
            Inbound::GroupState { group, reply } => {
                let _gone = reply.send(self.group_state(now, &group));
            }
            Inbound::Bundle {
                from,
                hash,
                base,
                reply,
            } => {
                self.bundle_asks.push((from.clone(), reply));
                let event = generation::Event::Requested {
                    vm: from.clone(),
                    hash,
                    base,
                };
                let actions = self.generations.handle(now, event);
                self.configure(now, actions);
                let actions = self
                    .generations
                    .handle(now, generation::Event::TransferEnded { vm: from });
                self.configure(now, actions);
            }
            Inbound::BurnDelta { delta, reply, .. } => {
                self.merge_burn(&delta);
                let _gone = reply.send(());
            }
            Inbound::Handover { reply, .. } => {
                let _gone = reply.send(true);
            }
            Inbound::Ping { reply } => {
                let pong = Pong {
                    generation: self.generation(),
                    load: Default::default(),
                };
                let _gone = reply.send(pong);
            }
            Inbound::LinkFailed { peer, error } => {
                let found = self.addresses.iter().find(|(_, address)| **address == peer);
                if let Some(vm) = found.map(|(vm, _)| vm.clone()) {
                    self.suspect(now, &vm, &error);
                }
            }
        }
    }

    fn serve_remote(
        &mut self,
        request: crate::peer::Request,
        step: Option<crate::peer::message::Step>,
        reply: tokio::sync::oneshot::Sender<crate::peer::Reply>,
    ) {
        let answer = move |message| {
            // The entry has gone away or its deadline has passed.
            let _gone = reply.send(message);
        };
        self.serve_request(request, step, Box::new(answer));
    }
}
