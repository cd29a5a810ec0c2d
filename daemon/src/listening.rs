//! Sockets on which processes accept TCP connections.

use std::net::SocketAddr;

use eyre::WrapErr as _;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// The largest number of connections that wait to be accepted, by the system's usual limit. The
/// system answers no further ones, and their clients try again only after seconds.
pub const MAX_BACKLOG: u32 = 4_096;

/// Binds a socket that accepts connections.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        // A process that has just ended may have left connections that are not forgotten yet.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(MAX_BACKLOG)
    };
    listen().wrap_err_with(|| format!("{address} cannot be bound"))
}
