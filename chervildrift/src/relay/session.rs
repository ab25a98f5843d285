//! One caller's connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{
    Access, Code, PreparedStatement, Route, Session, Statement, TransactionStatus,
};
use chervildrift_core::types::Caller;
use chervildrift_platform::wire::{self, LINE_BYTES, Request};
use futures::StreamExt;
use slog::{debug, info};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec, LinesCodecError};

use super::answer::{Answer, Failure};
use super::clock;
use super::lines::RequestEvent;
use super::node::Node;
use super::single::{self, Single};
use super::stop::Stage;
use super::transaction::Transaction;

/// Time for a caller's first message.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Wait for the first configuration; callers give up after 2 s without an answer.
const CONFIGURE_WAIT: Duration = Duration::from_millis(1_500);

/// Idle time of a transaction after which it is ended if the configuration states none.
const TRANSACTION_IDLE: Duration = Duration::from_secs(30);

/// Time without a message after which a session counts as idle at a planned stop; an operation sends
/// its next statement within a way there and back.
const QUIET: Duration = Duration::from_millis(100);

/// One caller's connection.
struct Connection {
    node: Rc<Node>,
    lines: Framed<TcpStream, LinesCodec>,
    database: Box<str>,
    caller: Caller,
    session: Session,
    transaction: Option<Transaction>,
}

/// What happens next on a connection.
enum Next {
    Line(String),
    TooLong,
    Stop,
    Idle,
    End,
}

/// Serves a caller until either side ends the session.
pub(super) async fn serve(node: Rc<Node>, stream: TcpStream) {
    let number = node.sessions.get() + 1;
    node.sessions.set(number);
    if let Err(err) = stream.set_nodelay(true) {
        debug!(node.log, "caller lost"; "event" => "session", "error" => %err);
    }
    let caller = stream.peer_addr().map(|it| it.to_string());
    let mut connection = Connection {
        node: Rc::clone(&node),
        lines: Framed::new(stream, LinesCodec::new_with_max_length(LINE_BYTES)),
        database: Box::default(),
        caller: Caller::from(caller.unwrap_or_default()),
        session: Session::default(),
        transaction: None,
    };
    if let Err(err) = connection.run().await {
        debug!(node.log, "caller lost"; "event" => "session", "error" => %err);
    }
    if let Some(transaction) = connection.transaction.take() {
        transaction.roll_back();
    }
    node.sessions.set(node.sessions.get() - 1);
}

impl Connection {
    async fn run(&mut self) -> std::io::Result<()> {
        if !self.start().await? {
            return Ok(());
        }
        loop {
            match self.next().await {
                Next::Line(line) => {
                    if !self.take(&line).await? {
                        return Ok(());
                    }
                }
                Next::TooLong => {
                    return self.close(Code::TooLarge, "message too long").await;
                }
                Next::Idle => self.end_idle(),
                Next::Stop | Next::End => return Ok(()),
            }
        }
    }

    /// Opens the session; false if the connection is to be closed.
    async fn start(&mut self) -> std::io::Result<bool> {
        let line = match timeout(START_LIMIT, self.lines.next()).await {
            Ok(Some(Ok(line))) => line,
            Ok(Some(Err(_))) => {
                self.close(Code::TooLarge, "message too long").await?;
                return Ok(false);
            }
            Ok(None) | Err(_) => return Ok(false),
        };
        let Some(Request::Start { database }) = wire::parse(&line) else {
            self.close(Code::Malformed, "a session starts first")
                .await?;
            return Ok(false);
        };
        self.database = database.into();
        self.await_routes().await;
        if self.route().is_none() {
            let code = if self.node.routes.borrow().version() == 0 {
                Code::Busy
            } else {
                Code::NoDatabase
            };
            if let Some(dropped) = self.node.line(RequestEvent::Session) {
                info!(self.node.log, "session refused"; "event" => "session", "code" => %code,
                    "database" => &*self.database, "dropped" => dropped,
                    "version" => self.node.routes.borrow().version());
            }
            self.close(code, "no route").await?;
            return Ok(false);
        }
        self.send(None).await?;
        Ok(true)
    }

