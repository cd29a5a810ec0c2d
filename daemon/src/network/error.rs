//! Errors of the network.

use std::io;

use jujubewall_protocol::codec::CodecError;
use thiserror::Error;

/// The reason that a connection or the network itself cannot be used.
#[derive(Debug, Error)]
pub enum NetworkError {
    /// The socket cannot be bound.
    #[error("the peer socket cannot be bound")]
    Bind(#[source] io::Error),
    /// The certificate, key or authority cannot be used.
    #[error("the TLS identity cannot be used: {0}")]
    Identity(String),
    /// The peer cannot be dialled.
    #[error("the peer cannot be dialled: {0}")]
    Dial(String),
    /// The connection is closed.
    #[error("the connection is closed: {0}")]
    Closed(String),
    /// The peer's first frame is not acceptable.
    #[error("the peer is refused: {0}")]
    Refused(&'static str),
    /// A frame cannot be read or written.
    #[error(transparent)]
    Codec(#[from] CodecError),
}
