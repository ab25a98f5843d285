//! HTTP listener that sets the replication lag of the demo fleet.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::handler::params::Params;
use xitca_web::handler::state::StateRef;
use xitca_web::route::post;

use crate::upstream::{Connection, Login};

/// Sets the lag of the upstreams at these addresses.
#[derive(Clone, Debug)]
pub(super) struct LagSetter {
    addresses: Arc<Vec<SocketAddr>>,
}

/// Handle of the running listener.
#[derive(derive_more::Debug)]
pub(super) struct ListenerHandle {
    address: SocketAddr,
    #[debug("..")]
    stop: Box<dyn Fn() + Send + Sync>,
}

impl ListenerHandle {
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn stop(&self) {
        (self.stop)();
    }
}

/// Creates a setter of the lag of the upstreams at `addresses`.
pub(super) fn lag_setter(addresses: Vec<SocketAddr>) -> LagSetter {
    LagSetter {
        addresses: Arc::new(addresses),
    }
}

/// Starts the listener on a free port.
pub(super) fn bind(lag: LagSetter) -> std::io::Result<ListenerHandle> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let mut server = App::new()
        .with_state(lag)
        .at("/lag/{ms}", post(handler_service(handle_set_lag)))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)?
        .run();
    let control = server.handle()?;
    thread::spawn(move || server.wait());
    Ok(ListenerHandle {
        address,
        stop: Box::new(move || control.stop(false)),
    })
}

async fn handle_set_lag(StateRef(lag): StateRef<'_, LagSetter>, Params(ms): Params<u32>) -> String {
    for address in lag.addresses.iter() {
        if let Err(err) = set_lag(*address, ms).await {
            return format!("{address}: {err}\n");
        }
    }
    format!("replicas lag by {ms} ms\n")
}

async fn set_lag(address: SocketAddr, ms: u32) -> Result<(), crate::upstream::Error> {
    let login = Login {
        user: chervildrift_standin::upstream::FAULT_USER.to_owned(),
        password: None,
        database: "chervildrift".to_owned(),
    };
    let connection = Connection::open(address, &login).await?;
    let statement = crate::upstream::Statement {
        sql: "SELECT chervildrift_fault('apply_lag_ms', $1)".to_owned(),
        params: vec![ms.into()],
    };
    connection.run(&statement).await.map(drop)
}