    /// Waits for the first configuration, which a VM that has just started reads within moments.
    async fn await_routes(&self) {
        let configured = async {
            loop {
                let changed = self.node.changed.notified();
                if self.node.routes.borrow().version() > 0 {
                    return;
                }
                changed.await;
            }
        };
        // Without a configuration in time the caller is told that the VM is busy.
        let _configured = timeout(CONFIGURE_WAIT, configured).await;
    }

    async fn next(&mut self) -> Next {
        let idle = self
            .node
            .routes
            .borrow()
            .transaction_idle()
            .unwrap_or(TRANSACTION_IDLE);
        let open = matches!(self.session.transaction, TransactionStatus::Open(_));
        let mut stage = self.node.stage.subscribe();
        let closing = async {
            // The node holds the sender for as long as the process runs.
            drop(stage.wait_for(|stage| *stage >= Stage::Closing).await);
            // Sessions that are never quiet end at the last stage.
            let ending = stage.wait_for(|stage| *stage >= Stage::Ending);
            let _quiet = timeout(QUIET, ending).await;
        };
        tokio::select! {
            biased;
            line = self.lines.next() => match line {
                Some(Ok(line)) => Next::Line(line),
                Some(Err(LinesCodecError::MaxLineLengthExceeded)) => Next::TooLong,
                Some(Err(LinesCodecError::Io(_))) | None => Next::End,
            },
            () = closing, if self.session.transaction == TransactionStatus::Idle => Next::Stop,
            () = sleep(idle), if open => Next::Idle,
        }
    }

    /// Takes a message; false if the session ends.
    async fn take(&mut self, line: &str) -> std::io::Result<bool> {
        let (id, text) = match wire::parse(line) {
            Some(Request::Query { id, text }) => (id, text),
            Some(Request::Terminate) => return Ok(false),
            Some(Request::Start { .. }) | None => {
                self.send(Some(&Answer::failed(Code::Malformed, "unknown message")))
                    .await?;
                return Ok(true);
            }
        };
        let asked = clock::now();
        let ending = *self.node.stage.borrow() >= Stage::Ending;
        let answer = match wire::statement(text) {
            None => Answer::failed(Code::Malformed, "unknown statement"),
            Some(_) if ending && self.session.transaction != TransactionStatus::Idle => {
                self.abort("stopping")
            }
            Some(statement) => self.answer(id, text, &statement).await,
        };
        let code = answer.code();
        if let Some(route) = self.route() {
            let took = clock::now().since(asked);
            self.node.metrics.answered(&route.kind, code, took);
        }
        if let Answer::Failed(failure) = &answer
            && let Some(dropped) = self.node.line(RequestEvent::Failure)
        {
            info!(self.node.log, "statement failed"; "event" => "failure", "request" => id,
                "caller" => %self.caller, "database" => &*self.database, "code" => %failure.code,
                "detail" => &failure.detail, "dropped" => dropped);
        }
        self.send(Some(&answer)).await?;
        Ok(code != Some(Code::NoDatabase))
    }

    async fn answer(&mut self, id: &str, text: &str, statement: &Statement<'_>) -> Answer {
        if self.session.transaction == TransactionStatus::Failed {
            return self.answer_failed(statement);
        }
        match *statement {
            Statement::Begin(access) => self.begin(access),
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => self.roll_back(),
            Statement::Set { name, value } => {
                self.session.set(name, value);
                Answer::Taken
            }
            Statement::Prepare {
                name,
                access,
                query,
            } => {
                self.session
                    .prepare(name, PreparedStatement::new(access, query));
                Answer::Taken
            }
            Statement::Deallocate(name) => {
                if self.session.deallocate(name) {
                    Answer::Taken
                } else {
                    Answer::failed(Code::UnknownStatement, name)
                }
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.session.prepared(name).cloned() else {
                    return self.fail(Failure::new(Code::UnknownStatement, name));
                };
                let text = wire::execute(&shape.name, arguments);
                self.execute(id, &text, shape.access, Some(&shape)).await
            }
            Statement::Plain(access) => self.execute(id, text, access, None).await,
        }
    }

