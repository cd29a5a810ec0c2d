//! What the stream decisions ask their surroundings to do.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::OpenStream;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_types::error::Failure;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use smallvec::SmallVec;
use thiserror::Error;

use crate::stream::agent::StageKey;

/// What an entry is to do for its streams.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message to a process.
    Send {
        /// The process.
        to: SocketAddr,
        /// The message.
        message: StreamMessage,
    },
    /// Give tokens to the caller, in the order of the answer.
    Deliver {
        /// The request.
        request: RequestId,
        /// The tokens, which follow those delivered before.
        tokens: SmallVec<[Token; 4]>,
    },
    /// Tell the caller that its answer is whole; the stream is forgotten.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// Tell the caller that its answer fails; the stream is forgotten.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason.
        failure: Failure,
    },
    /// Choose a route and pass it to `EntryStreams::on_route`.
    NeedRoute(Box<RouteNeed>),
    /// Tell the pipeline chooser what was seen.
    Observe(Observation),
}

/// What a route is needed for.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteNeed {
    /// The request.
    pub request: RequestId,
    /// The route up to now; its other stages hold caches and are best kept.
    pub route: Route,
    /// The indices in `route` of the stages to replace.
    pub lost: SmallVec<[u8; 2]>,
    /// The upstreams that the new route must not use.
    pub exclude: SmallVec<[UpstreamName; 2]>,
}

/// What an entry saw of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A stream went through its whole pipeline for one position.
    TokenGap {
        /// The request.
        request: RequestId,
        /// The time since the token before.
        gap: Duration,
    },
    /// An upstream refused a stream.
    Refused {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// The reason.
        failure: Failure,
    },
    /// A stage did not answer or failed.
    StageLost {
        /// The upstream.
        upstream: UpstreamName,
        /// The address of its agent.
        agent_address: SocketAddr,
    },
    /// A stream runs again after a stage was replaced.
    Recovered {
        /// The request.
        request: RequestId,
        /// The time from the last token before the loss to the first one after it.
        stall: Duration,
        /// The number of positions that stages which had run them ran again.
        rerun_positions: u32,
    },
}

/// What an agent is to do for its stages.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message to a process.
    Send {
        /// The process.
        to: SocketAddr,
        /// The message.
        message: StreamMessage,
    },
    /// Ask admission, and pass the answer to `on_admitted` or `on_refused`.
    Admit {
        /// Identifies the stage in the answer.
        ticket: StageKey,
        /// What asks to be admitted.
        open: Box<OpenStream>,
    },
    /// Run a step at an engine, and pass the result to `on_step_done`.
    RunStep {
        /// Identifies the stage in the result.
        ticket: StageKey,
        /// The engine.
        upstream: UpstreamName,
        /// The step.
        step: StageStep,
    },
    /// Let an engine discard a KV cache.
    Release {
        /// The engine.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
        /// The attempt up to and including which the cache is discarded.
        attempt: Attempt,
    },
    /// Export a KV cache, and pass it to `on_exported`.
    ExportCache {
        /// Identifies the stage in the result.
        ticket: StageKey,
        /// The engine.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
    },
    /// Import a KV cache, and pass the result to `on_imported`.
    ImportCache {
        /// Identifies the stage in the result.
        ticket: StageKey,
        /// The engine.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
        /// The attempt, whose first step may truncate the cache.
        attempt: Attempt,
        /// The cache.
        cache: KvCache,
    },
    /// Give back what admission granted or was asked for: the stage has ended.
    Ended {
        /// The stage.
        ticket: StageKey,
    },
}

/// One step of one engine; the fields are those of the engine's own step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageStep {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The first position.
    pub first_position: Position,
    /// The number of positions.
    pub positions: u32,
    /// The layers to run.
    pub layers: LayerRange,
    /// Whether the last of `layers` is the model's last.
    pub is_last: bool,
    /// The priority.
    pub priority: Priority,
    /// Tokens or activations.
    pub payload: Bytes,
}

/// The reason that an engine gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the engine gave no result: {message}")]
pub struct StageError {
    /// What the engine or its client said.
    pub message: String,
}
