//! Tests of listening sockets: accept queue and reuse of addresses.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use chervildrift::listen;

/// Connections that are opened and never accepted; the backlog of the standard library is 128.
const CONNECTIONS: usize = 400;

/// Timeout of one loopback connection, below the second after which a dropped packet is resent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Guards against an accept queue that overflows while the accepting thread is busy.
#[test]
fn connection_burst() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listen::bind(any_port).unwrap();
    let address = listener.local_addr().unwrap();
    let open: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).unwrap())
        .collect();
    assert_eq!(open.len(), CONNECTIONS);
}

/// Guards against a restart that can't bind the address while old connections are in `TIME_WAIT`.
#[test]
fn rebind_after_close() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listen::bind(any_port).unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    // The side that closes first keeps the address in use for a while.
    drop(listener.accept().unwrap());
    drop(client);
    drop(listener);
    listen::bind(address).unwrap();
}
