//! Session of one caller.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::limit::Standing;
use chervildrift_core::relay::{
    Access, Code, KeyDigest, PreparedStatement, Route, Session, Statement, TransactionStatus,
};
use chervildrift_core::types::{Caller, Organisation};
use chervildrift_platform::wire::{self, Request};
use slog::{debug, info};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::bytes::BytesMut;

use crate::relay::clock;
use crate::relay::log_quotas::RequestEvent;
use crate::relay::node::Node;
use crate::relay::routing::autocommit::{self, AutocommitStatement};
use crate::relay::sessions::caller_stream::{CallerStream, Received};
use crate::relay::sessions::response::{Failure, Response};
use crate::relay::sessions::seats::{CloseCause, Seat};
use crate::relay::sessions::transaction::Transaction;
use crate::relay::stop::StopPhase;

/// Timeout for a caller's first message.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the first configuration; callers give up after 2 s without a response.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle timeout of a transaction if the configuration sets none.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(30);

/// Time without a message after which a session counts as idle during shutdown; within an operation
/// the next statement follows after one round trip.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// Connection of one caller.
struct CallerConnection {
    node: Rc<Node>,
    stream: CallerStream,
    database: Box<str>,
    caller: Caller,
    /// Digest of the caller's key; the key itself isn't kept.
    key: KeyDigest,
    session: Session,
    transaction: Option<Transaction>,
}

/// Next event on a caller's connection.
enum ConnectionEvent {
    Received(Received),
    Stopping,
    TransactionIdle,
}

/// Tells a caller that there is no place for another session.
pub(in crate::relay) fn refuse(node: &Node, stream: &TcpStream) {
    node.metrics.count_closed_caller(CloseCause::Place);
    let mut out = String::new();
    wire::encode_error(Code::Busy, "no place", &mut out);
    // A caller whose socket takes nothing learns from the close alone.
    let _sent = stream.try_write(out.as_bytes());
}

/// Serves a caller until either side ends the session.
pub(in crate::relay) async fn serve(node: Rc<Node>, stream: TcpStream, seat: Seat) {
    let count = node.session_count.get() + 1;
    node.session_count.set(count);
    let caller = stream.peer_addr().map(|it| it.to_string());
    let mut connection = CallerConnection {
        node: Rc::clone(&node),
        stream: CallerStream::new(stream, seat, node.settings.limits),
        database: Box::default(),
        caller: Caller::from(caller.unwrap_or_default()),
        key: KeyDigest::of(""),
        session: Session::default(),
        transaction: None,
    };
    if let Err(err) = connection.stream.configure() {
        debug!(node.log, "caller connection failed"; "event" => "session", "error" => %err);
    }
    if let Err(cause) = connection.run().await {
        connection.report_close(cause);
    }
    if let Some(transaction) = connection.transaction.take() {
        transaction.roll_back();
    }
    node.session_count.set(node.session_count.get() - 1);
}

impl CallerConnection {
    async fn run(&mut self) -> Result<(), CloseCause> {
        if !self.start_session().await? {
            return Ok(());
        }
        loop {
            match self.next_event().await {
                ConnectionEvent::Received(Received::Message(message)) => {
                    if !self.handle_message(message).await? {
                        return Ok(());
                    }
                }
                ConnectionEvent::Received(Received::Refused(cause)) => return Err(cause),
                ConnectionEvent::TransactionIdle => self.expire_transaction()?,
                ConnectionEvent::Stopping | ConnectionEvent::Received(Received::Closed) => {
                    return Ok(());
                }
            }
        }
    }

    /// Logs and counts why the VM closes the connection, and tells the caller.
    fn report_close(&mut self, cause: CloseCause) {
        self.node.metrics.count_closed_caller(cause);
        if let Some(dropped) = self.node.admit_log_line(RequestEvent::Close) {
            info!(self.node.log, "caller closed"; "event" => "close", "cause" => %cause,
                "caller" => %self.caller, "database" => &*self.database,
                "in_transaction" => self.transaction.is_some(), "dropped" => dropped);
        }
        let mut out = String::new();
        if cause == CloseCause::TooLong {
            wire::encode_error(Code::TooLarge, "message too long", &mut out);
        } else {
            wire::encode_error(Code::Busy, &cause.to_string(), &mut out);
        }
        self.stream.send_last(&out);
    }

