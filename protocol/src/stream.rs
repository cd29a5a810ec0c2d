//! Messages that carry a streaming answer through its pipeline.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// One attempt at one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamId {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// One token of a model's vocabulary.
pub type Token = u32;

/// One stage of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteStage {
    /// The engine that runs the stage.
    pub upstream: UpstreamName,
    /// The address of the agent in front of the engine.
    pub agent_address: SocketAddr,
    /// The layers that the stage runs.
    pub layers: LayerRange,
}

/// The stages of a pipeline in the order of their layers.
pub type Route = SmallVec<[RouteStage; 4]>;

/// The request to take part in a stream, sent by the entry to every stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenStream {
    /// The stream.
    pub id: StreamId,
    /// The index in `route` of the stage that is asked.
    pub stage: u8,
    /// The whole pipeline.
    pub route: Route,
    /// The address of the entry, which receives the tokens.
    pub entry_address: SocketAddr,
    /// The account that pays.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The version of the weights, the same at every stage.
    pub version: VersionName,
    /// The priority.
    pub priority: Priority,
    /// The number of tokens before the first generated one.
    pub prompt_tokens: u32,
    /// The number of tokens to generate.
    pub max_answer_tokens: u32,
    /// The time left until the caller gives up.
    pub deadline_ms: u64,
}

/// The input of one stage for consecutive positions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage that is to run.
    pub stage: u8,
    /// The first position.
    pub first_position: Position,
    /// The number of positions.
    pub positions: u32,
    /// Tokens for the first stage, activations for the others.
    pub payload: Bytes,
}

/// One generated token, sent by the last stage to the entry and to the first stage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GeneratedToken {
    /// The stream.
    pub id: StreamId,
    /// The position that the token takes in the sequence.
    pub position: Position,
    /// The token.
    pub token: Token,
}

/// The reason that a stage can no longer take part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageFailed {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage that failed.
    pub stage: u8,
    /// What went wrong.
    pub failure: Failure,
}

/// Any message about a streaming answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamMessage {
    /// Entry to agent: take part in a stream.
    Open(Box<OpenStream>),
    /// Agent to entry: the stage has been admitted.
    Opened {
        /// The stream.
        id: StreamId,
        /// The index of the stage.
        stage: u8,
    },
    /// Agent to entry: the stage takes no part, and has run nothing.
    Refused(StageFailed),
    /// Entry or agent to agent: run one stage.
    Step(Step),
    /// Last agent to entry and first agent: a token was generated.
    Token(GeneratedToken),
    /// Agent to entry: a stage that had been admitted has failed.
    Failed(StageFailed),
    /// Entry to agent: forget the stream and every lower attempt.
    Close(StreamId),
}
