//! Settings of the stream decisions.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How a stream goes on after a stage is lost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecoveryMode {
    /// Every stage runs the known tokens again.
    StartOver,
    /// Only the replacement runs, from output that the stage before it retains.
    #[default]
    Replay,
}

/// The settings of an entry's streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// How a stream goes on after a stage is lost.
    pub recovery: RecoveryMode,
    /// The number of positions that one step of a prompt carries.
    pub prefill_chunk_positions: u32,
    /// The time without a new token after which the stages are asked.
    pub stall_ms: u64,
    /// The time that a stage has to answer.
    pub probe_timeout_ms: u64,
    /// The time that the stages of a new attempt have to tell what they hold.
    pub open_timeout_ms: u64,
    /// The time that the choice of a route may take.
    pub route_timeout_ms: u64,
    /// The number of repairs without progress after which a stage counts as lost.
    pub max_repairs: u32,
    /// The number of attempts after which a request fails.
    pub max_attempts: u32,
    /// The advice that a failed request carries.
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
    /// Returns the time without a new token after which the stages are asked.
    pub const fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }

    /// Returns the time that a stage has to answer.
    pub const fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the time that the stages of a new attempt have.
    pub const fn open_timeout(&self) -> Duration {
        Duration::from_millis(self.open_timeout_ms)
    }

    /// Returns the time that the choice of a route may take.
    pub const fn route_timeout(&self) -> Duration {
        Duration::from_millis(self.route_timeout_ms)
    }
}

/// The settings of an agent's stages.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// The size of all outputs and cache copies that are kept for live requests.
    pub retained_bytes: u64,
    /// The size of all steps that are kept until they can run.
    pub early_bytes: u64,
    /// The number of streams with steps that came before their `Open`.
    pub max_early_streams: u32,
    /// The number of positions that one replayed step carries.
    pub replay_chunk_positions: u32,
    /// The time that a step of one position may take at the engine.
    pub step_timeout_ms: u64,
    /// The time that a step may take for each further position.
    pub step_timeout_per_position_ms: u64,
    /// The time that a stage waits for a KV cache.
    pub cache_timeout_ms: u64,
    /// The time without any message after which a stage is forgotten.
    pub orphan_timeout_ms: u64,
    /// The number of positions after which a copy of the KV cache is made; zero makes none.
    pub checkpoint_positions: u32,
    /// The number of ended streams that are remembered.
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
    /// Returns the time that a step of `positions` may take at the engine.
    pub fn step_timeout(&self, positions: u32) -> Duration {
        let further_ms = u64::from(positions) * self.step_timeout_per_position_ms;
        Duration::from_millis(self.step_timeout_ms + further_ms)
    }

    /// Returns the time that a stage waits for a KV cache.
    pub const fn cache_timeout(&self) -> Duration {
        Duration::from_millis(self.cache_timeout_ms)
    }

    /// Returns the time without any message after which a stage is forgotten.
    pub const fn orphan_timeout(&self) -> Duration {
        Duration::from_millis(self.orphan_timeout_ms)
    }
}
