//! Brings the newest configuration to every member.
//!
//! A few members of each failure domain watch the head in the key-value
//! service. Whoever applies a new revision announces it to its neighbours, and a
//! neighbour that lacks it fetches the head and the changed chunks from the
//! announcer. A periodic comparison with one neighbour finds what announcements
//! missed, and it is also how a starting member gets its first revision, with or
//! without the service. A member only ever applies a higher revision.
//!
//! [`disseminator::Disseminator`] decides and performs no input or output;
//! [`driver`] connects it to the service and the network, and readers see the
//! result through [`handle::ConfigHandle`].

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
    /// The name of the member.
    pub member: MemberName,
    /// The failure domain of the member.
    pub failure_domain: FailureDomainName,
    /// The address at which the member receives messages.
    pub address: SocketAddr,
}

/// How often and how widely the configuration is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DisseminationSettings {
    /// The number of members of each failure domain that watch the service.
    pub watchers_per_domain: usize,
    /// How long the service may hold a watch without a change.
    pub watch_wait: Duration,
    /// How much longer a watch may stay silent before it is given up.
    pub watch_grace: Duration,
    /// The time for reading the chunks of a new head from the service.
    pub read_timeout: Duration,
    /// The first pause after a failed call of the service; it doubles with each.
    pub min_backoff: Duration,
    /// The longest pause after a failed call of the service.
    pub max_backoff: Duration,
    /// The number of neighbours in the own failure domain.
    pub near_neighbours: usize,
    /// The number of neighbours in other failure domains.
    pub far_neighbours: usize,
    /// The time between two comparisons with a neighbour.
    pub compare_interval: Duration,
    /// How long the answer of a peer is waited for before another one is asked.
    pub fetch_timeout: Duration,
    /// The number of bytes a second that are sent to fetching peers.
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

/// Matches the result of a call of the service to the call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The live members have changed; the list holds the own member too.
    Members(Vec<Peer>),
    /// A message has arrived.
    Message(ConfigMessage),
    /// A watch has ended.
    WatchEnded {
        /// The call.
        call: CallId,
        /// The head, if it has changed in time.
        result: Result<Option<KeyValueEntry>, PlatformError>,
    },
    /// A read of chunks has ended.
    ChunksRead {
        /// The call.
        call: CallId,
        /// The chunks that the service holds.
        result: Result<ChunkMap, PlatformError>,
    },
    /// This process has accepted a note or read a newer revision itself.
    Loaded(Arc<Snapshot>),
    /// The time that [`disseminator::Disseminator::next_wake_at`] gave has come.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ConfigMessage,
    },
    /// Watch the head in the service.
    Watch {
        /// The call.
        call: CallId,
        /// The service's revision of the head that is known.
        after: Revision,
        /// How long the service may hold the watch.
        wait: Duration,
    },
    /// Read chunks from the service.
    ReadChunks {
        /// The call.
        call: CallId,
        /// The chunks.
        chunks: Vec<ChunkRef>,
    },
    /// Give a call up, so that its connection is closed and not used again.
    Cancel(CallId),
    /// Let readers see a new revision.
    Publish(Arc<Snapshot>),
}
