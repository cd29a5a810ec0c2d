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
    /// The number of tokens that were known when the attempt began.
    pub known_tokens: u32,
    /// Whether the stage keeps what it holds and waits for [`ResumeStage`].
    pub resumes: bool,
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
    /// The number of the model's layers that `payload` has passed.
    pub layers_done: u32,
    /// Tokens for the first stage, activations for the others.
    ///
    /// It holds one record for each position, all of the same length.
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
    /// The number of the model's layers that the token has passed.
    pub layers_done: u32,
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

/// What a stage holds for a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldState {
    /// The attempt under which the stage ran last.
    pub attempt: Attempt,
    /// The number of positions in the KV cache of the stage.
    pub cached: u32,
    /// The first position whose output the agent can still send again.
    pub retained_from: u32,
    /// The number of positions in the next stage's KV cache that the agent keeps a copy of.
    pub checkpoint: Option<Checkpoint>,
}

/// A copy of another stage's KV cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// The layers that the copy covers.
    pub layers: LayerRange,
    /// The attempt under which the copy was made.
    pub attempt: Attempt,
    /// The number of positions that the copy covers.
    pub positions: u32,
}

/// What a stage holds, told before it is resumed or left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageHeld {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// What the stage holds.
    pub held: HeldState,
    /// The tokens after the known ones, as far as a first or last stage has seen them.
    pub tokens: Vec<Token>,
}

/// The order to a stage of a later attempt to go on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeStage {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// The number of positions that stay valid; the stage forgets later ones.
    pub keep: u32,
    /// The first position whose retained output goes to the next stage.
    pub send_from: u32,
    /// The number of tokens that the entry knows; a last stage sends only later ones.
    pub known_tokens: u32,
    /// Whether the stage first waits for a [`StreamMessage::Cache`].
    pub imports_cache: bool,
}

/// A question to one stage of a stream that has stalled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeStage {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// The number of tokens that the entry knows; the last stage sends later ones again.
    pub known_tokens: u32,
}

/// What a stage is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StageActivity {
    /// The stage waits for input.
    Idle,
    /// The stage has told what it holds and waits for [`ResumeStage`].
    Opened,
    /// The stage waits for admission.
    Queued,
    /// The stage's engine computes.
    Running,
    /// The agent knows nothing of the stream.
    Unknown,
}

/// The answer to [`ProbeStage`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageProgress {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// The number of positions that the stage has run.
    pub ran: u32,
    /// What the stage is doing.
    pub activity: StageActivity,
}

/// The order to send retained output again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResendOutput {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage that sends.
    pub stage: u8,
    /// The first position that the next stage lacks.
    pub from: u32,
}

/// The order to an agent to stop one stage of a stream, and to tell what it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuiesceStage {
    /// The stream; every lower attempt stops.
    pub id: StreamId,
    /// The index that the replacement of the stage has.
    pub stage: u8,
    /// The engine that stops.
    pub upstream: UpstreamName,
    /// The number of tokens that the entry knows.
    pub known_tokens: u32,
}

/// The order to send a KV cache, or the copy of one, to another agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendCache {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage that is to import the cache.
    pub stage: u8,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// Where the cache goes.
    pub to_address: SocketAddr,
}

/// The KV cache of one stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheTransfer {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// The cache, or the part of its content that the message carries.
    pub cache: KvCache,
    /// Which part the message carries.
    pub part: CachePart,
    /// The stage's newest output, which the next stage may still lack.
    pub output: Option<StageOutput>,
}

/// One of the messages that together carry a KV cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachePart {
    /// The place of the part.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
}

impl CachePart {
    /// The only part of a cache that fits into one message.
    pub const WHOLE: Self = Self { index: 0, count: 1 };
}

/// Consecutive positions of a stage's output.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageOutput {
    /// The first position.
    pub first: u32,
    /// The number of positions.
    pub positions: u32,
    /// One record for each position, all of the same length.
    pub payload: Bytes,
}

/// A KV cache in the engine's own format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvCache {
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The number of positions that the cache covers.
    pub positions: u32,
    /// The content.
    pub payload: Bytes,
}

/// The announcement that a stage's upstream is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageLeaving {
    /// The stream.
    pub id: StreamId,
    /// The index of the stage.
    pub stage: u8,
    /// The time that the stage goes on for.
    pub grace_ms: u64,
}

/// Any message about a streaming answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamMessage {
    /// Entry to agent: take part in a stream.
    Open(Box<OpenStream>),
    /// Agent to entry: the stage has been admitted.
    Opened(StageHeld),
    /// Agent to entry: the stage takes no part, and has run nothing.
    Refused(StageFailed),
    /// Entry to agent: go on with what the stage holds.
    Resume(ResumeStage),
    /// Entry or agent to agent: run one stage.
    Step(Step),
    /// Last agent to entry and first agent: a token was generated.
    Token(GeneratedToken),
    /// Agent to entry: a stage that had been admitted has failed.
    Failed(StageFailed),
    /// Entry to agent: tell how far a stage has come.
    Probe(ProbeStage),
    /// Agent to entry: how far a stage has come.
    Progress(StageProgress),
    /// Entry to agent: send retained output again.
    Resend(ResendOutput),
    /// Agent to entry: the upstream of a stage is leaving.
    Leaving(StageLeaving),
    /// Entry to a leaving agent: stop one stage and tell what it holds.
    Quiesce(QuiesceStage),
    /// Leaving agent to entry: the stage has stopped.
    Quiesced(StageHeld),
    /// Entry to agent: send a KV cache to another agent.
    SendCache(SendCache),
    /// Agent to agent: import a KV cache.
    Cache(Box<CacheTransfer>),
    /// Agent to agent: keep a copy of a stage's KV cache.
    Checkpoint(Box<CacheTransfer>),
    /// Entry to agent: forget the stream and every lower attempt.
    Close(StreamId),
}

impl StreamMessage {
    /// Returns the stream that the message is about.
    pub fn id(&self) -> StreamId {
        match self {
            Self::Open(open) => open.id,
            Self::Opened(held) | Self::Quiesced(held) => held.id,
            Self::Refused(failed) | Self::Failed(failed) => failed.id,
            Self::Resume(resume) => resume.id,
            Self::Step(step) => step.id,
            Self::Token(token) => token.id,
            Self::Probe(probe) => probe.id,
            Self::Progress(progress) => progress.id,
            Self::Resend(resend) => resend.id,
            Self::Leaving(leaving) => leaving.id,
            Self::Quiesce(quiesce) => quiesce.id,
            Self::SendCache(send) => send.id,
            Self::Cache(transfer) | Self::Checkpoint(transfer) => transfer.id,
            Self::Close(id) => *id,
        }
    }
}
