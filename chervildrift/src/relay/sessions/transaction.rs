//! Transactions, each pinned to one upstream connection from its first statement to its end.
//!
//! An upstream rolls back a transaction whose connection ends, unless a commit has been sent. Every
//! failure before the commit is therefore reported as aborted.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{Access, Code, MinPosition, PreparedStatement, Route, Session};
use chervildrift_core::types::{Caller, LogPosition, Organisation, Upstream};
use chervildrift_platform::wire::{COMMIT, Command, TransactionState};
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::connections::checkout::{Checkout, FirstRun};
use crate::relay::connections::connection::Reply;
use crate::relay::groups::confirm::{Commit, await_confirmation};
use crate::relay::metrics::StatementPart;
use crate::relay::node::Node;
use crate::relay::routing::attempts::{Attempts, Target};
use crate::relay::sessions::response::{Failure, Response};

/// Number of retries of a statement for which the upstream was too busy.
const BUSY_RETRIES: u32 = 5;

/// Delay before such a retry.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Timeout for a rollback, after which the connection is closed instead.
pub(in crate::relay) const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Open transaction.
pub(in crate::relay) struct Transaction {
    node: Rc<Node>,
    route: Arc<Route>,
    access: Access,
    caller: Caller,
    /// Organisation for which it began, also if the key has moved since.
    organisation: Option<Organisation>,
    pinned: Option<PinnedUpstream>,
    has_written: bool,
    is_expired: bool,
}

/// Upstream and connection to which a transaction is pinned.
struct PinnedUpstream {
    upstream: Upstream,
    checkout: Checkout,
}

impl Transaction {
    /// Creates a transaction that is not pinned to a connection yet.
    pub(in crate::relay) const fn open(
        node: Rc<Node>,
        route: Arc<Route>,
        access: Access,
        caller: Caller,
        organisation: Option<Organisation>,
    ) -> Self {
        Self {
            node,
            route,
            access,
            caller,
            organisation,
            pinned: None,
            has_written: false,
            is_expired: false,
        }
    }

    /// Rolls back the transaction at its upstream; its next statement fails.
    pub(in crate::relay) fn expire(&mut self) {
        self.is_expired = true;
        if let Some(pinned) = self.pinned.take() {
            roll_back_checkout(pinned.checkout);
        }
    }

    /// Rolls back the transaction in the background.
    pub(in crate::relay) fn roll_back(self) {
        if let Some(pinned) = self.pinned {
            roll_back_checkout(pinned.checkout);
        }
    }

    /// Runs a statement.
    pub(in crate::relay) async fn run(
        &mut self,
        session: &Session,
        id: &str,
        text: &str,
        access: Access,
        prepared: Option<&PreparedStatement>,
    ) -> Result<Response, Failure> {
        self.pin(session, id).await?;
        let limit = self.route.timeout;
        let command = Command::Run {
            id,
            min_position: None,
            text,
        };
        let mut retries = 0;
        loop {
            let reply = self.exchange(session, prepared, &command, limit).await?;
            match reply.result {
                Ok(signature) => {
                    self.has_written |= access == Access::Write;
                    let rows = reply.rows;
                    return Ok(Response::Upstream { rows, signature });
                }
                Err((Code::Busy, _))
                    if reply.state == TransactionState::Open && retries < BUSY_RETRIES =>
                {
                    retries += 1;
                    sleep(BUSY_RETRY_DELAY).await;
                }
                Err((code, detail)) => return Err(aborted(code, &detail)),
            }
        }
    }

    /// Commits; unless the error says otherwise, a failure guarantees that nothing was committed.
    pub(in crate::relay) async fn commit(
        &mut self,
        session: &mut Session,
        id: &str,
    ) -> Result<Response, Failure> {
        self.pin(session, id).await?;
        let command = Command::Run {
            id,
            min_position: None,
            text: COMMIT,
        };
        let sent_at = clock::now();
        let limit = self.route.timeout;
        let result = self.exchange(session, None, &command, limit).await;
        let reply = result.map_err(|failure| self.unknown_outcome(failure.detail))?;
        match reply.result {
            Ok(signature) => {
                if self.has_written {
                    self.record_commit(session, sent_at, reply.position);
                }
                // The connection is released before the commit is confirmed.
                let pinned = self.pinned.take().map(|pinned| pinned.upstream);
                if let (true, Some(leader), Some(position)) =
                    (self.has_written, &pinned, reply.position)
                {
                    let commit = Commit {
                        id,
                        service: &self.route.service,
                        leader,
                        position,
                    };
                    await_confirmation(&self.node, &commit).await?;
                }
                let rows = reply.rows;
                Ok(Response::Upstream { rows, signature })
            }
            Err((code, detail)) if code.guarantees_no_effect() => Err(Failure::new(code, detail)),
            Err((code, detail)) => Err(self.unknown_outcome(format!("{code} {detail}"))),
        }
    }

