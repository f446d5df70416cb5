//! Listeners of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Connections that wait to be accepted; the standard library's 128 overflow when a test opens
/// hundreds of streams at once, and each refused one waits a second for its next try.
const ACCEPT_BACKLOG: i32 = 1024;

/// Binds a listener whose accepted sockets send small chunks at once: they take the option over.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
