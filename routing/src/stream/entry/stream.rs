//! The state of one stream at its entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::HeldState;
use jujubewall_protocol::stream::OpenStream;
use jujubewall_protocol::stream::QuiesceStage;
use jujubewall_protocol::stream::ResumeStage;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageProgress;
use jujubewall_protocol::stream::Step;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::entry::StreamRequest;
use crate::stream::entry::effects::Effects;
use crate::stream::entry::plan::AttemptHistory;
use crate::stream::payload;
use crate::timer::TimerSlot;

/// The number of tokens without a repair after which the count of repairs is reset.
const REPAIR_RESET_TOKENS: u32 = 64;

/// The phase of a stream.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The entry waits for the stages of a new attempt to open.
    Opening(Box<Opening>),
    /// The entry waits for tokens.
    Running(StallDetection),
    /// The entry waits for a route to be chosen.
    Rerouting {
        /// When the stream fails if no route has been chosen.
        deadline: Instant,
        /// How certain it is that the present pipeline has ended.
        cause: Loss,
    },
    /// The stream has ended and is about to be removed.
    Ended,
}

/// How certain the loss of a stage is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The stage refused, failed, or doesn't know the stream.
    Certain,
    /// The stage may go on: its agent or the way to it is silent.
    Silent,
    /// The stage may go on: its agent answers, and its engine is silent.
    EngineSilent,
}

/// A pipeline that the stream keeps, because no other is available and it may go on.
#[derive(Clone, Copy, Debug)]
pub struct KeptPipeline {
    /// When the stream fails if a stage is still silent; `None` while all agents answer.
    pub deadline: Option<Instant>,
}

/// The state of opening the stages of a new attempt.
#[derive(Clone, Debug)]
pub struct Opening {
    /// What each stage holds, or `None` until it has reported.
    pub held: SmallVec<[Option<HeldState>; 4]>,
    /// The activity that each stage has reported since the last round.
    pub activities: SmallVec<[Option<StageActivity>; 4]>,
    /// The stage of the old route that migrates away from a leaving upstream.
    pub source: Option<MigrationSource>,
    /// The route of the previous attempt.
    pub old_route: Route,
    /// When the current round times out.
    pub due: Instant,
    /// The number of rounds in which `Open` was sent.
    pub rounds: u32,
}

/// A stage whose state is migrated away from a leaving upstream.
#[derive(Clone, Debug)]
pub struct MigrationSource {
    /// The message that stops the stage.
    pub quiesce: QuiesceStage,
    /// The index of the stage in the route of the previous attempt.
    pub old_stage: u8,
    /// What the stage holds, or `None` until it has stopped.
    pub held: Option<HeldState>,
}

/// The detection and repair of stalls while a stream runs.
#[derive(Clone, Debug)]
pub struct StallDetection {
    /// When the stages are probed next or the current round of probes times out.
    pub due: Instant,
    /// The answers to the probes by stage; empty while no probe is outstanding.
    pub answers: Vec<Option<StageProgress>>,
    /// The number of rounds in which the outstanding probes were sent.
    pub rounds: u32,
    /// The number of repairs since the count was last reset.
    pub repairs: u32,
    /// The number of tokens since the last repair.
    pub tokens_since_repair: u32,
    /// The stage that is to migrate once a route is chosen.
    pub migrating_stage: Option<u8>,
}

impl StallDetection {
    /// Creates the state of a stream whose stages are probed at `due`.
    pub fn new(due: Instant) -> Self {
        Self {
            due,
            answers: Vec::new(),
            rounds: 0,
            repairs: 0,
            tokens_since_repair: 0,
            migrating_stage: None,
        }
    }

    /// Records that the stream has made progress; its stages are probed at `due`.
    pub fn record_progress(&mut self, due: Instant) {
        self.due = due;
        self.answers.clear();
        self.rounds = 0;
        self.tokens_since_repair += 1;
        if self.tokens_since_repair >= REPAIR_RESET_TOKENS {
            self.repairs = 0;
        }
    }

    /// Records that a message had to be resent.
    pub fn record_repair(&mut self) {
        self.repairs += 1;
        self.tokens_since_repair = 0;
    }
}

/// A stall that lasts until the next token arrives.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When the last token before the stall arrived.
    pub since: Instant,
    /// The number of positions that stages had computed before and reran.
    pub rerun_positions: u32,
}

