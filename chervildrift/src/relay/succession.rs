//! Choice of the next leader of a service, and the fence around its promotion.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{FencedLogs, Replica, quorum, select_leader};
use chervildrift_core::types::{LogPosition, Role, Service, Term, Time, Upstream};
use chervildrift_platform::wire::Command;
use futures::future::join_all;
use slog::{info, warn};
use tokio::time::sleep;

use super::clock;
use super::node::Node;
use super::replicas::{UpstreamState, query_state, unfence};

/// Time for which a replica that has more than all others and does not answer is waited for; a link
/// that is restored or a process that was restarted takes about as long.
const PATIENCE: Duration = Duration::from_secs(2);

/// Looks at the chosen replica for what the fenced ones have received.
const CATCH_UPS: u32 = 3;

/// Pause between such looks; a commit takes about the way between regions.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(25);

/// Succession of a leader that is to be replaced.
pub(super) struct Succession<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    leader: Option<&'a Upstream>,
    planned: bool,
    opened: Time,
    /// Replica whose promotion was ordered and may still come.
    ordered: Option<Upstream>,
    /// Replicas that were fenced.
    fenced: Vec<Upstream>,
}

/// A replica and what it told.
type Answer = (Upstream, UpstreamState);

/// What the replicas told before any of them was fenced.
struct Survey {
    told: Vec<Answer>,
    /// Newest term of any of them.
    term: Term,
    /// Replicas that have to be known.
    needed: usize,
    /// Position that the next leader must have, if one is known.
    newest: Option<LogPosition>,
}

