//! The settings document as it is written.

use std::net::SocketAddr;
use std::path::PathBuf;

use jujubewall_types::digest::Digest;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::RegionName;
use jujubewall_types::member::Role;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::limits::Limits;

/// The settings of one process, in the right shape but unchecked.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The role of the process.
    pub role: Role,
    /// The name of the process, unique in the fleet.
    pub member: MemberName,
    /// The host that the process runs on.
    pub host: HostName,
    /// The failure domain of the host.
    pub failure_domain: FailureDomainName,
    /// The region of the failure domain.
    pub region: RegionName,
    /// The UDP address at which peers reach the process by QUIC.
    pub peer_address: SocketAddr,
    /// The UDP address that the process binds, if something forwards `peer_address` to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_bind_address: Option<SocketAddr>,
    /// The TCP address at which callers reach an entry by HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_address: Option<SocketAddr>,
    /// The TCP address at which operators reach an entry by HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<SocketAddr>,
    /// The TCP address that serves metrics, liveness and readiness.
    pub metrics_address: SocketAddr,
    /// The keys that peers authenticate one another with.
    pub tls: TlsSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// The peer addresses that a starting process asks for the other members.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// The partners whose operators may submit release notes at an entry.
    #[serde(default)]
    pub partners: Vec<PartnerSettings>,
    /// The bounds on what outsiders can make the process hold or wait for.
    #[serde(default)]
    pub limits: Limits,
}

/// The keys that peers authenticate one another with.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The PEM file of the process's certificate chain.
    pub certificate_path: PathBuf,
    /// The PEM file of the certificate's private key.
    pub key_path: PathBuf,
    /// The PEM file of the authorities whose certificates are accepted.
    pub authority_path: PathBuf,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the key-value service.
    pub key_value_address: SocketAddr,
    /// The address of the host list.
    pub host_list_address: SocketAddr,
    /// The address of the weight store.
    pub weight_store_address: SocketAddr,
}

/// A partner and the keys of its operators.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// The name of the partner.
    pub name: PartnerName,
    /// The SHA-256 digests of the operators' keys that are valid now.
    pub operator_key_digests: Vec<Digest>,
}