/// Tokens that have become part of an answer, with their positions.
#[derive(Clone, Debug, Default)]
pub struct CommittedTokens {
    /// The position of each token.
    pub positions: SmallVec<[u32; 4]>,
    /// The tokens, as many as positions.
    pub tokens: SmallVec<[Token; 4]>,
}

impl CommittedTokens {
    /// Appends a token at `position`.
    pub fn push(&mut self, position: u32, token: Token) {
        self.positions.push(position);
        self.tokens.push(token);
    }
}

/// One stream at its entry.
#[derive(Debug)]
pub struct Stream {
    /// The caller's request.
    pub request: StreamRequest,
    /// The prompt and the committed tokens.
    pub tokens: Vec<Token>,
    /// The number of the current attempt, from one; zero before the first.
    pub attempt: Attempt,
    /// The number of tokens that were known when the current attempt began.
    pub attempt_known_tokens: u32,
    /// The route of the current attempt.
    pub route: Route,
    /// The starts of all attempts, which decide the positions that are still valid.
    pub history: AttemptHistory,
    /// The current phase.
    pub phase: Phase,
    /// The `Resume` messages of the current attempt by stage, kept for resending.
    pub resumes: SmallVec<[ResumeStage; 4]>,
    /// The upstreams that new routes must not use.
    pub excluded_upstreams: SmallVec<[UpstreamName; 2]>,
    /// The upstreams among the excluded ones that may go on.
    pub silent_upstreams: SmallVec<[UpstreamName; 2]>,
    /// The last route since the last token that a silent stage interrupted, unless it is
    /// certain to have ended.
    pub silent_route: Option<Route>,
    /// The pipeline that is kept for lack of another, until the next token.
    pub kept: Option<KeptPipeline>,
    /// The number of delivered tokens.
    pub delivered: u32,
    /// The moving average of the time between tokens, once there were two.
    pub mean_gap: Option<Duration>,
    /// When the last token arrived.
    pub last_token: Instant,
    /// The number of times that stages were lost since the last token.
    pub losses_since_token: u32,
    /// The stall from which the stream has not yet recovered.
    pub stall: Option<Stall>,
    /// The stage whose missing input last led to a replacement.
    pub last_starved: Option<u8>,
    /// Whether any stage may have computed something.
    pub has_run: bool,
    /// The slot of the stream's timer.
    pub timer: TimerSlot,
    out_of_order: BTreeMap<u32, Token>,
}

impl Stream {
    /// Creates a stream that has no attempt yet.
    pub fn new(now: Instant, request: StreamRequest) -> Self {
        Self {
            tokens: request.prompt.clone(),
            attempt: Attempt(0),
            attempt_known_tokens: 0,
            route: request.route.clone(),
            history: AttemptHistory::default(),
            phase: Phase::Rerouting {
                deadline: now,
                cause: Loss::Certain,
            },
            resumes: SmallVec::new(),
            excluded_upstreams: SmallVec::new(),
            silent_upstreams: SmallVec::new(),
            silent_route: None,
            kept: None,
            delivered: 0,
            mean_gap: None,
            last_token: now,
            losses_since_token: 0,
            stall: None,
            last_starved: None,
            has_run: false,
            timer: TimerSlot::default(),
            out_of_order: BTreeMap::new(),
            request,
        }
    }

    /// Returns the identifier of the request.
    pub const fn id(&self) -> RequestId {
        self.request.request
    }

    /// Returns the current attempt's identifier.
    pub const fn stream_id(&self) -> StreamId {
        StreamId {
            request: self.request.request,
            attempt: self.attempt,
        }
    }

