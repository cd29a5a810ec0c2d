//! The handshake that opens every connection.

use std::net::SocketAddr;

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
pub use jujubewall_types::member::Role;
use serde::Deserialize;
use serde::Serialize;

/// The version of the message format; peers with another one are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// The name that the certificate of every process holds beside the member's own.
///
/// A process that dials an address does not yet know which member answers there.
pub const SHARED_SERVER_NAME: &str = "jujubewall";

/// The first frame that the dialling side sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The version of the message format.
    pub version: u16,
    /// The sender's name.
    pub member: MemberName,
    /// The sender's host.
    pub host: HostName,
    /// The sender's failure domain.
    pub failure_domain: FailureDomainName,
    /// The sender's role.
    pub role: Role,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The address at which the sender accepts connections.
    pub peer_address: SocketAddr,
}
