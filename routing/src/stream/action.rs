//! The actions that the stream state machines return to their callers.

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

/// An action that an entry performs for its streams.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message to a process.
    Send {
        /// The address of the process.
        to: SocketAddr,
        /// The message.
        message: StreamMessage,
    },
    /// Deliver tokens to the caller, in the order of the answer.
    Deliver {
        /// The request.
        request: RequestId,
        /// The tokens, which directly follow those delivered before.
        tokens: SmallVec<[Token; 4]>,
    },
    /// Tell the caller that its answer is complete; the stream has been removed.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// Tell the caller that its request failed; the stream has been removed.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason.
        failure: Failure,
    },
    /// Choose a route and pass it to `EntryStreams::on_route`.
    ChooseRoute(Box<RerouteRequest>),
    /// Report an observation to the pipeline chooser.
    Observe(Observation),
}

/// A request for a route that replaces some stages of the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct RerouteRequest {
    /// The request.
    pub request: RequestId,
    /// The current route; its other stages hold KV caches and are best kept.
    pub route: Route,
    /// The indices in `route` of the stages to replace.
    pub stages_to_replace: SmallVec<[u8; 2]>,
    /// The upstreams that the new route must not use.
    pub excluded_upstreams: SmallVec<[UpstreamName; 2]>,
}

/// An observation of a stream or an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A stream has passed its whole pipeline for one position.
    TokenGap {
        /// The request.
        request: RequestId,
        /// The time since the previous token.
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
    /// A stage has failed or did not answer.
    StageLost {
        /// The upstream.
        upstream: UpstreamName,
        /// The address of its agent.
        agent_address: SocketAddr,
    },
    /// A stream has recovered from the loss of a stage.
    Recovered {
        /// The request.
        request: RequestId,
        /// The time from the last token before the loss to the first one after it.
        stall: Duration,
        /// The number of positions that stages had computed before and reran.
        rerun_positions: u32,
    },
}

/// An action that an agent performs for its stages.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message to a process.
    Send {
        /// The address of the process.
        to: SocketAddr,
        /// The message.
        message: StreamMessage,
    },
    /// Ask admission, and pass the answer to `on_admitted` or `on_refused`.
    Admit {
        /// Identifies the stage in the answer.
        ticket: StageKey,
        /// The request to take part in the stream.
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
    /// Discard a request's KV cache at an engine.
    Release {
        /// The engine.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
        /// The last attempt whose cache is discarded; a later attempt keeps its cache.
        attempt: Attempt,
    },
    /// Export a KV cache from an engine, and pass it to `on_exported`.
    ExportCache {
        /// Identifies the stage in the result.
        ticket: StageKey,
        /// The engine.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
    },
    /// Import a KV cache into an engine, and pass the result to `on_imported`.
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
    /// Return the stage's grant to admission, or withdraw its request: the stage has ended.
    Ended {
        /// The stage.
        ticket: StageKey,
    },
}

/// A step to run at an engine, with the same fields as the engine's own step type.
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
    /// Tokens for a first stage, activations for the others.
    pub payload: Bytes,
}

/// The reason that a call to an engine gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the engine gave no result: {message}")]
pub struct StageError {
    /// The message of the engine or its client.
    pub message: String,
}
