//! Actions that the membership state machine requests from its caller.

use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;

/// A change of a member's state, incarnation or address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The previous effective state; `None` if the member was not known.
    pub before: Option<MemberState>,
    /// The member's record with its current effective state.
    pub record: MemberRecord,
}

/// An action that the caller of [`Membership`](super::Membership) must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message to the member at an address.
    Send {
        /// The address at which the recipient accepts connections.
        to: SocketAddr,
        /// The message to send.
        message: MemberMessage,
    },
    /// Open a new connection from a new socket, and use it for all later messages to
    /// an address.
    Redial {
        /// The address at which the member accepts connections.
        to: SocketAddr,
    },
    /// Notify subscribers that a member's state, incarnation or address has changed.
    MemberChanged(Box<MemberChange>),
    /// This process started (`true`) or stopped (`false`) to suspect its own network link.
    OwnLinkSuspect(bool),
    /// The platform's host list marks this process's host as leaving. Emitted once.
    OwnHostLeaving,
    /// Another, newer process has joined under this member's name.
    NameTaken {
        /// The address of the other process.
        by: SocketAddr,
    },
}

/// Actions, in the order in which the caller must carry them out.
pub type MembershipActions = Vec<MembershipAction>;
