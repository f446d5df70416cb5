//! A port that refuses connections for as long as it is held.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// A loopback port that is bound and not listened on. No other socket is given it meanwhile.
pub struct RefusingPort {
    address: SocketAddr,
    _socket: Socket,
}

impl RefusingPort {
    /// Binds a port.
    pub fn bind() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket();
        let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, _socket: socket })
    }

    /// Returns the address that refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
