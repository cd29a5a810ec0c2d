//! The addresses of simulated gateways.

use std::net::SocketAddr;

/// Returns the address of the gateway with a number.
pub fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// Returns the number of the gateway at an address.
///
/// # Panics
///
/// Panics if no gateway has the address.
pub fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("expected an IPv4 address");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}
