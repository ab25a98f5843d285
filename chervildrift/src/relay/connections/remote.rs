//! Connection to an upstream that another VM holds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::relay::{PreparedStatement, Session};
use chervildrift_core::types::Upstream;
use chervildrift_platform::wire::{Command, TransactionState};
use tokio::time::timeout;

use crate::relay::clock;
use crate::relay::connections::checkout::FirstRun;
use crate::relay::connections::connection::{ConnectionError, Reply};
use crate::relay::connections::pool::AcquireRequest;
use crate::relay::fleet::link::{
    AcquireMessage, Link, LinkCommand, LinkPermit, LinkRefusal, LinkRequest, LinkResponse, Links,
    RunMessage, SessionState,
};

/// Timeout for the first response to a request; a VM that queues it says so at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time added to a time limit for the way to the other VM and back.
const TRANSFER_TIME: Duration = Duration::from_millis(100);

/// Reason why another VM provided no connection; nothing was sent to the upstream.
#[derive(Debug)]
pub(in crate::relay) enum RemoteError {
    /// All links that statements may use were in use until the deadline.
    NoLink,
    /// The VM gave no response.
    Unreachable,
    /// The VM refused the request.
    Refused(LinkRefusal),
}

/// Connection that another VM holds and has granted to this one.
#[derive(Debug)]
pub(in crate::relay) struct RemoteConnection {
    links: Rc<Links>,
    address: SocketAddr,
    /// Link to the VM, until the connection is returned or has failed.
    link: Option<Link>,
    permit: Option<LinkPermit>,
    state: TransactionState,
    completion: Completion,
    /// Wait for a connection at the holder.
    pub holder_wait: Duration,
    /// Result of the first commands, which ran with the request, until it is returned.
    first_result: Option<Result<Vec<Reply>, ConnectionError>>,
    run_time: Option<Duration>,
}

impl RemoteConnection {
    /// Acquires a connection from another VM.
    pub(in crate::relay) async fn acquire(
        links: &Rc<Links>,
        address: SocketAddr,
        upstream: &Upstream,
        request: &AcquireRequest,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        first: Option<&FirstRun<'_>>,
    ) -> Result<Self, RemoteError> {
        let unreachable = |_err| RemoteError::Unreachable;
        let patience = request.deadline.since(clock::now());
        let permit = timeout(patience, links.permit()).await;
        let permit = permit.map_err(|_elapsed| RemoteError::NoLink)?;
        let mut link = links.take(address).await.map_err(unreachable)?;
        let remaining = request.deadline.since(clock::now());
        let message = LinkRequest::Acquire(AcquireMessage {
            upstream: upstream.clone(),
            kind: request.kind.clone(),
            rank: request.rank,
            caller: request.caller.clone(),
            organisation: request.organisation.clone(),
            remaining_ms: remaining.as_millis() as u64,
            state: session_state(session, prepared),
            run: first.map(|first| RunMessage {
                state: first.in_session.then(|| session_state(session, prepared)),
                commands: link_commands(first.commands),
                limit_ms: first.limit.as_millis() as u64,
            }),
        });
        link.send(&message).await.map_err(unreachable)?;
        let run_limit = first.map_or(Duration::ZERO, |first| first.limit);
        let mut limit = RESPONSE_TIMEOUT;
        loop {
            let response = timeout(limit, link.receive()).await;
            match response.map_err(|_elapsed| RemoteError::Unreachable)? {
                Some(LinkResponse::Queued) => limit = remaining + run_limit + TRANSFER_TIME,
                Some(LinkResponse::Granted(wait_ms)) => {
                    return Ok(Self::new(links, address, link, permit, wait_ms));
                }
                Some(LinkResponse::Ran(ran)) => {
                    let mut connection = Self::new(links, address, link, permit, ran.wait_ms);
                    connection.run_time = Some(Duration::from_millis(ran.run_ms));
                    match &ran.result {
                        Ok(replies) => connection.record_state(replies),
                        Err(_) => connection.return_link(),
                    }
                    connection.first_result = Some(ran.result);
                    return Ok(connection);
                }
                Some(LinkResponse::Refused(refusal)) => {
                    links.put(address, link);
                    return Err(RemoteError::Refused(refusal));
                }
                _ => return Err(RemoteError::Unreachable),
            }
        }
    }

