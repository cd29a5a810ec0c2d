//! A simulated network of entries and agents in one process, with injected faults.
//!
//! The simulation drives the stream state machines of `jujubewall-routing` with fake
//! engines on a simulated clock. A run therefore depends on its seed alone, and
//! thousands of failures take a second.

mod engine_host;
mod faults;
mod queue;
mod topology;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::stream::action::AgentAction;
use jujubewall_routing::stream::action::EntryAction;
use jujubewall_routing::stream::action::Observation;
use jujubewall_routing::stream::action::RerouteRequest;
use jujubewall_routing::stream::agent::AgentStreams;
use jujubewall_routing::stream::entry::EntryStreams;
use jujubewall_routing::stream::entry::StreamRequest;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::RequestId;
use jujubewall_types::priority::Priority;
use rand::Rng as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use self::engine_host::EngineHost;
use self::engine_host::FOLD_TOKEN_BITS;
pub use self::faults::LinkFaults;
use self::queue::Event;
use self::queue::EventQueue;
pub use self::topology::NetworkSettings;
use self::topology::Topology;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The entry reported that the answer is complete.
    Finished,
    /// The entry reported a failure.
    Failed(Failure),
}

/// What the caller of one request has received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The tokens in the order of their delivery.
    pub tokens: Vec<Token>,
    /// When each token was delivered.
    pub times: Vec<Instant>,
    /// How the request ended, or `None` while it runs.
    pub end: Option<End>,
    /// When the request ended, or `None` while it runs.
    pub ended_at: Option<Instant>,
    /// The number of positions that stages had computed before and reran.
    pub rerun_positions: u32,
}

struct Entry {
    address: SocketAddr,
    streams: EntryStreams,
}

/// The state of an agent's process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ProcessState {
    #[default]
    Running,
    Frozen,
    Dead,
}

struct Agent {
    address: SocketAddr,
    streams: AgentStreams,
    engine: EngineHost,
    state: ProcessState,
    deferred: Vec<Event>,
}

/// Entries and agents with fake engines on a simulated network.
pub struct StreamNetwork {
    settings: NetworkSettings,
    topology: Topology,
    now: Instant,
    events: EventQueue,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    answers: BTreeMap<RequestId, Answer>,
    prompts: BTreeMap<RequestId, Vec<Token>>,
    rng: ChaCha8Rng,
}

