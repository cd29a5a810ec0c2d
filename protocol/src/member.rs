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
///
/// The sender is known from the handshake of its connection, and answers go to
/// the address at which it accepts connections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Asks the receiver to answer, and passes claims on.
    Probe {
        /// Matches the answer to the probe.
        sequence: u64,
        /// Recent claims.
        records: Vec<MemberRecord>,
    },
    /// Answers a probe, or tells that a third member answered one.
    ProbeAnswer {
        /// The number of the probe.
        sequence: u64,
        /// Recent claims.
        records: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third member on the sender's behalf.
    ProbeRequest {
        /// Matches the answer to the sender's own probe.
        sequence: u64,
        /// The member to probe.
        target_address: SocketAddr,
    },
    /// Passes claims on that are new to the sender.
    Records {
        /// The claims.
        records: Vec<MemberRecord>,
    },
    /// Tells the configuration revision that the sender has applied.
    Applied {
        /// The revision.
        revision: Revision,
    },
    /// Asks for every claim that the receiver holds.
    TableRequest {
        /// The sender's claim about itself.
        record: Box<MemberRecord>,
    },
    /// Every claim that the sender holds.
    Table {
        /// The claims.
        records: Vec<MemberRecord>,
    },
    /// Summarises the claims that the sender holds, by hash of the member's name.
    Digest {
        /// The combined hash of the claims in each bucket.
        buckets: Vec<u64>,
    },
    /// The claims of the buckets in which two digests differ.
    Difference {
        /// The places of the buckets.
        buckets: Vec<u16>,
        /// Every claim that the sender holds in these buckets.
        records: Vec<MemberRecord>,
        /// Whether the receiver should return the claims that the sender lacks.
        wants_answer: bool,
    },
    /// Tells the receiver that the platform lists its host as leaving.
    HostLeaving,
}
