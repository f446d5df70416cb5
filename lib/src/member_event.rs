//! Events that membership takes and actions that it asks for.

use std::net::SocketAddr;

use crate::host_list::HostState;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::member_section::SectionKind;
use crate::peer_message::PeerMessage;

/// One connection to a peer; the number tells connections to the same address apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerConnection {
    /// Address of the peer link.
    pub address: SocketAddr,
    /// Number, unique in this process.
    pub number: u32,
}

/// One entry host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Identity.
    pub host: HostId,
    /// Address of its peer link.
    pub address: SocketAddr,
    /// State by the list.
    pub state: HostState,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time went on.
    Tick,
    /// A peer sent a message and waits for the reply.
    Request(PeerMessage),
    /// A peer replied to a message sent on the connection.
    Reply(PeerConnection, PeerMessage),
    /// A message sent on the connection got no reply.
    SendFailed(PeerConnection),
    /// The platform's list was read.
    HostList(Vec<ListedHost>),
    /// Another module published a payload.
    Publish(SectionKind, Vec<u8>),
    /// This host knows of the configuration up to the offset.
    ConfigOffset(LogOffset),
    /// Load of this host, in percent of what it can carry.
    LocalLoad(u8),
    /// This host starts to leave.
    Leave,
    /// This host has finished its work and ends now.
    Left,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message, opening the connection if it is not open.
    Send(PeerConnection, PeerMessage),
    /// Reply to the request that the event carried.
    Reply(PeerMessage),
    /// Open a connection beside the one in use, which went silent.
    OpenConnection(PeerConnection),
    /// Close a connection that is no longer used.
    RetireConnection(PeerConnection),
    /// Publish the view: it changed.
    PublishView,
    /// A newer life of this host id is in the fleet; this one must end.
    Superseded(Incarnation),
}