impl<'a> Succession<'a> {
    /// Opens the succession of a leader, if one is known.
    pub(super) fn open(
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
            opened: clock::now(),
            ordered: None,
            fenced: Vec::new(),
        }
    }

    /// Chooses the next leader and fences the other replicas, so that no commit is acknowledged from
    /// now on that the next leader lacks; `None` if that can't be made sure of yet.
    pub(super) async fn settle(&mut self) -> Option<Upstream> {
        let survey = self.survey().await?;
        let chosen = self.choose(&survey)?;
        let held = self.fence(&survey, &chosen).await;
        let others: Vec<LogPosition> = held.iter().map(|(_, it)| it.received).collect();
        let fenced = FencedLogs {
            chosen: chosen.received,
            others: &others,
            required: survey.newest,
        };
        let fenced = self.catch_up(&chosen.upstream, fenced).await;
        if fenced.is_safe(survey.needed) {
            return Some(chosen.upstream);
        }
        warn!(self.node.log, "succession not secured"; "event" => "failover",
            "service" => %self.service, "upstream" => %chosen.upstream, "fenced" => held.len(),
            "needed" => survey.needed, "complete" => fenced.is_complete());
        self.ordered = None;
        self.release().await;
        None
    }

    /// Asks all replicas for their state; `None` if nobody answers or one of them leads already.
    async fn survey(&self) -> Option<Survey> {
        let known = self.replicas();
        let rules = self.node.routes.borrow().rules(self.service);
        let sync_replicas = rules.map_or(0, |rules| rules.sync_replicas);
        let needed = quorum(known.len(), sync_replicas);
        let newest = self.newest();
        let told = self.ask(&known, Command::Status).await;
        info!(self.node.log, "logs compared"; "event" => "failover", "service" => %self.service,
            "known" => known.len(), "needed" => needed, "received" => list(&told));
        let term = told.iter().map(|(_, it)| it.term).max()?;
        let leads = |(_, it): &&Answer| it.role == Some(Role::Primary) && it.term == term;
        if let Some((upstream, _)) = told.iter().find(leads) {
            info!(self.node.log, "another upstream leads already"; "event" => "failover",
                "service" => %self.service, "upstream" => %upstream, "term" => %term);
            return None;
        }
        Some(Survey {
            told,
            term,
            needed,
            newest,
        })
    }

    /// Chooses the next leader.
    fn choose(&self, survey: &Survey) -> Option<Replica> {
        let told = survey.told.iter();
        let replicas: Vec<Replica> = told.map(|answer| self.replica(answer)).collect();
        let ordered = self.ordered.as_ref();
        let chosen = select_leader(&replicas, ordered, survey.needed, self.planned);
        chosen
            .inspect_err(|obstacle| {
                warn!(self.node.log, "no upstream to promote"; "event" => "failover",
                    "service" => %self.service, "reason" => %obstacle);
            })
            .ok()
            .cloned()
    }

    /// Fences the replicas that were not chosen; returns those that are.
    async fn fence(&mut self, survey: &Survey, chosen: &Replica) -> Vec<Answer> {
        let told = survey.told.iter().map(|(upstream, _)| upstream);
        let rest = told.filter(|upstream| **upstream != chosen.upstream);
        let rest: Vec<Upstream> = rest.cloned().collect();
        // The promotion to this term ends the fence; one at a higher term would outlast it.
        let fence = survey.term.next();
        let mut held = self.ask(&rest, Command::Fence(fence)).await;
        held.retain(|(_, it)| it.fence >= fence);
        // One whose answer was lost may be fenced all the same.
        self.fenced.extend(rest);
        info!(self.node.log, "replicas fenced"; "event" => "fence", "service" => %self.service,
            "chosen" => %chosen.upstream, "fence" => %fence, "received" => list(&held));
        held
    }

    /// Notes the replica whose promotion may come, or that none may.
    pub(super) fn note_order(&mut self, upstream: Option<&Upstream>) {
        self.ordered = upstream.cloned();
    }

    /// Tells whether a promotion was ordered that may still come.
    pub(super) const fn has_ordered(&self) -> bool {
        self.ordered.is_some()
    }

    /// Lets the fenced replicas receive again: there is a new leader, or none comes of this round.
    pub(super) async fn release(&mut self) {
        self.fenced.sort();
        self.fenced.dedup();
        let fenced = std::mem::take(&mut self.fenced);
        let lifted = fenced
            .iter()
            .map(|upstream| unfence(self.node, self.service, upstream));
        join_all(lifted).await;
    }

    /// Returns a position that the next leader must have: the newest one of a leader that leaves and
    /// still runs, or what a replica was seen to have received of one that is gone.
    ///
    /// Such a replica may be silent for good, so the latter is asked for only for a while.
    fn newest(&self) -> Option<LogPosition> {
        let now = clock::now();
        self.node.with_group(self.service, |group| {
            if !self.planned {
                let waits = now.since(self.opened) < PATIENCE;
                return group.max_received().filter(|_| waits);
            }
            let directory = self.node.directory.borrow();
            let leader = self.leader.filter(|it| !directory.is_past_drain(now, it));
            leader.and(group.newest_position())
        })
    }

    /// Waits until the chosen replica has received all that is known, for a few looks.
    async fn catch_up<'f>(&self, chosen: &Upstream, mut fenced: FencedLogs<'f>) -> FencedLogs<'f> {
        for _ in 0..CATCH_UPS {
            if fenced.is_complete() {
                break;
            }
            sleep(CATCH_UP_PAUSE).await;
            if let Some(told) = query_state(self.node, chosen, Command::Status).await {
                fenced.chosen = told.received;
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
    fn replica(&self, (upstream, told): &Answer) -> Replica {
        let leaves = self
            .node
            .directory
            .borrow()
            .is_leaving(clock::now(), upstream);
        Replica {
            upstream: upstream.clone(),
            received: told.received,
            eligible: !leaves && told.role != Some(Role::Primary),
        }
    }

    async fn ask(&self, upstreams: &[Upstream], command: Command<'_>) -> Vec<Answer> {
        let asked = upstreams.iter().map(|upstream| async move {
            let told = query_state(self.node, upstream, command).await?;
            Some((upstream.clone(), told))
        });
        join_all(asked).await.into_iter().flatten().collect()
    }
}

/// Lists what upstreams have received, for the log.
fn list(answers: &[Answer]) -> String {
    let items = answers.iter().map(|(upstream, told)| {
        format!(
            "{upstream}={} t{} f{}",
            told.received, told.term, told.fence
        )
    });
    items.collect::<Vec<_>>().join(" ")
}
