//! Propagates the newest configuration to every member.
//!
//! A few members of each failure domain watch the head in the key-value service. A member
//! that applies a new revision announces it to its neighbours, and a neighbour that lacks
//! it fetches the head and the changed chunks from the announcer. A periodic comparison with
//! one neighbour repairs lost announcements. It also gives a starting member its first
//! revision, whether or not the service is available. A member only applies revisions
//! higher than its own.
//!
//! [`disseminator::Disseminator`] makes the decisions and performs no I/O; [`driver`]
//! connects it to the service and the network, and readers access the result through
//! [`handle::ConfigHandle`].

pub mod disseminator;
pub mod driver;
mod gossip;
pub mod handle;
mod head_watch;
mod selection;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_protocol::config::ConfigMessage;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;

use crate::shard::ChunkRef;
use crate::snapshot::ChunkMap;
use crate::snapshot::Snapshot;

/// A member that takes part in dissemination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the member.
    pub member: MemberName,
    /// Failure domain of the member.
    pub failure_domain: FailureDomainName,
    /// Address at which the member receives messages.
    pub address: SocketAddr,
}

/// Fan-out and timing of dissemination.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DisseminationSettings {
    /// Number of members in each failure domain that watch the service.
    pub watchers_per_domain: usize,
    /// Time for which the service may hold a watch without a change.
    pub watch_wait: Duration,
    /// Additional time after which a watch without an answer is cancelled.
    pub watch_grace: Duration,
    /// Timeout for reading the chunks of a new head from the service.
    pub read_timeout: Duration,
    /// Longest backoff after the first failed call to the service; it doubles with each
    /// further failure.
    pub min_backoff: Duration,
    /// Upper limit of the backoff after failed calls to the service.
    pub max_backoff: Duration,
    /// Number of neighbours in the same failure domain.
    pub near_neighbours: usize,
    /// Number of neighbours in other failure domains.
    pub far_neighbours: usize,
    /// Mean time between two comparisons with a neighbour.
    pub compare_interval: Duration,
    /// Timeout for the answer of a peer, after which another peer is asked.
    pub fetch_timeout: Duration,
    /// Maximum number of bytes per second sent to fetching peers.
    pub max_served_bytes_per_s: u64,
}

impl Default for DisseminationSettings {
    fn default() -> Self {
        Self {
            watchers_per_domain: 2,
            watch_wait: Duration::from_secs(4),
            watch_grace: Duration::from_secs(1),
            read_timeout: Duration::from_secs(2),
            min_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(5),
            near_neighbours: 5,
            far_neighbours: 2,
            compare_interval: Duration::from_secs(1),
            fetch_timeout: Duration::from_millis(400),
            max_served_bytes_per_s: 16 * 1024 * 1024,
        }
    }
}

/// Matches the result of a call to the key-value service to the call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// An input of the disseminator.
#[derive(Clone, Debug)]
pub enum Event {
    /// The set of live members, including this one, has changed.
    Members(Vec<Peer>),
    /// A message has arrived.
    Message(ConfigMessage),
    /// A watch has ended.
    WatchEnded {
        /// Call that has ended.
        call: CallId,
        /// Head if it has changed in time; `None` otherwise.
        result: Result<Option<KeyValueEntry>, PlatformError>,
    },
    /// A read of chunks has ended.
    ChunksRead {
        /// Call that has ended.
        call: CallId,
        /// Requested chunks that the service holds.
        result: Result<ChunkMap, PlatformError>,
    },
    /// This process has obtained a snapshot itself, by accepting a note or reading it.
    Loaded(Arc<Snapshot>),
    /// The time returned by [`disseminator::Disseminator::next_wake_at`] has come.
    Wake,
}

/// An action that the disseminator requests from its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to send.
        message: ConfigMessage,
    },
    /// Watch the head in the service.
    Watch {
        /// Identifier of the call.
        call: CallId,
        /// Known revision of the head in the service.
        after: Revision,
        /// Time for which the service may hold the watch.
        wait: Duration,
    },
    /// Read chunks from the service.
    ReadChunks {
        /// Identifier of the call.
        call: CallId,
        /// Chunks to read.
        chunks: Vec<ChunkRef>,
    },
    /// Cancel a call, so that its connection is closed and not reused.
    Cancel(CallId),
    /// Make a new revision visible to readers.
    Publish(Arc<Snapshot>),
}
