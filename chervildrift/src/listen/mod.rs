//! Creation of listening TCP sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Limit of connections that wait to be accepted; the kernel caps it at its own limit.
///
/// When the queue is full the kernel drops the packets that open a connection, and clients resend
/// them only after a second. The 128 of the standard library are used up at once by a flood of idle
/// connections.
const BACKLOG: i32 = 1_024;

/// Binds a TCP socket to an address and listens on it.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // Lets a restarted process bind the address while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
