//! What a stage waits for.

use jujubewall_protocol::stream::StreamId;
use tokio::time::Instant;

/// What a stage does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits for the decision of admission.
    Admitting,
    /// It waits for the engine to finish a step of an attempt that is over.
    Settling(Settled),
    /// It has told what it holds, and waits to be resumed.
    Opened,
    /// It waits for a KV cache.
    AwaitingCache {
        /// When it gives up.
        until: Instant,
    },
    /// It waits for the engine to import a KV cache.
    Importing,
    /// It runs steps.
    Running,
    /// It has stopped in favour of another stage, and only gives its cache away.
    Quiesced,
    /// It can run nothing in this attempt.
    Failed,
    /// It waits for the engine before it is forgotten.
    Ending,
}

/// What a stage does once its engine has finished the step of an earlier attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// It tells the entry what it holds.
    Opened,
    /// It begins from the first position.
    Restarted,
    /// It stops in favour of another stage.
    Quiesced {
        /// The later attempt.
        id: StreamId,
        /// The index of the other stage.
        stage: u8,
        /// The number of tokens that the entry knows.
        known_tokens: u32,
    },
}
