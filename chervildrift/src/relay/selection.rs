//! Choice of the next leader of a service, and the fence around its promotion.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Fenced, Replica, quorum, successor};
use chervildrift_core::types::{Mark, Role, Service, Term, Time, Upstream};
use chervildrift_platform::wire::Command;
use futures::future::join_all;
use slog::{info, warn};
use tokio::time::sleep;

use super::clock;
use super::node::Node;
use super::replicas::{UpstreamState, query_state, unfence};

/// Time for which a replica that has more than all others and does not answer is waited for; a link
/// that is restored or a process that was restarted takes about as long.
const SILENT_REPLICA_WAIT: Duration = Duration::from_secs(2);

/// Looks at the chosen replica for what the fenced ones have received.
const CATCH_UP_CHECKS: u32 = 3;

/// Pause between such looks; a commit takes about the way between regions.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(25);

/// Succession of a leader that is to be replaced.
pub(super) struct LeaderSelection<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    leader: Option<&'a Upstream>,
    planned: bool,
    started: Time,
    /// Replica whose promotion was ordered and may still come.
    pending_target: Option<Upstream>,
    /// Replicas that were fenced.
    fenced_replicas: Vec<Upstream>,
}

/// A replica and what it told.
type ReplicaState = (Upstream, UpstreamState);

/// What the replicas told before any of them was fenced.
struct ReplicaSurvey {
    states: Vec<ReplicaState>,
    /// Newest term of any of them.
    term: Term,
    /// Replicas that have to be known.
    quorum_size: usize,
    /// Position that the next leader must have, if one is known.
    required_position: Option<Mark>,
}

impl<'a> LeaderSelection<'a> {
    /// Opens the succession of a leader, if one is known.
    pub(super) fn new(
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
            pending_target: None,
            fenced_replicas: Vec::new(),
        }
    }

    /// Chooses the next leader and fences the other replicas, so that no commit is acknowledged from
    /// now on that the next leader lacks; `None` if that can't be made sure of yet.
    pub(super) async fn select_and_fence(&mut self) -> Option<Upstream> {
        let survey = self.survey_replicas().await?;
        let chosen = self.select_target(&survey)?;
        let fenced_states = self.fence_others(&survey, &chosen).await;
        let others: Vec<Mark> = fenced_states.iter().map(|(_, it)| it.received).collect();
        let fenced = Fenced {
            chosen: chosen.received,
            others: &others,
            newest: survey.required_position,
        };
        let fenced = self.catch_up(&chosen.upstream, fenced).await;
        if fenced.is_secured(survey.quorum_size) {
            return Some(chosen.upstream);
        }
        warn!(self.node.log, "succession not secured"; "event" => "failover",
            "service" => %self.service, "upstream" => %chosen.upstream, "fenced" => fenced_states.len(),
            "needed" => survey.quorum_size, "complete" => fenced.is_complete());
        self.pending_target = None;
        self.lift_fences().await;
        None
    }

    /// Asks all replicas for their state; `None` if nobody answers or one of them leads already.
    async fn survey_replicas(&self) -> Option<ReplicaSurvey> {
        let known = self.replicas();
        let rules = self.node.routes.borrow().rules(self.service);
        let sync_replicas = rules.map_or(0, |rules| rules.sync_replicas);
        let quorum_size = quorum(known.len(), sync_replicas);
        let required_position = self.required_position();
        let states = self.query_all(&known, Command::Status).await;
        info!(self.node.log, "logs compared"; "event" => "failover", "service" => %self.service,
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

    /// Chooses the next leader.
    fn select_target(&self, survey: &ReplicaSurvey) -> Option<Replica> {
        let states = survey.states.iter();
        let replicas: Vec<Replica> = states.map(|state| self.to_replica(state)).collect();
        let pending_target = self.pending_target.as_ref();
        let chosen = successor(&replicas, pending_target, survey.quorum_size, self.planned);
        chosen
            .inspect_err(|obstacle| {
                warn!(self.node.log, "no upstream to promote"; "event" => "failover",
                    "service" => %self.service, "reason" => %obstacle);
            })
            .ok()
            .cloned()
    }

    /// Fences the replicas that were not chosen; returns those that are.
    async fn fence_others(
        &mut self,
        survey: &ReplicaSurvey,
        chosen: &Replica,
    ) -> Vec<ReplicaState> {
        let upstreams = survey.states.iter().map(|(upstream, _)| upstream);
        let others = upstreams.filter(|upstream| **upstream != chosen.upstream);
        let others: Vec<Upstream> = others.cloned().collect();
        // The promotion to this term ends the fence; one at a higher term would outlast it.
        let fence = survey.term.next();
        let mut fenced_states = self.query_all(&others, Command::Fence(fence)).await;
        fenced_states.retain(|(_, it)| it.fence >= fence);
        // One whose answer was lost may be fenced all the same.
        self.fenced_replicas.extend(others);
        info!(self.node.log, "replicas fenced"; "event" => "fence", "service" => %self.service,
            "chosen" => %chosen.upstream, "fence" => %fence, "received" => format_states(&fenced_states));
        fenced_states
    }

    /// Notes the replica whose promotion may come, or that none may.
    pub(super) fn set_pending_target(&mut self, upstream: Option<&Upstream>) {
        self.pending_target = upstream.cloned();
    }

    /// Tells whether a promotion was ordered that may still come.
    pub(super) const fn has_pending_target(&self) -> bool {
        self.pending_target.is_some()
    }

    /// Lets the fenced replicas receive again: there is a new leader, or none comes of this round.
    pub(super) async fn lift_fences(&mut self) {
        self.fenced_replicas.sort();
        self.fenced_replicas.dedup();
        let fenced = std::mem::take(&mut self.fenced_replicas);
        let lifts = fenced
            .iter()
            .map(|upstream| unfence(self.node, self.service, upstream));
        join_all(lifts).await;
    }

    /// Returns a position that the next leader must have: the newest one of a leader that leaves and
    /// still runs, or what a replica was seen to have received of one that is gone.
    ///
    /// Such a replica may be silent for good, so the latter is asked for only for a while.
    fn required_position(&self) -> Option<Mark> {
        let now = clock::now();
        self.node.with_group(self.service, |group| {
            if !self.planned {
                let keeps_waiting = now.since(self.started) < SILENT_REPLICA_WAIT;
                return group.most_received().filter(|_| keeps_waiting);
            }
            let directory = self.node.directory.borrow();
            let leader = self.leader.filter(|it| !directory.is_closed(now, it));
            leader.and(group.newest())
        })
    }

    /// Waits until the chosen replica has received all that is known, for a few looks.
    async fn catch_up<'f>(&self, chosen: &Upstream, mut fenced: Fenced<'f>) -> Fenced<'f> {
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

    /// Returns all upstreams but the leader.
    fn replicas(&self) -> Vec<Upstream> {
        let directory = self.node.directory.borrow();
        let others = directory.replicas(self.service, self.leader);
        others.map(|it| it.upstream.clone()).collect()
    }

    /// Judges what an upstream told.
    fn to_replica(&self, (upstream, state): &ReplicaState) -> Replica {
        let leaves = self.node.directory.borrow().leaves(clock::now(), upstream);
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

/// Lists what upstreams have received, for the log.
fn format_states(states: &[ReplicaState]) -> String {
    let items = states.iter().map(|(upstream, state)| {
        format!(
            "{upstream}={} t{} f{}",
            state.received, state.term, state.fence
        )
    });
    items.collect::<Vec<_>>().join(" ")
}
