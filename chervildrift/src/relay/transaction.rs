//! Transactions, each on one upstream connection from its first statement to its end.
//!
//! Until a commit has been sent, a transaction whose connection ends is rolled back by the upstream,
//! so every failure before is reported as aborted.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{Access, Code, MinPosition, PreparedStatement, Route, Session};
use chervildrift_core::types::{Caller, LogPosition, Upstream};
use chervildrift_platform::wire::{COMMIT, Command, State};
use tokio::time::sleep;

use super::answer::{Answer, Failure};
use super::clock;
use super::confirm::{Commit, confirm};
use super::link::Reply;
use super::metrics::Part;
use super::node::Node;
use super::pool::Lease;
use super::turn::{Target, Turn};

/// Tries of one statement that the upstream has no room for.
const BUSY_TRIES: u32 = 5;

/// Pause before such a try.
const BUSY_PAUSE: Duration = Duration::from_millis(30);

/// Time for a rollback, after which the connection is closed instead.
const ROLLBACK_LIMIT: Duration = Duration::from_millis(500);

/// An open transaction.
pub(super) struct Transaction {
    node: Rc<Node>,
    route: Arc<Route>,
    access: Access,
    caller: Caller,
    place: Option<Place>,
    wrote: bool,
    expired: bool,
}

/// Where a transaction runs.
struct Place {
    upstream: Upstream,
    lease: Lease,
}

impl Transaction {
    /// Opens a transaction that has no connection yet.
    pub(super) const fn open(
        node: Rc<Node>,
        route: Arc<Route>,
        access: Access,
        caller: Caller,
    ) -> Self {
        Self {
            node,
            route,
            access,
            caller,
            place: None,
            wrote: false,
            expired: false,
        }
    }

    /// Ends the transaction at its upstream; its next statement fails.
    pub(super) fn expire(&mut self) {
        self.expired = true;
        if let Some(place) = self.place.take() {
            release(place.lease);
        }
    }

    /// Rolls the transaction back in the background.
    pub(super) fn roll_back(self) {
        if let Some(place) = self.place {
            release(place.lease);
        }
    }

    /// Runs a statement.
    pub(super) async fn run(
        &mut self,
        session: &Session,
        id: &str,
        text: &str,
        access: Access,
        shape: Option<&PreparedStatement>,
    ) -> Result<Answer, Failure> {
        self.place(session, id).await?;
        let limit = self.route.timeout;
        let command = Command::Run {
            id,
            after: None,
            text,
        };
        let mut tries = 0;
        loop {
            let reply = self.exchange(session, shape, &command, limit).await?;
            match reply.result {
                Ok(signature) => {
                    self.wrote |= access == Access::Write;
                    let rows = reply.rows;
                    return Ok(Answer::Upstream { rows, signature });
                }
                Err((Code::Busy, _)) if reply.state == State::Open && tries < BUSY_TRIES => {
                    tries += 1;
                    sleep(BUSY_PAUSE).await;
                }
                Err((code, detail)) => return Err(aborted(code, &detail)),
            }
        }
    }

    /// Commits; a failure promises that nothing is kept unless it says otherwise.
    pub(super) async fn commit(
        &mut self,
        session: &mut Session,
        id: &str,
    ) -> Result<Answer, Failure> {
        self.place(session, id).await?;
        let command = Command::Run {
            id,
            after: None,
            text: COMMIT,
        };
        let asked = clock::now();
        let limit = self.route.timeout;
        let sent = self.exchange(session, None, &command, limit).await;
        let reply = sent.map_err(|failure| self.unsettled(failure.detail))?;
        match reply.result {
            Ok(signature) => {
                if self.wrote {
                    self.note_commit(session, asked, reply.mark);
                }
                // The connection is free for others while the commit is confirmed.
                let place = self.place.take().map(|place| place.upstream);
                if let (true, Some(leader), Some(mark)) = (self.wrote, &place, reply.mark) {
                    let commit = Commit {
                        id,
                        service: &self.route.service,
                        leader,
                        mark,
                    };
                    confirm(&self.node, &commit).await?;
                }
                let rows = reply.rows;
                Ok(Answer::Upstream { rows, signature })
            }
            Err((code, detail)) if code.guarantees_no_effect() => Err(Failure::new(code, detail)),
            Err((code, detail)) => Err(self.unsettled(format!("{code} {detail}"))),
        }
    }

