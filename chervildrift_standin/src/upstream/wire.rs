//! `PostgreSQL`'s wire protocol, by pgwire.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use futures::{Sink, SinkExt, stream};
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{
    ExtendedQueryHandler, SimpleQueryHandler, send_execution_response, send_query_response,
    send_ready_for_query,
};
use pgwire::api::results::{DataRowEncoder, FieldInfo, QueryResponse, Response, Tag};
use pgwire::api::stmt::QueryParser;
use pgwire::api::store::PortalStore;
use pgwire::api::{
    ClientInfo, ClientPortalStore, DEFAULT_NAME, ErrorHandler, METADATA_USER,
    PgWireConnectionState, PgWireServerHandlers, Type,
};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::extendedquery::{Execute, Parse, Sync as PgSync};
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::time::sleep;

use super::database::{Column, Description};
use super::error::{SqlError, code};
use super::faults::Fault;
use super::session::{Reply, Session};
use super::sql::{Action, Command, split};
use super::value::{Value, decode, encode};
use super::{FAULT_USER, REPLICA_USER};

/// Name that a statement must contain to pass all faults.
const FAULT_FUNCTION: &str = "chervildrift_fault";

/// Prepared statement.
#[derive(Debug)]
pub(super) struct Prepared {
    command: Command,
    description: Description,
}

/// Protocol handlers of one connection.
#[derive(Clone, Debug)]
pub(super) struct Handlers {
    session: Arc<Session>,
}

impl Handlers {
    /// Opens the handlers of a session.
    pub fn open(session: Arc<Session>) -> Self {
        Self { session }
    }

    /// Holds a batch back while the upstream is frozen or delayed.
    async fn gate(&self, sql: &str) {
        if sql.contains(FAULT_FUNCTION) {
            return;
        }
        self.session.start_batch().await;
        self.session.shared.faults.thawed().await;
    }

    /// Holds an answer back while the upstream is frozen.
    async fn hold_answer(&self, sql: &str) {
        if !sql.contains(FAULT_FUNCTION) {
            self.session.shared.faults.thawed().await;
        }
    }

    /// Runs the statements of a simple query; several without BEGIN are one transaction.
    async fn run_all<C>(&self, client: &mut C, sql: &str) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut commands = Vec::new();
        for part in split(sql) {
            commands.extend(Command::parse(part)?);
        }
        if commands.is_empty() {
            let message = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            client.feed(message).await?;
        }
        let query = |command: &Command| matches!(command.action, Action::Query);
        let implicit = commands.len() > 1 && commands.iter().all(query) && self.is_idle();
        if implicit {
            self.session.begin();
        }
        for command in &commands {
            if let Err(err) = self.run_simple(client, command).await {
                if implicit {
                    self.session.rollback().await;
                }
                return Err(err);
            }
        }
        if implicit {
            self.session.commit().await?;
        }
        Ok(())
    }

    async fn run_simple<C>(&self, client: &mut C, command: &Command) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let columns = self.session.describe(command)?.columns;
        let reply = self.session.run(command, &[]).await;
        self.hold_answer(&command.text).await;
        let reply = reply?;
        match response(reply, &columns, &Format::UnifiedText)? {
            Response::Query(rows) => send_query_response(client, rows, true).await,
            Response::Execution(tag)
            | Response::TransactionStart(tag)
            | Response::TransactionEnd(tag) => send_execution_response(client, tag).await,
            _ => Ok(()),
        }
    }

    fn is_idle(&self) -> bool {
        use pgwire::messages::response::TransactionStatus;
        matches!(self.session.status(), TransactionStatus::Idle)
    }
}

/// Turns a reply into the protocol's response.
fn response(reply: Reply, columns: &[Column], format: &Format) -> PgWireResult<Response> {
    let response = match reply {
        Reply::Rows { tag, rows } => Response::Query(query_response(tag, &rows, columns, format)?),
        Reply::Done(tag, Some(changed)) => Response::Execution(Tag::new(tag).with_rows(changed)),
        Reply::Done(tag, None) => Response::Execution(Tag::new(tag)),
        Reply::Started(tag) => Response::TransactionStart(Tag::new(tag)),
        Reply::Ended(tag) => Response::TransactionEnd(Tag::new(tag)),
    };
    Ok(response)
}

fn query_response(
    tag: &str,
    rows: &[Vec<Value>],
    columns: &[Column],
    format: &Format,
) -> PgWireResult<QueryResponse> {
    let fields = Arc::new(fields(columns, format));
    let mut encoder = DataRowEncoder::new(Arc::clone(&fields));
    let mut lines = Vec::with_capacity(rows.len());
    for row in rows {
        for (value, column) in row.iter().zip(columns) {
            encode(&mut encoder, value, &column.typ)?;
        }
        lines.push(Ok(encoder.take_row()));
    }
    let mut response = QueryResponse::new(fields, stream::iter(lines));
    response.set_command_tag(tag);
    Ok(response)
}

