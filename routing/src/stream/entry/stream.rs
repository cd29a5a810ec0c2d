//! One stream of an entry.

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
use crate::stream::entry::plan::Lineage;
use crate::stream::payload;
use crate::timer::TimerSlot;

/// The number of tokens after which an earlier repair counts no longer.
const REPAIR_MEMORY_TOKENS: u32 = 64;

/// What an entry does next for a stream.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Waits for the stages of a new attempt.
    Opening(Box<Opening>),
    /// Waits for tokens.
    Running(Watch),
    /// Waits for the choice of a route.
    Rerouting {
        /// When it gives up.
        until: Instant,
    },
    /// Has nothing left to do.
    Ended,
}

/// What the stages of a new attempt have told.
#[derive(Clone, Debug)]
pub struct Opening {
    /// What each stage holds, as far as it has been told.
    pub held: SmallVec<[Option<HeldState>; 4]>,
    /// What each stage said that it was doing since it was asked last.
    pub heard: SmallVec<[Option<StageActivity>; 4]>,
    /// The stage that moves away from a leaving upstream.
    pub source: Option<MoveSource>,
    /// The route of the attempt before.
    pub old_route: Route,
    /// When the stages are asked again, and then given up.
    pub due: Instant,
    /// The number of times that the stages were asked.
    pub rounds: u32,
}

/// A stage that still runs at a leaving upstream.
#[derive(Clone, Debug)]
pub struct MoveSource {
    /// The order that stops it.
    pub quiesce: QuiesceStage,
    /// Its index in the route of the attempt before.
    pub old_stage: u8,
    /// What it holds, once it has stopped.
    pub held: Option<HeldState>,
}

/// How far the search for the reason of a stall has come.
#[derive(Clone, Debug)]
pub struct Watch {
    /// When something is due.
    pub due: Instant,
    /// The answers to the probes, by stage; empty while none is out.
    pub answers: Vec<Option<StageProgress>>,
    /// The number of times that the current probes were sent.
    pub rounds: u32,
    /// The number of repairs that were not followed by a long undisturbed run.
    pub repairs: u32,
    /// The number of tokens since the last repair.
    pub tokens_since_repair: u32,
    /// The stage that is to move once a route is chosen.
    pub moving: Option<u8>,
}

impl Watch {
    /// Creates the state of a stream that has just gone on.
    pub fn new(due: Instant) -> Self {
        Self {
            due,
            answers: Vec::new(),
            rounds: 0,
            repairs: 0,
            tokens_since_repair: 0,
            moving: None,
        }
    }

    /// Notes that the stream goes on; it is looked at again at `due`.
    pub fn progressed(&mut self, due: Instant) {
        self.due = due;
        self.answers.clear();
        self.rounds = 0;
        self.tokens_since_repair += 1;
        if self.tokens_since_repair >= REPAIR_MEMORY_TOKENS {
            self.repairs = 0;
        }
    }

    /// Notes that a message had to be repeated.
    pub fn repaired(&mut self) {
        self.repairs += 1;
        self.tokens_since_repair = 0;
    }
}

/// A stall that ends with the next token.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When the last token before it came.
    pub since: Instant,
    /// The number of positions that stages which had run them ran again.
    pub rerun_positions: u32,
}

/// Tokens that have become part of an answer, each with the place that it takes.
#[derive(Clone, Debug, Default)]
pub struct Committed {
    /// The places.
    pub positions: SmallVec<[u32; 4]>,
    /// The tokens.
    pub tokens: SmallVec<[Token; 4]>,
}

impl Committed {
    /// Adds a token.
    pub fn push(&mut self, position: u32, token: Token) {
        self.positions.push(position);
        self.tokens.push(token);
    }
}

/// One stream.
#[derive(Debug)]
pub struct Stream {
    /// What the caller asked for.
    pub request: StreamRequest,
    /// The prompt and the committed tokens.
    pub tokens: Vec<Token>,
    /// The current attempt.
    pub attempt: Attempt,
    /// The number of tokens that were known when the attempt began.
    pub attempt_known: u32,
    /// The current route.
    pub route: Route,
    /// Which computed positions belong to the answer.
    pub lineage: Lineage,
    /// What is done next.
    pub phase: Phase,
    /// The orders that the stages of the attempt were given.
    pub resumes: SmallVec<[ResumeStage; 4]>,
    /// The upstreams that failed this request.
    pub excluded: SmallVec<[UpstreamName; 2]>,
    /// The number of delivered tokens.
    pub delivered: u32,
    /// The mean time between tokens, once there were two.
    pub mean_gap: Option<Duration>,
    /// When the last token came.
    pub last_token: Instant,
    /// The stall that the current attempt is to end.
    pub stall: Option<Stall>,
    /// The stage that was replaced last because its input did not arrive.
    pub last_starved: Option<u8>,
    /// Whether any stage may have run.
    pub has_run: bool,
    /// The stream's timer.
    pub timer: TimerSlot,
    ahead: BTreeMap<u32, Token>,
}

