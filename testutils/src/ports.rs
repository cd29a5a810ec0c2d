//! Ports for processes that are told their addresses before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::gateway_site::neighbour_at;

/// The first port that is given out.
const FIRST_PORT: u32 = 10_000;

/// The number of ports, which ends below those that the system gives to outgoing connections.
const PORT_COUNT: u32 = 22_000;

static GIVEN_OUT: AtomicU32 = AtomicU32::new(0);

static INHERITABLE_SOCKETS: Mutex<()> = Mutex::new(());

/// Keeps the choice of an address and the start of a program apart.
///
/// A program that is being started holds copies of the sockets that are open in this process
/// until it replaces its image, so a socket that probes an address could outlive its close.
pub(crate) fn lock_inheritable_sockets() -> MutexGuard<'static, ()> {
    INHERITABLE_SOCKETS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address that is free for TCP and UDP.
///
/// Every test process has a host part of its own, made from its identifier, so
/// that no two of them and no outgoing connection can take one another's ports
/// between the choice of an address and its use. No port is given out twice by
/// one test process, and no program that [`crate::program::spawn`] starts
/// meanwhile inherits the sockets that probe it.
///
/// # Panics
///
/// Panics if every port is taken.
pub fn free_address() -> SocketAddr {
    let _guard = lock_inheritable_sockets();
    for _ in 0..PORT_COUNT {
        let index = GIVEN_OUT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + index).unwrap_or_default();
        let address = SocketAddr::from((own_host(), port));
        if is_free(address) {
            return address;
        }
    }
    panic!("no port is free");
}

/// Returns whether an address is free for TCP and UDP.
fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// Returns an address whose neighbours, for so many peers in all, are free too. Neighbours of two
/// processes can be the same.
///
/// # Panics
///
/// Panics if there is none.
pub fn free_neighbourhood(peers: u8) -> SocketAddr {
    for _ in 0..PORT_COUNT {
        let first = free_address();
        let _guard = lock_inheritable_sockets();
        if (1..peers).all(|index| is_free(neighbour_at(first, index))) {
            return first;
        }
    }
    panic!("no neighbourhood is free");
}

/// Returns the loopback address of this process, which is never 127.0.0.x.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low)
}
