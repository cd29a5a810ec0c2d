//! Settings of the stream state machines.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How a stream continues after a stage is lost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecoveryMode {
    /// Every stage reruns the known tokens.
    StartOver,
    /// Only the replacement runs them, from output that the previous stage has retained.
    #[default]
    Replay,
}

/// The settings of an entry's streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// How a stream continues after a stage is lost.
    pub recovery: RecoveryMode,
    /// The maximum number of positions in one step of a prompt.
    pub prefill_chunk_positions: u32,
    /// The time without a new token after which the stages are probed.
    pub stall_ms: u64,
    /// The timeout of a probe.
    pub probe_timeout_ms: u64,
    /// The time after which stages of a new attempt that have not opened are asked again.
    pub open_timeout_ms: u64,
    /// The time without a route after which a stream fails, and for which it keeps a pipeline
    /// with a silent stage for lack of another.
    pub route_timeout_ms: u64,
    /// The number of repairs after which one more stall makes a stage count as lost.
    pub max_repairs: u32,
    /// The number of losses without a new token after which a request fails.
    pub max_attempts: u32,
    /// The time after which a caller may retry a failed request.
    pub retry_after_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            recovery: RecoveryMode::Replay,
            prefill_chunk_positions: 256,
            stall_ms: 200,
            probe_timeout_ms: 150,
            open_timeout_ms: 150,
            route_timeout_ms: 500,
            max_repairs: 2,
            max_attempts: 16,
            retry_after_ms: 1_000,
        }
    }
}

impl EntrySettings {
    /// Returns the time without a new token after which the stages are probed.
    pub const fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }

    /// Returns the timeout of a probe.
    pub const fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the time after which stages that have not opened are asked again.
    pub const fn open_timeout(&self) -> Duration {
        Duration::from_millis(self.open_timeout_ms)
    }

    /// Returns the time without a route after which a stream fails.
    pub const fn route_timeout(&self) -> Duration {
        Duration::from_millis(self.route_timeout_ms)
    }
}

/// The settings of an agent's stages.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// The maximum size of all retained outputs and checkpoints.
    pub retained_bytes: u64,
    /// The maximum size of the steps that are buffered until they can run.
    ///
    /// It applies once to steps of opened stages, and once to steps that arrived before
    /// their `Open`.
    pub early_bytes: u64,
    /// The maximum number of stages with steps that arrived before their `Open`.
    pub max_early_streams: u32,
    /// The maximum number of positions up to which retained outputs are joined for replay.
    pub replay_chunk_positions: u32,
    /// The base timeout of a step at the engine.
    pub step_timeout_ms: u64,
    /// The time that each position of a step adds to its timeout.
    pub step_timeout_per_position_ms: u64,
    /// The time that a stage waits for the next part of a KV cache.
    pub cache_timeout_ms: u64,
    /// The time without a message after which a stage is removed.
    pub orphan_timeout_ms: u64,
    /// The number of positions between checkpoints of the KV cache; zero disables them.
    pub checkpoint_positions: u32,
    /// The maximum number of closed streams that are remembered.
    pub max_closed_streams: u32,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            retained_bytes: 64 * 1024 * 1024,
            early_bytes: 16 * 1024 * 1024,
            max_early_streams: 256,
            replay_chunk_positions: 256,
            step_timeout_ms: 400,
            step_timeout_per_position_ms: 4,
            cache_timeout_ms: 300,
            orphan_timeout_ms: 10_000,
            checkpoint_positions: 0,
            max_closed_streams: 4_096,
        }
    }
}

impl AgentSettings {
    /// Returns the timeout of a step of `positions` at the engine.
    pub fn step_timeout(&self, positions: u32) -> Duration {
        let further_ms = u64::from(positions) * self.step_timeout_per_position_ms;
        Duration::from_millis(self.step_timeout_ms + further_ms)
    }

    /// Returns the time that a stage waits for the next part of a KV cache.
    pub const fn cache_timeout(&self) -> Duration {
        Duration::from_millis(self.cache_timeout_ms)
    }

    /// Returns the time without a message after which a stage is removed.
    pub const fn orphan_timeout(&self) -> Duration {
        Duration::from_millis(self.orphan_timeout_ms)
    }
}