    fn new(
        links: &Rc<Links>,
        address: SocketAddr,
        link: Link,
        permit: LinkPermit,
        wait_ms: u64,
    ) -> Self {
        Self {
            links: Rc::clone(links),
            address,
            link: Some(link),
            permit: Some(permit),
            state: TransactionState::Idle,
            completion: Completion::Abandoned,
            holder_wait: Duration::from_millis(wait_ms),
            first_result: None,
            run_time: None,
        }
    }

    /// Returns how long the first commands ran, if they ran with the request.
    pub(in crate::relay) const fn run_time(&self) -> Option<Duration> {
        self.run_time
    }

    fn record_state(&mut self, replies: &[Reply]) {
        if let Some(last) = replies.last() {
            self.state = last.state;
        }
    }

    fn return_link(&mut self) {
        if let Some(link) = self.link.take() {
            self.links.put(self.address, link);
        }
    }

    /// Runs commands in one pipeline, in a session if one is given.
    pub(in crate::relay) async fn run(
        &mut self,
        session: Option<(&Session, Option<&PreparedStatement>)>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        if let Some(result) = self.first_result.take() {
            return result;
        }
        let Some(mut link) = self.link.take() else {
            return Err(ConnectionError::Broken("link to the holder lost".into()));
        };
        let message = LinkRequest::Run(RunMessage {
            state: session.map(|(session, prepared)| session_state(session, prepared)),
            commands: link_commands(commands),
            limit_ms: limit.as_millis() as u64,
        });
        let exchange = async {
            link.send(&message).await.ok()?;
            link.receive().await
        };
        let response = timeout(limit + TRANSFER_TIME, exchange).await;
        let Ok(response) = response else {
            self.links.record_failure(self.address);
            return Err(ConnectionError::NoReply);
        };
        match response {
            Some(LinkResponse::Replies(replies)) => {
                self.link = Some(link);
                self.record_state(&replies);
                Ok(replies)
            }
            Some(LinkResponse::Failed(err)) => {
                self.links.put(self.address, link);
                Err(err)
            }
            _ => {
                self.links.record_failure(self.address);
                Err(ConnectionError::Broken("link to the holder lost".into()))
            }
        }
    }

    /// Returns whether the connection is outside a transaction and without outstanding replies.
    pub(in crate::relay) fn is_reusable(&self) -> bool {
        self.link.is_some() && self.state == TransactionState::Idle
    }

    /// Returns whether the link is lost or a reply is outstanding.
    pub(in crate::relay) const fn has_pending(&self) -> bool {
        self.link.is_none()
    }

    /// Sets how the work on the connection ended.
    pub(in crate::relay) const fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for RemoteConnection {
    fn drop(&mut self) {
        let Some(mut link) = self.link.take() else {
            return;
        };
        let (links, address, completion) = (Rc::clone(&self.links), self.address, self.completion);
        let permit = self.permit.take();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            // A link that fails here ends, which returns the connection as well.
            if link.send(&LinkRequest::Release(completion)).await.is_ok() {
                links.put(address, link);
            }
        });
    }
}

fn link_commands(commands: &[Command<'_>]) -> Vec<LinkCommand> {
    let commands = commands.iter();
    commands.filter_map(LinkCommand::from_command).collect()
}

fn session_state(session: &Session, prepared: Option<&PreparedStatement>) -> SessionState {
    SessionState {
        variables: session.variables().clone(),
        prepared: prepared.cloned(),
    }
}
