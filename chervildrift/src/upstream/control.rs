//! Control connection to an upstream, for status reads and orders.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::types::{LogPosition, Status, Term};
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_postgres::types::{ToSql, Type};

use super::connection::read_u64;
use super::{Connection, Error, Login, sql};

/// Reply to an order to fence or to promote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderReply {
    /// Whether the upstream carried the order out.
    pub granted: bool,
    /// Highest term at which the upstream is fenced.
    pub fenced: Term,
    /// Position of the last entry in its log.
    pub received: LogPosition,
}

/// Connection for status reads and orders, separate from those for callers' statements.
///
/// If status reads queued behind callers' statements, a busy upstream would seem to have failed.
#[derive(Debug)]
pub struct Control {
    address: SocketAddr,
    login: Login,
    call_timeout: Duration,
    connection: Mutex<Option<Connection>>,
}

impl Control {
    /// Creates a control connection, opened on demand, with a time limit for each call.
    #[must_use]
    pub fn new(address: SocketAddr, login: &Login, call_timeout: Duration) -> Self {
        Self {
            address,
            login: login.clone(),
            call_timeout,
            connection: Mutex::default(),
        }
    }

    /// Reads the status of the upstream.
    pub async fn status(&self) -> Result<Status, Error> {
        self.call(async |connection| connection.status().await)
            .await
    }

    /// Fences the upstream at `term`.
    pub async fn fence(&self, term: Term, promoter: &str) -> Result<OrderReply, Error> {
        self.call(async |connection| send_order(connection, sql::FENCE, term, promoter).await)
            .await
    }

    /// Promotes the upstream at `term`.
    pub async fn promote(&self, term: Term, promoter: &str) -> Result<OrderReply, Error> {
        self.call(async |connection| send_order(connection, sql::PROMOTE, term, promoter).await)
            .await
    }

    /// Orders the upstream to follow the primary at `address`.
    pub async fn follow(&self, address: SocketAddr, term: Term) -> Result<(), Error> {
        let address = address.to_string();
        let term = term_to_i64(term)?;
        let params: [(&(dyn ToSql + Sync), Type); 2] =
            [(&address, Type::TEXT), (&term, Type::INT8)];
        self.call(async |connection| connection.query(sql::FOLLOW, &params).await.map(drop))
            .await
    }

    /// Runs a call on the connection, which is closed if the call fails or times out.
    async fn call<T>(
        &self,
        run: impl AsyncFnOnce(&Connection) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let timed_call = timeout(self.call_timeout, async {
            let mut slot = self.connection.lock().await;
            let connection = match slot.take() {
                Some(connection) if !connection.is_closed() => connection,
                _ => Connection::open(self.address, &self.login).await?,
            };
            let value = run(&connection).await?;
            *slot = Some(connection);
            Ok(value)
        });
        timed_call
            .await
            .unwrap_or(Err(Error::Timeout(self.call_timeout)))
    }
}

async fn send_order(
    connection: &Connection,
    text: &str,
    term: Term,
    promoter: &str,
) -> Result<OrderReply, Error> {
    let term = term_to_i64(term)?;
    let params: [(&(dyn ToSql + Sync), Type); 2] = [(&term, Type::INT8), (&promoter, Type::TEXT)];
    let rows = connection.query(text, &params).await?;
    let row = rows
        .first()
        .ok_or(Error::Unexpected("reply to an order without a row"))?;
    Ok(OrderReply {
        granted: row.try_get(0)?,
        fenced: read_u64(row, 1)?.into(),
        received: LogPosition::new(read_u64(row, 2)?, read_u64(row, 3)?),
    })
}

fn term_to_i64(term: Term) -> Result<i64, Error> {
    i64::try_from(term.0).map_err(|_overflow| Error::Unexpected("a term out of range"))
}
