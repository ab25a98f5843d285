//! One connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::types::{LogPosition, Role, Status};
use futures::{StreamExt, pin_mut};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, Config, NoTls, Row};

use super::value::{Param, row_to_json};
use super::{Error, Statement, sql};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Credentials and database for connections to the upstreams.
#[derive(Clone, derive_more::Debug)]
pub struct Login {
    /// User name.
    pub user: String,
    /// Password, if the upstreams require one.
    #[debug("...")]
    pub password: Option<String>,
    /// Database name.
    pub database: String,
}

/// An open connection; it closes when it is dropped.
#[derive(Debug)]
pub struct Connection {
    client: Client,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket at once, so that no more of an abandoned request reaches the upstream.
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, login: &Login) -> Result<Self, Error> {
        let mut config = Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user(&login.user).dbname(&login.database);
        if let Some(password) = &login.password {
            config.password(password);
        }
        let result = timeout(CONNECT_TIMEOUT, config.connect(NoTls)).await;
        let (client, driver) = result
            .map_err(|_elapsed| Error::Timeout(CONNECT_TIMEOUT))?
            .map_err(Error::Connect)?;
        let task = tokio::spawn(async move {
            // The client gets the same error as the result of its statement.
            let _result = driver.await;
        });
        Ok(Self { client, task })
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Reads the status of the upstream.
    pub async fn status(&self) -> Result<Status, Error> {
        let rows = self.client.query_typed(sql::STATUS, &[]).await?;
        parse_status(
            rows.first()
                .ok_or(Error::Unexpected("status without a row"))?,
        )
    }

    /// Runs a statement that has no parameters and returns no rows.
    pub(super) async fn command(&self, text: &str) -> Result<(), Error> {
        Ok(self.client.batch_execute(text).await?)
    }

    /// Runs one of the statements in [`sql`].
    pub(super) async fn query(
        &self,
        text: &str,
        params: &[(&(dyn ToSql + Sync), Type)],
    ) -> Result<Vec<Row>, Error> {
        Ok(self.client.query_typed(text, params).await?)
    }

    /// Runs a caller's statement and returns its columns and rows as JSON.
    pub async fn run(&self, statement: &Statement) -> Result<Value, Error> {
        let params: Vec<Param<'_>> = statement.params.iter().map(Param).collect();
        let typed: Vec<(&(dyn ToSql + Sync), Type)> = params
            .iter()
            .map(|it| (it as &(dyn ToSql + Sync), it.declared_type()))
            .collect();
        let stream = self.client.query_typed_raw(&statement.sql, typed).await?;
        pin_mut!(stream);
        let mut rows = Vec::new();
        let mut columns = Vec::new();
        while let Some(row) = stream.next().await {
            let row = row?;
            if columns.is_empty() {
                columns = row
                    .columns()
                    .iter()
                    .map(|it| Value::from(it.name()))
                    .collect();
            }
            rows.push(row_to_json(&row)?);
        }
        let affected = stream.rows_affected();
        Ok(json!({ "columns": columns, "rows": rows, "affected": affected }))
    }
}

fn parse_status(row: &Row) -> Result<Status, Error> {
    let role = match row.try_get::<_, &str>(0)? {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return Err(Error::Unexpected("role")),
    };
    let heard_ms: Option<i64> = row.try_get(6)?;
    Ok(Status {
        role,
        fenced: read_u64(row, 1)?.into(),
        received: LogPosition::new(read_u64(row, 2)?, read_u64(row, 3)?),
        applied: LogPosition::new(read_u64(row, 4)?, read_u64(row, 5)?),
        heard: heard_ms.map(|ms| Duration::from_millis(ms.unsigned_abs())),
    })
}

/// Reads a column that holds a non-negative integer.
pub(super) fn read_u64(row: &Row, index: usize) -> Result<u64, Error> {
    let value: i64 = row.try_get(index)?;
    u64::try_from(value).map_err(|_negative| Error::Unexpected("a negative number"))
}
