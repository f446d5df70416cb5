//! Cuts between gateway hosts and the replicas of the deployment stand-in.
//!
//! Hosts are told apart by the loopback addresses that they connect from. A socket filter drops the packets of
//! a host that is cut off silently, so that its connects hang and its open connections time out as over a
//! cut link.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slab::Slab;
use socket2::SockFilter;
use socket2::SockRef;
use socket2::Socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Classic BPF: loads a word at an absolute offset.
const LOAD_WORD: u16 = 0x20;
/// Classic BPF: compares with a constant, and jumps if both are equal.
const JUMP_EQUAL: u16 = 0x15;
/// Classic BPF: compares with a constant, and jumps if the word is at least as large.
const JUMP_AT_LEAST: u16 = 0x35;
/// Classic BPF: returns how many bytes of the packet are kept.
const RETURN: u16 = 0x06;
/// Offset of the source address, counted from the begin of the IP header.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
/// Offset that stands for a random word.
const RANDOM_WORD: u32 = 0xffff_f000 + 56;

/// Time for which a connection that is reset late stays open.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// How a host loses its links to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// No packet arrives any more.
    Silent,
    /// Open connections and new ones are reset.
    Reset,
    /// A third of the packets is lost.
    Lossy,
    /// Open connections are reset, and new ones a moment after they were accepted.
    ResetLate,
    /// New connections are reset, and open ones live on.
    RefuseNew,
}

/// A connection of a host to a replica.
#[derive(Debug)]
struct ReplicaConnection {
    host: Ipv4Addr,
    socket: Socket,
    reset: Arc<Notify>,
}

/// The sockets of one replica, and the hosts that are cut off from it.
#[derive(Debug, Default)]
pub(crate) struct ReplicaSockets {
    listener: Option<Socket>,
    connections: Slab<ReplicaConnection>,
    cuts: BTreeMap<Ipv4Addr, CutKind>,
}

/// What becomes of a new connection.
pub(crate) enum NewConnection {
    /// It is served, until the notification.
    Serve { number: Option<usize>, reset: Arc<Notify> },
    /// It is reset.
    Reset,
    /// It is reset after a time without an answer.
    ResetAfter(Duration),
}

impl ReplicaSockets {
    /// Keeps a handle of the listener of the replica's process.
    pub(crate) fn on_listen(&mut self, listener: &TcpListener) -> io::Result<()> {
        let socket = SockRef::from(listener).try_clone()?;
        attach(&socket, &self.lost_packets())?;
        self.listener = Some(socket);
        Ok(())
    }

    /// Drops the handle of the listener.
    pub(crate) fn on_closed(&mut self) {
        self.listener = None;
    }

    /// Keeps a handle of a connection, unless it is reset at once.
    pub(crate) fn on_accept(&mut self, stream: &TcpStream, peer: SocketAddr) -> NewConnection {
        let reset = Arc::new(Notify::new());
        let IpAddr::V4(host) = peer.ip() else {
            return NewConnection::Serve { number: None, reset };
        };
        match self.cuts.get(&host) {
            Some(CutKind::Reset | CutKind::RefuseNew) => {
                return NewConnection::Reset;
            }
            Some(CutKind::ResetLate) => return NewConnection::ResetAfter(RESET_DELAY),
            Some(CutKind::Silent | CutKind::Lossy) | None => {}
        }
        let socket = SockRef::from(stream).try_clone().ok();
        let number = socket.map(|socket| {
            let connection = ReplicaConnection { host, socket, reset: reset.clone() };
            self.connections.insert(connection)
        });
        NewConnection::Serve { number, reset }
    }

    /// Drops the handle of a connection.
    pub(crate) fn on_ended(&mut self, number: usize) {
        self.connections.try_remove(number);
    }

    /// Cuts hosts off, or connects them again.
    pub(crate) fn set_cut(&mut self, hosts: &[Ipv4Addr], kind: Option<CutKind>) -> io::Result<()> {
        for host in hosts {
            match kind {
                Some(kind) => self.cuts.insert(*host, kind),
                None => self.cuts.remove(host),
            };
        }
        let lost = self.lost_packets();
        if let Some(listener) = &self.listener {
            attach(listener, &lost)?;
        }
        for (_, connection) in &self.connections {
            match self.cuts.get(&connection.host) {
                Some(CutKind::Reset | CutKind::ResetLate) => connection.reset.notify_one(),
                // The connection may have ended.
                _ => drop(attach(&connection.socket, &lost)),
            }
        }
        Ok(())
    }

    /// Returns the hosts whose packets are lost, and the random words for which they are.
    fn lost_packets(&self) -> Vec<(Ipv4Addr, u32)> {
        let lost = self.cuts.iter().filter_map(|(host, kind)| match kind {
            CutKind::Silent => Some((*host, u32::MAX)),
            CutKind::Lossy => Some((*host, u32::MAX / 3)),
            CutKind::Reset | CutKind::ResetLate | CutKind::RefuseNew => None,
        });
        lost.collect()
    }
}

/// Drops packets of these hosts for which a random word is below the limit, and no others.
fn attach(socket: &Socket, lost: &[(Ipv4Addr, u32)]) -> io::Result<()> {
    let mut program = Vec::new();
    for (host, limit) in lost {
        program.extend([
            SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS),
            SockFilter::new(JUMP_EQUAL, 0, 3, u32::from(*host)),
            SockFilter::new(LOAD_WORD, 0, 0, RANDOM_WORD),
            SockFilter::new(JUMP_AT_LEAST, 1, 0, *limit),
            SockFilter::new(RETURN, 0, 0, 0),
        ]);
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    socket.attach_filter(&program)
}
