//! Slopes of carrying answers: processor time for each token, memory for each stream.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::codec;
use jujubewall_protocol::message::Message;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_routing::stream::action::AgentAction;
use jujubewall_routing::stream::action::EntryAction;
use jujubewall_routing::stream::agent::AgentStreams;
use jujubewall_routing::stream::entry::EntryStreams;
use jujubewall_routing::stream::entry::StreamRequest;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_routing::stream::settings::EntrySettings;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

use crate::fit::Fit;
use crate::fit::Point;

/// The number of stages of every pipeline.
const STAGES: usize = 3;

/// The number of layers of each stage.
const LAYERS_PER_STAGE: u32 = 16;

/// The number of tokens of each answer.
const ANSWER_TOKENS: u32 = 32;

/// The number of tokens of each prompt.
const PROMPT_TOKENS: usize = 256;

/// The size of one activation, that of a hidden state of 4,096 halves, in bytes.
const ACTIVATION_BYTES: usize = 8_192;

/// The address of the entry; the agents follow.
const FIRST_PORT: u16 = 1_000;

/// The number of microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// Measures the slopes of carrying answers.
pub fn measure() -> eyre::Result<Vec<Fit>> {
    let sizes = [100_u32, 200, 400, 800, 1_600];
    let mut entry = Vec::new();
    let mut agent = Vec::new();
    let mut bytes = Vec::new();
    for streams in sizes {
        let mut path = Path::new()?;
        path.run(streams)?;
        let tokens = f64::from(streams * ANSWER_TOKENS);
        let point = |cost| Point { size: tokens, cost };
        entry.push(point(path.entry_time.as_secs_f64() * US_PER_S));
        agent.push(point(
            path.agent_time.as_secs_f64() * US_PER_S / STAGES as f64,
        ));
        bytes.push(point(path.sent_bytes as f64));
    }
    Ok(vec![
        Fit::new("decisions of an entry", "tokens", "us", entry)?,
        Fit::new("decisions of an agent", "tokens", "us", agent)?,
        Fit::new(
            "messages of a pipeline of 3 stages",
            "tokens",
            "bytes encoded",
            bytes,
        )?,
    ])
}

/// One entry and the agents of one pipeline, whose messages arrive at once.
struct Path {
    now: Instant,
    entry: EntryStreams,
    agents: Vec<AgentStreams>,
    route: Route,
    queue: VecDeque<(SocketAddr, SocketAddr, StreamMessage)>,
    entry_time: Duration,
    agent_time: Duration,
    sent_bytes: usize,
    finished: u32,
}

impl Path {
    fn new() -> eyre::Result<Self> {
        let mut route = Route::new();
        for (stage, first) in (0..STAGES).zip((0..).step_by(LAYERS_PER_STAGE as usize)) {
            route.push(RouteStage {
                upstream: UpstreamName::new(format!("engine-{stage}"))?,
                agent_address: address(stage + 1),
                layers: LayerRange::new(first, first + LAYERS_PER_STAGE),
            });
        }
        let agents = (0..STAGES)
            .map(|stage| AgentStreams::new(address(stage + 1), AgentSettings::default()));
        Ok(Self {
            now: Instant::now(),
            entry: EntryStreams::new(address(0), EntrySettings::default()),
            agents: agents.collect(),
            route,
            queue: VecDeque::new(),
            entry_time: Duration::ZERO,
            agent_time: Duration::ZERO,
            sent_bytes: 0,
            finished: 0,
        })
    }

    /// Carries `streams` answers that are all in flight together.
    fn run(&mut self, streams: u32) -> eyre::Result<()> {
        for index in 0..streams {
            let request = StreamRequest {
                request: RequestId(u128::from(index)),
                account: AccountName::new("account")?,
                model: ModelName::new("model")?,
                version: VersionName::new("v1")?,
                layer_count: LAYERS_PER_STAGE * u32::try_from(STAGES)?,
                priority: Priority::Normal,
                prompt: vec![65; PROMPT_TOKENS],
                max_answer_tokens: ANSWER_TOKENS,
                deadline: self.now + Duration::from_mins(1),
                route: self.route.clone(),
            };
            let started = std::time::Instant::now();
            let actions = self.entry.start(self.now, request);
            self.entry_time += started.elapsed();
            self.on_entry(actions);
        }
        while let Some((from, to, message)) = self.queue.pop_front() {
            self.deliver(from, to, message);
        }
        eyre::ensure!(self.finished == streams, "an answer is not whole");
        Ok(())
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: StreamMessage) {
        let wire = Message::from(message.clone());
        self.sent_bytes += codec::encode(&wire).map_or(0, |body| body.len());
        let started = std::time::Instant::now();
        let index = usize::from(to.port() - FIRST_PORT);
        if index == 0 {
            let actions = self.entry.on_message(self.now, from, message);
            self.entry_time += started.elapsed();
            self.on_entry(actions);
        } else {
            let actions = self.agents[index - 1].on_message(self.now, from, message);
            self.agent_time += started.elapsed();
            self.on_agent(index - 1, actions);
        }
    }

    fn on_entry(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { to, message } => {
                    self.queue.push_back((address(0), to, message));
                }
                EntryAction::Finish { .. } => self.finished += 1,
                _ => {}
            }
        }
    }

    fn on_agent(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            let started = std::time::Instant::now();
            let next = match action {
                AgentAction::Send { to, message } => {
                    self.queue.push_back((address(agent + 1), to, message));
                    continue;
                }
                AgentAction::Admit { ticket, .. } => {
                    self.agents[agent].on_admitted(self.now, ticket)
                }
                AgentAction::RunStep { ticket, step, .. } => {
                    let output = if step.is_last {
                        Bytes::from_static(&[65, 0, 0, 0])
                    } else {
                        Bytes::from(vec![7; ACTIVATION_BYTES * step.positions as usize])
                    };
                    self.agents[agent].on_step_done(self.now, ticket, Ok(output))
                }
                _ => continue,
            };
            self.agent_time += started.elapsed();
            self.on_agent(agent, next);
        }
    }
}

fn address(index: usize) -> SocketAddr {
    let offset = u16::try_from(index).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset))
}
