//! State of one VM, owned by its event loop.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use chervildrift_core::burn::BurnCounters;
use chervildrift_core::config::{Bundle, GroupSpec, Settings};
use chervildrift_core::failover::{Action, Answer, Event, Promoter};
use chervildrift_core::generation::{self, Generations};
use chervildrift_core::membership::Membership;
use chervildrift_core::placement::{self, Placement};
use chervildrift_core::rng::Rng;
use chervildrift_core::token::TokenSigner;
use chervildrift_core::types::{GroupId, Status, Time, Upstream, Vm};
use slog::{Logger, info};
use tokio::runtime;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::clock::Clock;
use super::completion::reply_to_write;
use super::dispatcher::Dispatcher;
use super::entry::Entry;
use super::group::{Candidate, Group};
use super::trace_writer::TraceDirectory;
use super::{Input, SharedState};
use crate::control_store::Platform;
use crate::peer::message::GroupState;
use crate::upstream::Login;
use crate::{gossip, peer};

/// State of one VM.
#[derive(Debug)]
pub(super) struct Node {
    pub settings: Settings,
    pub log: Logger,
    pub clock: Clock,
    pub io: runtime::Handle,
    pub inputs: UnboundedSender<Input>,
    pub shared: Arc<SharedState>,
    pub signer: TokenSigner,
    pub rng: Rng,
    pub peers: peer::Handle,
    pub gossip: gossip::Handle,
    pub platform: Platform,
    pub membership: Membership,
    pub placement: Placement,
    pub addresses: HashMap<Vm, SocketAddr>,
    pub generations: Generations,
    pub bundle: Arc<Bundle>,
    /// VMs that requested a bundle, with the channels for the answers.
    pub bundle_requests: Vec<(Vm, oneshot::Sender<generation::Answer>)>,
    pub groups: HashMap<GroupId, Group>,
    pub dispatchers: HashMap<Upstream, Dispatcher>,
    pub entry: Entry,
    /// Identity of this process in fences and promotions.
    pub promoter: Promoter,
    /// Directory for traces of the coordinators, if they are recorded.
    pub trace_directory: Option<TraceDirectory>,
    /// Upstreams that the platform lists as leaving.
    pub leaving: HashSet<Upstream>,
    /// Time of the next read of the platform's list of VMs.
    pub list_due: Time,
    pub burn: BurnCounters,
    /// Time of the next tick of the burn rate counters.
    pub burn_due: Time,
    pub stopping: bool,
    pub last_number: u64,
}

/// Borrows the handles that actions need to run outside the event loop.
macro_rules! io_context {
    ($node:expr) => {
        $crate::serve::group::IoContext {
            io: &$node.io,
            clock: $node.clock,
            log: &$node.log,
            inputs: &$node.inputs,
        }
    };
}
pub(super) use io_context;

impl Node {
    /// Returns a number that is unique in this process.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the generation of the current configuration.
    pub(super) fn generation(&self) -> u64 {
        self.generations.version().generation
    }

    /// Returns the credentials for the upstreams.
    pub(super) fn login(&self) -> Login {
        let login = &self.settings.upstreams;
        Login {
            user: login.user.clone(),
            password: login.password.clone(),
            database: login.database.clone(),
        }
    }

    /// Returns the state of a group if this VM observes it.
    pub(super) fn group_state(&mut self, now: Time, id: &GroupId) -> Option<GroupState> {
        let group = self.groups.get(id)?;
        let mut state = group.group_state(now);
        for (spec, upstream) in group.spec.upstreams.iter().zip(&mut state.upstreams) {
            if let Some(dispatcher) = self.dispatchers.get_mut(&spec.name) {
                upstream.load = dispatcher.load();
            }
        }
        Some(state)
    }

    /// Returns the age of the data of an upstream.
    pub(super) fn data_age(&self, now: Time, name: &Upstream) -> Option<std::time::Duration> {
        let dispatcher = self.dispatchers.get(name)?;
        let group = self.groups.get(&dispatcher.group)?;
        group.coordinator.view().data_age(now, dispatcher.index)
    }

