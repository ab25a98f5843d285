//! State of one VM, owned by its event loop.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use chervildrift_core::burn::Burn;
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
use super::conclude::confirm;
use super::dispatcher::Dispatcher;
use super::entry::Entry;
use super::group::{Candidate, Group};
use super::record::Recorder;
use super::{Input, Shared};
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
    pub shared: Arc<Shared>,
    pub sealer: TokenSigner,
    pub rng: Rng,
    pub peers: peer::Handle,
    pub gossip: gossip::Handle,
    pub platform: Platform,
    pub membership: Membership,
    pub placement: Placement,
    pub addresses: HashMap<Vm, SocketAddr>,
    pub generations: Generations,
    pub bundle: Arc<Bundle>,
    /// VMs that wait for a bundle.
    pub bundle_asks: Vec<(Vm, oneshot::Sender<generation::Answer>)>,
    pub groups: HashMap<GroupId, Group>,
    pub dispatchers: HashMap<Upstream, Dispatcher>,
    pub entry: Entry,
    /// Identity of this process in fences and promotions.
    pub promoter: Promoter,
    /// Writes traces of the coordinators, if told to.
    pub recorder: Option<Recorder>,
    /// Upstreams that the platform lists as leaving.
    pub leaving: HashSet<Upstream>,
    /// Time of the next read of the platform's list.
    pub list_at: Time,
    pub burn: Burn,
    /// Time of the next tick of the burn counters.
    pub burn_at: Time,
    pub stopping: bool,
    pub number: u64,
}

/// Borrows what actions outside the event loop need.
macro_rules! outside {
    ($node:expr) => {
        $crate::serve::group::Outside {
            io: &$node.io,
            clock: $node.clock,
            log: &$node.log,
            inputs: &$node.inputs,
        }
    };
}
pub(super) use outside;

impl Node {
    /// Returns a number that is unique in this process.
    pub(super) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Returns the generation in force.
    pub(super) fn generation(&self) -> u64 {
        self.generations.version().generation
    }