    /// Answers inside a failed transaction, whose end is all that is accepted.
    fn answer_failed(&mut self, statement: &Statement<'_>) -> Answer {
        match statement {
            Statement::Rollback => {
                self.session.transaction = TransactionStatus::Idle;
                Answer::Taken
            }
            Statement::Commit => {
                self.session.transaction = TransactionStatus::Idle;
                Answer::failed(Code::Aborted, "the transaction has failed")
            }
            _ => Answer::failed(Code::Malformed, "the transaction has failed"),
        }
    }

    fn begin(&mut self, access: Access) -> Answer {
        if self.session.transaction != TransactionStatus::Idle {
            return Answer::failed(Code::Malformed, "a transaction is open");
        }
        let Some(route) = self.route() else {
            return Answer::failed(Code::NoDatabase, "no route");
        };
        // The upstream's transaction begins with the first statement, so that no connection is
        // held until then.
        let node = Rc::clone(&self.node);
        self.transaction = Some(Transaction::open(node, route, access, self.caller.clone()));
        self.session.transaction = TransactionStatus::Open(access);
        Answer::Taken
    }

    async fn commit(&mut self, id: &str) -> Answer {
        let Some(mut transaction) = self.transaction.take() else {
            return Answer::failed(Code::Malformed, "no transaction is open");
        };
        self.session.transaction = TransactionStatus::Idle;
        match transaction.commit(&mut self.session, id).await {
            Ok(answer) => answer,
            Err(failure) => {
                transaction.roll_back();
                failure.into()
            }
        }
    }

    fn roll_back(&mut self) -> Answer {
        let Some(transaction) = self.transaction.take() else {
            return Answer::failed(Code::Malformed, "no transaction is open");
        };
        self.session.transaction = TransactionStatus::Idle;
        transaction.roll_back();
        Answer::Taken
    }

    async fn execute(
        &mut self,
        id: &str,
        text: &str,
        access: Access,
        shape: Option<&PreparedStatement>,
    ) -> Answer {
        if let Some(transaction) = self.transaction.as_mut() {
            let ran = transaction
                .run(&self.session, id, text, access, shape)
                .await;
            return ran.unwrap_or_else(|failure| self.fail(failure));
        }
        let Some(route) = self.route() else {
            return Answer::failed(Code::NoDatabase, "no route");
        };
        let single = Single {
            node: &self.node,
            route: &route,
            caller: &self.caller,
            id,
            text,
            access,
            shape,
        };
        single::run(&single, &mut self.session).await
    }

    /// Answers with a failure, which also ends an open transaction.
    fn fail(&mut self, failure: Failure) -> Answer {
        if let Some(transaction) = self.transaction.take() {
            transaction.roll_back();
            self.session.transaction = TransactionStatus::Failed;
        }
        failure.into()
    }

    fn abort(&mut self, reason: &str) -> Answer {
        self.fail(Failure::new(Code::Aborted, reason))
    }

    /// Ends a transaction that has been idle for too long; its next statement is refused.
    fn end_idle(&mut self) {
        info!(self.node.log, "idle transaction ended"; "event" => "transaction",
            "caller" => %self.caller);
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.expire();
        }
    }

    fn route(&self) -> Option<Arc<Route>> {
        self.node.routes.borrow().find(&self.database).cloned()
    }

    /// Sends an answer, if there is one, and that the next statement is taken.
    async fn send(&mut self, answer: Option<&Answer>) -> std::io::Result<()> {
        let mut out = String::new();
        if let Some(answer) = answer {
            answer.encode(&mut out);
        }
        wire::encode_ready(self.session.transaction, &mut out);
        self.lines.get_mut().write_all(out.as_bytes()).await
    }

    /// Sends why the session ends.
    async fn close(&mut self, code: Code, detail: &str) -> std::io::Result<()> {
        let mut out = String::new();
        wire::encode_error(code, detail, &mut out);
        self.lines.get_mut().write_all(out.as_bytes()).await
    }
}
