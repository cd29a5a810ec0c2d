//! Settings of the state machines of agents and entries.

use std::time::Duration;

/// The settings of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentOrderSettings {
    /// The minimum interval between writes to the key-value service.
    pub commit_interval: Duration,
    /// The delay before a failed access to the key-value service is retried.
    pub retry_interval: Duration,
    /// How long the key-value service must fail before calls with a key are refused.
    pub outage_after: Duration,
    /// The number of shards into which the keys of each service are divided.
    pub shards: u8,
    /// The encoded size above which the open segment of a shard is sealed.
    pub segment_bytes: usize,
    /// The maximum number of sealed segments that a shard retains.
    pub max_segments: usize,
    /// The maximum number of entries that one write appends.
    pub max_batch: usize,
    /// The minimum time for which a claimed key is retained.
    pub key_retention: Duration,
    /// The maximum size of a reply body that is recorded for repeats of a key.
    pub kept_reply_bytes: usize,
    /// How long the result of an ended call is kept in memory.
    pub result_retention: Duration,
    /// The maximum number of calls in memory, ended ones included.
    pub max_calls: usize,
    /// The maximum number of entries whose calls are tracked and accepted.
    pub max_origins: usize,
}

impl Default for AgentOrderSettings {
    fn default() -> Self {
        Self {
            commit_interval: Duration::from_millis(40),
            retry_interval: Duration::from_millis(200),
            outage_after: Duration::from_secs(1),
            shards: 8,
            segment_bytes: 8 * 1024,
            max_segments: 1024,
            max_batch: 256,
            key_retention: Duration::from_mins(15),
            kept_reply_bytes: 512,
            result_retention: Duration::from_secs(30),
            max_calls: 65_536,
            max_origins: 4096,
        }
    }
}

/// The settings of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryOrderSettings {
    /// How long before the caller's deadline the agent is sent a cancellation.
    pub cancel_margin: Duration,
    /// The interval at which the cancellation is repeated.
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
