//! What membership asks of its surroundings.

use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;

/// A change of what is known about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The state before; `None` for a member that was not known.
    pub before: Option<MemberState>,
    /// The member with its state now.
    pub record: MemberRecord,
}

/// What membership asks of its surroundings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message to the member at an address.
    Send {
        /// The address at which the receiver accepts connections.
        to: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Open a new connection from a new socket for all later messages to an address.
    Redial {
        /// The address at which the member accepts connections.
        to: SocketAddr,
    },
    /// A member's state, incarnation or address has changed.
    MemberChanged(Box<MemberChange>),
    /// Whether this process's own link is thought to be at fault has changed.
    OwnLinkSuspect(bool),
    /// The platform lists this process's host as leaving.
    OwnHostLeaving,
    /// Another process claims this member's name and has replaced it.
    NameTaken {
        /// The address of the other process.
        by: SocketAddr,
    },
}

/// The actions in the order in which they are to be carried out.
pub type MembershipActions = Vec<MembershipAction>;
