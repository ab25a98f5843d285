//! `PostgreSQL`'s wire protocol, based on pgwire.
//!
//! Responses are queued and flushed at the end of a batch, which pgwire's own handlers do only
//! for some messages.

mod extended;
mod response;
mod simple;

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use futures::Sink;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::{ClientInfo, ErrorHandler, METADATA_USER, PgWireServerHandlers};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::time::sleep;

use super::error::{SqlError, code};
use super::faults::Fault;
use super::reply::Reply;
use super::session::Session;
use super::sql::Command;
use super::value::Value;
use super::{FAULT_USER, REPLICA_USER};

/// Name in a statement that exempts it from the freeze and delay faults.
const FAULT_FUNCTION: &str = "chervildrift_fault";

/// Protocol handlers of one connection.
#[derive(Clone, Debug)]
pub(super) struct Handlers {
    session: Arc<Session>,
}

impl Handlers {
    /// Creates the handlers of a session.
    pub fn new(session: Arc<Session>) -> Self {
        Self { session }
    }

    /// Delays a batch by the delay fault and while the upstream is frozen.
    async fn delay_batch(&self, sql: &str) {
        if sql.contains(FAULT_FUNCTION) {
            return;
        }
        self.session.start_batch().await;
        self.session.shared.faults.wait_unfrozen().await;
    }

    /// Runs a statement and delays its reply while the upstream is frozen.
    async fn run(&self, command: &Command, params: &[Value]) -> Result<Reply, SqlError> {
        let reply = self.session.run(command, params).await;
        if !command.text.contains(FAULT_FUNCTION) {
            self.session.shared.faults.wait_unfrozen().await;
        }
        reply
    }
}

#[async_trait]
impl NoopStartupHandler for Handlers {
    async fn post_startup<C>(&self, client: &mut C, _: PgWireFrontendMessage) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let user = client.metadata().get(METADATA_USER).map(String::as_str);
        if user == Some(FAULT_USER) {
            self.session.fault_control.store(true, Ordering::SeqCst);
            return Ok(());
        }
        let shared = &self.session.shared;
        if shared.faults.is_on(Fault::RefuseConnections) {
            self.session.close().await;
        }
        shared.faults.wait_unfrozen().await;
        if user == Some(REPLICA_USER) {
            return Ok(());
        }
        let open = shared.connections.fetch_add(1, Ordering::SeqCst);
        self.session.counted.store(true, Ordering::SeqCst);
        if open >= shared.options.max_connections {
            return Err(too_many_connections());
        }
        sleep(shared.options.connect_time).await;
        Ok(())
    }
}

fn too_many_connections() -> PgWireError {
    let message = "sorry, too many clients already".to_owned();
    let code = code::TOO_MANY_CONNECTIONS.to_owned();
    PgWireError::UserError(Box::new(ErrorInfo::new("FATAL".to_owned(), code, message)))
}

impl ErrorHandler for Handlers {
    fn on_error<C>(&self, _: &C, _: &mut PgWireError)
    where
        C: ClientInfo,
    {
        // Errors of pgwire itself fail the transaction too.
        self.session.mark_failed();
    }
}

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        Arc::new(self.clone())
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        Arc::new(self.clone())
    }

    fn error_handler(&self) -> Arc<impl ErrorHandler> {
        Arc::new(self.clone())
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        Arc::new(self.clone())
    }
}