    /// Passes the status that came with a read to the coordinator, like that of a status read.
    pub(super) fn record_status(&mut self, name: &Upstream, sent: Time, status: Status) {
        let Some(dispatcher) = self.dispatchers.get(name) else {
            return;
        };
        let (group, index) = (dispatcher.group.clone(), dispatcher.index);
        self.handle_group_event(
            &group,
            Event::Observed {
                index,
                sent,
                status: Some(status),
            },
        );
    }

    /// Passes an event to a group's coordinator and applies the results.
    pub(super) fn handle_group_event(&mut self, id: &GroupId, event: Event) {
        let now = self.clock.now();
        let context = io_context!(self);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if let Event::Promoted {
            answer: Some(Answer::Granted { .. }),
            ..
        } = event
        {
            let labels = [id.service.as_str(), id.instance.as_str()];
            self.shared
                .metrics
                .promotions
                .with_label_values(&labels)
                .inc();
        }
        if let Event::Promoted {
            index,
            term,
            answer,
        } = event
        {
            info!(self.log, "promotion ended"; "group" => %id, "index" => index,
                "term" => %term, "answer" => ?answer);
        }
        let actions = group.handle(now, event, &context);
        let changed = group.take_primary_change();
        let completed = group.take_completed_writes(now);
        group.read_for_confirmations(now, &context);
        for (outcome, write) in completed {
            reply_to_write(outcome, write);
        }
        for action in actions {
            self.set_paused(now, id, action == Action::Hold);
        }
        if let Some((index, term)) = changed {
            info!(self.log, "primary changed"; "group" => %id, "index" => index, "term" => %term);
            self.start_ramp(now, id, index);
            self.abort_replaced_writes(id, index);
        }
    }

    /// Pauses or resumes the queues of a group's dispatchers.
    fn set_paused(&mut self, now: Time, id: &GroupId, paused: bool) {
        for dispatcher in self.dispatchers.values_mut().filter(|it| it.group == *id) {
            if paused {
                dispatcher.scheduler.pause(now);
            } else {
                dispatcher.scheduler.resume(now);
            }
        }
    }

    /// Starts to open the slots of a new primary one by one.
    ///
    /// Otherwise all requests that waited for it would reach it at once.
    fn start_ramp(&mut self, now: Time, id: &GroupId, index: usize) {
        let is_primary = |it: &&mut Dispatcher| it.group == *id && it.index == index;
        if let Some(dispatcher) = self.dispatchers.values_mut().find(is_primary) {
            dispatcher.scheduler.resume(now);
        }
    }

    /// Aborts the writes at upstreams that are not the primary any more.
    fn abort_replaced_writes(&mut self, id: &GroupId, primary: usize) {
        let replaced = |it: &&Dispatcher| it.group == *id && it.index != primary;
        let names: Vec<Upstream> = self
            .dispatchers
            .values()
            .filter(replaced)
            .map(|it| it.spec.name.clone())
            .collect();
        for name in &names {
            self.abort_running_jobs(name, false);
        }
    }

    /// Aborts the jobs at upstreams that no longer answer.
    fn abort_unresponsive(&mut self, now: Time) {
        let unresponsive = |it: &&Dispatcher| {
            let group = self.groups.get(&it.group);
            group.is_some_and(|group| group.is_unresponsive(now, it.index))
        };
        let names: Vec<Upstream> = self
            .dispatchers
            .values()
            .filter(unresponsive)
            .map(|it| it.spec.name.clone())
            .collect();
        for name in &names {
            self.abort_running_jobs(name, true);
        }
    }

