//! Callers, entries, agents and fake engines on a clock that only events move.

mod agent;
mod entry;
mod faults;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::stream::StreamId;
use jujubewall_routing::admission::AdmissionSettings;
use jujubewall_routing::admission::ConcurrencySettings;
use jujubewall_routing::admission::EntryGate;
use jujubewall_routing::admission::EntryGateSettings;
use jujubewall_routing::admission::FairWeights;
use jujubewall_routing::choice::CacheHint;
use jujubewall_routing::choice::EngineView;
use jujubewall_routing::retry::RetryBudget;
use jujubewall_routing::retry::RetrySettings;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::throughput::engine::FakeEngine;
use crate::throughput::policy::Policy;
use crate::throughput::policy::PolicyKind;
use crate::throughput::scenario;

/// The time to cross to another failure domain.
const FAR_US: u64 = 250;
/// The time between two looks at queues and deadlines.
const POLL_US: u64 = 20_000;
/// The time between two load reports, and by which each is late.
const REPORT_US: u64 = 250_000;
/// The time that a caller waits for a whole answer.
const CALLER_PATIENCE_US: u64 = 12_000_000;
/// The time between tokens that agents aim at, each for its part of the layers.
const TARGET_TOKEN_GAP_US: u64 = 66_000;

/// One stage of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StageKey {
    /// The index of the stream.
    pub stream: usize,
    /// The attempt.
    pub attempt: u32,
    /// The index of the stage.
    pub stage: usize,
}

/// Something that happens at one instant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive {
        account: usize,
    },
    Repeat {
        account: usize,
        repeats_left: u32,
    },
    Choose {
        stream: usize,
        attempt: u32,
    },
    Offer(StageKey),
    Opened(StageKey),
    Refused {
        key: StageKey,
        retry_after_ms: u64,
    },
    Step {
        key: StageKey,
        prefill_tokens: u32,
    },
    BatchEnd {
        engine: usize,
        epoch: u64,
    },
    Token {
        stream: usize,
        attempt: u32,
    },
    Close {
        engine: usize,
        key: StageKey,
        used_cost: u64,
    },
    Report {
        engine: usize,
        live_requests: u32,
    },
    CacheChange {
        engine: usize,
        sequence: u64,
        prefix: u64,
        is_cached: bool,
    },
    Poll,
    TakeReports,
    Fault(usize),
    Noticed,
}

/// A planned change of the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Engines run at a part of their speed; zero kills them.
    Speed {
        /// The engines.
        engines: Vec<usize>,
        /// The part of the rated speed.
        speed: f64,
    },
    /// The first entries are lost with their streams.
    LoseEntries(usize),
}

/// The state of a stream at its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamState {
    Opening,
    Running,
    Ended,
}

/// One request and its current attempt.
struct Stream {
    account: usize,
    entry: usize,
    prefix: u64,
    answer_tokens: u32,
    generated: u32,
    attempt: u32,
    state: StreamState,
    route: SmallVec<[(usize, jujubewall_types::layer::LayerRange); 4]>,
    opened: usize,
    has_cached_prefix: bool,
    exclude: SmallVec<[UpstreamName; 4]>,
    arrived_us: u64,
    last_token_us: u64,
    repeats_left: u32,
}

/// One entry.
struct Entry {
    policy: Policy,
    retries: RetryBudget,
    weights: FairWeights,
    gate: EntryGate,
    is_lost: bool,
}

/// What a run is about.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// The seed of everything random.
    pub seed: u64,
    /// How entries choose.
    pub policy: PolicyKind,
    /// The number of entries.
    pub entries: usize,
    /// The rate of each account's requests.
    pub requests_per_s: Vec<f64>,
    /// The times at which callers repeat a refused request at most.
    pub caller_repeats: u32,
    /// The planned changes by their time.
    pub faults: Vec<(u64, Fault)>,
    /// The length of the run.
    pub end_us: u64,
}

/// What was measured, with the time of each item.
#[derive(Default)]
pub struct Measured {
    /// Each token: its time and account.
    pub tokens: Vec<(u64, usize)>,
    /// Each request: its time, account and the tokens that it asks for.
    pub asked: Vec<(u64, usize, u32)>,
    /// Each answer in time by its arrival: time, account, tokens.
    pub answered: Vec<(u64, usize, u32)>,
    /// Each complete answer within the caller's patience: time, account, tokens.
    pub completed: Vec<(u64, usize, u32)>,
    /// The times from arrival to first token, by arrival.
    pub first_token_us: Vec<(u64, u64)>,
    /// The times between tokens, by time.
    pub token_gap_us: Vec<(u64, u64)>,
    /// The requests that were refused.
    pub refused: u64,
    /// The attempts beyond first ones.
    pub retries: u64,
    /// The prompts whose shared prefix was cached, and all prompts.
    pub cached_prompts: (u64, u64),
    /// The time that each engine was busy.
    pub engine_busy_us: Vec<u64>,
}