impl Stream {
    /// Creates a stream that has no attempt yet.
    pub fn new(now: Instant, request: StreamRequest) -> Self {
        Self {
            tokens: request.prompt.clone(),
            attempt: Attempt(0),
            attempt_known: 0,
            route: request.route.clone(),
            lineage: Lineage::default(),
            phase: Phase::Rerouting { until: now },
            resumes: SmallVec::new(),
            excluded: SmallVec::new(),
            delivered: 0,
            mean_gap: None,
            last_token: now,
            stall: None,
            last_starved: None,
            has_run: false,
            timer: TimerSlot::default(),
            ahead: BTreeMap::new(),
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

    /// Returns the number of known tokens.
    pub fn known_tokens(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens of the prompt and the whole answer.
    pub fn total_tokens(&self) -> u32 {
        let prompt = u32::try_from(self.request.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.request.max_answer_tokens)
    }

    /// Returns whether every token of the answer is known.
    pub fn is_whole(&self) -> bool {
        self.known_tokens() >= self.total_tokens()
    }

    /// Returns when the stream needs attention, unless it has ended.
    pub fn due(&self) -> Option<Instant> {
        let due = match &self.phase {
            Phase::Opening(opening) => opening.due,
            Phase::Running(watch) => watch.due,
            Phase::Rerouting { until } => *until,
            Phase::Ended => return None,
        };
        Some(due.min(self.request.deadline))
    }

    /// Begins the next attempt on `route`.
    pub fn begin_attempt(&mut self, route: Route) {
        self.attempt = self.attempt.next();
        self.attempt_known = self.known_tokens();
        self.lineage.begin_attempt(self.attempt_known);
        self.route = route;
        self.ahead.clear();
        self.resumes.clear();
    }

    /// Takes in a token of the current attempt, and returns the tokens that are now committed.
    pub fn commit(&mut self, generated: &GeneratedToken) -> Committed {
        let position = generated.position.0;
        if position >= self.known_tokens() && position < self.total_tokens() {
            self.ahead.insert(position, generated.token);
        }
        let mut committed = Committed::default();
        while let Some((&position, &token)) = self.ahead.first_key_value() {
            if position != self.known_tokens() {
                break;
            }
            self.ahead.pop_first();
            self.tokens.push(token);
            committed.push(position, token);
        }
        committed
    }

    /// Returns the position that the next delivered token takes.
    pub fn next_delivered(&self) -> u32 {
        self.total_tokens() - self.request.max_answer_tokens + self.delivered
    }

    /// Sends every stage, or those that `is_asked` names, its `Open`.
    pub fn send_opens(
        &self,
        now: Instant,
        resumes: bool,
        is_asked: impl Fn(usize) -> bool,
        fx: &mut Effects,
    ) {
        let stages = self.route.iter().enumerate();
        for (index, stage) in stages.filter(|&(index, _)| is_asked(index)) {
            let open = self.open_message(now, resumes, stage_index(index), fx);
            fx.send(stage.agent_address, StreamMessage::Open(Box::new(open)));
        }
    }

    fn open_message(&self, now: Instant, resumes: bool, stage: u8, fx: &Effects) -> OpenStream {
        let request = &self.request;
        let left = request.deadline.saturating_duration_since(now);
        OpenStream {
            id: self.stream_id(),
            stage,
            route: self.route.clone(),
            entry_address: fx.own_address(),
            account: request.account.clone(),
            model: request.model.clone(),
            version: request.version.clone(),
            priority: request.priority,
            prompt_tokens: self.total_tokens() - request.max_answer_tokens,
            max_answer_tokens: request.max_answer_tokens,
            known_tokens: self.attempt_known,
            resumes,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Sends the first stage the known tokens from `from` on.
    pub fn send_known_tokens(&mut self, from: u32, chunk_positions: u32, fx: &mut Effects) {
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
            fx.send(self.route[0].agent_address, StreamMessage::Step(step));
            first += positions;
        }
    }

    /// Tells every agent of the route to forget the stream.
    pub fn close_all(&self, fx: &mut Effects) {
        for agent in distinct_agents(&self.route) {
            fx.send(agent, StreamMessage::Close(self.stream_id()));
        }
    }

    /// Sends one stage a message.
    pub fn send_to(&self, stage: u8, message: StreamMessage, fx: &mut Effects) {
        fx.send(self.route[usize::from(stage)].agent_address, message);
    }
}

/// Returns the index of a stage as messages carry it.
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
