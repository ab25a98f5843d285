//! What an entry knows of the groups it routes to.

use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::route::{self, DispatcherOrder, GroupCache};
use chervildrift_core::types::{GroupId, Rank, Time, Vm};
use smallvec::SmallVec;

use super::Input;
use super::entry::find_group;
use super::node::Node;
use crate::peer::message::{GroupState, Load};

/// Time limit of a request for the state of a group.
const ASK_LIMIT: Duration = Duration::from_millis(300);

impl Node {
    /// Takes the state of a group that this VM observes itself.
    pub(super) fn learn_locally(&mut self, now: Time, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let group = pending.group.clone();
        if let Some(state) = self.group_state(now, &group) {
            self.learn(now, &group, &state, None);
        }
    }

    /// Takes the state of a group that was told by a dispatcher.
    pub(super) fn learn(
        &mut self,
        sent: Time,
        group: &GroupId,
        state: &GroupState,
        load: Option<(usize, Load)>,
    ) {
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.service(group.service.as_str());
        let Some(spec) = declaration.and_then(|it| find_group(it, group)) else {
            return;
        };
        let cache = self.entry.caches.entry(group.clone()).or_default();
        let told = spec.upstreams.iter().zip(&state.upstreams).enumerate();
        let upstreams = told.map(|(index, (spec, state))| {
            let known = cache.upstreams.get(index).map(|it| it.queue_waits);
            let fresh = load.filter(|(at, _)| *at == index).map(|(_, load)| load);
            let own = state
                .load
                .iter()
                .any(|load| *load > 0)
                .then_some(state.load);
            let queues = fresh.or(own).map(queues).or(known);
            route::UpstreamState {
                zone: spec.zone.clone(),
                applied: state.applied,
                data_age: state.age,
                queue_waits: queues.unwrap_or_default(),
                rtt: Duration::ZERO,
                accepting: state.age.is_some() && !self.leaving.contains(&spec.name),
            }
        });
        let told = GroupCache {
            updated_at: Some(sent),
            term: state.term,
            primary: state.primary.map(|index| index as usize),
            upstreams: upstreams.collect(),
        };
        cache.update(told);
    }

    /// Asks a dispatcher for the state of a group, one at a time for each group.
    pub(super) fn ask(&mut self, now: Time, group: &GroupId, ranked: &[DispatcherOrder]) {
        let asked = self.entry.asking.get(group);
        if asked.is_some_and(|since| now.since(*since) < ASK_LIMIT) {
            return;
        }
        let mut others: SmallVec<[&Vm; 8]> = ranked.iter().flatten().collect();
        others.retain(|vm| **vm != self.settings.vm);
        if others.is_empty() {
            return;
        }
        let choice = self.rng.below(others.len() as u64) as usize;
        let Some(address) = self.address(others[choice]) else {
            return;
        };
        self.entry.asking.insert(group.clone(), now);
        let (peers, inputs, group) = (self.peers.clone(), self.inputs.clone(), group.clone());
        let deadline = self.clock.instant(now + ASK_LIMIT);
        self.io.spawn(async move {
            let state = peers.group_state(address, group.clone(), deadline).await;
            let state = state.ok().flatten();
            let _ended = inputs.send(Input::Told(group, now, state));
        });
    }

    /// Takes the answer to a request for the state of a group.
    pub(super) fn told(&mut self, group: &GroupId, sent: Time, state: Option<GroupState>) {
        self.entry.asking.remove(group);
        if let Some(state) = state {
            self.learn(sent, group, &state, None);
        }
    }
}

pub(super) fn queues(load: Load) -> [Duration; Rank::COUNT] {
    load.map(|ms| Duration::from_millis(u64::from(ms)))
}
