//! Connections to upstreams for one use: from this VM's own pool or through a holder.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::dispatch::{Completion, Refusal};
use chervildrift_core::relay::{Code, Outcome, Peer, PreparedStatement, Session};
use chervildrift_core::types::Upstream;
use chervildrift_platform::wire::Command;

use crate::relay::clock;
use crate::relay::connections::connection::{ConnectionError, Reply};
use crate::relay::connections::pool::{AcquireRequest, Permit, Pool};
use crate::relay::connections::remote::{RemoteConnection, RemoteError};
use crate::relay::fleet::link::LinkRefusal;
use crate::relay::metrics::StatementPart;
use crate::relay::node::Node;
use crate::relay::sessions::response::Failure;

/// Minimum retry time for callers when a queue is full; some statements finish within it.
const MIN_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of holders asked for one connection.
pub(in crate::relay) const MAX_HOLDERS_ASKED: usize = 4;

/// Reason why no connection is available; nothing was sent to the upstream.
#[derive(Debug)]
pub(in crate::relay) enum CheckoutError {
    /// The statement has to be refused.
    Refused(Failure),
    /// The upstream can't be reached or refused the connection.
    Connection(ConnectionError),
}

/// Commands that are run first on a connection and may be repeated.
///
/// A holder runs them as soon as it has a connection, so that no slot is idle on the way to the
/// other VM and back. Nothing else may be run first on the connection then.
#[derive(Debug)]
pub(in crate::relay) struct FirstRun<'a> {
    /// Commands to run in one pipeline.
    pub commands: &'a [Command<'a>],
    /// Whether the commands run in the session.
    pub in_session: bool,
    /// Timeout of the commands.
    pub limit: Duration,
}

/// Open connection to an upstream, returned when it is dropped.
#[derive(Debug)]
pub(in crate::relay) enum Checkout {
    /// Connection of this VM.
    Local(Permit),
    /// Connection of another VM.
    Remote(RemoteConnection),
}

impl Checkout {
    /// Checks out a connection: from this VM's pool if it is a holder, otherwise from a holder.
    pub(in crate::relay) async fn open(
        node: &Rc<Node>,
        upstream: &Upstream,
        request: AcquireRequest,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        first: Option<&FirstRun<'_>>,
    ) -> Result<Self, CheckoutError> {
        let Some(pool) = node.pool(upstream) else {
            let failure = Failure::new(Code::Busy, "the upstream has gone");
            return Err(CheckoutError::Refused(failure));
        };
        let holders = pool.holders();
        let vm = &node.settings.vm;
        let is_holder = holders.is_holder(vm);
        let organisation = request.organisation.clone();
        if is_holder
            && organisation
                .as_ref()
                .is_none_or(|it| holders.is_first(vm, it))
        {
            return Self::open_local(node, &pool, request, session, prepared).await;
        }
        let failed_at = |peer: &Peer| node.links.failed_at(peer.address);
        let name = organisation.as_ref().map_or(vm.as_str(), |it| it.as_str());
        let candidates = holders.candidates_of(name, vm, clock::now(), failed_at);
        let started = clock::now();
        let mut is_reachable = false;
        for peer in candidates.iter().take(MAX_HOLDERS_ASKED) {
            let acquired = RemoteConnection::acquire(
                &node.links,
                peer.address,
                upstream,
                &request,
                session,
                prepared,
                first,
            );
            match acquired.await {
                Ok(connection) => {
                    node.links.clear_failure(peer.address);
                    pool.record_holder_wait(connection.holder_wait);
                    let elapsed = clock::now().since(started);
                    let queue = elapsed.saturating_sub(connection.run_time().unwrap_or_default());
                    node.metrics.record_part(StatementPart::Queue, queue);
                    return Ok(Self::Remote(connection));
                }
                Err(RemoteError::Refused(LinkRefusal::Busy(detail, wait_ms))) => {
                    let wait = Duration::from_millis(wait_ms);
                    pool.record_holder_wait(wait);
                    return Err(CheckoutError::Refused(busy(upstream, &detail, wait)));
                }
                Err(RemoteError::Refused(LinkRefusal::Connection(err))) => {
                    return Err(CheckoutError::Connection(err));
                }
                Err(err @ RemoteError::NoLink) => {
                    node.metrics.count_holder_failure(&err);
                    let failure = busy(upstream, "all links are in use", Duration::ZERO);
                    return Err(CheckoutError::Refused(failure));
                }
                Err(err) => {
                    is_reachable |= matches!(err, RemoteError::Refused(_));
                    node.metrics.count_holder_failure(&err);
                    node.links.record_failure(peer.address);
                }
            }
            if clock::now() >= request.deadline {
                let failure = busy(upstream, "no holder responded", Duration::ZERO);
                return Err(CheckoutError::Refused(failure));
            }
        }
        if is_reachable && !is_holder {
            // VMs that are starting or stopping, or that see another fleet, agree within moments.
            let failure = busy(upstream, "no holder is ready", Duration::ZERO);
            return Err(CheckoutError::Refused(failure));
        }
        // Without any holder that responds, a connection of its own is the only way left.
        Self::open_local(node, &pool, request, session, prepared).await
    }

