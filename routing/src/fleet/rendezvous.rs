//! Rendezvous hashing: every gateway computes the same order of all gateways for each role,
//! so that roles need no agreement.

use std::net::SocketAddr;

use twox_hash::XxHash64;

/// Returns a digest that identifies a gateway.
pub fn gateway_key(gateway: SocketAddr) -> u64 {
    match gateway {
        SocketAddr::V4(address) => {
            let mut bytes = [0; 6];
            bytes[..4].copy_from_slice(&address.ip().octets());
            bytes[4..].copy_from_slice(&address.port().to_be_bytes());
            XxHash64::oneshot(0, &bytes)
        }
        SocketAddr::V6(address) => {
            let mut bytes = [0; 18];
            bytes[..16].copy_from_slice(&address.ip().octets());
            bytes[16..].copy_from_slice(&address.port().to_be_bytes());
            XxHash64::oneshot(0, &bytes)
        }
    }
}

/// Returns the position of a gateway in the order of a role; the lowest comes first.
pub fn score(order_seed: u64, gateway: SocketAddr) -> u64 {
    XxHash64::oneshot(order_seed, &gateway_key(gateway).to_be_bytes())
}

/// Returns the digest of a name.
pub fn name_digest(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
