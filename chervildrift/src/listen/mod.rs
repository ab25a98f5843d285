//! Listening sockets of the program.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted; the kernel lowers it to its own limit.
///
/// Beyond it the kernel drops opening packets, which callers and peers repeat after a second. The
/// standard library asks for 128, which a flood of silent connections fills at once.
const BACKLOG: i32 = 1_024;

/// Binds a listening socket.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restarted process binds the address while connections of its predecessor linger.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
