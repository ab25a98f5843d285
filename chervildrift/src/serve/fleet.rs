//! Membership, configuration and calls of other VMs.

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

/// Table of the head record, which names the latest bundle.
pub const HEAD_TABLE: &str = "config";

/// Key of the head record.
pub const HEAD_KEY: &str = "head";

/// Time between two reads of the platform's list of VMs.
const VM_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time limit of a bundle's transfer from a peer.
const BUNDLE_TIMEOUT: Duration = Duration::from_secs(1);

impl Node {
    /// Updates the membership, the configuration and the burn rate counters on a tick.
    pub(super) fn tick_fleet(&mut self, now: Time) {
        let actions = self.membership.handle(now, membership::Event::Tick);
        self.run_membership_actions(now, actions);
        let actions = self.generations.handle(now, generation::Event::Tick);
        self.run_generation_actions(now, actions);
        if now >= self.list_due {
            self.list_due = now + VM_LIST_PERIOD;
            self.fetch_vm_list();
            self.close_idle_dispatchers(now);
        }
        let ready = self.generations.is_ready() && !self.stopping;
        self.tick_burn(now);
        self.shared.ready.store(ready, Ordering::Release);
    }

    /// Handles a membership message.
    pub(super) fn handle_datagram(&mut self, datagram: Datagram) {
        let now = self.clock.now();
        let Datagram { from, message } = datagram;
        let event = membership::Event::Message { from, message };
        let actions = self.membership.handle(now, event);
        self.run_membership_actions(now, actions);
    }

    /// Reports a VM as unreachable to the membership if a link error shows it.
    pub(super) fn report_link_error(&mut self, now: Time, vm: &Vm, err: &peer::Error) {
        let unreachable = matches!(
            err,
            peer::Error::Unreachable(_)
                | peer::Error::Unresponsive { .. }
                | peer::Error::Disconnected { .. }
        );
        if unreachable {
            let event = membership::Event::LinkObserved {
                vm: vm.clone(),
                reachable: false,
            };
            let actions = self.membership.handle(now, event);
            self.run_membership_actions(now, actions);
        }
    }

