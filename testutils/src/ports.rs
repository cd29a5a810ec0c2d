//! Ports for processes that are told their addresses before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The first port that is given out.
const FIRST_PORT: u32 = 10_000;

/// The number of ports, which ends below those that the system gives to outgoing connections.
const PORT_COUNT: u32 = 22_000;

/// The distance between the first ports of two test processes that follow each other.
const PROCESS_STRIDE: u32 = 97;

static GIVEN_OUT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free for TCP and UDP.
///
/// A port that the system picks for a moment could be taken by an outgoing
/// connection before the process that is told about it binds it. No port is
/// given out twice by one test process.
///
/// # Panics
///
/// Panics if every port is taken.
pub fn free_address() -> SocketAddr {
    for _ in 0..PORT_COUNT {
        let index = GIVEN_OUT.fetch_add(1, Ordering::Relaxed);
        let offset = process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(index)
            % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or_default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
