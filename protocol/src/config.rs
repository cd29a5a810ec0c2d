//! Messages by which members pass the configuration on.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A chunk of configuration, addressed by its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The digest of `content`.
    pub digest: Digest,
    /// The encoded items.
    pub content: Bytes,
}

/// Any message about the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// Tells which revision the sender has applied.
    Digest {
        /// The applied revision.
        revision: Revision,
        /// The digest of the encoded head of that revision.
        head: Digest,
        /// Where a request for it goes.
        reply_address: SocketAddr,
    },
    /// Asks for the newest configuration.
    Fetch {
        /// The revision that the sender has applied.
        have: Revision,
        /// Where the answer goes.
        reply_address: SocketAddr,
    },
    /// Gives the newest head with the chunks that are newer than the receiver's revision.
    Update {
        /// The encoded head.
        head: Bytes,
        /// The chunks that the receiver lacks.
        chunks: Vec<Chunk>,
    },
}