    /// Checks out a connection of this VM's own pool.
    pub(in crate::relay) async fn open_local(
        node: &Rc<Node>,
        pool: &Rc<Pool>,
        request: AcquireRequest,
        session: &Session,
        prepared: Option<&PreparedStatement>,
    ) -> Result<Self, CheckoutError> {
        let started = clock::now();
        let permit = pool.acquire(request).await;
        let waited = clock::now().since(started);
        node.metrics.record_part(StatementPart::Queue, waited);
        let mut permit = permit.map_err(|refusal: Refusal| {
            let failure = busy(
                &pool.upstream(),
                &refusal.to_string(),
                refusal.estimated_wait(),
            );
            CheckoutError::Refused(failure)
        })?;
        let opened = permit.connection(node, session, prepared).await.err();
        if let Some(err) = opened {
            if let Some(outcome) = error_outcome(&err) {
                permit.record_outcome(outcome);
            }
            return Err(CheckoutError::Connection(err));
        }
        Ok(Self::Local(permit))
    }

    /// Runs commands in one pipeline after the setup that the session needs.
    pub(in crate::relay) async fn run_in_session(
        &mut self,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        self.run(Some((session, prepared)), commands, limit).await
    }

    /// Runs commands in one pipeline.
    pub(in crate::relay) async fn run_pipeline(
        &mut self,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        self.run(None, commands, limit).await
    }

    /// Runs commands in one pipeline, in a session if one is given, and records what they tell about
    /// the upstream of a connection of this VM.
    async fn run(
        &mut self,
        session: Option<(&Session, Option<&PreparedStatement>)>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        match self {
            Self::Local(permit) => {
                let _exchange = permit.begin_exchange();
                let result = permit.run(session, commands, limit).await;
                if let Some(outcome) = outcome(&result) {
                    permit.record_outcome(outcome);
                }
                result
            }
            Self::Remote(remote) => remote.run(session, commands, limit).await,
        }
    }

    /// Returns how long the first commands ran, if they ran with the request for the connection.
    ///
    /// They were then sent at some time since the request.
    pub(in crate::relay) const fn first_run_time(&self) -> Option<Duration> {
        match self {
            Self::Local(_) => None,
            Self::Remote(remote) => remote.run_time(),
        }
    }

    /// Frees the slot until the first statement arrives.
    pub(in crate::relay) fn rest(&self) {
        if let Self::Local(permit) = self {
            permit.rest(Completion::Abandoned);
        }
    }

    /// Returns whether the connection is outside a transaction and without outstanding replies.
    pub(in crate::relay) fn is_reusable(&mut self) -> bool {
        match self {
            Self::Local(permit) => permit
                .opened_connection()
                .is_some_and(|it| it.is_reusable()),
            Self::Remote(remote) => remote.is_reusable(),
        }
    }

    /// Returns whether a reply is outstanding, after which the connection can't be used.
    pub(in crate::relay) fn has_pending(&mut self) -> bool {
        match self {
            Self::Local(permit) => permit.opened_connection().is_none_or(|it| it.has_pending()),
            Self::Remote(remote) => remote.has_pending(),
        }
    }

    /// Sets how the work ended, from which service times are estimated.
    pub(in crate::relay) const fn set_completion(&mut self, completion: Completion) {
        match self {
            Self::Local(permit) => permit.set_completion(completion),
            Self::Remote(remote) => remote.set_completion(completion),
        }
    }
}

/// Returns the refusal of a statement that found no free connection.
fn busy(upstream: &Upstream, detail: &str, wait: Duration) -> Failure {
    Failure::new(Code::Busy, format!("{upstream}: {detail}"))
        .retry_after(wait.max(MIN_QUEUE_RETRY_DELAY))
}

/// Returns what an exchange tells about the health of its upstream; nothing if it was rejected,
/// since a full upstream is not ill and its reads would fill the others.
fn outcome(result: &Result<Vec<Reply>, ConnectionError>) -> Option<Outcome> {
    let has = |codes: &[Code], replies: &[Reply]| {
        let code = |reply: &Reply| reply.result.as_ref().err().map(|(code, _)| *code);
        replies
            .iter()
            .filter_map(code)
            .any(|it| codes.contains(&it))
    };
    match result {
        Ok(replies) if has(&[Code::Failed, Code::Timeout], replies) => Some(Outcome::Failed),
        Ok(replies) if has(&[Code::Busy], replies) => None,
        Ok(_) => Some(Outcome::Answered),
        Err(err) => error_outcome(err),
    }
}

const fn error_outcome(err: &ConnectionError) -> Option<Outcome> {
    match err {
        ConnectionError::NoReply => Some(Outcome::NoReply),
        ConnectionError::Refused(..) | ConnectionError::LeaderReplaced => None,
        _ => Some(Outcome::Broken),
    }
}
