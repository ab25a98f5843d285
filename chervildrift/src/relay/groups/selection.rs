//! Selection of the next leader of a service, and fencing of the other replicas during its
//! promotion.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{FencedLogs, Replica, quorum, select_leader};
use chervildrift_core::types::{LogPosition, Role, Service, Term, Time, Upstream};
use chervildrift_platform::wire::Command;
use futures::future::join_all;
use slog::{info, warn};
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::groups::orders::{Threat, replacements};
use crate::relay::groups::replicas::{UpstreamState, demote_from_fleet, query_state, unfence};
use crate::relay::node::Node;

/// Time to wait for an unresponsive replica that has received more than all others; a restored
/// network link or a restarted process needs about as long.
const UNRESPONSIVE_REPLICA_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of checks whether the selected replica has received everything that the fenced ones have.
const CATCH_UP_CHECKS: u32 = 3;

/// Delay between these checks; about the time that a commit takes between regions.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(25);

/// Selection of the leader that replaces another one.
pub(in crate::relay) struct LeaderSelection<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    leader: Option<&'a Upstream>,
    planned: bool,
    started: Time,
    /// Replica whose promotion was ordered and may still take effect.
    pending_target: Option<Upstream>,
    /// Replicas that may be fenced.
    fenced_replicas: Vec<Upstream>,
}

/// Replica and the state that it reported.
type ReplicaState = (Upstream, UpstreamState);

/// States of the replicas before any of them was fenced.
struct ReplicaSurvey {
    states: Vec<ReplicaState>,
    /// Newest term that any replica reported.
    term: Term,
    /// Number of replicas whose state has to be known.
    quorum_size: usize,
    /// Minimum position of the next leader, if one is known.
    required_position: Option<LogPosition>,
}

impl<'a> LeaderSelection<'a> {
    /// Creates the selection of a successor to a leader, if one is known.
    pub(in crate::relay) fn new(
        node: &'a Rc<Node>,
        service: &'a Service,
        leader: Option<&'a Upstream>,
        planned: bool,
    ) -> Self {
        Self {
            node,
            service,
            leader,
            planned,
            started: clock::now(),
            pending_target: guarded_targets(node, service).into_iter().next(),
            fenced_replicas: Vec::new(),
        }
    }

    /// Selects the next leader and fences the other replicas, so that no further commit is
    /// acknowledged that the next leader lacks; `None` if that can't be guaranteed yet.
    pub(in crate::relay) async fn select_and_fence(&mut self) -> Option<Upstream> {
        let survey = self.survey_replicas().await?;
        let chosen = self.select_target(&survey)?;
        let fenced_states = self.fence_others(&survey, &chosen).await;
        let others: Vec<LogPosition> = fenced_states.iter().map(|(_, it)| it.received).collect();
        let fenced = FencedLogs {
            chosen: chosen.received,
            others: &others,
            required: survey.required_position,
        };
        let fenced = self.catch_up(&chosen.upstream, fenced).await;
        if fenced.is_safe(survey.quorum_size) && self.demote_leader(survey.term).await {
            return Some(chosen.upstream);
        }
        warn!(self.node.log, "promotion would not be safe yet"; "event" => "failover",
            "service" => %self.service, "upstream" => %chosen.upstream,
            "fenced" => fenced_states.len(),
            "needed" => survey.quorum_size, "complete" => fenced.is_complete());
        if guarded_targets(self.node, self.service).is_empty() {
            self.pending_target = None;
        }
        self.lift_fences().await;
        None
    }

    /// Queries the states of all replicas; `None` if none replies or one of them already leads.
    async fn survey_replicas(&self) -> Option<ReplicaSurvey> {
        let known = self.replicas();
        let quorum_size = quorum(known.len(), self.node.sync_replicas(self.service));
        let required_position = self.required_position();
        let states = self.query_all(&known, Command::Status).await;
        info!(self.node.log, "replica positions compared"; "event" => "failover",
            "service" => %self.service,
            "known" => known.len(), "needed" => quorum_size, "received" => format_states(&states));
        let term = states.iter().map(|(_, it)| it.term).max()?;
        let leads = |(_, it): &&ReplicaState| it.role == Some(Role::Primary) && it.term == term;
        if let Some((upstream, _)) = states.iter().find(leads) {
            info!(self.node.log, "another upstream leads already"; "event" => "failover",
                "service" => %self.service, "upstream" => %upstream, "term" => %term);
            return None;
        }
        Some(ReplicaSurvey {
            states,
            term,
            quorum_size,
            required_position,
        })
    }