    /// Returns the failure of a commit whose outcome is not known.
    fn unsettled(&self, detail: String) -> Failure {
        let code = if self.wrote {
            Code::InDoubt
        } else {
            Code::Aborted
        };
        Failure::new(code, detail)
    }

    fn note_commit(
        &self,
        session: &mut Session,
        asked: chervildrift_core::types::Time,
        mark: Option<LogPosition>,
    ) {
        let Some(place) = &self.place else { return };
        let service = &self.route.service;
        if let Some(mark) = mark {
            self.node.take_sample(service, &place.upstream, asked, mark);
        }
        session.last_commit = Some(
            self.node
                .with_group(service, |group| group.tag_commit(mark)),
        );
    }

    async fn exchange(
        &mut self,
        session: &Session,
        shape: Option<&PreparedStatement>,
        command: &Command<'_>,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let place = self.place.as_mut();
        let Some(link) = place.and_then(|it| it.lease.open_link()) else {
            return Err(Failure::new(Code::Aborted, "no connection"));
        };
        let asked = clock::now();
        let ran = link.run_for(session, shape, &[*command], limit).await;
        let took = clock::now().since(asked);
        self.node.metrics.took(Part::Upstream, took);
        let replies = ran.map_err(|err| Failure::new(Code::Aborted, err.to_string()))?;
        let reply = replies.into_iter().next();
        reply.ok_or_else(|| Failure::new(Code::Aborted, "no answer"))
    }

    /// Begins the transaction at an upstream unless that was done.
    async fn place(&mut self, session: &Session, id: &str) -> Result<(), Failure> {
        if self.expired {
            return Err(Failure::new(Code::Aborted, "idle for too long"));
        }
        if self.place.is_some() {
            return Ok(());
        }
        let mut turn = Turn::open(&self.node, &self.route, &self.caller, id);
        loop {
            let target = turn.target(self.access, session).await?;
            let mut lease = turn.acquire(&target).await?;
            if self.begin(&mut turn, &target, &mut lease, session).await? {
                self.place = Some(Place {
                    upstream: target.upstream,
                    lease,
                });
                return Ok(());
            }
        }
    }

    /// Sends the begin; false if another upstream is to be tried.
    async fn begin(
        &self,
        turn: &mut Turn<'_>,
        target: &Target,
        lease: &mut Lease,
        session: &Session,
    ) -> Result<bool, Failure> {
        let asked = clock::now();
        let link = match turn.open_link(target, lease, session, None).await {
            Ok(link) => link,
            Err(err) => return turn.lost(target, &err, asked).await.map(|()| false),
        };
        let command = match target.floor {
            // Only a transaction that may write is refused by an upstream that has lost its lead.
            MinPosition::LeaderOnly => Command::Begin(Access::Write, None),
            MinPosition::AtLeast(mark) => Command::Begin(Access::Read, Some(mark)),
        };
        let asked = clock::now();
        match link.run(&[command], turn.limit()).await {
            Ok(replies) => match replies.into_iter().next() {
                Some(reply) if reply.result.is_ok() => {
                    turn.observe(target, asked, reply.mark);
                    Ok(true)
                }
                Some(reply) => turn
                    .refused(target, reply.result.err(), asked)
                    .await
                    .map(|()| false),
                None => Ok(false),
            },
            Err(err) => turn.lost(target, &err, asked).await.map(|()| false),
        }
    }
}

fn aborted(code: Code, detail: &str) -> Failure {
    Failure::new(Code::Aborted, format!("{code} {detail}"))
}

/// Returns a connection after it has rolled back; one that does not answer is closed.
fn release(mut lease: Lease) {
    tokio::task::spawn_local(async move {
        if let Some(link) = lease.open_link()
            && !link.is_clean()
            && !link.is_pending()
        {
            // A connection without an answer stays pending and is closed with the lease.
            let _answered = link.run(&[Command::Rollback], ROLLBACK_LIMIT).await;
        }
    });
}