    /// Starts the session; returns false if the connection has to be closed.
    async fn start_session(&mut self) -> Result<bool, CloseCause> {
        let message = match timeout(START_TIMEOUT, self.stream.receive()).await {
            Ok(Received::Message(message)) => message,
            Ok(Received::Refused(cause)) => return Err(cause),
            Ok(Received::Closed) | Err(_) => return Ok(false),
        };
        let Ok(line) = std::str::from_utf8(&message) else {
            return Ok(false);
        };
        let Some(Request::Start { database, key }) = wire::parse_request(line) else {
            self.send_final_error(Code::Malformed, "a session starts first")
                .await?;
            return Ok(false);
        };
        self.database = database.into();
        self.key = KeyDigest::of(key);
        self.await_routes().await;
        if let Err(failure) = self.authorize() {
            let code = if self.node.routes.borrow().version() == 0 {
                Code::Busy
            } else {
                failure.code
            };
            if let Some(dropped) = self.node.admit_log_line(RequestEvent::Session) {
                info!(self.node.log, "session refused"; "event" => "session", "code" => %code,
                    "database" => &*self.database, "dropped" => dropped,
                    "version" => self.node.routes.borrow().version());
            }
            self.send_final_error(code, &failure.detail).await?;
            return Ok(false);
        }
        drop(message);
        self.send_response(None).await?;
        Ok(true)
    }

    /// Waits for the first configuration, which a VM that has just started loads within moments.
    async fn await_routes(&self) {
        let loading = async {
            loop {
                let changed = self.node.state_changed.notified();
                if self.node.routes.borrow().version() > 0 {
                    return;
                }
                changed.await;
            }
        };
        // After the timeout the caller is told that the VM is busy.
        let _loaded = timeout(CONFIGURATION_TIMEOUT, loading).await;
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        let idle = self
            .node
            .routes
            .borrow()
            .transaction_idle()
            .unwrap_or(DEFAULT_TRANSACTION_IDLE);
        let open = matches!(self.session.transaction, TransactionStatus::Open(_));
        let mut stop_phase = self.node.stop_phase.subscribe();
        let idle_close = async {
            // Can't fail: the node holds the sender for as long as the process runs.
            drop(
                stop_phase
                    .wait_for(|stop_phase| *stop_phase >= StopPhase::ClosingIdle)
                    .await,
            );
            // Sessions that are never idle end in the last phase.
            let aborting =
                stop_phase.wait_for(|stop_phase| *stop_phase >= StopPhase::AbortingTransactions);
            let _elapsed = timeout(MIN_IDLE_TIME, aborting).await;
        };
        tokio::select! {
            biased;
            received = self.stream.receive() => ConnectionEvent::Received(received),
            () = idle_close, if self.session.transaction == TransactionStatus::Idle => ConnectionEvent::Stopping,
            () = sleep(idle), if open => ConnectionEvent::TransactionIdle,
        }
    }