    /// Selects the next leader from the reported states.
    fn select_target(&self, survey: &ReplicaSurvey) -> Option<Replica> {
        let states = survey.states.iter();
        let replicas: Vec<Replica> = states.map(|state| self.to_replica(state)).collect();
        let pending_target = self.pending_target.as_ref();
        let chosen = select_leader(&replicas, pending_target, survey.quorum_size, self.planned);
        chosen
            .inspect_err(|obstacle| {
                warn!(self.node.log, "no upstream to promote"; "event" => "failover",
                    "service" => %self.service, "reason" => %obstacle);
            })
            .ok()
            .cloned()
    }

    /// Fences the replicas that were not selected and returns the states of those that are fenced.
    async fn fence_others(
        &mut self,
        survey: &ReplicaSurvey,
        chosen: &Replica,
    ) -> Vec<ReplicaState> {
        let upstreams = survey.states.iter().map(|(upstream, _)| upstream);
        let others = upstreams.filter(|upstream| **upstream != chosen.upstream);
        let others: Vec<Upstream> = others.cloned().collect();
        // The promotion to this term ends the fence; a fence at a higher term would outlast it.
        let fence = survey.term.next();
        let mut fenced_states = self.query_all(&others, Command::Fence(fence)).await;
        fenced_states.retain(|(_, it)| it.fence >= fence);
        // A replica whose reply was lost may be fenced all the same.
        self.fenced_replicas.extend(others);
        info!(self.node.log, "replicas fenced"; "event" => "fence", "service" => %self.service,
            "chosen" => %chosen.upstream, "fence" => %fence,
            "received" => format_states(&fenced_states));
        fenced_states
    }

    /// Demotes the old leader, which would otherwise go on where the platform checks no fencing
    /// tokens; returns whether the promotion may be ordered.
    ///
    /// A leader that failed may never respond, and a leaving one may already have ended.
    async fn demote_leader(&self, term: Term) -> bool {
        let Some(leader) = self.leader.filter(|_| !self.node.settings.tokens_checked) else {
            return true;
        };
        let demoted = demote_from_fleet(self.node, leader, term.next()).await;
        info!(self.node.log, "leader demoted"; "event" => "failover", "service" => %self.service,
            "upstream" => %leader, "term" => %term.next(), "answered" => demoted);
        let waited = clock::now().since(self.started);
        demoted || !self.planned || waited >= UNRESPONSIVE_REPLICA_TIMEOUT
    }

    /// Sets the replica whose promotion may still take effect, if any.
    pub(in crate::relay) fn set_pending_target(&mut self, upstream: Option<&Upstream>) {
        self.pending_target = upstream.cloned();
    }

    /// Returns whether an ordered promotion may still take effect.
    pub(in crate::relay) const fn has_pending_target(&self) -> bool {
        self.pending_target.is_some()
    }

    /// Fences the replicas that are not fenced yet, except the only target of outstanding orders, so
    /// that no commit of the leader is acknowledged that a target lacks.
    pub(in crate::relay) async fn renew_fences(&mut self, threat: &Threat) {
        let spared = match &*threat.targets {
            [target] => Some(target),
            _ => None,
        };
        let others: Vec<Upstream> = {
            let directory = self.node.directory.borrow();
            let replicas = directory.replicas(self.service, Some(&threat.leader));
            let others = replicas.map(|it| &it.upstream);
            others.filter(|it| Some(*it) != spared).cloned().collect()
        };
        let states = self.query_all(&others, Command::Status).await;
        for (upstream, state) in states {
            if state.fence > Term::default() {
                continue;
            }
            let fence = Command::Fence(state.term.next());
            let state = query_state(self.node, &upstream, fence).await;
            info!(self.node.log, "replica fenced"; "event" => "fence", "service" => %self.service,
                "upstream" => %upstream, "answered" => state.is_some());
        }
        for upstream in others {
            if !self.fenced_replicas.contains(&upstream) {
                self.fenced_replicas.push(upstream);
            }
        }
    }

