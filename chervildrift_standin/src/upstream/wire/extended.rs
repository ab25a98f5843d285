//! Extended query protocol: prepared statements, portals and pipelines.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::api::portal::{Format, Portal, PortalExecutionState};
use pgwire::api::query::{
    ExtendedQueryHandler, send_execution_response, send_query_response, send_ready_for_query,
};
use pgwire::api::results::{FieldInfo, Response};
use pgwire::api::stmt::{QueryParser, StoredStatement};
use pgwire::api::store::{Entry, PortalStore};
use pgwire::api::{ClientInfo, ClientPortalStore, DEFAULT_NAME, Type};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Describe, Execute, Parse, ParseComplete, Sync as PgSync,
    TARGET_TYPE_BYTE_STATEMENT,
};

use super::super::database::{Column, Description};
use super::super::error::{SqlError, code};
use super::super::sql::Command;
use super::super::value::decode_params;
use super::Handlers;
use super::response::{build_response, describe_columns, field_infos};

/// Prepared statement with its parameter types and result columns.
#[derive(Debug)]
pub(in crate::upstream) struct PreparedStatement {
    command: Command,
    description: Arc<Description>,
    params: Vec<Type>,
}

#[async_trait]
impl QueryParser for Handlers {
    type Statement = Arc<PreparedStatement>;

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
        let description = self.session.describe(&command)?;
        let mut params = description.params.clone();
        for (param, given) in params.iter_mut().zip(types) {
            if let Some(given) = given.as_ref().filter(|given| **given != Type::UNKNOWN) {
                param.clone_from(given);
            }
        }
        Ok(Some(Arc::new(PreparedStatement {
            command,
            description,
            params,
        })))
    }

    fn get_parameter_types(&self, statement: &Self::Statement) -> PgWireResult<Vec<Type>> {
        Ok(statement.params.clone())
    }

    fn get_result_schema(
        &self,
        statement: &Self::Statement,
        column_format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let columns = &statement.description.columns;
        Ok(field_infos(
            columns,
            column_format.unwrap_or(&Format::UnifiedText),
        ))
    }
}

#[async_trait]
impl ExtendedQueryHandler for Handlers {
    type Statement = Arc<PreparedStatement>;
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
        self.delay_batch(&message.query).await;
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        let parsed = StoredStatement::parse(client, &message, self.query_parser()).await;
        client.set_transaction_status(self.session.status());
        match parsed? {
            Some(statement) => client.portal_store().put_statement(Arc::new(statement)),
            None => client.portal_store().put_empty_statement(name),
        }
        let done = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        client.feed(done).await?;
        Ok(())
    }

    async fn on_bind<C>(&self, client: &mut C, message: Bind) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let statement = message.statement_name.as_deref().unwrap_or(DEFAULT_NAME);
        match client.portal_store().get_statement(statement) {
            Some(Entry::Value(statement)) => {
                let portal = Portal::try_new(&message, statement)?;
                check_bind(&portal)?;
                client.portal_store().put_portal(Arc::new(portal));
            }
            Some(Entry::Empty) => {
                let name = message.portal_name.as_deref().unwrap_or(DEFAULT_NAME);
                client.portal_store().put_empty_portal(name);
            }
            None => return Err(PgWireError::StatementNotFound(statement.to_owned())),
        }
        let done = PgWireBackendMessage::BindComplete(BindComplete::new());
        client.feed(done).await?;
        Ok(())
    }

    async fn on_describe<C>(&self, client: &mut C, message: Describe) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            if let Some(Entry::Value(statement)) = client.portal_store().get_statement(name) {
                return describe_statement(client, &statement.statement).await;
            }
        } else if let Some(Entry::Value(portal)) = client.portal_store().get_portal(name) {
            let columns = &portal.statement.statement.description.columns;
            let message = describe_columns(columns, &portal.result_column_format);
            client.feed(message).await?;
            return Ok(());
        }
        self._on_describe(client, message).await
    }

    async fn on_execute<C>(&self, client: &mut C, message: Execute) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        let result = match client.portal_store().get_portal(name) {
            Some(Entry::Value(portal)) if message.max_rows == 0 && is_new(&portal).await => {
                self.execute_all(client, &portal).await
            }
            _ => self._on_execute(client, message).await,
        };
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
        self.delay_batch(&prepared.command.text).await;
        let params = decode_params(portal, &prepared.params)?;
        let reply = self.run(&prepared.command, &params).await?;
        let columns = &prepared.description.columns;
        build_response(reply, columns, &portal.result_column_format)
    }
}

impl Handlers {
    /// Runs a portal to completion and queues the response, which Sync flushes.
    async fn execute_all<C>(
        &self,
        client: &mut C,
        portal: &Portal<Arc<PreparedStatement>>,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Arc<PreparedStatement>>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let response = self.do_query(client, portal, 0).await?;
        *portal.state().lock().await = PortalExecutionState::Finished;
        match response {
            Response::Query(rows) => send_query_response(client, rows, false).await,
            Response::Execution(tag)
            | Response::TransactionStart(tag)
            | Response::TransactionEnd(tag) => send_execution_response(client, tag).await,
            _ => Ok(()),
        }
    }
}

async fn is_new(portal: &Portal<Arc<PreparedStatement>>) -> bool {
    let state = portal.state();
    let state = state.lock().await;
    matches!(*state, PortalExecutionState::Initial)
}

async fn describe_statement<C>(client: &mut C, prepared: &PreparedStatement) -> PgWireResult<()>
where
    C: Sink<PgWireBackendMessage> + Unpin + Send + Sync,
    C::Error: Debug,
    PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
{
    let types = prepared.params.iter().map(Type::oid).collect();
    let params = ParameterDescription::new(types);
    client
        .feed(PgWireBackendMessage::ParameterDescription(params))
        .await?;
    let columns = &prepared.description.columns;
    client
        .feed(describe_columns(columns, &Format::UnifiedText))
        .await?;
    Ok(())
}

/// Returns an error for a Bind whose number of parameters or formats doesn't fit the statement.
fn check_bind(portal: &Portal<Arc<PreparedStatement>>) -> Result<(), SqlError> {
    let prepared = &portal.statement.statement;
    let fits = |format: &Format, count: usize| match format {
        Format::Individual(formats) => formats.len() == count,
        _ => true,
    };
    let columns: &[Column] = &prepared.description.columns;
    let fit = portal.parameter_len() == prepared.params.len()
        && fits(&portal.parameter_format, prepared.params.len())
        && fits(&portal.result_column_format, columns.len());
    if fit {
        return Ok(());
    }
    let message = "bind message does not fit the prepared statement";
    Err(SqlError::new(code::PROTOCOL_VIOLATION, message))
}
