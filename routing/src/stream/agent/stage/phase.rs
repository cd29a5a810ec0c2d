//! The phases of a stage.

use jujubewall_protocol::stream::StreamId;
use tokio::time::Instant;

/// The phase of a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The stage waits for admission.
    Admitting,
    /// The engine still computes a step of an earlier attempt.
    FinishingStep(IdleTransition),
    /// The stage has reported what it holds, and waits for `Resume`.
    Opened,
    /// The stage waits for a KV cache from another agent.
    AwaitingCache {
        /// When the stage fails if the cache is not complete.
        deadline: Instant,
    },
    /// The engine imports a KV cache.
    Importing,
    /// The stage runs steps as their input arrives.
    Running,
    /// Another stage takes over; this one only exports its KV cache.
    Quiesced,
    /// The stage has failed, and runs nothing more in this attempt.
    Failed,
    /// The stage is removed as soon as its engine is idle.
    Ending,
}

/// The transition that a stage makes once its engine has finished the current step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleTransition {
    /// The stage reports what it holds, and waits for `Resume`.
    Opened,
    /// The stage drops its state and starts from the first position.
    Restarted,
    /// The stage stops, because another one takes over.
    Quiesced {
        /// The attempt in which the other stage takes over.
        id: StreamId,
        /// The index of the other stage in the new route.
        stage: u8,
        /// The number of tokens that the entry knows.
        known_tokens: u32,
    },
}