    /// Lifts the fences of all replicas, after the promotion or after a round without one, unless
    /// they protect commits from an unanswered order.
    pub(in crate::relay) async fn lift_fences(&mut self) {
        if !guarded_targets(self.node, self.service).is_empty() {
            return;
        }
        self.fenced_replicas.sort();
        self.fenced_replicas.dedup();
        let fenced = std::mem::take(&mut self.fenced_replicas);
        let lifts = fenced
            .iter()
            .map(|upstream| unfence(self.node, self.service, upstream));
        join_all(lifts).await;
    }

    /// Returns the minimum position of the next leader: the newest one of a leader that is leaving
    /// but still runs, or the highest one that any replica has reported under a leader that failed.
    ///
    /// The replica that reported it may never respond again, so this position is required only for
    /// a while.
    fn required_position(&self) -> Option<LogPosition> {
        let now = clock::now();
        self.node.with_group(self.service, |group| {
            if !self.planned {
                let keeps_waiting = now.since(self.started) < UNRESPONSIVE_REPLICA_TIMEOUT;
                return group.max_received().filter(|_| keeps_waiting);
            }
            let directory = self.node.directory.borrow();
            let leader = self.leader.filter(|it| !directory.is_past_drain(now, it));
            leader.and(group.newest_position())
        })
    }

    /// Waits for a few checks until the selected replica has received everything that is known.
    async fn catch_up<'f>(&self, chosen: &Upstream, mut fenced: FencedLogs<'f>) -> FencedLogs<'f> {
        for _ in 0..CATCH_UP_CHECKS {
            if fenced.is_complete() {
                break;
            }
            sleep(CATCH_UP_INTERVAL).await;
            if let Some(state) = query_state(self.node, chosen, Command::Status).await {
                fenced.chosen = state.received;
            }
        }
        fenced
    }

    /// Returns all upstreams of the service but the leader.
    fn replicas(&self) -> Vec<Upstream> {
        let directory = self.node.directory.borrow();
        let others = directory.replicas(self.service, self.leader);
        others.map(|it| it.upstream.clone()).collect()
    }

    /// Converts a reported state into a candidate for promotion.
    fn to_replica(&self, (upstream, state): &ReplicaState) -> Replica {
        let leaves = self
            .node
            .directory
            .borrow()
            .is_leaving(clock::now(), upstream);
        Replica {
            upstream: upstream.clone(),
            received: state.received,
            eligible: !leaves && state.role != Some(Role::Primary),
        }
    }

    async fn query_all(&self, upstreams: &[Upstream], command: Command<'_>) -> Vec<ReplicaState> {
        let queries = upstreams.iter().map(|upstream| async move {
            let state = query_state(self.node, upstream, command).await?;
            Some((upstream.clone(), state))
        });
        join_all(queries).await.into_iter().flatten().collect()
    }
}

/// Returns the upstreams that unanswered orders may still make leader, if replicas acknowledge the
/// commits of the service.
fn guarded_targets(node: &Node, service: &Service) -> SmallVec<[Upstream; 2]> {
    if node.sync_replicas(service) == 0 {
        return SmallVec::new();
    }
    let leader = node.with_group(service, |group| group.leader().cloned());
    replacements(node, service, leader.as_ref())
}

/// Formats the positions, terms and fences of replicas for the log.
fn format_states(states: &[ReplicaState]) -> String {
    let items = states.iter().map(|(upstream, state)| {
        format!(
            "{upstream}={} t{} f{}",
            state.received, state.term, state.fence
        )
    });
    items.collect::<Vec<_>>().join(" ")
}