    /// Returns the login at the upstreams.
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
        let mut state = group.state(now);
        for (spec, upstream) in group.spec.upstreams.iter().zip(&mut state.upstreams) {
            if let Some(dispatcher) = self.dispatchers.get_mut(&spec.name) {
                upstream.load = dispatcher.load();
            }
        }
        Some(state)
    }

    /// Returns the age of the data of an upstream.
    pub(super) fn age(&self, now: Time, name: &Upstream) -> Option<std::time::Duration> {
        let dispatcher = self.dispatchers.get(name)?;
        let group = self.groups.get(&dispatcher.group)?;
        group.coordinator.view().data_age(now, dispatcher.index)
    }

    /// Counts the status that came with a read as a status read.
    pub(super) fn observe(&mut self, name: &Upstream, sent: Time, status: Status) {
        let Some(dispatcher) = self.dispatchers.get(name) else {
            return;
        };
        let (group, index) = (dispatcher.group.clone(), dispatcher.index);
        self.group_event(
            &group,
            Event::Observed {
                index,
                sent,
                status: Some(status),
            },
        );
    }

    /// Tells a group's coordinator of an event and carries out what follows.
    pub(super) fn group_event(&mut self, id: &GroupId, event: Event) {
        let now = self.clock.now();
        let outside = outside!(self);
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
        let orders = group.handle(now, event, &outside);
        let changed = group.changed_primary();
        let confirmed = group.confirmations(now);
        group.seek_confirmation(now, &outside);
        for (outcome, write) in confirmed {
            confirm(outcome, write);
        }
        for order in orders {
            self.gate(now, id, order == Action::Hold);
        }
        if let Some((index, term)) = changed {
            info!(self.log, "primary changed"; "group" => %id, "index" => index, "term" => %term);
            self.open_ramp(now, id, index);
            self.abort_replaced(id, index);
        }
    }

    /// Holds or resumes the work for the primary of a group.
    fn gate(&mut self, now: Time, id: &GroupId, hold: bool) {
        for dispatcher in self.dispatchers.values_mut().filter(|it| it.group == *id) {
            if hold {
                dispatcher.scheduler.pause(now);
            } else {
                dispatcher.scheduler.resume(now);
            }
        }
    }

    /// Opens the slots of a new primary one by one.
    ///
    /// The requests that waited for it would otherwise all reach it at once.
    fn open_ramp(&mut self, now: Time, id: &GroupId, index: usize) {
        let owned = |it: &&mut Dispatcher| it.group == *id && it.index == index;
        if let Some(dispatcher) = self.dispatchers.values_mut().find(owned) {
            dispatcher.scheduler.resume(now);
        }
    }

    /// Ends the writes at upstreams that are not the primary any more.
    fn abort_replaced(&mut self, id: &GroupId, primary: usize) {
        let replaced = |it: &&Dispatcher| it.group == *id && it.index != primary;
        let names: Vec<Upstream> = self
            .dispatchers
            .values()
            .filter(replaced)
            .map(|it| it.spec.name.clone())
            .collect();
        for name in &names {
            self.abort_running(name, false);
        }
    }

    /// Ends the work at upstreams that no longer answer.
    fn abort_silent(&mut self, now: Time) {
        let silent = |it: &&Dispatcher| {
            let group = self.groups.get(&it.group);
            group.is_some_and(|group| group.is_silent(now, it.index))
        };
        let names: Vec<Upstream> = self
            .dispatchers
            .values()
            .filter(silent)
            .map(|it| it.spec.name.clone())
            .collect();
        for name in &names {
            self.abort_running(name, true);
        }
    }

    /// Passes time to everything that waits for it.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in &groups {
            self.group_event(id, Event::Tick);
        }
        self.abort_silent(now);
        self.expire_transactions(now);
        let names: Vec<Upstream> = self.dispatchers.keys().cloned().collect();
        for name in &names {
            self.pump(now, name);
        }
        self.route_held(now);
        self.tick_fleet(now);
    }

    /// Opens the dispatcher of an upstream that an entry chose this VM for.
    ///
    /// The entry's view of the members may be newer or older than this VM's. Taking the work in
    /// either case costs connections only, since every promise rests on the upstreams' terms.
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
                let dispatcher = Dispatcher::open(declaration, group, index, upstream, &login);
                self.dispatchers.insert(name.clone(), dispatcher);
                return true;
            }
        }
        false
    }

    /// Opens the observer of a group unless there is one.
    fn observe_group(&mut self, id: &GroupId, spec: &GroupSpec) {
        if self.groups.contains_key(id) {
            return;
        }
        let now = self.clock.now();
        let rank = self.candidate_rank(id);
        let seed = self.rng.next();
        let login = self.login();
        let recorder = self.recorder.as_ref();
        let candidate = Candidate {
            promoter: &self.promoter,
            rank,
            seed,
        };
        let group = Group::open(now, id.clone(), spec, &candidate, &login, recorder);
        self.groups.insert(id.clone(), group);
        // The list may have named leaving upstreams before this group was observed.
        if !self.leaving.is_empty() {
            self.tell_leaving();
        }
    }

    /// Returns this VM's place among the candidates of a group.
    pub(super) fn candidate_rank(&mut self, id: &GroupId) -> u32 {
        let candidates = self.candidates(id);
        let order = placement::rendezvous_order(&id.to_string(), &candidates);
        let place = order.iter().position(|vm| *vm == self.settings.vm);
        place.unwrap_or(order.len()) as u32
    }

    /// Returns the dispatchers of a group's upstreams.
    fn candidates(&mut self, id: &GroupId) -> Vec<Vm> {
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.service(id.service.as_str());
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

    /// Opens and closes dispatchers and observers after a change of members or configuration.
    pub(super) fn reconcile(&mut self, now: Time) {
        let bundle = Arc::clone(&self.bundle);
        let me = self.settings.vm.clone();
        for declaration in bundle.declarations() {
            for group in &declaration.groups {
                for spec in &group.upstreams {
                    let owner = self.placement.dispatcher(&spec.name, &spec.zone);
                    if owner == Some(&me) {
                        self.ensure_dispatcher(&spec.name);
                    }
                    if let Some(dispatcher) = self.dispatchers.get_mut(&spec.name) {
                        dispatcher.apply(now, declaration, spec);
                    }
                }
                self.refresh_group(&declaration.group_id(group), group);
            }
        }
        self.close_idle(now);
    }

    /// Gives a group its new rank or, when its upstreams changed, a new observer.
    fn refresh_group(&mut self, id: &GroupId, spec: &GroupSpec) {
        let Some(group) = self.groups.get(id) else {
            return;
        };
        if group.spec != *spec && group.unconfirmed.is_empty() {
            self.groups.remove(id);
            self.observe_group(id, spec);
        }
        let rank = self.candidate_rank(id);
        self.group_event(id, Event::Ranked { rank });
    }

    /// Closes the dispatchers that this VM is no longer chosen for, once their work has ended.
    pub(super) fn close_idle(&mut self, now: Time) {
        let me = self.settings.vm.clone();
        let placement = &mut self.placement;
        let stopping = self.stopping;
        self.dispatchers.retain(|name, it| {
            let chosen = placement.dispatcher(name, &it.spec.zone) == Some(&me);
            let quiet = it.is_idle() && now.since(it.used) > super::DISPATCHER_IDLE;
            (chosen && !stopping) || !quiet
        });
        let dispatchers = &self.dispatchers;
        self.groups.retain(|id, group| {
            !group.unconfirmed.is_empty() || dispatchers.values().any(|it| it.group == *id)
        });
    }
}
