//! Messages by which members watch one another.

use std::net::SocketAddr;

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
pub use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use serde::Deserialize;
use serde::Serialize;

/// One claim about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The member's name.
    pub member: MemberName,
    /// The member's host.
    pub host: HostName,
    /// The member's failure domain.
    pub failure_domain: FailureDomainName,
    /// The member's role.
    pub role: Role,
    /// The address at which the member accepts connections.
    pub peer_address: SocketAddr,
    /// The incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// The claim.
    pub state: MemberState,
    /// The configuration revision that the member had applied.
    pub applied_revision: Revision,
}

/// Any message about membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Asks the receiver to answer, and passes claims on.
    Probe {
        /// Matches the answer to the probe.
        sequence: u64,
        /// Where the answer goes.
        reply_address: SocketAddr,
        /// Recent claims.
        records: Vec<MemberRecord>,
    },
    /// Answers a probe.
    ProbeAnswer {
        /// The number of the probe.
        sequence: u64,
        /// Recent claims.
        records: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third member on the sender's behalf.
    ProbeRequest {
        /// Matches the answer to the probe.
        sequence: u64,
        /// Where the answer goes.
        reply_address: SocketAddr,
        /// The member to probe.
        target_address: SocketAddr,
    },
    /// Announces that the sender takes no new work.
    Leaving(MemberRecord),
    /// Asks for every claim that the receiver holds.
    TableRequest {
        /// Where the answer goes.
        reply_address: SocketAddr,
        /// The sender's claim about itself.
        record: Box<MemberRecord>,
    },
    /// Every claim that the sender holds.
    Table {
        /// The claims.
        records: Vec<MemberRecord>,
    },
}