    /// Returns the number of tokens of the prompt and the answer so far.
    pub fn known_tokens(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens of the prompt and the complete answer.
    pub fn total_tokens(&self) -> u32 {
        let prompt = u32::try_from(self.request.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.request.max_answer_tokens)
    }

    /// Returns whether every token of the answer is known.
    pub fn is_complete(&self) -> bool {
        self.known_tokens() >= self.total_tokens()
    }

    /// Returns when the stream's timer is due, or `None` if the stream has ended.
    pub fn due(&self) -> Option<Instant> {
        let due = match &self.phase {
            Phase::Opening(opening) => opening.due,
            Phase::Running(detection) => detection.due,
            Phase::Rerouting { deadline, .. } => *deadline,
            Phase::Ended => return None,
        };
        Some(due.min(self.request.deadline))
    }

    /// Begins the next attempt on `route`.
    pub fn begin_attempt(&mut self, route: Route) {
        self.attempt = self.attempt.next();
        self.attempt_known_tokens = self.known_tokens();
        self.history.begin_attempt(self.attempt_known_tokens);
        self.route = route;
        self.out_of_order.clear();
        self.resumes.clear();
    }

    /// Adds a token of the current attempt, and returns the tokens that are now committed.
    ///
    /// Tokens are committed in order; a token that arrives early waits for those before it.
    pub fn commit(&mut self, generated: &GeneratedToken) -> CommittedTokens {
        let position = generated.position.0;
        if position >= self.known_tokens() && position < self.total_tokens() {
            self.out_of_order.insert(position, generated.token);
        }
        let mut committed = CommittedTokens::default();
        while let Some((&position, &token)) = self.out_of_order.first_key_value() {
            if position != self.known_tokens() {
                break;
            }
            self.out_of_order.pop_first();
            self.tokens.push(token);
            committed.push(position, token);
        }
        committed
    }

    /// Returns the position of the next token to deliver.
    pub fn next_delivery_position(&self) -> u32 {
        self.total_tokens() - self.request.max_answer_tokens + self.delivered
    }

    /// Sends `Open` to the stages for which `is_asked` holds.
    pub fn send_opens(
        &self,
        now: Instant,
        resumes: bool,
        is_asked: impl Fn(usize) -> bool,
        effects: &mut Effects,
    ) {
        let stages = self.route.iter().enumerate();
        for (index, stage) in stages.filter(|&(index, _)| is_asked(index)) {
            let open = self.open_message(now, resumes, stage_index(index), effects);
            effects.send(stage.agent_address, StreamMessage::Open(Box::new(open)));
        }
    }

    fn open_message(
        &self,
        now: Instant,
        resumes: bool,
        stage: u8,
        effects: &Effects,
    ) -> OpenStream {
        let request = &self.request;
        let left = request.deadline.saturating_duration_since(now);
        OpenStream {
            id: self.stream_id(),
            stage,
            route: self.route.clone(),
            entry_address: effects.own_address(),
            account: request.account.clone(),
            model: request.model.clone(),
            version: request.version.clone(),
            priority: request.priority,
            prompt_tokens: self.total_tokens() - request.max_answer_tokens,
            max_answer_tokens: request.max_answer_tokens,
            known_tokens: self.attempt_known_tokens,
            resumes,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Sends the known tokens from position `from` on to the first stage, in chunks.
    pub fn send_known_tokens(&mut self, from: u32, chunk_positions: u32, effects: &mut Effects) {
        let mut first = from;
        self.has_run = true;
        for chunk in self.tokens[from as usize..].chunks(chunk_positions as usize) {
            let positions = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            let step = Step {
                id: self.stream_id(),
                stage: 0,
                first_position: Position(first),
                positions,
                layers_done: 0,
                payload: payload::encode_tokens(chunk),
            };
            effects.send(self.route[0].agent_address, StreamMessage::Step(step));
            first += positions;
        }
    }

    /// Closes the stream at every agent of the route.
    pub fn close_all(&self, effects: &mut Effects) {
        for agent in distinct_agents(&self.route) {
            effects.send(agent, StreamMessage::Close(self.stream_id()));
        }
    }

    /// Sends a message to the agent of one stage.
    pub fn send_to(&self, stage: u8, message: StreamMessage, effects: &mut Effects) {
        effects.send(self.route[usize::from(stage)].agent_address, message);
    }
}

/// Converts the index of a stage to the type that messages use.
pub fn stage_index(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}

/// Returns the addresses of the agents of `route`, each once.
pub fn distinct_agents(route: &Route) -> SmallVec<[SocketAddr; 4]> {
    let mut agents = SmallVec::new();
    for stage in route {
        if !agents.contains(&stage.agent_address) {
            agents.push(stage.agent_address);
        }
    }
    agents
}

/// Returns whether the stages of `route` cover `layer_count` layers once and in order.
///
/// A route with more stages than messages can address does not.
pub fn covers_layers_once(route: &Route, layer_count: u32) -> bool {
    let mut next = 0;
    for stage in route {
        if stage.layers.first != next || stage.layers.is_empty() {
            return false;
        }
        next = stage.layers.end;
    }
    next == layer_count && u8::try_from(route.len()).is_ok()
}