    /// Updates everything that depends on time.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in &groups {
            self.handle_group_event(id, Event::Tick);
        }
        self.abort_unresponsive(now);
        self.expire_transactions(now);
        let names: Vec<Upstream> = self.dispatchers.keys().cloned().collect();
        for name in &names {
            self.start_jobs(now, name);
        }
        self.route_due_calls(now);
        self.tick_fleet(now);
    }

    /// Creates the dispatcher of an upstream if necessary; false if the upstream is not declared.
    ///
    /// An entry may choose this VM by a newer or older view of the members than its own. Accepting
    /// the work in either case costs only connections, since all guarantees rest on the upstreams'
    /// terms.
    pub(super) fn ensure_dispatcher(&mut self, name: &Upstream) -> bool {
        if self.dispatchers.contains_key(name) {
            return true;
        }
        let bundle = Arc::clone(&self.bundle);
        for declaration in bundle.declarations() {
            for spec in &declaration.groups {
                let found = spec.upstreams.iter().position(|it| it.name == *name);
                let Some(index) = found else { continue };
                let group = declaration.group_id(spec);
                self.observe_group(&group, spec);
                let upstream = &spec.upstreams[index];
                let login = self.login();
                let dispatcher = Dispatcher::new(declaration, group, index, upstream, &login);
                self.dispatchers.insert(name.clone(), dispatcher);
                return true;
            }
        }
        false
    }

    /// Starts to observe a group unless this VM already does.
    fn observe_group(&mut self, id: &GroupId, spec: &GroupSpec) {
        if self.groups.contains_key(id) {
            return;
        }
        let now = self.clock.now();
        let rank = self.candidate_rank(id);
        let seed = self.rng.next();
        let login = self.login();
        let trace_directory = self.trace_directory.as_ref();
        let candidate = Candidate {
            promoter: &self.promoter,
            rank,
            seed,
        };
        let group = Group::new(now, id.clone(), spec, &candidate, &login, trace_directory);
        self.groups.insert(id.clone(), group);
        // Upstreams may have been listed as leaving before this group was observed.
        if !self.leaving.is_empty() {
            self.notify_coordinators();
        }
    }

    /// Returns this VM's rank among the candidates of a group.
    pub(super) fn candidate_rank(&mut self, id: &GroupId) -> u32 {
        let candidates = self.candidates(id);
        let order = placement::rendezvous_order(&id.to_string(), &candidates);
        let index = order.iter().position(|vm| *vm == self.settings.vm);
        index.unwrap_or(order.len()) as u32
    }

    /// Returns the candidates of a group, which are the dispatchers of its upstreams.
    fn candidates(&mut self, id: &GroupId) -> Vec<Vm> {
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.declaration(id.service.as_str());
        let group =
            declaration.and_then(|it| it.groups.iter().find(|group| group.instance == id.instance));
        let mut vms = Vec::new();
        for spec in group.map(|it| it.upstreams.as_slice()).unwrap_or_default() {
            if let Some(vm) = self.placement.dispatcher(&spec.name, &spec.zone)
                && !vms.contains(vm)
            {
                vms.push(vm.clone());
            }
        }
        vms
    }

    /// Creates and closes dispatchers and groups after a change of members or configuration.
    pub(super) fn reconcile(&mut self, now: Time) {
        let bundle = Arc::clone(&self.bundle);
        let own_vm = self.settings.vm.clone();
        for declaration in bundle.declarations() {
            for group in &declaration.groups {
                for spec in &group.upstreams {
                    let owner = self.placement.dispatcher(&spec.name, &spec.zone);
                    if owner == Some(&own_vm) {
                        self.ensure_dispatcher(&spec.name);
                    }
                    if let Some(dispatcher) = self.dispatchers.get_mut(&spec.name) {
                        dispatcher.apply_declaration(now, declaration, spec);
                    }
                }
                self.refresh_group(&declaration.group_id(group), group);
            }
        }
        self.close_idle_dispatchers(now);
    }

    /// Updates this VM's rank in a group, and recreates the group if its declaration changed.
    fn refresh_group(&mut self, id: &GroupId, spec: &GroupSpec) {
        let Some(group) = self.groups.get(id) else {
            return;
        };
        if group.spec != *spec && group.unconfirmed.is_empty() {
            self.groups.remove(id);
            self.observe_group(id, spec);
        }
        let rank = self.candidate_rank(id);
        self.handle_group_event(id, Event::Ranked { rank });
    }

    /// Closes idle dispatchers that are no longer assigned to this VM, and groups without any.
    pub(super) fn close_idle_dispatchers(&mut self, now: Time) {
        let own_vm = self.settings.vm.clone();
        let placement = &mut self.placement;
        let stopping = self.stopping;
        self.dispatchers.retain(|name, it| {
            let chosen = placement.dispatcher(name, &it.spec.zone) == Some(&own_vm);
            let unused =
                it.is_idle() && now.since(it.last_request) > super::DISPATCHER_IDLE_TIMEOUT;
            (chosen && !stopping) || !unused
        });
        let dispatchers = &self.dispatchers;
        self.groups.retain(|id, group| {
            !group.unconfirmed.is_empty() || dispatchers.values().any(|it| it.group == *id)
        });
    }
}