    /// Handles a message; returns false if the session ends.
    async fn handle_message(&mut self, message: BytesMut) -> Result<bool, CloseCause> {
        let Ok(line) = std::str::from_utf8(&message) else {
            return Ok(false);
        };
        self.stream.seat().set_standing(Standing::Running)?;
        let (id, text) = match wire::parse_request(line) {
            Some(Request::Query { id, text }) => (id, text),
            Some(Request::Terminate) => return Ok(false),
            Some(Request::Start { .. }) | None => {
                drop(message);
                self.send_response(Some(Response::failed(Code::Malformed, "unknown message")))
                    .await?;
                return Ok(true);
            }
        };
        let received_at = clock::now();
        let aborting = *self.node.stop_phase.borrow() >= StopPhase::AbortingTransactions;
        let response = match wire::parse_statement(text) {
            None => Response::failed(Code::Malformed, "unknown statement"),
            Some(_) if aborting && self.session.transaction != TransactionStatus::Idle => {
                self.abort("stopping")
            }
            Some(statement) => self.run_statement(id, text, &statement).await,
        };
        let code = response.code();
        if let Some(route) = self.route() {
            let elapsed = clock::now().since(received_at);
            self.node
                .metrics
                .record_statement(&route.kind, code, elapsed);
        }
        if let Response::Failed(failure) = &response
            && let Some(dropped) = self.node.admit_log_line(RequestEvent::Failure)
        {
            info!(self.node.log, "statement failed"; "event" => "failure", "request" => id,
                "caller" => %self.caller, "database" => &*self.database, "code" => %failure.code,
                "detail" => &failure.detail, "dropped" => dropped);
        }
        drop(message);
        self.send_response(Some(response)).await?;
        Ok(code != Some(Code::NoDatabase))
    }

    async fn run_statement(&mut self, id: &str, text: &str, statement: &Statement<'_>) -> Response {
        if self.session.transaction == TransactionStatus::Failed {
            return self.run_in_failed(statement);
        }
        match *statement {
            Statement::Begin(access) => self.begin(access),
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => self.roll_back(),
            Statement::Set { name, value } => {
                if !self.has_room(name, value) {
                    return self.refuse_state();
                }
                self.session.set(name, value);
                Response::Accepted
            }
            Statement::Prepare {
                name,
                access,
                query,
            } => {
                if !self.has_room(name, query) {
                    return self.refuse_state();
                }
                self.session
                    .prepare(name, PreparedStatement::new(access, query));
                Response::Accepted
            }
            Statement::Deallocate(name) => {
                if self.session.deallocate(name) {
                    Response::Accepted
                } else {
                    Response::failed(Code::UnknownStatement, name)
                }
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.session.prepared(name).cloned() else {
                    return self.fail_transaction(Failure::new(Code::UnknownStatement, name));
                };
                let text = wire::encode_execute(&prepared.name, arguments);
                self.execute(id, &text, prepared.access, Some(&prepared))
                    .await
            }
            Statement::Plain(access) => self.execute(id, text, access, None).await,
        }
    }

    /// Responds inside a failed transaction, which accepts nothing but its end.
    fn run_in_failed(&mut self, statement: &Statement<'_>) -> Response {
        match statement {
            Statement::Rollback => {
                self.session.transaction = TransactionStatus::Idle;
                Response::Accepted
            }
            Statement::Commit => {
                self.session.transaction = TransactionStatus::Idle;
                Response::failed(Code::Aborted, "the transaction has failed")
            }
            _ => Response::failed(Code::Malformed, "the transaction has failed"),
        }
    }

    fn begin(&mut self, access: Access) -> Response {
        if self.session.transaction != TransactionStatus::Idle {
            return Response::failed(Code::Malformed, "a transaction is open");
        }
        let (route, organisation) = match self.authorize() {
            Ok(authorized) => authorized,
            Err(failure) => return failure.into(),
        };
        // The transaction begins at an upstream with its first statement; until then it holds no
        // connection.
        let node = Rc::clone(&self.node);
        let caller = self.caller.clone();
        let transaction = Transaction::open(node, route, access, caller, organisation);
        self.transaction = Some(transaction);
        self.session.transaction = TransactionStatus::Open(access);
        Response::Accepted
    }

    async fn commit(&mut self, id: &str) -> Response {
        let Some(mut transaction) = self.transaction.take() else {
            return Response::failed(Code::Malformed, "no transaction is open");
        };
        self.session.transaction = TransactionStatus::Idle;
        match transaction.commit(&mut self.session, id).await {
            Ok(response) => response,
            Err(failure) => {
                transaction.roll_back();
                failure.into()
            }
        }
    }