fn fields(columns: &[Column], format: &Format) -> Vec<FieldInfo> {
    let field = |(index, column): (usize, &Column)| {
        let name = column.name.clone();
        FieldInfo::new(
            name,
            None,
            None,
            column.typ.clone(),
            format.format_for(index),
        )
    };
    columns.iter().enumerate().map(field).collect()
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
            return Ok(());
        }
        let shared = &self.session.shared;
        if shared.faults.is_on(Fault::RefuseConnections) {
            self.session.close().await;
        }
        shared.faults.thawed().await;
        if user == Some(REPLICA_USER) {
            return Ok(());
        }
        let open = shared.connections.fetch_add(1, Ordering::SeqCst);
        self.session.counted.store(true, Ordering::SeqCst);
        if open >= shared.options.connections {
            return Err(too_many_connections());
        }
        sleep(shared.options.connect).await;
        Ok(())
    }
}

fn too_many_connections() -> PgWireError {
    let message = "sorry, too many clients already".to_owned();
    let code = code::TOO_MANY_CONNECTIONS.to_owned();
    PgWireError::UserError(Box::new(ErrorInfo::new("FATAL".to_owned(), code, message)))
}

#[async_trait]
impl SimpleQueryHandler for Handlers {
    async fn on_query<C>(&self, client: &mut C, query: Query) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.gate(&query.query).await;
        client.set_state(PgWireConnectionState::QueryInProgress);
        let result = self.run_all(client, &query.query).await;
        self.session.end_batch();
        client.set_transaction_status(self.session.status());
        result?;
        client.set_state(PgWireConnectionState::ReadyForQuery);
        send_ready_for_query(client, self.session.status()).await
    }

    async fn do_query<C>(&self, _: &mut C, _: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // `on_query` answers simple queries itself, to keep the status after each statement.
        Ok(Vec::new())
    }
}

#[async_trait]
impl QueryParser for Handlers {
    type Statement = Arc<Prepared>;

    async fn parse_sql<C>(
        &self,
        _: &C,
        sql: &str,
        types: &[Option<Type>],
    ) -> PgWireResult<Option<Self::Statement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let Some(command) = Command::parse(sql)? else {
            return Ok(None);
        };
        let mut description = self.session.describe(&command)?;
        for (param, given) in description.params.iter_mut().zip(types) {
            let given = given.as_ref().filter(|given| **given != Type::UNKNOWN);
            param.clone_from(given.unwrap_or(&param.clone()));
        }
        Ok(Some(Arc::new(Prepared {
            command,
            description,
        })))
    }

    fn get_parameter_types(&self, statement: &Self::Statement) -> PgWireResult<Vec<Type>> {
        Ok(statement.description.params.clone())
    }

    fn get_result_schema(
        &self,
        statement: &Self::Statement,
        column_format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let columns = &statement.description.columns;
        Ok(fields(
            columns,
            column_format.unwrap_or(&Format::UnifiedText),
        ))
    }
}

#[async_trait]
impl ExtendedQueryHandler for Handlers {
    type Statement = Arc<Prepared>;
    type QueryParser = Self;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::new(self.clone())
    }

    async fn on_parse<C>(&self, client: &mut C, message: Parse) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        use pgwire::api::stmt::StoredStatement;
        use pgwire::messages::extendedquery::ParseComplete;

        self.gate(&message.query).await;
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        let parsed = StoredStatement::parse(client, &message, self.query_parser()).await;
        client.set_transaction_status(self.session.status());
        match parsed? {
            Some(statement) => client.portal_store().put_statement(Arc::new(statement)),
            None => client.portal_store().put_empty_statement(name),
        }
        let message = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        client.feed(message).await?;
        Ok(())
    }

    async fn on_execute<C>(&self, client: &mut C, message: Execute) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let result = self._on_execute(client, message).await;
        client.set_transaction_status(self.session.status());
        result
    }

    async fn on_sync<C>(&self, client: &mut C, _: PgSync) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.session.end_batch();
        client.portal_store().rm_portal(DEFAULT_NAME);
        send_ready_for_query(client, self.session.status()).await
    }

    async fn do_query<C>(
        &self,
        _: &mut C,
        portal: &Portal<Self::Statement>,
        _: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let prepared = &portal.statement.statement;
        self.gate(&prepared.command.text).await;
        let columns = &prepared.description.columns;
        check_formats(columns, &portal.result_column_format)?;
        let params = decode(portal, &prepared.description.params)?;
        let reply = self.session.run(&prepared.command, &params).await;
        self.hold_answer(&prepared.command.text).await;
        let reply = reply?;
        response(reply, columns, &portal.result_column_format)
    }
}

/// Refuses a Bind whose list of result formats is not one a column.
fn check_formats(columns: &[Column], format: &Format) -> Result<(), SqlError> {
    match format {
        Format::Individual(formats) if formats.len() != columns.len() => {
            let message = "wrong number of result formats";
            Err(SqlError::new(code::PROTOCOL_VIOLATION, message))
        }
        _ => Ok(()),
    }
}

impl ErrorHandler for Handlers {
    fn on_error<C>(&self, _: &C, _: &mut PgWireError)
    where
        C: ClientInfo,
    {
        // Errors of pgwire itself fail the transaction like those of a statement.
        self.session.fail();
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