    /// Returns the failure of a commit whose outcome is unknown.
    fn unknown_outcome(&self, detail: String) -> Failure {
        let code = if self.has_written {
            Code::InDoubt
        } else {
            Code::Aborted
        };
        Failure::new(code, detail)
    }

    fn record_commit(
        &self,
        session: &mut Session,
        sent_at: chervildrift_core::types::Time,
        position: Option<LogPosition>,
    ) {
        let Some(pinned) = &self.pinned else { return };
        let service = &self.route.service;
        if let Some(position) = position {
            self.node
                .record_sample(service, &pinned.upstream, sent_at, position);
        }
        session.last_commit = Some(
            self.node
                .with_group(service, |group| group.tag_commit(clock::now(), position)),
        );
    }

    async fn exchange(
        &mut self,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        command: &Command<'_>,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let Some(pinned) = self.pinned.as_mut() else {
            return Err(Failure::new(Code::Aborted, "no connection"));
        };
        let sent_at = clock::now();
        let result = pinned
            .checkout
            .run_in_session(session, prepared, &[*command], limit)
            .await;
        let elapsed = clock::now().since(sent_at);
        self.node
            .metrics
            .record_part(StatementPart::Upstream, elapsed);
        let replies = result.map_err(|err| Failure::new(Code::Aborted, err.to_string()))?;
        let reply = replies.into_iter().next();
        reply.ok_or_else(|| Failure::new(Code::Aborted, "no answer"))
    }

    /// Pins the transaction to an upstream and begins it there, unless that was done.
    async fn pin(&mut self, session: &Session, id: &str) -> Result<(), Failure> {
        if self.is_expired {
            return Err(Failure::new(Code::Aborted, "idle for too long"));
        }
        if self.pinned.is_some() {
            return Ok(());
        }
        let organisation = self.organisation.as_ref();
        let mut attempts = Attempts::new(&self.node, &self.route, &self.caller, organisation, id);
        loop {
            attempts.reserve().await?;
            let target = attempts.next_target(self.access, session).await?;
            let begun = self.begin(&mut attempts, &target, session).await?;
            if let Some(checkout) = begun {
                self.pinned = Some(PinnedUpstream {
                    upstream: target.upstream,
                    checkout,
                });
                return Ok(());
            }
        }
    }

    /// Begins the transaction on a connection; `None` if another attempt has to be made.
    async fn begin(
        &self,
        attempts: &mut Attempts<'_>,
        target: &Target,
        session: &Session,
    ) -> Result<Option<Checkout>, Failure> {
        let started = clock::now();
        let command = match target.min_position {
            // An upstream that is no longer the leader refuses only a transaction that may write.
            MinPosition::LeaderOnly => Command::Begin(Access::Write, None),
            MinPosition::AtLeast(position) => Command::Begin(Access::Read, Some(position)),
        };
        let first = FirstRun {
            commands: &[command],
            in_session: false,
            limit: attempts.statement_timeout(),
        };
        let opened = attempts.checkout(target, session, None, Some(&first)).await;
        let mut checkout = match opened {
            Ok(checkout) => checkout,
            Err(err) => {
                return attempts
                    .handle_checkout_error(target, self.access, err, started)
                    .await
                    .map(|()| None);
            }
        };
        attempts.use_permit().await?;
        let sent_at = if checkout.first_run_time().is_some() {
            started
        } else {
            clock::now()
        };
        match checkout
            .run_pipeline(&[command], attempts.statement_timeout())
            .await
        {
            Ok(replies) => match replies.into_iter().next() {
                Some(reply) if reply.result.is_ok() => {
                    attempts.record_leader_position(target, sent_at, reply.position);
                    Ok(Some(checkout))
                }
                Some(reply) => attempts
                    .handle_refusal(target, reply.result.err(), sent_at)
                    .await
                    .map(|()| None),
                None => Ok(None),
            },
            Err(err) => attempts
                .handle_connection_error(target, &err, sent_at)
                .await
                .map(|()| None),
        }
    }
}

fn aborted(code: Code, detail: &str) -> Failure {
    Failure::new(Code::Aborted, format!("{code} {detail}"))
}

/// Rolls back and returns a connection to its pool in the background; closes it if the upstream
/// does not reply.
fn roll_back_checkout(mut checkout: Checkout) {
    tokio::task::spawn_local(async move {
        // A holder rolls back by itself when its connection is returned.
        let is_local = matches!(checkout, Checkout::Local(_));
        if is_local && !checkout.is_reusable() && !checkout.has_pending() {
            // Without a reply the connection stays pending and is closed with its permit.
            let _answered = checkout
                .run_pipeline(&[Command::Rollback], ROLLBACK_TIMEOUT)
                .await;
        }
    });
}