    /// Runs the actions of the membership.
    pub(super) fn run_membership_actions(&mut self, now: Time, actions: membership::Actions) {
        let mut changed = false;
        for action in actions {
            match action {
                membership::Action::Send { to, message } => self.gossip.send(to, &message),
                membership::Action::MemberChanged(member) => changed |= self.update_member(&member),
                membership::Action::VersionAnnounced { vm, version } => {
                    let event = generation::Event::Announced { vm, version };
                    let actions = self.generations.handle(now, event);
                    self.run_generation_actions(now, actions);
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
            self.update_poller_role(now);
            self.reconcile(now);
            self.handle_burn_event(burn::Event::MembersChanged);
        }
    }

    /// Applies a member's change; returns true if it may change the set of dispatchers.
    fn update_member(&mut self, member: &Member) -> bool {
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

    /// Updates whether this VM polls the platform's head record.
    pub(super) fn update_poller_role(&mut self, now: Time) {
        let zone = &self.settings.zone;
        let zone_vms = self.membership.live().filter(|(_, place)| *place == zone);
        let pollers = placement::pollers(zone, zone_vms.map(|(vm, _)| vm));
        let poller = pollers.contains(&self.settings.vm);
        let actions = self
            .generations
            .handle(now, generation::Event::PollerChanged(poller));
        self.run_generation_actions(now, actions);
    }

    /// Runs the actions of the configuration's generations.
    pub(super) fn run_generation_actions(&mut self, now: Time, actions: generation::Actions) {
        for action in actions {
            match action {
                generation::Action::ReadHead => self.read_head_record(),
                generation::Action::FetchPeer { vm, hash, base } => {
                    self.fetch_bundle_from_peer(now, &vm, hash, base);
                }
                generation::Action::FetchStore { hash } => self.fetch_bundle_from_store(hash),
                generation::Action::Install { version, bundle } => {
                    self.install_configuration(now, version, &bundle);
                }
                generation::Action::Serve { vm, answer, .. } => self.send_bundle(&vm, answer),
                generation::Action::Ready => info!(self.log, "ready"),
            }
        }
    }

    /// Applies a configuration.
    fn install_configuration(&mut self, now: Time, version: Version, body: &[u8]) {
        let bundle = match Bundle::decode(body) {
            Ok(bundle) => bundle,
            Err(err) => {
                // The publisher validates bundles, so a newer version of the program wrote it.
                error!(self.log, "can't decode the bundle"; "error" => %err);
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
        self.run_membership_actions(now, actions);
        self.reconcile(now);
        self.update_objectives();
    }

    fn read_head_record(&self) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let event = match platform.read::<Head>(HEAD_TABLE, HEAD_KEY).await {
                Ok(row) => generation::Event::HeadRead(row.map(|row| row.value)),
                Err(_err) => generation::Event::HeadReadFailed,
            };
            let _result = inputs.send(Input::HeadRecord(event));
        });
    }

    fn fetch_bundle_from_peer(
        &self,
        now: Time,
        vm: &Vm,
        hash: BundleHash,
        base: Option<BundleHash>,
    ) {
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        let address = self.peer_address(vm);
        let deadline = self.clock.instant(now + BUNDLE_TIMEOUT);
        self.io.spawn(async move {
            let answer = match address {
                Some(to) => peers.bundle(to, hash, base, deadline).await.ok(),
                None => None,
            };
            let body = match answer {
                Some(generation::Answer::Body(body)) => Some(body),
                _ => None,
            };
            let _result = inputs.send(Input::BundleBody(hash, body));
        });
    }

    /// Sends a bundle to the VM that requested it.
    fn send_bundle(&mut self, vm: &Vm, answer: generation::Answer) {
        if let Some(index) = self.bundle_requests.iter().position(|(from, _)| from == vm) {
            let (_, reply) = self.bundle_requests.swap_remove(index);
            let _result = reply.send(answer);
        }
    }

    fn fetch_bundle_from_store(&self, hash: BundleHash) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let body = platform.get_object(&hash.to_string()).await.ok().flatten();
            let body = body.map(|body| generation::Body::Whole(Arc::from(body)));
            let _result = inputs.send(Input::BundleBody(hash, body));
        });
    }

    /// Handles the result of a read of the platform's head record.
    pub(super) fn handle_head_record(&mut self, event: generation::Event) {
        let now = self.clock.now();
        let actions = self.generations.handle(now, event);
        self.run_generation_actions(now, actions);
    }

    /// Handles the result of fetching a bundle.
    pub(super) fn handle_bundle_body(&mut self, hash: BundleHash, body: Option<generation::Body>) {
        let now = self.clock.now();
        let event = match body {
            Some(body) => generation::Event::Fetched { hash, body },
            None => generation::Event::FetchFailed { hash },
        };
        let actions = self.generations.handle(now, event);
        self.run_generation_actions(now, actions);
    }

    /// Reads the platform's list of VMs.
    fn fetch_vm_list(&self) {
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        self.io.spawn(async move {
            let Ok(listed) = platform.list_vms().await else {
                return;
            };
            let leaving = listed.iter().filter(|it| it.state == VmState::Leaving);
            let leaving = leaving.map(|it| it.name.clone()).collect();
            let seed = |it: &ListedVm| Seed {
                vm: Some(Vm::from(it.name.as_str())),
                address: it.address,
            };
            // A listed VM without a port can't be contacted.
            let seeds = listed
                .iter()
                .filter(|it| it.state != VmState::Leaving && it.address.port() != 0)
                .map(seed)
                .collect();
            let _result = inputs.send(Input::VmList(seeds, leaving));
        });
    }

    /// Handles the platform's list of VMs, which also contains the leaving upstreams.
    pub(super) fn handle_vm_list(&mut self, mut seeds: Vec<Seed>, leaving: Vec<String>) {
        let now = self.clock.now();
        let upstreams: HashSet<String> = self.upstream_names();
        seeds.retain(|it| {
            it.vm
                .as_ref()
                .is_none_or(|vm| !upstreams.contains(vm.as_str()))
        });
        let actions = self.membership.handle(now, membership::Event::Seeds(seeds));
        self.run_membership_actions(now, actions);
        let leaving_upstreams = leaving.into_iter().filter(|name| upstreams.contains(name));
        self.update_leaving(leaving_upstreams.map(Upstream::from).collect());
    }

    fn upstream_names(&self) -> HashSet<String> {
        let groups = self.bundle.declarations().iter().flat_map(|it| &it.groups);
        groups
            .flat_map(|it| &it.upstreams)
            .map(|it| it.name.to_string())
            .collect()
    }

    /// Updates the leaving upstreams, which get no new work and lose the role of primary.
    fn update_leaving(&mut self, leaving: HashSet<Upstream>) {
        if leaving == self.leaving {
            return;
        }
        for name in leaving.symmetric_difference(&self.leaving) {
            warn!(self.log, "upstream changed state"; "upstream" => %name,
                "leaving" => leaving.contains(name));
        }
        self.leaving = leaving;
        self.notify_coordinators();
    }

    /// Notifies the coordinators of the leaving upstreams.
    pub(super) fn notify_coordinators(&mut self) {
        let mut events = Vec::new();
        for (id, group) in &self.groups {
            for (index, spec) in group.spec.upstreams.iter().enumerate() {
                let leaving = self.leaving.contains(&spec.name);
                let event = failover::Event::Leaving { index, leaving };
                events.push((id.clone(), event));
            }
        }
        for (id, event) in events {
            self.handle_group_event(&id, event);
        }
    }

    /// Handles a call of another VM.
    pub(super) fn handle_peer_call(&mut self, inbound: Inbound) {
        let now = self.clock.now();
        match inbound {
            Inbound::Forward { request, reply } => self.serve_peer_request(request, None, reply),
            Inbound::Transaction {
                step,
                request,
                reply,
            } => {
                self.serve_peer_request(request, Some(step), reply);
            }
            Inbound::GroupState { group, reply } => {
                let _result = reply.send(self.group_state(now, &group));
            }
            Inbound::Bundle {
                from,
                hash,
                base,
                reply,
            } => {
                self.bundle_requests.push((from.clone(), reply));
                let event = generation::Event::Requested {
                    vm: from.clone(),
                    hash,
                    base,
                };
                let actions = self.generations.handle(now, event);
                self.run_generation_actions(now, actions);
                let actions = self
                    .generations
                    .handle(now, generation::Event::TransferEnded { vm: from });
                self.run_generation_actions(now, actions);
            }
            Inbound::BurnDelta { delta, reply, .. } => {
                self.receive_burn_message(&delta);
                let _result = reply.send(());
            }
            Inbound::Handover { reply, .. } => {
                let _result = reply.send(true);
            }
            Inbound::Ping { reply } => {
                let pong = Pong {
                    generation: self.generation(),
                    load: Default::default(),
                };
                let _result = reply.send(pong);
            }
            Inbound::LinkFailed { peer, error } => {
                let found = self.addresses.iter().find(|(_, address)| **address == peer);
                if let Some(vm) = found.map(|(vm, _)| vm.clone()) {
                    self.report_link_error(now, &vm, &error);
                }
            }
        }
    }

    fn serve_peer_request(
        &mut self,
        request: crate::peer::Request,
        step: Option<crate::peer::message::TransactionStep>,
        reply: tokio::sync::oneshot::Sender<crate::peer::Reply>,
    ) {
        let answer = move |message| {
            // The entry may have disconnected, or its deadline may have passed.
            let _result = reply.send(message);
        };
        self.serve_request(request, step, Box::new(answer));
    }
}