/// The simulated fleet.
pub struct World {
    settings: WorldSettings,
    base: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    rng: ChaCha8Rng,
    engines: Vec<FakeEngine>,
    index_of: HashMap<UpstreamName, usize>,
    known_dead: Vec<bool>,
    entries: Vec<Entry>,
    streams: Vec<Stream>,
    measured: Measured,
}

fn admission_settings(view: &EngineView) -> AdmissionSettings {
    let layers = u64::from(view.layers.len());
    let target_response_us = TARGET_TOKEN_GAP_US * layers / u64::from(scenario::LAYERS);
    AdmissionSettings {
        concurrency: ConcurrencySettings {
            target_response_us,
            ..ConcurrencySettings::default()
        },
        ..AdmissionSettings::default()
    }
}

fn cost_of(tokens: u32, layers: u32) -> u64 {
    u64::from(tokens) * u64::from(layers)
}

impl World {
    /// Runs a fleet to its end and returns what was measured.
    pub fn run(settings: WorldSettings) -> Measured {
        let mut world = Self::new(settings);
        world.schedule_start();
        while let Some(Reverse((at_us, _, event))) = world.events.pop() {
            if at_us > world.settings.end_us {
                break;
            }
            world.now_us = at_us;
            world.handle(event);
        }
        let busy_us = world.engines.iter().map(|engine| engine.busy_us);
        world.measured.engine_busy_us = busy_us.collect();
        world.measured
    }

    fn new(settings: WorldSettings) -> Self {
        let views = scenario::engines();
        let index_of = views
            .iter()
            .enumerate()
            .map(|(i, v)| (v.upstream.clone(), i))
            .collect();
        let entry = |index: usize| {
            let seed = settings.seed ^ ((index as u64 + 1) << 32);
            Entry {
                policy: Policy::new(settings.policy, seed),
                retries: RetryBudget::new(RetrySettings::default(), seed),
                weights: FairWeights::new(),
                gate: EntryGate::new(EntryGateSettings::default(), seed),
                is_lost: false,
            }
        };
        Self {
            base: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            known_dead: vec![false; views.len()],
            engines: views
                .into_iter()
                .map(|view| {
                    let settings = admission_settings(&view);
                    FakeEngine::new(view, settings)
                })
                .collect(),
            index_of,
            entries: (0..settings.entries).map(entry).collect(),
            streams: Vec::new(),
            measured: Measured::default(),
            settings,
        }
    }

    fn schedule_start(&mut self) {
        for (index, (at_us, _)) in self.settings.faults.clone().iter().enumerate() {
            self.at(*at_us, Event::Fault(index));
        }
        for account in 0..self.settings.requests_per_s.len() {
            self.schedule_arrival(account);
        }
        self.at(0, Event::Noticed);
        self.at(POLL_US, Event::Poll);
        self.at(REPORT_US, Event::TakeReports);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.base + Duration::from_micros(at_us)
    }

    fn now(&self) -> Instant {
        self.instant(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { account } => {
                self.schedule_arrival(account);
                self.start_request(account, self.settings.caller_repeats);
            }
            Event::Repeat {
                account,
                repeats_left,
            } => self.start_request(account, repeats_left),
            Event::Choose { stream, attempt } => self.choose(stream, attempt),
            Event::Offer(key) => self.offer(key),
            Event::Opened(key) => self.opened(key),
            Event::Refused {
                key,
                retry_after_ms,
            } => self.refused(key, retry_after_ms),
            Event::Step {
                key,
                prefill_tokens,
            } => self.step(key, prefill_tokens),
            Event::BatchEnd { engine, epoch } => self.batch_end(engine, epoch),
            Event::Token { stream, attempt } => self.token(stream, attempt),
            Event::Close {
                engine,
                key,
                used_cost,
            } => self.close(engine, key, used_cost),
            Event::Report {
                engine,
                live_requests,
            } => self.report(engine, live_requests),
            Event::CacheChange {
                engine,
                sequence,
                prefix,
                is_cached,
            } => {
                let hint = CacheHint {
                    sequence,
                    prefix_hash: prefix,
                    is_cached,
                };
                self.cache_change(engine, hint);
            }
            Event::Poll => {
                self.after(POLL_US, Event::Poll);
                for engine in 0..self.engines.len() {
                    self.release(engine);
                }
            }
            Event::TakeReports => self.take_reports(),
            Event::Fault(index) => self.fault(index),
            Event::Noticed => self.noticed(),
        }
    }

    fn is_current(&self, stream: usize, attempt: u32) -> bool {
        let known = &self.streams[stream];
        known.attempt == attempt && known.state != StreamState::Ended
    }
}

fn stream_id(stream: usize, attempt: u32) -> StreamId {
    StreamId {
        request: RequestId(stream as u128),
        attempt: Attempt(attempt),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
