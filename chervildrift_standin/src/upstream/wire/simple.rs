//! Simple query protocol.

use std::fmt::Debug;

use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::api::portal::Format;
use pgwire::api::query::{
    SimpleQueryHandler, send_execution_response, send_query_response, send_ready_for_query,
};
use pgwire::api::results::Response;
use pgwire::api::store::PortalStore;
use pgwire::api::{ClientInfo, ClientPortalStore, PgWireConnectionState};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{EmptyQueryResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;

use super::super::sql::{Action, Command, split_statements};
use super::Handlers;
use super::response::build_response;

impl Handlers {
    /// Runs the statements of a simple query.
    ///
    /// Several statements outside a transaction run in one of their own, unless they include
    /// commands such as BEGIN or calls of the upstream's own functions.
    async fn run_statements<C>(&self, client: &mut C, sql: &str) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut commands = Vec::new();
        for part in split_statements(sql) {
            commands.extend(Command::parse(part)?);
        }
        if commands.is_empty() {
            let empty = EmptyQueryResponse::new();
            let message = PgWireBackendMessage::EmptyQueryResponse(empty);
            client.feed(message).await?;
        }
        let is_query = |command: &Command| matches!(command.action, Action::Query);
        let idle = matches!(self.session.status(), TransactionStatus::Idle);
        let implicit = idle && commands.len() > 1 && commands.iter().all(is_query);
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
        let columns = &self.session.describe(command)?.columns;
        let reply = self.run(command, &[]).await?;
        match build_response(reply, columns, &Format::UnifiedText)? {
            Response::Query(rows) => send_query_response(client, rows, true).await,
            Response::Execution(tag)
            | Response::TransactionStart(tag)
            | Response::TransactionEnd(tag) => send_execution_response(client, tag).await,
            _ => Ok(()),
        }
    }
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
        self.delay_batch(&query.query).await;
        client.set_state(PgWireConnectionState::QueryInProgress);
        let result = self.run_statements(client, &query.query).await;
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
        // `on_query` replies to simple queries itself, to keep the status after each statement.
        Ok(Vec::new())
    }
}