impl StreamNetwork {
    /// Creates a network in which every process is running.
    pub fn new(settings: NetworkSettings, now: Instant) -> Self {
        let topology = Topology::new(&settings);
        let entries = (0..settings.entries).map(|index| topology.entry_address(index));
        let entries = entries.map(|address| Entry {
            address,
            streams: EntryStreams::new(address, settings.entry),
        });
        let agents = (0..topology.agent_count()).map(|index| Agent {
            address: topology::process_address(index),
            streams: AgentStreams::new(topology::process_address(index), settings.agent),
            engine: EngineHost::new(&settings, topology.assignment(index), index),
            state: ProcessState::Running,
            deferred: Vec::new(),
        });
        Self {
            entries: entries.collect(),
            agents: agents.collect(),
            topology,
            now,
            events: EventQueue::default(),
            blocked_links: BTreeSet::new(),
            answers: BTreeMap::new(),
            prompts: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Returns the current instant of the simulated clock.
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Returns what each caller has received.
    pub const fn answers(&self) -> &BTreeMap<RequestId, Answer> {
        &self.answers
    }

    /// Returns whether the prompt and the tokens before it determine each token of an answer.
    ///
    /// The expected tokens are computed without an engine, so that the check fails if a
    /// layer was skipped, run twice, or run on the cache of a different token.
    pub fn is_consistent(&self, request: RequestId) -> bool {
        let Some(answer) = self.answers.get(&request) else {
            return true;
        };
        let prompt = &self.prompts[&request];
        let sequence = [&prompt[..], &answer.tokens[..]].concat();
        let expected = self.topology.following_tokens(&sequence);
        let fold_bits = (1 << FOLD_TOKEN_BITS) - 1;
        let mut pairs = answer.tokens.iter().zip(&expected[prompt.len() - 1..]);
        pairs.all(|(token, expected)| token & fold_bits == *expected)
    }

    /// Returns the number of agents.
    pub const fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Returns the stage that an agent's engine can run.
    pub const fn stage_of(&self, agent: usize) -> usize {
        self.topology.stage_of(agent)
    }

    /// Returns the engine of an agent.
    pub fn engine(&self, agent: usize) -> &crate::engine::FakeEngine {
        self.agents[agent].engine.engine()
    }

    /// Returns the size of the outputs and checkpoints that an agent retains.
    pub fn retained_bytes(&self, agent: usize) -> u64 {
        self.agents[agent].streams.retained_bytes()
    }

    /// Returns the number of stages of an agent that have not ended.
    pub fn stage_count(&self, agent: usize) -> usize {
        self.agents[agent].streams.stage_count()
    }

    /// Returns whether every request has ended.
    pub fn is_done(&self) -> bool {
        self.answers.values().all(|answer| answer.end.is_some())
    }

    /// Starts a request on a route of the given agents, one for each stage.
    ///
    /// # Panics
    ///
    /// Panics if the network has no entry or agent of a given index.
    pub fn start(
        &mut self,
        entry: usize,
        request: RequestId,
        prompt: Vec<Token>,
        answer_tokens: u32,
        agents: &[usize],
    ) {
        let route = agents.iter().map(|&agent| self.topology.route_stage(agent));
        let request = StreamRequest {
            request,
            account: AccountName::new("account").expect("the name is valid"),
            model: topology::model(),
            version: topology::version(),
            priority: Priority::Normal,
            layer_count: self.topology.layer_count(),
            prompt,
            max_answer_tokens: answer_tokens,
            deadline: self.now + self.settings.deadline,
            route: route.collect(),
        };
        self.answers.insert(request.request, Answer::default());
        self.prompts.insert(request.request, request.prompt.clone());
        let actions = self.entries[entry].streams.start(self.now, request);
        self.apply_entry(entry, actions);
    }

    /// Cancels a request whose caller has disconnected, and drops its answer.
    pub fn cancel(&mut self, entry: usize, request: RequestId) {
        let actions = self.entries[entry].streams.cancel(self.now, request);
        self.apply_entry(entry, actions);
        self.answers.remove(&request);
    }

    /// Advances the clock by `duration`, or until `should_stop` holds.
    pub fn run(&mut self, duration: Duration, should_stop: impl Fn(&Self) -> bool) {
        let end = self.now + duration;
        while !should_stop(self) {
            let next = self.next_due().filter(|&next| next <= end);
            let Some(next) = next else {
                self.now = end;
                return;
            };
            self.now = next.max(self.now);
            if let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
            } else {
                self.tick();
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let entries = self
            .entries
            .iter()
            .filter_map(|entry| entry.streams.next_wakeup());
        let running = self
            .agents
            .iter()
            .filter(|agent| agent.state == ProcessState::Running);
        let agents = running.filter_map(|agent| agent.streams.next_wakeup());
        entries.chain(agents).chain(self.events.next()).min()
    }

    fn tick(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].streams.next_wakeup() <= Some(self.now) {
                let actions = self.entries[index].streams.on_tick(self.now);
                self.apply_entry(index, actions);
            }
        }
        for index in 0..self.agents.len() {
            if self.agents[index].state == ProcessState::Running {
                let actions = self.agents[index].streams.on_tick(self.now);
                self.apply_agent(index, actions);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } => self.deliver(from, to, message),
            Event::Route { entry, reroute } => self.choose_route(entry, &reroute),
            Event::PeerLost { entry, peer } => {
                let streams = &mut self.entries[entry].streams;
                let actions = streams.on_peer_lost(self.now, peer);
                self.apply_entry(entry, actions);
            }
            Event::Engine { agent, call } => match self.agents[agent].state {
                ProcessState::Running => {
                    let host = &mut self.agents[agent];
                    let actions = host.engine.finish(call, self.now, &mut host.streams);
                    self.apply_agent(agent, actions);
                }
                ProcessState::Frozen => {
                    self.agents[agent]
                        .deferred
                        .push(Event::Engine { agent, call });
                }
                ProcessState::Dead => {}
            },
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: StreamMessage) {
        if let Some(index) = self.entries.iter().position(|entry| entry.address == to) {
            let streams = &mut self.entries[index].streams;
            let actions = streams.on_message(self.now, from, message);
            self.apply_entry(index, actions);
        } else if let Some(index) = self.agents.iter().position(|agent| agent.address == to) {
            let agent = &mut self.agents[index];
            match agent.state {
                ProcessState::Running => {
                    let actions = agent.streams.on_message(self.now, from, message);
                    self.apply_agent(index, actions);
                }
                ProcessState::Frozen => agent.deferred.push(Event::Message { from, to, message }),
                ProcessState::Dead => {}
            }
        }
    }

    fn apply_entry(&mut self, index: usize, actions: Vec<EntryAction>) {
        let from = self.entries[index].address;
        for action in actions {
            match action {
                EntryAction::Send { to, message } => self.send(from, to, &message),
                EntryAction::Deliver { request, tokens } => {
                    let answer = self.answers.entry(request).or_default();
                    answer.times.extend(tokens.iter().map(|_| self.now));
                    answer.tokens.extend(tokens);
                }
                EntryAction::Finish { request } => self.end(request, End::Finished),
                EntryAction::Fail { request, failure } => {
                    self.end(request, End::Failed(failure));
                }
                EntryAction::ChooseRoute(reroute) => {
                    let event = Event::Route {
                        entry: index,
                        reroute,
                    };
                    self.events.push(self.now, event);
                }
                EntryAction::Observe(Observation::Recovered {
                    request,
                    rerun_positions,
                    ..
                }) => {
                    let answer = self.answers.entry(request).or_default();
                    answer.rerun_positions += rerun_positions;
                }
                EntryAction::Observe(_) => {}
            }
        }
    }

    fn end(&mut self, request: RequestId, end: End) {
        let answer = self.answers.entry(request).or_default();
        assert!(answer.end.is_none(), "a request ended twice");
        answer.end = Some(end);
        answer.ended_at = Some(self.now);
    }

    fn apply_agent(&mut self, index: usize, actions: Vec<AgentAction>) {
        let from = self.agents[index].address;
        for action in actions {
            match action {
                AgentAction::Send { to, message } => self.send(from, to, &message),
                other => {
                    let call = self.agents[index].engine.begin(other, self.now);
                    if let Some((at, call)) = call {
                        self.events.push(at, Event::Engine { agent: index, call });
                    }
                }
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &StreamMessage) {
        let faults = self.settings.faults;
        if self.blocked_links.contains(&(from, to)) || self.draw_fault(faults.loss_permille) {
            return;
        }
        let copies = 1 + u32::from(self.draw_fault(faults.duplicate_permille));
        for _ in 0..copies {
            let at = self.arrival(&faults);
            let message = message.clone();
            self.events.push(at, Event::Message { from, to, message });
        }
    }

    fn arrival(&mut self, faults: &LinkFaults) -> Instant {
        let jitter_us = u64::try_from(faults.jitter.as_micros()).unwrap_or(u64::MAX);
        let extra_us = if jitter_us == 0 {
            0
        } else {
            self.rng.next_u64() % jitter_us
        };
        self.now + faults.delay + Duration::from_micros(extra_us)
    }

    fn draw_fault(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1000) < permille
    }

    /// Chooses a random engine for each stage to replace, among those that are neither
    /// excluded, dead nor leaving.
    fn choose_route(&mut self, entry: usize, reroute: &RerouteRequest) {
        let mut route = reroute.route.clone();
        let mut is_possible = true;
        for (index, stage) in route.iter_mut().enumerate() {
            let is_lost = reroute
                .stages_to_replace
                .iter()
                .any(|&lost| usize::from(lost) == index);
            if !is_lost && !reroute.excluded_upstreams.contains(&stage.upstream) {
                continue;
            }
            let candidates = (0..self.agents.len()).filter(|&agent| {
                let is_usable = self.agents[agent].state != ProcessState::Dead
                    && !self.agents[agent].engine.is_leaving;
                let upstream = self.topology.route_stage(agent).upstream;
                is_usable
                    && self.topology.stage_of(agent) == index
                    && !reroute.excluded_upstreams.contains(&upstream)
            });
            let candidates: Vec<usize> = candidates.collect();
            if candidates.is_empty() {
                is_possible = false;
                break;
            }
            let chosen = candidates[self.rng.random_range(0..candidates.len())];
            *stage = self.topology.route_stage(chosen);
        }
        let route = is_possible
            .then_some(route)
            .ok_or_else(|| Failure::new(ErrorKind::NoUpstream, "no engine is left for a stage"));
        let streams = &mut self.entries[entry].streams;
        let actions = streams.on_route(self.now, reroute.request, route);
        self.apply_entry(entry, actions);
    }
}