    fn roll_back(&mut self) -> Response {
        let Some(transaction) = self.transaction.take() else {
            return Response::failed(Code::Malformed, "no transaction is open");
        };
        self.session.transaction = TransactionStatus::Idle;
        transaction.roll_back();
        Response::Accepted
    }

    async fn execute(
        &mut self,
        id: &str,
        text: &str,
        access: Access,
        prepared: Option<&PreparedStatement>,
    ) -> Response {
        if let Some(transaction) = self.transaction.as_mut() {
            let result = transaction
                .run(&self.session, id, text, access, prepared)
                .await;
            return result.unwrap_or_else(|failure| self.fail_transaction(failure));
        }
        let (route, organisation) = match self.authorize() {
            Ok(authorized) => authorized,
            Err(failure) => return failure.into(),
        };
        let statement = AutocommitStatement {
            node: &self.node,
            route: &route,
            caller: &self.caller,
            organisation: organisation.as_ref(),
            id,
            text,
            access,
            prepared,
        };
        autocommit::run(&statement, &mut self.session).await
    }

    /// Responds with a failure; an open transaction fails with it.
    fn fail_transaction(&mut self, failure: Failure) -> Response {
        if let Some(transaction) = self.transaction.take() {
            transaction.roll_back();
            self.session.transaction = TransactionStatus::Failed;
        }
        failure.into()
    }

    fn abort(&mut self, reason: &str) -> Response {
        self.fail_transaction(Failure::new(Code::Aborted, reason))
    }

    /// Makes room for one more variable or prepared statement; returns false if there is none.
    ///
    /// A session keeps no more than one message may hold, since upstream connections copy it.
    fn has_room(&mut self, name: &str, text: &str) -> bool {
        let bytes = self.session.bytes_with(name, text);
        bytes <= self.node.settings.limits.message_bytes + Session::ENTRY_BYTES
            && self.stream.seat().hold_state(bytes)
    }

    fn refuse_state(&mut self) -> Response {
        self.fail_transaction(Failure::new(Code::Busy, "no room for the session's state"))
    }

    /// Expires a transaction that was idle for too long; its next statement fails.
    fn expire_transaction(&mut self) -> Result<(), CloseCause> {
        info!(self.node.log, "idle transaction ended"; "event" => "transaction",
            "caller" => %self.caller);
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.expire();
        }
        self.stream.seat().set_standing(Standing::Idle)
    }

    /// Returns the route of the session and the organisation for which its next operation runs, by
    /// the newest configuration.
    fn authorize(&self) -> Result<(Arc<Route>, Option<Organisation>), Failure> {
        let routes = self.node.routes.borrow();
        let Some(route) = routes.find(&self.database) else {
            return Err(Failure::new(Code::NoDatabase, "no route"));
        };
        match routes.authorize(route, &self.key) {
            Ok(organisation) => Ok((Arc::clone(route), organisation)),
            Err(code) => Err(Failure::new(code, "the key belongs to no organisation")),
        }
    }

    fn route(&self) -> Option<Arc<Route>> {
        self.node.routes.borrow().find(&self.database).cloned()
    }

    /// Sends a response, if any, followed by the ready line.
    async fn send_response(&mut self, response: Option<Response>) -> Result<(), CloseCause> {
        let mut out = String::new();
        if let Some(response) = response {
            response.encode(&mut out);
        }
        wire::encode_ready(self.session.transaction, &mut out);
        let standing = match self.session.transaction {
            TransactionStatus::Idle => Standing::Idle,
            TransactionStatus::Open(_) | TransactionStatus::Failed => Standing::InTransaction,
        };
        self.stream.seat().set_standing(standing)?;
        // What was replaced or removed needs no memory any more.
        let bytes = self.session.bytes();
        self.stream.seat().hold_state(bytes);
        self.stream.send(out).await
    }

    /// Sends the reason why the session ends.
    async fn send_final_error(&mut self, code: Code, detail: &str) -> Result<(), CloseCause> {
        let mut out = String::new();
        wire::encode_error(code, detail, &mut out);
        self.stream.send(out).await
    }
}
