//! TCP listeners of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Length of the accept queue, in connections. The standard library's 128 overflows when a test
/// opens hundreds of streams at once, and each refused connection retries after a second.
const ACCEPT_BACKLOG: i32 = 1024;

/// Binds a listener with `TCP_NODELAY`, which accepted sockets inherit, so that they send small
/// chunks at once.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
