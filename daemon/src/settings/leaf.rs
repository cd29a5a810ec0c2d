//! Values of the settings document that have no parts.

use std::net::SocketAddr;
use std::path::PathBuf;

use jujubewall_types::digest::Digest;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::RegionName;
use jujubewall_types::member::Role;
use serde::de::DeserializeOwned;

/// A value without parts, which is read whole or not at all.
pub(super) trait Leaf: DeserializeOwned {
    /// What a reader is told that the value has to be.
    const EXPECTED: &'static str;
}

const NAME: &str = "a name of at most 128 letters, digits, '-', '_', '.', ':' and '/'";

impl Leaf for Role {
    const EXPECTED: &'static str = "\"entry\" or \"agent\"";
}

impl Leaf for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port, such as \"192.0.2.1:7000\"";
}

impl Leaf for PathBuf {
    const EXPECTED: &'static str = "the path of a file";
}

impl Leaf for Digest {
    const EXPECTED: &'static str = "a SHA-256 digest of 64 hexadecimal digits";
}

impl Leaf for u64 {
    const EXPECTED: &'static str = "a whole number in the unit of the field's suffix";
}

impl Leaf for MemberName {
    const EXPECTED: &'static str = NAME;
}

impl Leaf for HostName {
    const EXPECTED: &'static str = NAME;
}

impl Leaf for FailureDomainName {
    const EXPECTED: &'static str = NAME;
}

impl Leaf for RegionName {
    const EXPECTED: &'static str = NAME;
}

impl Leaf for PartnerName {
    const EXPECTED: &'static str = NAME;
}
