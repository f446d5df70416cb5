//! Input events of the membership table and the actions that it returns.

use std::net::SocketAddr;

use crate::host_list::HostState;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::member_section::SectionKind;
use crate::peer_message::PeerMessage;

/// One connection to a peer. The number distinguishes connections to the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerConnection {
    /// Address of the peer's peer link.
    pub address: SocketAddr,
    /// Number, unique within this process.
    pub number: u32,
}

/// An entry host in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Identity.
    pub host: HostId,
    /// Address of its peer link.
    pub address: SocketAddr,
    /// State according to the list.
    pub state: HostState,
}

/// An input of the membership table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Periodic timer.
    Tick,
    /// A peer sent a message and expects a reply.
    Request(PeerMessage),
    /// A peer replied to a message sent on the connection.
    Reply(PeerConnection, PeerMessage),
    /// A message sent on the connection failed or got no reply.
    SendFailed(PeerConnection),
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
    /// Another module publishes a payload.
    Publish(SectionKind, Vec<u8>),
    /// The local host knows the configuration up to the offset.
    ConfigOffset(LogOffset),
    /// Load of the local host, in percent of its capacity.
    LocalLoad(u8),
    /// The local host starts to leave.
    Leave,
    /// The local host has finished its work and shuts down now.
    Left,
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message, opening the connection if it is not open.
    Send(PeerConnection, PeerMessage),
    /// Reply to the request that the event carried.
    Reply(PeerMessage),
    /// Open a second connection because the one in use does not respond.
    OpenConnection(PeerConnection),
    /// Close a connection that is no longer used.
    RetireConnection(PeerConnection),
    /// Publish the view, which changed.
    PublishView,
    /// A newer process with this host id, whose incarnation this is, is in the fleet. The local
    /// process must shut down.
    Superseded(Incarnation),
}
