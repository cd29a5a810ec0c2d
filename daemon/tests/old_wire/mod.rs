//! What gateways of build 6b5cd8c exchange, as types of their own that never change, and
//! bytes that such a gateway wrote.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The position in the store of [`ENTRIES_WHOLE`].
pub const WHOLE_POSITION: OldPosition = OldPosition {
    era: 1,
    revision: 4,
};

/// The position in the store of [`ENTRIES_CHANGED`].
pub const CHANGED_POSITION: OldPosition = OldPosition {
    era: 1,
    revision: 7,
};

/// A gossip message in which no field is empty.
pub const GOSSIP: &str = include_str!("../fixtures/gossip.hex");

/// All entries, and their digest.
pub const ENTRIES_WHOLE: &str = include_str!("../fixtures/entries_whole.hex");

/// The entries that changed afterwards, and the digest of all.
pub const ENTRIES_CHANGED: &str = include_str!("../fixtures/entries_changed.hex");

/// The configuration.
pub const CONFIG: &str = include_str!("../fixtures/config.hex");

/// What the planner writes into the store.
pub const PLANNER: &str = include_str!("../fixtures/planner.hex");

/// Returns the bytes of a fixture.
pub fn bytes(fixture: &str) -> Vec<u8> {
    let digits: Vec<u8> = fixture.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).unwrap();
        u8::from_str_radix(pair, 16).unwrap()
    };
    digits.chunks(2).map(byte).collect()
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldPosition {
    pub era: u64,
    pub revision: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OldPlannerRole {
    None,
    Substitute,
    LeaseHolder,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OldFollowerRole {
    None,
    Unserved,
    Served,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldClaim {
    pub holder: SocketAddr,
    pub domain: u64,
    pub incarnation: u64,
    pub heartbeat: u64,
    pub planner: OldPlannerRole,
    pub follower: OldFollowerRole,
    pub instances_position: OldPosition,
    pub instances_digest: u64,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldWork {
    pub instance: u32,
    pub requests: u32,
    pub first_requests: u32,
    pub token_layer_steps: u32,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldLayers {
    pub first: u32,
    pub end: u32,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldLayerReport {
    pub instance: u64,
    pub layers: Option<OldLayers>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OldSlowdown {
    pub instance: u64,
    pub factor: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OldMessage {
    pub protocol: u32,
    pub member: String,
    pub own_claim: OldClaim,
    pub config_version: u64,
    pub is_draining: bool,
    pub work: Vec<OldWork>,
    pub suspects: Vec<u64>,
    pub failing: Vec<u64>,
    pub layers: Vec<OldLayerReport>,
    pub slowdowns: Vec<OldSlowdown>,
    pub claims: Vec<OldClaim>,
    pub peers: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OldState {
    Ready,
    Draining,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldInstance {
    pub id: String,
    pub born_unix_ms: u64,
    pub service: String,
    pub address: SocketAddr,
    pub failure_domain: String,
    pub state: OldState,
    pub slots: u32,
    pub accelerator: Option<String>,
    pub layers: Option<OldLayers>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldEntries {
    pub position: OldPosition,
    pub is_whole: bool,
    pub entries: Vec<OldInstance>,
    pub gone: Vec<String>,
}

/// Decodes a message as that build does, which ignores what follows it.
pub fn decode_message(datagram: &[u8]) -> Result<OldMessage, postcard::Error> {
    postcard::from_bytes(datagram)
}

/// Decodes entries and their digest as that build does.
pub fn decode_entries(body: &[u8]) -> Result<(OldEntries, u64), postcard::Error> {
    let (entries, rest) = postcard::take_from_bytes(body)?;
    Ok((entries, postcard::from_bytes(rest)?))
}
