//! Cached state of the groups that an entry routes to.

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
const GROUP_STATE_TIMEOUT: Duration = Duration::from_millis(300);

impl Node {
    /// Caches the state of a call's group if this VM observes the group itself.
    pub(super) fn cache_observed_state(&mut self, now: Time, id: u64) {
        let Some(pending) = self.entry.calls.get(&id) else {
            return;
        };
        let group = pending.group.clone();
        if let Some(state) = self.group_state(now, &group) {
            self.update_group_cache(now, &group, &state, None);
        }
    }

    /// Caches the state of a group, and the load of one upstream's dispatcher if it is known.
    pub(super) fn update_group_cache(
        &mut self,
        sent: Time,
        group: &GroupId,
        state: &GroupState,
        load: Option<(usize, Load)>,
    ) {
        let bundle = Arc::clone(&self.bundle);
        let declaration = bundle.declaration(group.service.as_str());
        let Some(spec) = declaration.and_then(|it| find_group(it, group)) else {
            return;
        };
        let cache = self.entry.group_caches.entry(group.clone()).or_default();
        let reported = spec.upstreams.iter().zip(&state.upstreams).enumerate();
        let upstreams = reported.map(|(index, (spec, state))| {
            let known = cache.upstreams.get(index).map(|it| it.queue_waits);
            let fresh = load.filter(|(at, _)| *at == index).map(|(_, load)| load);
            let own = state
                .load
                .iter()
                .any(|load| *load > 0)
                .then_some(state.load);
            let queue_waits = fresh.or(own).map(load_to_waits).or(known);
            route::UpstreamState {
                zone: spec.zone.clone(),
                applied: state.applied,
                data_age: state.age,
                queue_waits: queue_waits.unwrap_or_default(),
                rtt: Duration::ZERO,
                accepting: state.age.is_some() && !self.leaving.contains(&spec.name),
            }
        });
        let update = GroupCache {
            updated_at: Some(sent),
            term: state.term,
            primary: state.primary.map(|index| index as usize),
            upstreams: upstreams.collect(),
        };
        cache.update(update);
    }

    /// Requests the state of a group from a random dispatcher, one request at a time per group.
    pub(super) fn request_group_state(
        &mut self,
        now: Time,
        group: &GroupId,
        dispatchers: &[DispatcherOrder],
    ) {
        let last_request = self.entry.state_requests.get(group);
        if last_request.is_some_and(|since| now.since(*since) < GROUP_STATE_TIMEOUT) {
            return;
        }
        let mut others: SmallVec<[&Vm; 8]> = dispatchers.iter().flatten().collect();
        others.retain(|vm| **vm != self.settings.vm);
        if others.is_empty() {
            return;
        }
        let choice = self.rng.below(others.len() as u64) as usize;
        let Some(address) = self.peer_address(others[choice]) else {
            return;
        };
        self.entry.state_requests.insert(group.clone(), now);
        let (peers, inputs, group) = (self.peers.clone(), self.inputs.clone(), group.clone());
        let deadline = self.clock.instant(now + GROUP_STATE_TIMEOUT);
        self.io.spawn(async move {
            let state = peers.group_state(address, group.clone(), deadline).await;
            let state = state.ok().flatten();
            let _result = inputs.send(Input::GroupState(group, now, state));
        });
    }

    /// Handles the answer to a request for the state of a group.
    pub(super) fn handle_group_state(
        &mut self,
        group: &GroupId,
        sent: Time,
        state: Option<GroupState>,
    ) {
        self.entry.state_requests.remove(group);
        if let Some(state) = state {
            self.update_group_cache(sent, group, &state, None);
        }
    }
}

/// Converts a load from milliseconds.
pub(super) fn load_to_waits(load: Load) -> [Duration; Rank::COUNT] {
    load.map(|ms| Duration::from_millis(u64::from(ms)))
}
