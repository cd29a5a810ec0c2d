//! Limits of the decisions about calls.

use std::time::Duration;

/// The limits of an agent's decisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentOrderSettings {
    /// The shortest time between two writes to the key-value service.
    pub commit_interval: Duration,
    /// The time after a failed call to the key-value service before it is tried again.
    pub retry_interval: Duration,
    /// The time for which the key-value service fails before calls with a key are refused.
    pub outage_after: Duration,
    /// The number of shards in which each service's keys are kept.
    pub shards: u8,
    /// The size at which a shard's open segment is sealed.
    pub segment_bytes: usize,
    /// The number of sealed segments that a shard keeps.
    pub max_segments: usize,
    /// The number of entries that one write adds.
    pub max_batch: usize,
    /// The time for which a key is remembered.
    pub key_retention: Duration,
    /// The largest body that is kept for repeats of a key.
    pub kept_reply_bytes: usize,
    /// The time for which the result of a call is kept in memory.
    pub result_retention: Duration,
    /// The number of calls that are kept in memory, ended ones included.
    pub max_calls: usize,
    /// The number of entry processes whose calls are accepted.
    pub max_origins: usize,
}

impl Default for AgentOrderSettings {
    fn default() -> Self {
        Self {
            commit_interval: Duration::from_millis(40),
            retry_interval: Duration::from_millis(200),
            outage_after: Duration::from_secs(1),
            shards: 8,
            segment_bytes: 32 * 1024,
            max_segments: 256,
            max_batch: 256,
            key_retention: Duration::from_mins(15),
            kept_reply_bytes: 512,
            result_retention: Duration::from_secs(30),
            max_calls: 65_536,
            max_origins: 4096,
        }
    }
}

/// The limits of an entry's decisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryOrderSettings {
    /// The time before the caller's deadline at which the agent is told not to send the call.
    pub cancel_margin: Duration,
    /// The time after which that is told again.
    pub cancel_interval: Duration,
}

impl Default for EntryOrderSettings {
    fn default() -> Self {
        Self {
            cancel_margin: Duration::from_millis(500),
            cancel_interval: Duration::from_millis(150),
        }
    }
}
