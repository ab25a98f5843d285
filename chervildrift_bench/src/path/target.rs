//! Targets of the load: VMs, and an upstream itself as the baseline.

use std::net::SocketAddr;

use chervildrift::try_out::DemoFleet;
use chervildrift_core::placement::Placement;
use chervildrift_core::types::{Upstream, Vm, Zone};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use tokio_postgres::NoTls;
use tokio_postgres::types::{ToSql, Type};

use super::error::Error;

/// Statement of a read.
const READ_SQL: &str = "select body from note where id = $1";

/// Statement of a write.
const WRITE_SQL: &str = "insert into written values ($1)";

/// Kind of work in a phase.
#[derive(Clone, Copy, Debug)]
pub(super) enum Work {
    Read,
    Write,
}

impl Work {
    fn sql(self) -> &'static str {
        match self {
            Self::Read => READ_SQL,
            Self::Write => WRITE_SQL,
        }
    }

    fn kind(self) -> &'static str {
        match self {
            Self::Read => "look",
            Self::Write => "save",
        }
    }
}

/// Target of the load of a phase.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub name: &'static str,
    address: SocketAddr,
    /// Credential at a VM; `None` for the upstream itself.
    credential: Option<String>,
}

/// One open connection of the load.
#[derive(Debug)]
pub(super) enum Connection {
    Vm(Box<VmConnection>),
    Upstream(tokio_postgres::Client),
}

/// Keep-alive connection to a VM.
#[derive(Debug)]
pub(super) struct VmConnection {
    client: Client,
    base_url: String,
    credential: String,
}

/// Returns the upstream itself, the VM that dispatches for it, and the other VM.
pub(super) fn all(fleet: &DemoFleet) -> [Target; 3] {
    let callers = fleet.callers();
    let first_dispatches = is_first_vm_dispatcher();
    let vm = |name, index: usize| Target {
        name,
        address: callers[index],
        credential: Some(fleet.credential().to_owned()),
    };
    let direct = Target {
        name: "upstream",
        address: fleet.upstreams()[0].address(),
        credential: None,
    };
    let [dispatcher, other] = if first_dispatches { [0, 1] } else { [1, 0] };
    [
        direct,
        vm("entry = dispatcher", dispatcher),
        vm("other VM", other),
    ]
}

/// Tells whether the first VM is the dispatcher of the first upstream.
fn is_first_vm_dispatcher() -> bool {
    let zone = Zone::from("local");
    let mut placement = Placement::new();
    placement.add(&Vm::from("vm-1"), &zone);
    placement.add(&Vm::from("vm-2"), &zone);
    let chosen = placement.dispatcher(&Upstream::from("demo-0"), &zone);
    chosen == Some(&Vm::from("vm-1"))
}

impl Target {
    /// Opens a connection of the load.
    pub(super) async fn connect(&self) -> Result<Connection, Error> {
        match &self.credential {
            Some(credential) => Ok(Connection::Vm(Box::new(VmConnection::new(
                self.address,
                credential,
            )?))),
            None => connect_upstream(self.address)
                .await
                .map(Connection::Upstream),
        }
    }
}

async fn connect_upstream(address: SocketAddr) -> Result<tokio_postgres::Client, Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("chervildrift").dbname("chervildrift");
    let (client, driver) = config.connect(NoTls).await?;
    tokio::spawn(driver);
    Ok(client)
}

impl Connection {
    /// Runs one statement, and returns false if it was refused.
    pub(super) async fn run(&self, work: Work, id: i64) -> Result<bool, Error> {
        match self {
            Self::Vm(connection) => {
                let params = json!([id]);
                let response = connection.send(work.kind(), work.sql(), &params).await?;
                let succeeded = response.status().is_success();
                // The connection can only be reused after the whole body has been read.
                response.bytes().await?;
                Ok(succeeded)
            }
            Self::Upstream(client) => {
                let params: [(&(dyn ToSql + Sync), Type); 1] = [(&id, Type::INT8)];
                Ok(client.query_typed(work.sql(), &params).await.is_ok())
            }
        }
    }
}

impl VmConnection {
    /// Creates a client of one keep-alive connection.
    pub(super) fn new(address: SocketAddr, credential: &str) -> Result<Self, Error> {
        let client = Client::builder().pool_max_idle_per_host(1).build()?;
        Ok(Self {
            client,
            base_url: format!("http://{address}/v1/demo"),
            credential: credential.to_owned(),
        })
    }

    /// Sends one statement.
    pub(super) async fn send(
        &self,
        kind: &str,
        sql: &str,
        params: &Value,
    ) -> Result<Response, Error> {
        let body = json!({"key": "a", "statements": [{"sql": sql, "params": params}]});
        let request = self.client.post(format!("{}/{kind}", self.base_url));
        let request = request.bearer_auth(&self.credential).json(&body);
        Ok(request.send().await?)
    }
}
